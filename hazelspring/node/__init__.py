"""One node's state machine: it takes messages and times, returns actions, reads no clock and does no I/O."""
