"""The HTTP connection layer, and the admission gateway that is built on it."""
