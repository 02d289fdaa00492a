"""Simulations of daemons, servers and callers in virtual time."""
