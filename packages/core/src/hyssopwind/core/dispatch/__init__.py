"""Decisions about one request: which server, when, how often, or none."""
