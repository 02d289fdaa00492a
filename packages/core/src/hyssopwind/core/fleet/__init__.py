"""Fleet membership: the live daemons and those that read the platform."""
