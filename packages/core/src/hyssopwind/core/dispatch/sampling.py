"""Selects the servers that a daemon probes for their load.

A daemon of a large fleet sends few requests to each of many servers, so that
its connections would time out between them. The first round of probes of a
request therefore goes to the same few servers each time, which differ between
daemons; further servers are drawn at random only if none of these is good.
"""

import random
from collections.abc import Sequence

import xxhash

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue


def deterministic_subset(
    daemon: ids.DaemonId,
    listed_servers: Sequence[catalogue.ListedServer],
    count: int,
) -> list[catalogue.ListedServer]:
    """Returns the servers that a daemon probes first, by rendezvous hashing.

    Args:
        daemon: the daemon that probes.
        listed_servers: servers that may be probed.
        count: number of servers to return at most.
    """
    if len(listed_servers) <= count:
        return list(listed_servers)

    def rank(listed_server: catalogue.ListedServer) -> int:
        hash_input = f"{daemon}\0{listed_server.entry.id}"
        return xxhash.xxh3_64_intdigest(hash_input.encode())

    return sorted(listed_servers, key=rank)[:count]


def random_subset(
    random_source: random.Random,
    listed_servers: Sequence[catalogue.ListedServer],
    count: int,
) -> list[catalogue.ListedServer]:
    """Returns `count` servers at random, or all if there are no more."""
    if len(listed_servers) <= count:
        return list(listed_servers)
    return random_source.sample(listed_servers, count)
