"""swarm: which doors there are: beats and lives, the core, rendezvous, duties and their leases."""
