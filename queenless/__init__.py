"""queenless: one door's core, which brings swarm, comb, waggle and nectar together; no door leads."""
