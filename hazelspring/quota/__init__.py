"""Tenants' quotas: credits leased by each node from the counter of a tenant."""
