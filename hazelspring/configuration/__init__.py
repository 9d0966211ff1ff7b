"""The operator's configuration: its model, its validation, and the differences between versions."""
