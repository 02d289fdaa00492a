"""Nodes and stages of several daemons on one virtual clock."""
