"""Models of the environment of a gateway, as state machines without sockets; time is an argument."""
