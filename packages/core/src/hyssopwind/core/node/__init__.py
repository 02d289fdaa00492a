"""One daemon's decisions put together, still without input or output."""
