"""Membership: VM records, live daemons, owners and their leases."""
