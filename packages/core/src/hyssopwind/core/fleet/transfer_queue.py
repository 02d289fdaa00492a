"""Admission of large transfers to peers.

A daemon serves few large transfers at the same time, so that each of them ends
soon. Peers that have received one serve others: waiting peers are referred to
them, and the number of sources grows with each round.
"""

import collections
import dataclasses
from collections.abc import Collection
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Transfer:
    revision: int
    started_at: float


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
        self._transfers: dict[str, _Transfer] = {}
        self._sources: dict[str, _Source] = {}

    def enter(self, ip: str, now: float) -> None:
        """Adds a peer to the end of the queue unless it waits already."""
        self._entered_at.setdefault(ip, now)

    def leave(self, ip: str) -> None:
        """Removes a peer that no longer waits."""
        self._entered_at.pop(ip, None)

    def complete(self, ip: str, revision: int) -> None:
        """Records that a peer has all changes up to a revision."""
        source = self._sources.setdefault(ip, _Source(revision))
        source.revision = revision
        transfer = self._transfers.get(ip)
        if transfer is not None and revision >= transfer.revision:
            del self._transfers[ip]

    def drop_source(self, ip: str) -> None:
        """Refers no more peers to a peer."""
        self._sources.pop(ip, None)

    def keep_sources(self, live_ips: Collection[str]) -> None:
        """Forgets all peers but those that are alive."""
        for ip in list(self._sources):
            if ip not in live_ips:
                del self._sources[ip]
        for ip in list(self._transfers):
            if ip not in live_ips:
                del self._transfers[ip]

    def poll(
        self, ip: str, revision: int, now: float, *, may_refer: bool = True
    ) -> Decision | None:
        """Returns what a waiting peer gets; `None` if it has to wait.

        Args:
            ip: IP address of the peer.
            revision: revision that the peer has after the transfer, and that
                another source must have.
            now: monotonic time in seconds.
            may_refer: whether the peer may be referred to another source.
        """
        for started_ip, transfer in list(self._transfers.items()):
            if now - transfer.started_at > TRANSFER_EXPIRY_SECONDS:
                del self._transfers[started_ip]
        is_first = next(iter(self._entered_at), ip) == ip
        if is_first and len(self._transfers) < MAX_CONCURRENT_TRANSFERS:
            self.leave(ip)
            self._transfers[ip] = _Transfer(revision, now)
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
