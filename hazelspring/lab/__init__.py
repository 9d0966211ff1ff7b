"""Test lab: runs gateways, simulated alert servers and simulated clients on one machine."""
