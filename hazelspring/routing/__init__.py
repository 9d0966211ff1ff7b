"""The routing of a request at a node: admission, choice of an endpoint, hedging, retries and their budget."""
