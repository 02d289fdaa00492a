"""Settings of each team: their revisions and the one in force."""
