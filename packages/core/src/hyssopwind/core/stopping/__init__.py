"""Planned stops: which requests are still taken, and when connections end."""
