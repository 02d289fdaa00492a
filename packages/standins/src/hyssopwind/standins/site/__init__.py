"""Stand-ins of the users' platform: its store, its servers, one daemon."""
