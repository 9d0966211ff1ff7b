"""A test lab: gateways, model servers and load on one machine."""
