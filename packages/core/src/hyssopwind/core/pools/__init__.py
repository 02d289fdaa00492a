"""Pools: the servers of a service in a data centre, their limits and owner."""
