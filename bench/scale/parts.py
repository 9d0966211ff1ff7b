"""Tables and lists of one door by the number of servers: the platform's list, dances, choices, and memory."""

from __future__ import annotations
