"""State that the platform publishes: items, servers and configuration."""
