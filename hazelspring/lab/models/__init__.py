"""What stands around a front door, as state machines: time is an argument, and there are no sockets."""
