"""Admission decisions of the gateway."""
