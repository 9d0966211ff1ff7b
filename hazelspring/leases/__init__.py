"""Leases on singleton roles: work that one node does for all."""
