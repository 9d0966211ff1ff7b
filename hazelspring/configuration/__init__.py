"""The operator's configuration: its model, its validation, and how one version differs from the next."""
