"""Partitions of the idempotency keys and the handover of their records.

The owner of a partition holds a lease on it. It may run a request whose key has
no record only if no earlier owner can have run a request with that key: the key
was created after this owner acquired the lease, or the earlier owner handed
over its records.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core.membership import leases
from hyssopwind.core.membership import membership_view
from hyssopwind.core.ownership import key_records
from hyssopwind.core.ownership import key_timestamps
from hyssopwind.core.settings import documents

PARTITION_COUNT = 64
CALLER_KEY_PREFIX = "k:"
TICKET_PREFIX = "t:"
OWNER_RETRY_AFTER_SECONDS = 1.0


def partition_of(key: str) -> str:
    """Returns the resource name of the partition of an idempotency key.

    Examples:
        >>> partition_of("a") == partition_of("a")
        True
    """
    return f"keys/{xxhash.xxh3_64_intdigest(key.encode()) % PARTITION_COUNT}"


ALL_PARTITIONS = tuple(f"keys/{number}" for number in range(PARTITION_COUNT))


@dataclasses.dataclass(frozen=True, slots=True)
class _Completeness:
    """Time since which the records of a held partition are complete.

    Attributes:
        held_since: monotonic time of the acquisition of the lease.
        complete_since: Unix time since which each key whose request ran has a
            record.
    """

    held_since: float
    complete_since: float


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedTransfer:
    """A transfer from the previous owner.

    Attributes:
        previous_owner: the process that handed over the partition.
        transfer: the transfer.
        requested_at: monotonic time of the transfer request.
    """

    previous_owner: messages.DaemonIdentity
    transfer: messages.Transfer
    requested_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingTransfer:
    """A transfer request without an answer.

    Attributes:
        nonce: nonce of the request.
        requested_at: monotonic time of the request.
    """

    nonce: int
    requested_at: float


class KeyPartitions:
    """The partitions that one daemon owns, with their records.

    Times are arguments in seconds: `now` is monotonic, `wall` is Unix time.
    """

    def __init__(
        self,
        cluster: documents.ClusterSettings,
        keys: documents.KeySettings,
        lease_holder: leases.LeaseHolder,
        records: key_records.KeyRecordStore,
        first_nonce: int = 0,
    ):
        self._cluster = cluster
        self._keys = keys
        self._lease_holder = lease_holder
        self._records = records
        self._completeness: dict[str, _Completeness] = {}
        self._pending_transfers: dict[str, _PendingTransfer] = {}
        self._received_transfers: dict[str, _ReceivedTransfer] = {}
        self._successors: dict[str, ids.DaemonId] = {}
        self._nonce = first_nonce

    @property
    def creation_time_margin_seconds(self) -> float:
        """Seconds by which two clocks may differ at the same time.

        The clocks of the caller and of the owner may both be off by the clock
        error.
        """
        return 2 * self._cluster.clock_error

    def claim(
        self, key: str, fingerprint: ids.Fingerprint, now: float, wall: float
    ) -> key_records.ClaimDecision:
        """Decides whether a request with its caller's key may run now."""
        resource = partition_of(key)
        self.record_lease_state(resource, now, wall)
        if not self._lease_holder.is_held(resource, now):
            return outcomes.Unknown(
                outcomes.Reason.KEY_OWNER_UNKNOWN,
                "this daemon holds no lease on the key",
                OWNER_RETRY_AFTER_SECONDS,
            )
        stored_key = CALLER_KEY_PREFIX + key
        if self._records.find(stored_key) is None:
            refusal = self._check_new(key, resource, wall)
            if refusal is not None:
                return refusal
        return self._records.claim(stored_key, fingerprint, now)

    def may_send(self, key: str, now: float) -> bool:
        """Returns whether the lease on the partition of a key is valid now."""
        return self._lease_holder.is_held(partition_of(key), now)

    def record_lease_state(
        self, resource: str, now: float, wall: float
    ) -> None:
        """Records the acquisition or loss of a partition."""
        held_since = self._lease_holder.held_since(resource, now)
        completeness = self._completeness.get(resource)
        if held_since is None:
            self._completeness.pop(resource, None)
            return
        if completeness is not None and completeness.held_since == held_since:
            return
        complete_since = wall - (now - held_since)
        received = self._received_transfers.pop(resource, None)
        if received is not None and self._is_direct_successor(
            received, resource, now
        ):
            complete_since = received.transfer.complete_since
        self._completeness[resource] = _Completeness(held_since, complete_since)

    def complete_since(self, resource: str) -> float | None:
        """Returns the Unix time since which the records are complete.

        It is `None` if this daemon does not own the partition.
        """
        completeness = self._completeness.get(resource)
        return None if completeness is None else completeness.complete_since

    def request_transfer(
        self, resource: str, now: float
    ) -> messages.TransferRequest | None:
        """Returns a transfer request for the present owner.

        It is `None` if one was made within the last heartbeat interval and is
        not answered yet.
        """
        pending = self._pending_transfers.get(resource)
        min_interval = self._cluster.heartbeat
        if pending is not None and now - pending.requested_at < min_interval:
            return None
        self._nonce += 1
        self._pending_transfers[resource] = _PendingTransfer(self._nonce, now)
        return messages.TransferRequest(nonce=self._nonce, resource=resource)

    def hand_over(
        self,
        successor: ids.DaemonId,
        request: messages.TransferRequest,
        now: float,
        wall: float,
    ) -> messages.Transfer | None:
        """Releases a partition and returns its records for the successor.

        After this call the daemon runs no further request with a key of the
        partition.
        """
        resource = request.resource
        self.record_lease_state(resource, now, wall)
        completeness = self._completeness.get(resource)
        if completeness is None:
            return None
        self._lease_holder.drop(resource)
        self._completeness.pop(resource)
        self._successors[resource] = successor
        records = self._records.export_records(
            lambda stored_key: _belongs_to(stored_key, resource), now
        )
        return messages.Transfer(
            nonce=request.nonce,
            resource=resource,
            complete_since=completeness.complete_since,
            records=records,
        )

    def handle_transfer(
        self,
        previous_owner: messages.DaemonIdentity,
        transfer: messages.Transfer,
        now: float,
    ) -> None:
        """Stores the records of the previous owner, if they were requested."""
        pending = self._pending_transfers.get(transfer.resource)
        if pending is None or pending.nonce != transfer.nonce:
            return
        del self._pending_transfers[transfer.resource]
        self._records.import_records(transfer.records, now)
        self._received_transfers[transfer.resource] = _ReceivedTransfer(
            previous_owner, transfer, pending.requested_at
        )

    def successor_of(self, stored_key: str) -> ids.DaemonId | None:
        """Returns the successor that received the partition of a stored key.

        It is `None` if there is none, or if this daemon requests the lease on
        the partition again.
        """
        if not stored_key.startswith(CALLER_KEY_PREFIX):
            return None
        resource = partition_of(stored_key.removeprefix(CALLER_KEY_PREFIX))
        if resource in self._lease_holder.requested_resources:
            return None
        return self._successors.get(resource)

    def _is_direct_successor(
        self, received: _ReceivedTransfer, resource: str, now: float
    ) -> bool:
        """Returns whether no daemon can have owned the partition in between.

        Such a daemon may have run requests whose keys have no record here.
        """
        if now - received.requested_at > self._cluster.lease:
            return False
        previous = self._lease_holder.previous_holders(resource, now)
        return previous <= {str(received.previous_owner)}

    def _check_new(
        self, key: str, resource: str, wall: float
    ) -> outcomes.Failure | None:
        complete_since = self._completeness[resource].complete_since
        created_at = key_timestamps.read_creation_time(key)
        if created_at is None:
            return self._check_opaque_key(complete_since, wall)
        clock_error = self._cluster.clock_error
        if created_at > wall + clock_error:
            return outcomes.Unknown(
                outcomes.Reason.KEY_OWNER_UNKNOWN,
                "the key was born later than now",
                OWNER_RETRY_AFTER_SECONDS,
            )
        if (
            wall
            > created_at
            + self._keys.retention
            - self.creation_time_margin_seconds
        ):
            return outcomes.Unknown(
                outcomes.Reason.KEY_EXPIRED,
                "the key is older than the memory of its outcome",
            )
        if created_at <= complete_since + self.creation_time_margin_seconds:
            return _make_owner_gone_outcome()
        return None

    def _check_opaque_key(
        self, complete_since: float, wall: float
    ) -> outcomes.Failure | None:
        if wall - complete_since > self._keys.opaque_key_window:
            return None
        return _make_owner_gone_outcome()


def _make_owner_gone_outcome() -> outcomes.Unknown:
    return outcomes.Unknown(
        outcomes.Reason.KEY_OWNER_GONE,
        "an owner before this one may have run the key; nothing runs any more",
    )


def _belongs_to(stored_key: str, resource: str) -> bool:
    if not stored_key.startswith(CALLER_KEY_PREFIX):
        return False
    return partition_of(stored_key.removeprefix(CALLER_KEY_PREFIX)) == resource


def assigned_partitions(
    members: membership_view.MembershipView, self_id: ids.DaemonId, now: float
) -> Iterable[str]:
    """Yields the partitions that a daemon should own."""
    for resource in ALL_PARTITIONS:
        if members.owner_of(resource, now) == self_id:
            yield resource
