"""Dispatch of requests: server selection, retries and their budgets."""
