"""What the platform publishes: items, servers, evacuations, freshness."""
