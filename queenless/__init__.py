"""queenless: one door's core, which brings swarm, comb, registry and nectar together; no door leads."""
