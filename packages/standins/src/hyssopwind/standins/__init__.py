"""Stand-ins for the systems around the daemons, and test and bench tools."""
