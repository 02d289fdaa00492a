"""Which servers a daemon asks for their load.

A daemon of a large fleet sends few requests to each of many servers, so its
connections would time out between them. The first round of checks of a
request therefore goes to the same few servers each time, which differ from
daemon to daemon; only when none of them is good are others drawn.
"""

import random
from collections.abc import Sequence

import xxhash

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue


def usual(
    daemon: ids.DaemonId, listed: Sequence[catalogue.Listed], count: int
) -> list[catalogue.Listed]:
    """Returns the servers that a daemon asks first, by rendezvous hashing.

    Args:
        daemon: the daemon that asks.
        listed: servers that may be asked.
        count: how many to return at most.
    """
    if len(listed) <= count:
        return list(listed)

    def rank(server: catalogue.Listed) -> int:
        pair = f"{daemon}\0{server.entry.id}"
        return xxhash.xxh3_64_intdigest(pair.encode())

    return sorted(listed, key=rank)[:count]


def draw(
    randomness: random.Random, listed: Sequence[catalogue.Listed], count: int
) -> list[catalogue.Listed]:
    """Returns some servers at random, or all where there are few."""
    if len(listed) <= count:
        return list(listed)
    return randomness.sample(listed, count)
