"""Agreement on the control state: ballots, acceptor, proposer, and recovery after a majority was lost."""
