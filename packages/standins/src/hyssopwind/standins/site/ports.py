"""Free ports on the loopback address for stand-ins and daemons."""

import random
import socket
from collections.abc import Collection

# The range lies below the ephemeral ports, so that no outgoing connection takes
# a port between its selection and its use.
FIRST_PORT = 20_000
LAST_PORT = 32_000
_RANDOM = random.SystemRandom()


def find_free_ports(count: int, excluded: Collection[int] = ()) -> list[int]:
    """Returns ports that are currently free for TCP and UDP.

    Args:
        count: number of ports.
        excluded: ports that may be free now and are not returned.
    """
    free: list[int] = []
    while len(free) < count:
        port = _RANDOM.randint(FIRST_PORT, LAST_PORT)
        if port in free or port in excluded:
            continue
        if _is_free(port):
            free.append(port)
    return free


def _is_free(port: int) -> bool:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as bound_socket:
            try:
                bound_socket.bind(("127.0.0.1", port))
            except OSError:
                return False  # The port is in use; the caller tries another.
    return True
