"""Serves the simulation models on loopback sockets.  Whatever a model can decide is left to the model."""
