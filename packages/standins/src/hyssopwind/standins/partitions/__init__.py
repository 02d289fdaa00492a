"""Fleets some of whose daemons are partitioned from all servers."""
