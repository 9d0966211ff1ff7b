"""nectar: tenants' quotas by GALE's leases: credits at the doors, counters at the duty's holder."""
