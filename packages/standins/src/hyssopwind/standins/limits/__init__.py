"""Servers that state limits: scenarios, judging, and fleets that serve them."""
