"""One node's state machine: messages and times in, actions out; no clock, no I/O."""
