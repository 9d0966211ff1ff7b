"""Request routing at a node: admission, the choice of an endpoint, hedging, retries and the retry budget."""
