"""The decision logic of one daemon, without input or output."""
