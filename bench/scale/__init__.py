"""bench.scale: hollow doors, many in one process on simulated time, and what they cost as the fleet grows."""
