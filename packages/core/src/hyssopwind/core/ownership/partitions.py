"""Partitions of the idempotency keys, and the moving of their memory.

The owner of a partition holds a lease on it. It may run a key that it does
not remember only if no earlier owner can have seen that key: the key was born
after this owner took over, or the earlier owner handed over its memory.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core.membership import leases
from hyssopwind.core.membership import view
from hyssopwind.core.ownership import births
from hyssopwind.core.ownership import ledger
from hyssopwind.core.settings import documents

PARTITIONS = 64
OWN_KEY_PREFIX = "k:"
TICKET_PREFIX = "t:"
OWNER_RETRY_AFTER = 1.0  # seconds


def partition_of(key: str) -> str:
    """Returns the resource that owns an idempotency key.

    Examples:
        >>> partition_of("a") == partition_of("a")
        True
    """
    return f"keys/{xxhash.xxh3_64_intdigest(key.encode()) % PARTITIONS}"


ALL_PARTITIONS = tuple(f"keys/{number}" for number in range(PARTITIONS))


@dataclasses.dataclass(frozen=True, slots=True)
class _Completeness:
    held_since: float
    complete_since: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    holder: messages.Sender
    transfer: messages.Transfer
    requested: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    nonce: int
    requested: float


class KeyPartitions:
    """The partitions that one daemon owns, and since when its memory is whole.

    The clocks are arguments: `now` is monotonic, `wall` is Unix time; both in
    seconds.
    """

    def __init__(
        self,
        cluster: documents.ClusterSettings,
        keys: documents.KeySettings,
        holder: leases.LeaseHolder,
        memory: ledger.KeyLedger,
        first_nonce: int = 0,
    ):
        self._cluster = cluster
        self._keys = keys
        self._holder = holder
        self._memory = memory
        self._complete: dict[str, _Completeness] = {}
        self._pending: dict[str, _Pending] = {}
        self._received: dict[str, _Received] = {}
        self._successors: dict[str, ids.DaemonId] = {}
        self._nonce = first_nonce

    @property
    def birth_margin(self) -> float:
        """Seconds by which two readings of a birth may be apart.

        The caller's clock and the owner's each err by the clock error.
        """
        return 2 * self._cluster.clock_error

    def claim(
        self, key: str, fingerprint: ids.Fingerprint, now: float, wall: float
    ) -> ledger.Claim:
        """Decides what becomes of a request with a caller's own key."""
        resource = partition_of(key)
        self.refresh(resource, now, wall)
        if not self._holder.holds(resource, now):
            return outcomes.Unknown(
                outcomes.Reason.KEY_OWNER_UNKNOWN,
                "this daemon holds no lease on the key",
                OWNER_RETRY_AFTER,
            )
        stored = OWN_KEY_PREFIX + key
        if self._memory.find(stored) is None:
            refusal = self._check_new(key, resource, wall)
            if refusal is not None:
                return refusal
        return self._memory.claim(stored, fingerprint, now)

    def may_send(self, key: str, now: float) -> bool:
        """Whether the lease on a key that was claimed is valid now."""
        return self._holder.holds(partition_of(key), now)

    def refresh(self, resource: str, now: float, wall: float) -> None:
        """Notes an acquisition or a loss of a partition."""
        since = self._holder.held_since(resource, now)
        known = self._complete.get(resource)
        if since is None:
            self._complete.pop(resource, None)
            return
        if known is not None and known.held_since == since:
            return
        complete_since = wall - (now - since)
        received = self._received.pop(resource, None)
        if received is not None and self._is_unbroken(received, resource, now):
            complete_since = received.transfer.complete_since
        self._complete[resource] = _Completeness(since, complete_since)

    def complete_since(self, resource: str) -> float | None:
        """Returns the wall time since which the memory is whole."""
        known = self._complete.get(resource)
        return None if known is None else known.complete_since

    def request_transfer(
        self, resource: str, now: float
    ) -> messages.TransferRequest | None:
        """Returns the request to the present owner, unless one is pending."""
        pending = self._pending.get(resource)
        spacing = self._cluster.heartbeat
        if pending is not None and now - pending.requested < spacing:
            return None
        self._nonce += 1
        self._pending[resource] = _Pending(self._nonce, now)
        return messages.TransferRequest(nonce=self._nonce, resource=resource)

    def hand_over(
        self,
        successor: ids.DaemonId,
        request: messages.TransferRequest,
        now: float,
        wall: float,
    ) -> messages.Transfer | None:
        """Gives up a partition and returns its memory for the successor.

        After this call the daemon runs no further key of the partition.
        """
        resource = request.resource
        self.refresh(resource, now, wall)
        known = self._complete.get(resource)
        if known is None:
            return None
        self._holder.drop(resource)
        self._complete.pop(resource)
        self._successors[resource] = successor
        records = self._memory.export(
            lambda stored: _belongs_to(stored, resource), now
        )
        return messages.Transfer(
            nonce=request.nonce,
            resource=resource,
            complete_since=known.complete_since,
            records=records,
        )

    def take_transfer(
        self, holder: messages.Sender, transfer: messages.Transfer, now: float
    ) -> None:
        """Takes the memory of the owner before."""
        pending = self._pending.get(transfer.resource)
        if pending is None or pending.nonce != transfer.nonce:
            return
        del self._pending[transfer.resource]
        self._memory.take_over(transfer.records, now)
        self._received[transfer.resource] = _Received(
            holder, transfer, pending.requested
        )

    def successor_of(self, stored: str) -> ids.DaemonId | None:
        """Returns who took over the partition of a stored key, or `None`."""
        if not stored.startswith(OWN_KEY_PREFIX):
            return None
        resource = partition_of(stored.removeprefix(OWN_KEY_PREFIX))
        if resource in self._holder.wanted:
            return None
        return self._successors.get(resource)

    def _is_unbroken(
        self, received: _Received, resource: str, now: float
    ) -> bool:
        """Whether nobody owned the partition between predecessor and now."""
        if now - received.requested > self._cluster.lease:
            return False
        previous = self._holder.previous_holders(resource, now)
        return previous <= {str(received.holder)}

    def _check_new(
        self, key: str, resource: str, wall: float
    ) -> outcomes.Failure | None:
        complete_since = self._complete[resource].complete_since
        birth = births.read_birth(key)
        if birth is None:
            return self._check_opaque(complete_since, wall)
        error = self._cluster.clock_error
        if birth > wall + error:
            return outcomes.Unknown(
                outcomes.Reason.KEY_OWNER_UNKNOWN,
                "the key was born later than now",
                OWNER_RETRY_AFTER,
            )
        if wall > birth + self._keys.retention - self.birth_margin:
            return outcomes.Unknown(
                outcomes.Reason.KEY_EXPIRED,
                "the key is older than the memory of its outcome",
            )
        if birth <= complete_since + self.birth_margin:
            return _owner_gone()
        return None

    def _check_opaque(
        self, complete_since: float, wall: float
    ) -> outcomes.Failure | None:
        if wall - complete_since > self._keys.opaque_key_window:
            return None
        return _owner_gone()


def _owner_gone() -> outcomes.Unknown:
    return outcomes.Unknown(
        outcomes.Reason.KEY_OWNER_GONE,
        "an owner before this one may have run the key; nothing runs any more",
    )


def _belongs_to(stored: str, resource: str) -> bool:
    if not stored.startswith(OWN_KEY_PREFIX):
        return False
    return partition_of(stored.removeprefix(OWN_KEY_PREFIX)) == resource


def wanted_partitions(
    members: view.MembershipView, self_id: ids.DaemonId, now: float
) -> Iterable[str]:
    """Yields the partitions that a daemon should own."""
    for resource in ALL_PARTITIONS:
        if members.owner_of(resource, now) == self_id:
            yield resource
