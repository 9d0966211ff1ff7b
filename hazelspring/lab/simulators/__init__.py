"""Serves the simulation models on loopback sockets.  All decisions are made by the models."""
