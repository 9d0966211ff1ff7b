"""The models on loopback sockets.  They decide nothing that a model could."""
