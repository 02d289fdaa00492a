"""Requests of callers: classification, fingerprints and refusals."""
