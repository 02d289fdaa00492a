"""The daemon: input and output around the decisions of the core."""
