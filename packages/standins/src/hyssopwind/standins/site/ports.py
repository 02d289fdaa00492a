"""Ports for stand-ins and daemons on the loopback address."""

import random
import socket

# Below the range from which the system draws ports of outgoing connections,
# so that none of those takes a port between the choice and its use.
FIRST = 20_000
LAST = 32_000
_RANDOM = random.SystemRandom()


def free_ports(count: int) -> list[int]:
    """Returns ports that are free for TCP and UDP at this moment."""
    found: list[int] = []
    while len(found) < count:
        port = _RANDOM.randint(FIRST, LAST)
        if port not in found and _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False  # Somebody else uses it; another is drawn.
    return True
