"""The part of a node that owns keys: leases, tickets, transfers."""

import dataclasses
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core.membership import leases
from hyssopwind.core.node import context
from hyssopwind.core.node import events
from hyssopwind.core.node import moments
from hyssopwind.core.ownership import codec
from hyssopwind.core.ownership import ledger
from hyssopwind.core.ownership import partitions
from hyssopwind.core.ownership import tickets

ABANDONED_AFTER = 30.0  # seconds without word of the predecessor
PRUNE_INTERVAL = 5.0  # seconds
MAX_KEY_CHARACTERS = 256
NUMBER_BITS = 48  # of the random number at which a life starts to count


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Another daemon decides about the request.

    Attributes:
        daemon: the daemon.
        callers: its address for callers.
        start: the start that must still be alive; empty for any.
    """

    daemon: ids.DaemonId
    callers: str
    start: str


KeyDecision: TypeAlias = ledger.Claim | Forward


class OwningPart:
    """Decides whether a non-idempotent request may run here."""

    def __init__(self, shared: context.Context, now: float):
        self._shared = shared
        settings = shared.settings
        self._backer = leases.LeaseBacker(settings.cluster, now)
        self._holder = leases.LeaseHolder(
            settings.cluster, shared.generator.getrandbits(NUMBER_BITS)
        )
        self._memory = ledger.KeyLedger(settings.keys, shared.monitor)
        self._issuer = tickets.TicketIssuer(shared.sender, settings.keys)
        self._partitions = partitions.KeyPartitions(
            settings.cluster,
            settings.keys,
            self._holder,
            self._memory,
            shared.generator.getrandbits(NUMBER_BITS),
        )
        self._wanted_pools: frozenset[str] = frozenset()
        self._pruned = now

    @property
    def memory(self) -> ledger.KeyLedger:
        """The memory of used keys."""
        return self._memory

    @property
    def holder(self) -> leases.LeaseHolder:
        """The leases of this daemon."""
        return self._holder

    @property
    def key_partitions(self) -> partitions.KeyPartitions:
        """The partitions of the keys."""
        return self._partitions

    def issue_ticket(self, now: float) -> str:
        """Returns a new ticket."""
        return self._issuer.issue(now)

    def claim_ticket(
        self, text: str, fingerprint: ids.Fingerprint, now: float
    ) -> KeyDecision:
        """Decides about a request with a ticket."""
        ticket = self._issuer.read(text)
        if ticket is tickets.BadTicket.UNREADABLE:
            return outcomes.NotRun(outcomes.Reason.MALFORMED, ticket.value)
        if isinstance(ticket, tickets.BadTicket):
            return outcomes.Unknown(outcomes.Reason.MALFORMED, ticket.value)
        if ticket.issuer != self._shared.sender:
            return self._forward_ticket(ticket, now)
        stored = f"{partitions.TICKET_PREFIX}{ticket.number}"
        if self._memory.find(stored) is None and now >= ticket.expires:
            return outcomes.Unknown(
                outcomes.Reason.KEY_EXPIRED, "the ticket has expired"
            )
        return self._memory.claim(
            stored, fingerprint, now, keep_until=ticket.expires
        )

    def claim_key(
        self,
        key: str,
        fingerprint: ids.Fingerprint,
        moment: moments.Moment,
        forwarded: bool,
    ) -> KeyDecision:
        """Decides about a request with a caller's own key."""
        if not 0 < len(key) <= MAX_KEY_CHARACTERS:
            return outcomes.NotRun(
                outcomes.Reason.MALFORMED,
                f"a key has 1 to {MAX_KEY_CHARACTERS} characters",
            )
        resource = partitions.partition_of(key)
        if forwarded or self._holder.holds(resource, moment.now):
            return self._partitions.claim(
                key, fingerprint, moment.now, moment.wall
            )
        owner = self._shared.members.owner_of(resource, moment.now)
        if owner is None or owner == self._shared.sender.daemon:
            return self._partitions.claim(
                key, fingerprint, moment.now, moment.wall
            )
        peer = self._shared.members.find_peer(owner, moment.now)
        if peer is None:
            return _no_owner()
        return Forward(owner, peer.heartbeat.callers, "")

    def may_send(self, stored: str, now: float) -> bool:
        """Whether a claimed request may leave for a server, once."""
        if stored.startswith(partitions.OWN_KEY_PREFIX):
            key = stored.removeprefix(partitions.OWN_KEY_PREFIX)
            if not self._partitions.may_send(key, now):
                return False
        return self._memory.mark_sent(stored)

    def settle(
        self, stored: str, outcome: outcomes.Outcome, now: float
    ) -> None:
        """Keeps how a claimed request ended, and tells a new owner."""
        record = self._memory.find(stored)
        self._memory.settle(stored, outcome, now)
        self._shared.emit(events.Settled(stored, outcome))
        successor = self._partitions.successor_of(stored)
        if successor is None or record is None:
            return
        answer = codec.encode_outcome(outcome)
        message = messages.Settled(
            key=stored, fingerprint=record.fingerprint, answer=answer
        )
        self._shared.send(successor, message)

    def want_pools(self, resources: frozenset[str]) -> None:
        """Takes the pools whose lease this daemon should hold."""
        for resource in self._wanted_pools - resources:
            self._holder.drop(resource)
        self._wanted_pools = resources
        self._holder.want(resources)

    def tick(self, moment: moments.Moment) -> None:
        """Asks for leases, and forgets what is old."""
        members = self._shared.members
        own = self._shared.sender.daemon
        if members.owners(moment.now):
            rightful = set(
                partitions.wanted_partitions(members, own, moment.now)
            )
            self._holder.want(rightful)
            self._drop_foreign(rightful, moment)
        request = self._holder.next_request(moment.now)
        if request is not None:
            self._shared.broadcast(request, moment.now)
            self._shared.send(own, request)
        if moment.now - self._pruned >= PRUNE_INTERVAL:
            self._pruned = moment.now
            self._memory.prune(moment.now)
            self._settle_abandoned(moment.now)

    def take_lease_request(
        self,
        sender: messages.Sender,
        request: messages.LeaseRequest,
        now: float,
    ) -> None:
        """Backs a peer, or this daemon itself."""
        reply = self._backer.answer(sender, request, now)
        self._shared.send(sender.daemon, reply)

    def take_lease_reply(
        self,
        sender: messages.Sender,
        reply: messages.LeaseReply,
        moment: moments.Moment,
    ) -> None:
        """Counts a backing, and asks a present owner to hand over."""
        self._holder.take_reply(sender.daemon, reply, moment.now)
        for resource in reply.granted:
            if resource in partitions.ALL_PARTITIONS:
                self._partitions.refresh(resource, moment.now, moment.wall)
        for resource, holder in reply.refused.items():
            self._request_transfer(resource, holder, moment.now)

    def take_lease_release(
        self, sender: messages.Sender, release: messages.LeaseRelease
    ) -> None:
        """Frees resources that a peer gave up."""
        self._backer.release(sender, release)

    def take_transfer_request(
        self,
        sender: messages.Sender,
        request: messages.TransferRequest,
        moment: moments.Moment,
    ) -> None:
        """Hands over a partition to the daemon that should own it."""
        rightful = self._shared.members.owner_of(request.resource, moment.now)
        if rightful != sender.daemon:
            return
        transfer = self._partitions.hand_over(
            sender.daemon, request, moment.now, moment.wall
        )
        if transfer is None:
            return
        self._shared.send(sender.daemon, transfer)
        self._broadcast_release(request.resource, moment.now)

    def take_transfer(
        self,
        sender: messages.Sender,
        transfer: messages.Transfer,
        now: float,
    ) -> None:
        """Takes the memory of the owner before."""
        self._partitions.take_transfer(sender, transfer, now)

    def take_settled(self, message: messages.Settled, now: float) -> None:
        """Takes the outcome of a request that a predecessor ran."""
        outcome = codec.decode_outcome(message.answer)
        self._memory.settle(message.key, outcome, now)
        self._shared.emit(events.Settled(message.key, outcome))

    def held_partitions(self, now: float) -> list[str]:
        """Returns the partitions that this daemon owns now."""
        return [
            resource
            for resource in partitions.ALL_PARTITIONS
            if self._holder.holds(resource, now)
        ]

    def is_settled(self, moment: moments.Moment) -> bool:
        """Whether new keys of all partitions that it should own may run."""
        margin = self._partitions.birth_margin
        wanted = partitions.wanted_partitions(
            self._shared.members, self._shared.sender.daemon, moment.now
        )
        for resource in wanted:
            self._partitions.refresh(resource, moment.now, moment.wall)
            since = self._partitions.complete_since(resource)
            if since is None or moment.wall <= since + margin:
                return False
        return True

    def _forward_ticket(
        self, ticket: tickets.Ticket, now: float
    ) -> KeyDecision:
        issuer = ticket.issuer
        last = self._shared.members.last_heard(issuer.daemon)
        is_replaced = last is not None and last.sender != issuer
        if is_replaced or issuer.daemon == self._shared.sender.daemon:
            return _issuer_gone()
        peer = self._shared.members.find_peer(issuer.daemon, now)
        if peer is None:
            return _no_owner()
        return Forward(issuer.daemon, peer.heartbeat.callers, issuer.start)

    def _drop_foreign(self, rightful: set[str], moment: moments.Moment) -> None:
        """Stops asking for what another daemon should own and this has not."""
        for resource in self._holder.wanted:
            if resource in rightful or resource in self._wanted_pools:
                continue
            if self._holder.holds(resource, moment.now):
                continue
            self._holder.drop(resource)

    def _request_transfer(self, resource: str, holder: str, now: float) -> None:
        if resource not in partitions.ALL_PARTITIONS or not holder:
            return
        daemon = ids.DaemonId(holder.rpartition("/")[0])
        if daemon == self._shared.sender.daemon:
            return
        request = self._partitions.request_transfer(resource, now)
        if request is not None:
            self._shared.send(daemon, request)

    def _broadcast_release(self, resource: str, now: float) -> None:
        release = messages.LeaseRelease(resources=[resource])
        self._shared.broadcast(release, now)
        self._shared.send(self._shared.sender.daemon, release)

    def _settle_abandoned(self, now: float) -> None:
        outcome = outcomes.Unknown(
            outcomes.Reason.KEY_OWNER_GONE,
            "the daemon that ran the request is gone",
        )
        for key in list(self._memory.abandoned(now, ABANDONED_AFTER)):
            self._memory.settle(key, outcome, now)


def _no_owner() -> outcomes.Unknown:
    return outcomes.Unknown(
        outcomes.Reason.KEY_OWNER_UNKNOWN,
        "the daemon that decides about the key does not answer",
        partitions.OWNER_RETRY_AFTER,
    )


def _issuer_gone() -> outcomes.Unknown:
    return outcomes.Unknown(
        outcomes.Reason.KEY_OWNER_GONE,
        "the daemon that issued the ticket is gone; nothing runs any more",
    )
