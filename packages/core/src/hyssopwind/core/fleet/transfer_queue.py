"""Admission of large transfers to peers.

A daemon serves few large transfers at the same time, so that each of them ends
soon. Peers that have received one serve others: waiting peers are referred to
them, and the number of sources grows with each round.
"""

import collections
import dataclasses
from typing import TypeAlias

MAX_CONCURRENT_TRANSFERS = 2
# Time after which a transfer no longer counts if the peer does not confirm it.
TRANSFER_EXPIRY_SECONDS = 1.0
# Longest wait in the queue, after which the peer has to ask again.
MAX_WAIT_SECONDS = 0.3
# Time in which a source gets no more referrals than it serves at a time.
REFERRAL_INTERVAL_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Serve:
    """The transfer may start."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refer:
    """Another daemon has the changes.

    Attributes:
        ip: IP address of that daemon.
    """

    ip: str


@dataclasses.dataclass(frozen=True, slots=True)
class Busy:
    """The peer has waited for too long and should ask again."""


Decision: TypeAlias = Serve | Refer | Busy


@dataclasses.dataclass(slots=True)
class _Source:
    revision: int
    referred_at: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


class TransferQueue:
    """The large transfers of one daemon.

    Examples:
        >>> queue = TransferQueue()
        >>> queue.enter("a", now=0.0)
        >>> queue.poll("a", revision=7, now=0.0)
        Serve()
        >>> for ip in "bc":
        ...     queue.enter(ip, now=0.0)
        >>> queue.poll("b", revision=7, now=0.0)
        Serve()
        >>> queue.poll("c", revision=7, now=0.0) is None
        True
        >>> queue.complete("a", revision=7)
        >>> queue.poll("c", revision=7, now=0.1)
        Serve()
        >>> queue.enter("d", now=0.1)
        >>> queue.poll("d", revision=7, now=0.1)
        Refer(ip='a')
    """

    def __init__(self) -> None:
        self._entered_at: dict[str, float] = {}
        self._started_at: dict[str, float] = {}
        self._sources: dict[str, _Source] = {}

    def enter(self, ip: str, now: float) -> None:
        """Adds a peer to the end of the queue unless it waits already."""
        self._entered_at.setdefault(ip, now)

    def leave(self, ip: str) -> None:
        """Removes a peer that no longer waits."""
        self._entered_at.pop(ip, None)

    def complete(self, ip: str, revision: int) -> None:
        """Records that a peer has all changes up to a revision."""
        self._sources[ip] = _Source(revision)
        self._started_at.pop(ip, None)

    def drop_source(self, ip: str) -> None:
        """Forgets a peer that is not alive."""
        self._sources.pop(ip, None)
        self._started_at.pop(ip, None)

    def poll(
        self, ip: str, revision: int, now: float, *, may_refer: bool = True
    ) -> Decision | None:
        """Returns what a waiting peer gets; `None` if it has to wait.

        Args:
            ip: IP address of the peer.
            revision: revision that another source must have.
            now: monotonic time in seconds.
            may_refer: whether the peer may be referred to another source.
        """
        for started_ip, started_at in list(self._started_at.items()):
            if now - started_at > TRANSFER_EXPIRY_SECONDS:
                del self._started_at[started_ip]
        is_first = next(iter(self._entered_at), ip) == ip
        if is_first and len(self._started_at) < MAX_CONCURRENT_TRANSFERS:
            self.leave(ip)
            self._started_at[ip] = now
            return Serve()
        source_ip = None
        if may_refer:
            source_ip = self._find_source(ip, revision, now)
        if source_ip is not None:
            self.leave(ip)
            self._sources[source_ip].referred_at.append(now)
            return Refer(source_ip)
        if now - self._entered_at.get(ip, now) > MAX_WAIT_SECONDS:
            self.leave(ip)
            return Busy()
        return None

    def _find_source(self, ip: str, revision: int, now: float) -> str | None:
        for source_ip, source in list(self._sources.items()):
            if source.revision < revision:
                del self._sources[source_ip]
                continue
            referred_at = source.referred_at
            while referred_at and (
                now - referred_at[0] > REFERRAL_INTERVAL_SECONDS
            ):
                referred_at.popleft()
            if source_ip != ip and len(referred_at) < MAX_CONCURRENT_TRANSFERS:
                return source_ip
        return None
