"""Nodes, a stand-in platform and stand-in servers on loopback addresses, to try the system and to break it."""
