"""The way of a request through a node: admission, choice of an endpoint, retries and their budget."""
