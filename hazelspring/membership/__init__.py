"""Cluster membership: peers and their incarnations, the roster of nodes, and rendezvous hashing."""
