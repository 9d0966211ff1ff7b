"""Durable storage of the records of a replica: one SQLite file, used by one process at a time."""
