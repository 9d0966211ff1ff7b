"""HTTP plumbing, and the admission gateway that runs on it."""
