"""comb: the operator's word: what a configuration says, copies and their stamps, and their place on disk."""
