"""Durable records of a replica: one SQLite file, read and written by one process."""
