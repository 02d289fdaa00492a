"""The daemon as it serves on the platform: connections, reading, peers."""
