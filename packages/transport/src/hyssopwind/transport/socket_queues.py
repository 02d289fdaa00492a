"""Bytes of a TCP connection that wait in the kernel."""

import fcntl
import sys
import termios
import typing

_COUNT_BYTES = 4  # a C int


class SocketLike(typing.Protocol):
    """A socket, or asyncio's wrapper of one."""

    def fileno(self) -> int:
        """Returns the file descriptor; negative once closed."""
        ...


def unacknowledged_bytes(raw_socket: SocketLike | None) -> int:
    """Returns the bytes in the send queue.

    They include those that the remote end has received and not acknowledged.
    An end of output that was not acknowledged counts as one byte. A closed
    socket, and a system that does not report the queue, count as empty.

    References:
        tcp(7), SIOCOUTQ.
    """
    return _queue_size(raw_socket, termios.TIOCOUTQ)


def unread_bytes(raw_socket: SocketLike | None) -> int:
    """Returns the bytes in the receive queue.

    A closed socket, and a system that does not report the queue, count as
    empty.

    References:
        tcp(7), SIOCINQ.
    """
    return _queue_size(raw_socket, termios.FIONREAD)


def _queue_size(raw_socket: SocketLike | None, request: int) -> int:
    if raw_socket is None:
        return 0
    descriptor = raw_socket.fileno()
    if descriptor < 0:
        return 0
    try:
        count = fcntl.ioctl(descriptor, request, bytes(_COUNT_BYTES))
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)
