"""Leases on resources, granted by a quorum of daemons without shared storage.

A daemon owns a resource while a quorum of daemons grants it a lease. A daemon
grants a resource to one owner at a time, for a bounded time on its own
monotonic clock. A daemon that has just started grants nothing for that time,
because it has lost its earlier grants. The owner counts a lease from the time
at which it sent the request, the granting daemon from the time at which it
received it, so the lease of the owner always ends first.

The quorum comes from the settings and not from a list of live daemons, so
differences between the lists of daemons do no harm. Two quorums have a daemon
in common as long as fewer daemons than twice the quorum run at a time.

References:
    C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant mechanism
    for distributed file cache consistency", SOSP 1989.
"""

import dataclasses
from collections.abc import Iterable

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.settings import documents

MAX_CLOCK_RATE_ERROR_RATIO = (
    0.05  # maximum relative rate difference of two clocks
)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Lease on one resource that a daemon has granted.

    Attributes:
        holder: the process that owns the lease.
        previous_holder: the process that owned the lease before it, or empty.
        granted_at: monotonic time at which the holder was first granted the
            lease.
        expires_at: monotonic time at which the lease expires.
    """

    holder: messages.DaemonIdentity
    previous_holder: str
    granted_at: float
    expires_at: float


class LeaseGrantor:
    """Grants leases on behalf of one daemon."""

    def __init__(self, settings: documents.ClusterSettings, started_at: float):
        self._duration_seconds = settings.lease * (
            1 + MAX_CLOCK_RATE_ERROR_RATIO
        )
        self._first_grant_at = started_at + self._duration_seconds
        self._leases: dict[str, LeaseGrant] = {}

    def handle_request(
        self,
        sender: messages.DaemonIdentity,
        request: messages.LeaseRequest,
        now: float,
    ) -> messages.LeaseReply:
        """Grants or refuses the requested leases and returns the reply."""
        granted = []
        previous = {}
        refused = {}
        for resource in request.resources:
            lease = self._leases.get(resource)
            if now < self._first_grant_at:
                refused[resource] = ""
                continue
            if self._is_held_by_other(lease, sender, now):
                assert lease is not None
                refused[resource] = str(lease.holder)
                continue
            granted_lease = self._grant(resource, lease, sender, now)
            granted.append(resource)
            if (
                granted_lease.previous_holder
                and now - granted_lease.granted_at <= 2 * self._duration_seconds
            ):
                previous[resource] = granted_lease.previous_holder
        return messages.LeaseReply(
            round=request.round,
            granted=granted,
            previous_holders=previous,
            refused_holders=refused,
        )

    def handle_release(
        self, sender: messages.DaemonIdentity, release: messages.LeaseRelease
    ) -> None:
        """Ends the leases on resources that their holder releases."""
        for resource in release.resources:
            lease = self._leases.get(resource)
            if lease is None or lease.holder != sender:
                continue
            self._leases[resource] = dataclasses.replace(lease, expires_at=0.0)

    def _is_held_by_other(
        self,
        lease: LeaseGrant | None,
        sender: messages.DaemonIdentity,
        now: float,
    ) -> bool:
        if lease is None or lease.holder == sender:
            return False
        return now < lease.expires_at

    def _grant(
        self,
        resource: str,
        lease: LeaseGrant | None,
        sender: messages.DaemonIdentity,
        now: float,
    ) -> LeaseGrant:
        expires_at = now + self._duration_seconds
        if lease is not None and lease.holder == sender:
            granted_lease = dataclasses.replace(lease, expires_at=expires_at)
        else:
            previous = str(lease.holder) if lease is not None else ""
            granted_lease = LeaseGrant(sender, previous, now, expires_at)
        self._leases[resource] = granted_lease
        return granted_lease


@dataclasses.dataclass(slots=True)
class _Claim:
    """State of the lease on one resource that a daemon requests.

    Attributes:
        sent_at_by_peer: for each granting daemon, the time at which the latest
            request that it granted was sent.
        previous_by_peer: for each granting daemon, the previous holder that it
            named.
        since: time since which a quorum has granted the lease, or `None`.
    """

    sent_at_by_peer: dict[ids.DaemonId, float]
    previous_by_peer: dict[ids.DaemonId, str]
    since: float | None = None


class LeaseHolder:
    """Requests and renews the leases on the resources of one daemon.

    The number of the first round should be random, so that replies to an
    earlier process of the daemon are ignored.
    """

    def __init__(
        self, settings: documents.ClusterSettings, first_round: int = 0
    ):
        self._duration_seconds = settings.lease
        self._quorum = settings.entry_vms // 2 + 1
        self._claims: dict[str, _Claim] = {}
        self._round = first_round
        self._sent_at_by_round: dict[int, float] = {}
        self._last_request_at = float("-inf")

    @property
    def requested_resources(self) -> frozenset[str]:
        """The resources whose leases the daemon requests."""
        return frozenset(self._claims)

    def add_resources(self, resources: Iterable[str]) -> None:
        """Adds resources to those whose leases the daemon requests."""
        for resource in resources:
            self._claims.setdefault(resource, _Claim({}, {}))

    def drop(self, resource: str) -> None:
        """Stops owning a resource and requesting its lease."""
        self._claims.pop(resource, None)

    def next_request(self, now: float) -> messages.LeaseRequest | None:
        """Returns the request to send to all daemons, or `None` if none is due.

        Leases that are held are renewed after a third of their duration.
        """
        if not self._claims:
            return None
        all_held = all(self._expires_at(c) > now for c in self._claims.values())
        if (
            all_held
            and now - self._last_request_at < self._duration_seconds / 3
        ):
            return None
        self._last_request_at = now
        self._round += 1
        self._sent_at_by_round[self._round] = now
        for old_round in list(self._sent_at_by_round):
            if now - self._sent_at_by_round[old_round] > self._duration_seconds:
                del self._sent_at_by_round[old_round]
        return messages.LeaseRequest(
            round=self._round, resources=sorted(self._claims)
        )

    def handle_reply(
        self, peer: ids.DaemonId, reply: messages.LeaseReply, now: float
    ) -> None:
        """Records the grants of a peer, valid from the time of the request."""
        sent_at = self._sent_at_by_round.get(reply.round)
        if sent_at is None:
            return
        for resource in reply.granted:
            claim = self._claims.get(resource)
            if claim is None:
                continue
            was_held = self._expires_at(claim) > now
            latest = max(sent_at, claim.sent_at_by_peer.get(peer, sent_at))
            claim.sent_at_by_peer[peer] = latest
            if resource in reply.previous_holders:
                claim.previous_by_peer[peer] = reply.previous_holders[resource]
            if not was_held:
                claim.since = now if self._expires_at(claim) > now else None

    def is_held(self, resource: str, now: float) -> bool:
        """Whether the daemon owns the resource at this time."""
        claim = self._claims.get(resource)
        return claim is not None and self._expires_at(claim) > now

    def held_since(self, resource: str, now: float) -> float | None:
        """Returns the time since which it has owned the resource, or `None`."""
        if not self.is_held(resource, now):
            return None
        return self._claims[resource].since

    def previous_holders(self, resource: str, now: float) -> set[str]:
        """Returns the previous owners that the current grants name."""
        claim = self._claims.get(resource)
        if claim is None:
            return set()
        oldest_sent_at = now - self._duration_seconds
        return {
            claim.previous_by_peer[peer]
            for peer, sent_at in claim.sent_at_by_peer.items()
            if sent_at > oldest_sent_at and peer in claim.previous_by_peer
        }

    def _expires_at(self, claim: _Claim) -> float:
        sent_times = sorted(claim.sent_at_by_peer.values(), reverse=True)
        if len(sent_times) < self._quorum:
            return float("-inf")
        return sent_times[self._quorum - 1] + self._duration_seconds
