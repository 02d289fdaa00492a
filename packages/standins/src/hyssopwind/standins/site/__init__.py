"""Stand-ins for the platform around a gateway daemon: store and servers."""
