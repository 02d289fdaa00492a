"""Fleets whose servers never answer some requests."""
