"""Models of what surrounds a gateway, as state machines: time is an argument, and there are no sockets."""
