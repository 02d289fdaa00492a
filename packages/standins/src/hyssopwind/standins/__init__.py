"""Stand-ins for what surrounds the daemons, and tools that drive them."""
