"""The daemons of the fleet: who lives, and who reads the platform."""
