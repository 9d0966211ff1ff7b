"""Measures the cost of each role as the fleet grows, and rewrites the tables of docs/CAPACITY.md.

    python bench/scale.py all                  all but `sizes`, then `page`: run after each program change
    python bench/scale.py fleet --doors 30 100 nodes on simulated time, each fleet size in its own process
    python bench/scale.py services             the cost of one message by the number of services, few nodes
    python bench/scale.py rounds               the time and the messages of a proposal as the core grows
    python bench/scale.py words                configurations of 100 to 57,000 routes
    python bench/scale.py parts                server tables and instance lists of up to 40,000 servers
    python bench/scale.py carry                requests a second through one real node on loopback
    python bench/scale.py sizes                the table of docs/system.md: fleets shaped like deployments
    python bench/scale.py page                 the tables of docs/CAPACITY.md from the stored figures

Figures are stored in bench/scale/found/, each part with the command and the revision that produced it.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from bench.scale.cli import main

if __name__ == "__main__":
    sys.exit(main())
