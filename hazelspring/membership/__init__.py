"""Which nodes there are: peers and their incarnations, the roster, rendezvous hashing."""
