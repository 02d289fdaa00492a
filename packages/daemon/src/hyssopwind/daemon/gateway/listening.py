"""Opens the listener for callers, before other modules are imported."""

import socket

BACKLOG = 1_024  # connections that may wait while the daemon starts


def listen(address: str) -> socket.socket:
    """Returns a socket that listens on an IP address and port.

    Raises:
        OSError: the address cannot be bound; the text names it.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    try:
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except OSError as error:
        listener.close()
        raise OSError(f"cannot listen on {address}: {error}") from error
    return listener
