"""Requests of callers: their class, deadline, key and fingerprint."""
