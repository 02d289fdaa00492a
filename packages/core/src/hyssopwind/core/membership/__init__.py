"""Who takes part: VM records, live daemons, owners and their leases."""
