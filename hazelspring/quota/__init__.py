"""Quotas of tenants: each node leases credits from the quota counter of the tenant and spends them locally."""
