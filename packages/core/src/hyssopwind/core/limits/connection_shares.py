"""Idle connections that one daemon keeps to a server.

A server accepts a number of connections from all daemons together. Each daemon
keeps an equal share of a part of them idle; the rest is left to requests in
progress.
"""

from hyssopwind.core.discovery import catalogue

MAX_IDLE_COUNT = 8  # a daemon rarely has more requests at a server at a time
IDLE_RATIO = 0.75


def idle_connection_count(max_connections: int, daemon_count: int) -> int:
    """Returns the most idle connections of one daemon to a server.

    Args:
        max_connections: connections that the server accepts in all.
        daemon_count: number of daemons that share them.

    Examples:
        >>> idle_connection_count(max_connections=220, daemon_count=15)
        8
        >>> idle_connection_count(max_connections=860, daemon_count=300)
        2
    """
    share = int(IDLE_RATIO * max_connections / max(1, daemon_count))
    return max(0, min(MAX_IDLE_COUNT, share))


def idle_counts(
    server_catalogue: catalogue.Catalogue, daemon_count: int
) -> dict[str, int]:
    """Returns the most idle connections to each server, by its address."""
    counts = {}
    for listed_server in server_catalogue.listed_servers():
        entry = listed_server.entry
        service_settings = server_catalogue.service_settings(entry.service)
        if service_settings is None:
            continue
        counts[entry.address] = idle_connection_count(
            service_settings.max_connections, daemon_count
        )
    return counts
