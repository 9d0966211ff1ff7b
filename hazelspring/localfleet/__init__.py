"""Nodes, a simulated platform and simulated servers on loopback addresses, for trials and fault tests."""
