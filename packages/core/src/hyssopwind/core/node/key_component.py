"""The component of a node that owns keys: leases, tickets, transfers."""

import dataclasses
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core.membership import leases
from hyssopwind.core.node import context
from hyssopwind.core.node import events
from hyssopwind.core.node import timestamp
from hyssopwind.core.ownership import codec
from hyssopwind.core.ownership import key_records
from hyssopwind.core.ownership import partitions
from hyssopwind.core.ownership import tickets

ABANDONED_AFTER_SECONDS = 30.0  # without an outcome from the previous owner
PRUNE_INTERVAL_SECONDS = 5.0
MAX_KEY_CHARACTERS = 256
# Lease rounds and transfer nonces start at a random number of this size, so
# that replies to an earlier start of the daemon match no request.
FIRST_NUMBER_BITS = 48


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Another daemon decides whether the request may run.

    Attributes:
        daemon: the daemon.
        callers_address: its address for callers.
        start_id: start identity that the daemon must still have; empty for
            any.
    """

    daemon: ids.DaemonId
    callers_address: str
    start_id: str


KeyDecision: TypeAlias = key_records.ClaimDecision | Forward


class KeyComponent:
    """Decides whether a non-idempotent request may run here."""

    def __init__(self, node_context: context.NodeContext, now: float):
        self._context = node_context
        settings = node_context.settings
        self._lease_grantor = leases.LeaseGrantor(settings.cluster, now)
        self._lease_holder = leases.LeaseHolder(
            settings.cluster,
            node_context.random_source.getrandbits(FIRST_NUMBER_BITS),
        )
        self._key_records = key_records.KeyRecordStore(
            settings.keys, node_context.monitor
        )
        self._ticket_issuer = tickets.TicketIssuer(
            node_context.identity, settings.keys
        )
        self._partitions = partitions.KeyPartitions(
            settings.cluster,
            settings.keys,
            self._lease_holder,
            self._key_records,
            node_context.random_source.getrandbits(FIRST_NUMBER_BITS),
        )
        self._requested_pools: frozenset[str] = frozenset()
        self._last_prune_time = now

    @property
    def key_record_store(self) -> key_records.KeyRecordStore:
        """The records of used keys."""
        return self._key_records

    @property
    def lease_holder(self) -> leases.LeaseHolder:
        """The leases of this daemon."""
        return self._lease_holder

    @property
    def key_partitions(self) -> partitions.KeyPartitions:
        """The partitions of the keys."""
        return self._partitions

    def issue_ticket(self, now: float) -> str:
        """Returns a new ticket."""
        return self._ticket_issuer.issue(now)

    def claim_ticket(
        self, text: str, fingerprint: ids.Fingerprint, now: float
    ) -> KeyDecision:
        """Decides whether a request with a ticket may run.

        The daemon that issued the ticket decides; others forward the request.
        """
        ticket = self._ticket_issuer.read(text)
        if ticket is tickets.BadTicket.UNREADABLE:
            return outcomes.NotRun(outcomes.Reason.MALFORMED, ticket.value)
        if isinstance(ticket, tickets.BadTicket):
            return outcomes.Unknown(outcomes.Reason.MALFORMED, ticket.value)
        if ticket.issuer != self._context.identity:
            return self._forward_ticket(ticket, now)
        stored_key = f"{partitions.TICKET_PREFIX}{ticket.number}"
        if (
            self._key_records.find(stored_key) is None
            and now >= ticket.expires_at
        ):
            return outcomes.Unknown(
                outcomes.Reason.KEY_EXPIRED, "the ticket has expired"
            )
        return self._key_records.claim(
            stored_key, fingerprint, now, keep_until=ticket.expires_at
        )

    def claim_key(
        self,
        key: str,
        fingerprint: ids.Fingerprint,
        timestamps: timestamp.Timestamps,
        is_forwarded: bool,
    ) -> KeyDecision:
        """Decides whether a request with a caller's own key may run.

        The owner of the key's partition decides; others forward the request,
        unless it was forwarded to them already.
        """
        if not 0 < len(key) <= MAX_KEY_CHARACTERS:
            return outcomes.NotRun(
                outcomes.Reason.MALFORMED,
                f"a key has 1 to {MAX_KEY_CHARACTERS} characters",
            )
        resource = partitions.partition_of(key)
        if is_forwarded or self._lease_holder.is_held(resource, timestamps.now):
            return self._partitions.claim(
                key, fingerprint, timestamps.now, timestamps.wall
            )
        owner = self._context.membership.owner_of(resource, timestamps.now)
        if owner is None or owner == self._context.identity.daemon:
            return self._partitions.claim(
                key, fingerprint, timestamps.now, timestamps.wall
            )
        peer = self._context.membership.find_live_peer(owner, timestamps.now)
        if peer is None:
            return _owner_unknown()
        return Forward(owner, peer.heartbeat.callers_address, "")

    def try_mark_sent(self, stored_key: str, now: float) -> bool:
        """Marks a claimed request as sent; returns whether it may be sent."""
        if stored_key.startswith(partitions.CALLER_KEY_PREFIX):
            key = stored_key.removeprefix(partitions.CALLER_KEY_PREFIX)
            if not self._partitions.may_send(key, now):
                return False
        return self._key_records.mark_sent(stored_key)

    def complete(
        self, stored_key: str, outcome: outcomes.Outcome, now: float
    ) -> None:
        """Records the outcome of a claimed request; sends it to a new owner."""
        record = self._key_records.find(stored_key)
        self._key_records.complete(stored_key, outcome, now)
        self._context.emit(events.KeyCompleted(stored_key, outcome))
        successor = self._partitions.successor_of(stored_key)
        if successor is None or record is None:
            return
        encoded_outcome = codec.encode_outcome(outcome)
        message = messages.KeyCompleted(
            key=stored_key,
            fingerprint=record.fingerprint,
            encoded_outcome=encoded_outcome,
        )
        self._context.send(successor, message)

    def set_requested_pools(self, resources: frozenset[str]) -> None:
        """Sets the pools, as resources, whose leases this daemon requests."""
        for resource in self._requested_pools - resources:
            self._lease_holder.drop(resource)
        self._requested_pools = resources
        self._lease_holder.add_resources(resources)

    def tick(self, timestamps: timestamp.Timestamps) -> None:
        """Requests leases that are due and prunes old key records."""
        membership = self._context.membership
        own_id = self._context.identity.daemon
        if membership.owner_candidates(timestamps.now):
            assigned = set(
                partitions.assigned_partitions(
                    membership, own_id, timestamps.now
                )
            )
            self._lease_holder.add_resources(assigned)
            self._drop_unassigned(assigned, timestamps)
        request = self._lease_holder.next_request(timestamps.now)
        if request is not None:
            self._context.broadcast(request, timestamps.now)
            self._context.send(own_id, request)
        if timestamps.now - self._last_prune_time >= PRUNE_INTERVAL_SECONDS:
            self._last_prune_time = timestamps.now
            self._key_records.prune(timestamps.now)
            self._complete_abandoned(timestamps.now)

    def handle_lease_request(
        self,
        sender: messages.DaemonIdentity,
        request: messages.LeaseRequest,
        now: float,
    ) -> None:
        """Replies to the lease request of a peer or of this daemon itself."""
        reply = self._lease_grantor.handle_request(sender, request, now)
        self._context.send(sender.daemon, reply)

    def handle_lease_reply(
        self,
        sender: messages.DaemonIdentity,
        reply: messages.LeaseReply,
        timestamps: timestamp.Timestamps,
    ) -> None:
        """Counts granted leases and requests transfers from current owners."""
        self._lease_holder.handle_reply(sender.daemon, reply, timestamps.now)
        for resource in reply.granted:
            if resource in partitions.ALL_PARTITIONS:
                self._partitions.record_lease_state(
                    resource, timestamps.now, timestamps.wall
                )
        for resource, holder in reply.refused_holders.items():
            self._request_transfer(resource, holder, timestamps.now)

    def handle_lease_release(
        self, sender: messages.DaemonIdentity, release: messages.LeaseRelease
    ) -> None:
        """Frees the resources that a peer or this daemon released."""
        self._lease_grantor.handle_release(sender, release)

    def handle_transfer_request(
        self,
        sender: messages.DaemonIdentity,
        request: messages.TransferRequest,
        timestamps: timestamp.Timestamps,
    ) -> None:
        """Transfers a partition to the daemon that should own it."""
        new_owner = self._context.membership.owner_of(
            request.resource, timestamps.now
        )
        if new_owner != sender.daemon:
            return
        transfer = self._partitions.hand_over(
            sender.daemon, request, timestamps.now, timestamps.wall
        )
        if transfer is None:
            return
        self._context.send(sender.daemon, transfer)
        self._broadcast_release(request.resource, timestamps.now)

    def handle_transfer(
        self,
        sender: messages.DaemonIdentity,
        transfer: messages.Transfer,
        now: float,
    ) -> None:
        """Handles a partition that its previous owner transfers."""
        self._partitions.handle_transfer(sender, transfer, now)

    def handle_key_completed(
        self, message: messages.KeyCompleted, now: float
    ) -> None:
        """Handles the outcome of a request that the previous owner ran."""
        outcome = codec.decode_transferred(message.encoded_outcome)
        self._key_records.complete(message.key, outcome, now)
        self._context.emit(events.KeyCompleted(message.key, outcome))

    def held_partitions(self, now: float) -> list[str]:
        """Returns the partitions that this daemon owns now."""
        return [
            resource
            for resource in partitions.ALL_PARTITIONS
            if self._lease_holder.is_held(resource, now)
        ]

    def may_run_new_keys(self, timestamps: timestamp.Timestamps) -> bool:
        """Returns whether this daemon may run new keys of all its partitions.

        Its partitions are those that it should own by the membership.
        """
        margin_seconds = self._partitions.creation_time_margin_seconds
        assigned = partitions.assigned_partitions(
            self._context.membership,
            self._context.identity.daemon,
            timestamps.now,
        )
        for resource in assigned:
            self._partitions.record_lease_state(
                resource, timestamps.now, timestamps.wall
            )
            complete_since = self._partitions.complete_since(resource)
            if (
                complete_since is None
                or timestamps.wall <= complete_since + margin_seconds
            ):
                return False
        return True

    def _forward_ticket(
        self, ticket: tickets.Ticket, now: float
    ) -> KeyDecision:
        issuer = ticket.issuer
        last_peer = self._context.membership.find_peer(issuer.daemon)
        is_replaced = last_peer is not None and last_peer.sender != issuer
        if is_replaced or issuer.daemon == self._context.identity.daemon:
            return _issuer_gone()
        peer = self._context.membership.find_live_peer(issuer.daemon, now)
        if peer is None:
            return _owner_unknown()
        return Forward(
            issuer.daemon, peer.heartbeat.callers_address, issuer.start_id
        )

    def _drop_unassigned(
        self, assigned: set[str], timestamps: timestamp.Timestamps
    ) -> None:
        """Stops requesting leases that other daemons should hold.

        A lease that this daemon still holds stays until it is transferred.
        """
        for resource in self._lease_holder.requested_resources:
            if resource in assigned or resource in self._requested_pools:
                continue
            if self._lease_holder.is_held(resource, timestamps.now):
                continue
            self._lease_holder.drop(resource)

    def _request_transfer(self, resource: str, holder: str, now: float) -> None:
        if resource not in partitions.ALL_PARTITIONS or not holder:
            return
        daemon = ids.DaemonId(holder.rpartition("/")[0])
        if daemon == self._context.identity.daemon:
            return
        request = self._partitions.request_transfer(resource, now)
        if request is not None:
            self._context.send(daemon, request)

    def _broadcast_release(self, resource: str, now: float) -> None:
        release = messages.LeaseRelease(resources=[resource])
        self._context.broadcast(release, now)
        self._context.send(self._context.identity.daemon, release)

    def _complete_abandoned(self, now: float) -> None:
        outcome = outcomes.Unknown(
            outcomes.Reason.KEY_OWNER_GONE,
            "the daemon that ran the request is gone",
        )
        for key in list(
            self._key_records.abandoned_keys(now, ABANDONED_AFTER_SECONDS)
        ):
            self._key_records.complete(key, outcome, now)


def _owner_unknown() -> outcomes.Unknown:
    return outcomes.Unknown(
        outcomes.Reason.KEY_OWNER_UNKNOWN,
        "the daemon that decides about the key does not answer",
        partitions.OWNER_RETRY_AFTER_SECONDS,
    )


def _issuer_gone() -> outcomes.Unknown:
    return outcomes.Unknown(
        outcomes.Reason.KEY_OWNER_GONE,
        "the daemon that issued the ticket is gone; nothing runs any more",
    )
