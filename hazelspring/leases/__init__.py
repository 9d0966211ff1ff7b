"""Leases on singleton roles, each of which one node at a time performs for the whole fleet."""
