"""Quotas of tenants: each node leases credits from the tenant's quota counter and spends them locally."""
