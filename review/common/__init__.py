"""What the cases share: a small fleet of nodes, and stand-ins for the platform, servers, operator and clients."""
