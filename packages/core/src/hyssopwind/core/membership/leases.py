"""Leases on resources, backed by a quorum of daemons without shared storage.

A daemon owns a resource while a quorum of daemons backs it. A peer backs one
owner of a resource at a time, for a bounded time on its own monotonic clock,
and a daemon that has just started backs nobody for one such time, because it
may have forgotten whom it backed. The owner counts from the moment it sent
its request, the peer from the moment it received it, so the owner stops first.

The quorum comes from the settings and not from a list of live daemons, so
lists that differ do not matter. Two quorums share a daemon as long as fewer
than twice the quorum run at a time.

References:
    C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant mechanism
    for distributed file cache consistency", SOSP 1989.
"""

import dataclasses
from collections.abc import Iterable

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.settings import documents

CLOCK_RATE_ERROR = 0.05  # largest relative difference of two monotonic clocks


@dataclasses.dataclass(frozen=True, slots=True)
class Backing:
    """Whom a peer backs for one resource.

    Attributes:
        holder: the owner that is backed.
        previous: the owner that was backed before, or empty.
        since: monotonic time from which on the holder is backed.
        until: monotonic time at which the backing ends.
    """

    holder: messages.Sender
    previous: str
    since: float
    until: float


class LeaseBacker:
    """Backs owners on behalf of one daemon."""

    def __init__(self, settings: documents.ClusterSettings, started: float):
        self._duration = settings.lease * (1 + CLOCK_RATE_ERROR)
        self._ready = started + self._duration
        self._backings: dict[str, Backing] = {}

    def answer(
        self,
        sender: messages.Sender,
        request: messages.LeaseRequest,
        now: float,
    ) -> messages.LeaseReply:
        """Returns which of the resources the sender may count on."""
        granted = []
        previous = {}
        refused = {}
        for resource in request.resources:
            backing = self._backings.get(resource)
            if now < self._ready:
                refused[resource] = ""
                continue
            if self._is_taken(backing, sender, now):
                assert backing is not None
                refused[resource] = str(backing.holder)
                continue
            made = self._back(resource, backing, sender, now)
            granted.append(resource)
            if made.previous and now - made.since <= 2 * self._duration:
                previous[resource] = made.previous
        return messages.LeaseReply(
            round=request.round,
            granted=granted,
            previous=previous,
            refused=refused,
        )

    def release(
        self, sender: messages.Sender, release: messages.LeaseRelease
    ) -> None:
        """Ends the backing of an owner that gave up resources."""
        for resource in release.resources:
            backing = self._backings.get(resource)
            if backing is None or backing.holder != sender:
                continue
            self._backings[resource] = dataclasses.replace(backing, until=0.0)

    def _is_taken(
        self, backing: Backing | None, sender: messages.Sender, now: float
    ) -> bool:
        if backing is None or backing.holder == sender:
            return False
        return now < backing.until

    def _back(
        self,
        resource: str,
        backing: Backing | None,
        sender: messages.Sender,
        now: float,
    ) -> Backing:
        until = now + self._duration
        if backing is not None and backing.holder == sender:
            made = dataclasses.replace(backing, until=until)
        else:
            previous = str(backing.holder) if backing is not None else ""
            made = Backing(sender, previous, now, until)
        self._backings[resource] = made
        return made


@dataclasses.dataclass(slots=True)
class _Claim:
    """State of one wanted resource at its would-be owner."""

    backed_from: dict[ids.DaemonId, float]
    previous: dict[ids.DaemonId, str]
    since: float | None = None


class LeaseHolder:
    """Gathers the backing for the resources that one daemon should own.

    Rounds start at a random number, so that a reply to an earlier life of the
    daemon counts for nothing.
    """

    def __init__(
        self, settings: documents.ClusterSettings, first_round: int = 0
    ):
        self._duration = settings.lease
        self._quorum = settings.entry_vms // 2 + 1
        self._claims: dict[str, _Claim] = {}
        self._round = first_round
        self._sent: dict[int, float] = {}
        self._requested = float("-inf")

    @property
    def wanted(self) -> frozenset[str]:
        """The resources that the daemon asks for."""
        return frozenset(self._claims)

    def want(self, resources: Iterable[str]) -> None:
        """Adds resources to those that the daemon asks for."""
        for resource in resources:
            self._claims.setdefault(resource, _Claim({}, {}))

    def drop(self, resource: str) -> None:
        """Gives up a resource at once."""
        self._claims.pop(resource, None)

    def next_request(self, now: float) -> messages.LeaseRequest | None:
        """Returns the request that is due, for every peer and for itself.

        Leases that are held are renewed after a third of their duration.
        """
        if not self._claims:
            return None
        is_held = all(self._until(c) > now for c in self._claims.values())
        if is_held and now - self._requested < self._duration / 3:
            return None
        self._requested = now
        self._round += 1
        self._sent[self._round] = now
        for old in list(self._sent):
            if now - self._sent[old] > self._duration:
                del self._sent[old]
        return messages.LeaseRequest(
            round=self._round, resources=sorted(self._claims)
        )

    def take_reply(
        self, peer: ids.DaemonId, reply: messages.LeaseReply, now: float
    ) -> None:
        """Counts the backing of a peer from the time of the request on."""
        sent = self._sent.get(reply.round)
        if sent is None:
            return
        for resource in reply.granted:
            claim = self._claims.get(resource)
            if claim is None:
                continue
            was_held = self._until(claim) > now
            newest = max(sent, claim.backed_from.get(peer, sent))
            claim.backed_from[peer] = newest
            if resource in reply.previous:
                claim.previous[peer] = reply.previous[resource]
            if not was_held:
                claim.since = now if self._until(claim) > now else None

    def holds(self, resource: str, now: float) -> bool:
        """Whether the daemon owns the resource at this moment."""
        claim = self._claims.get(resource)
        return claim is not None and self._until(claim) > now

    def held_since(self, resource: str, now: float) -> float | None:
        """Returns since when it owns the resource without a break."""
        if not self.holds(resource, now):
            return None
        return self._claims[resource].since

    def previous_holders(self, resource: str, now: float) -> set[str]:
        """Returns the owners before, as its present backers name them."""
        claim = self._claims.get(resource)
        if claim is None:
            return set()
        limit = now - self._duration
        return {
            claim.previous[peer]
            for peer, sent in claim.backed_from.items()
            if sent > limit and peer in claim.previous
        }

    def _until(self, claim: _Claim) -> float:
        starts = sorted(claim.backed_from.values(), reverse=True)
        if len(starts) < self._quorum:
            return float("-inf")
        return starts[self._quorum - 1] + self._duration
