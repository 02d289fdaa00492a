"""Revisions of the settings of each team, and which of them is in force."""
