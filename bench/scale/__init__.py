"""The cost of the system as the fleet grows, measured with many nodes in one process on simulated time."""
