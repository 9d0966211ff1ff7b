"""Recorded bytes of messages between nodes and of records on disk, and what produces them anew."""
