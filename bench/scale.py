"""Measures what each role costs as the fleet grows, and renews the tables of docs/CAPACITY.md from it.

    python bench/scale.py all                  everything, then the page: the one command after a change of the program
    python bench/scale.py fleet --doors 30 100 hollow doors on simulated time, each size in a process of its own
    python bench/scale.py services             the price of one message by services, at a few doors
    python bench/scale.py rounds               an order's time and messages as the core grows
    python bench/scale.py words                configurations of 100 to 57,000 routes
    python bench/scale.py parts                tables and lists at the size of the target
    python bench/scale.py carry                requests a second through one real door on loopback
    python bench/scale.py sizes                the table of docs/system.md: fleets shaped as the deployments are
    python bench/scale.py page                 the tables of the page from the figures at hand

Figures are kept in bench/scale/found/, each part with the command and the revision that gave it.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from bench.scale.cli import main

if __name__ == "__main__":
    sys.exit(main())
