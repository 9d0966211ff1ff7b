"""keeper: the operator's client."""
