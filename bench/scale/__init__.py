"""Cost of the system as the fleet grows, measured with many simulated nodes in one process on simulated
time."""
