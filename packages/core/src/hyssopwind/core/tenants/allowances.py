"""Acquires tokens of tenants' allowances from the owners of a fleet.

Each data centre has an owner, the first live daemon by rendezvous hashing, to
which its daemons lend their shares of all allowances (`share_lending`,
`allowance_issuer`). A daemon asks the owner of its own data centre for a token
for each request, and then the owners of the others. A denial holds for the
time that it states.

This module exchanges messages through callbacks and keeps the state of one
daemon; the gateway only sends and receives.
"""

import collections
import dataclasses
import math
import random
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.fleet import gossip_messages
from hyssopwind.core.limits import share_lending
from hyssopwind.core.tenants import allowance_issuer
from hyssopwind.core.tenants import allowance_results
from hyssopwind.core.tenants import allowance_returns

ROUND_SECONDS = 0.5
# Rounds between two questions to silent daemons that would be preferred to the
# owner. Daemons of the previous release never answer and log each message.
CONTACT_ROUNDS = 4
# Age below which a daemon does not know the size of the fleet, on which its
# share depends; the same as for the limits of servers.
MIN_ISSUER_AGE_SECONDS = 3.0
# Time after which an unanswered request is sent again, and after which its
# owner is skipped.
RETRY_SECONDS = 0.06
TIMEOUT_SECONDS = 0.2
SKIP_SECONDS = 1.0
# Longest time for which an owner is skipped that never answers. A dead daemon
# of another data centre stays in the member list for 12 s.
MAX_SKIP_SECONDS = 8.0
# Time for which the size of the fleet that a peer states is used.
STATED_SIZE_SECONDS = 5.0
MAX_OWNERS = 10  # asked for one request
# Time after which a request is refused rather than sent to one more owner.
MAX_ASK_SECONDS = 0.45
MAX_DENIAL_SECONDS = 10.0
MIN_DENIAL_SECONDS = 0.01
MIN_RETRY_AFTER_SECONDS = 0.05
# Spread of the times at which refused callers come back.
MIN_SPREAD_SECONDS = 0.2
MAX_SPREAD_SECONDS = 2.0
# Time after which callers come back if no owner answers.
OWNERLESS_RETRY_AFTER_SECONDS = 0.5
MAX_BATCH_COUNT = 64  # tokens in one request
MAX_WAITING_COUNT = 256  # requests of one tenant that wait for tokens
MAX_REMEMBERED_REPLIES = 2_000
MAX_FLEET_SIZE = 100_000
NUMBER_BITS = 48
_MAX_WAIT_MS = 60_000
# All allowances are lent together.
_LOAN_KEY = ids.ServiceId("")


Ticket: TypeAlias = Hashable


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """The daemons that a daemon knows.

    Attributes:
        fleet_size: number of daemons that were alive in the last minute.
        ranked_daemons: the live daemons of each data centre in the order in
            which they own the allowances.
    """

    fleet_size: int
    ranked_daemons: Mapping[ids.DataCentreId, tuple[ids.DaemonId, ...]]


def make_fleet_view(
    fleet_size: int,
    daemons: Iterable[tuple[ids.DaemonId, ids.DataCentreId]],
) -> FleetView:
    """Returns the view of a fleet with these live daemons."""
    by_centre: dict[ids.DataCentreId, list[ids.DaemonId]] = {}
    for name, data_centre in daemons:
        by_centre.setdefault(data_centre, []).append(name)
    return FleetView(
        fleet_size,
        {
            data_centre: tuple(share_lending.rank_owners(_LOAN_KEY, names))
            for data_centre, names in sorted(by_centre.items())
        },
    )


def view_of(member_list: fleet_members.MemberList) -> FleetView:
    """Returns the view of a member list."""
    return make_fleet_view(
        member_list.fleet_size(), member_list.live_daemons_by_centre()
    )


@dataclasses.dataclass(slots=True)
class _Batch:
    """Requests of a tenant for which tokens are asked together."""

    tickets: list[Ticket]
    asked_at: float
    ends_at: float
    tried_owners: set[ids.DaemonId] = dataclasses.field(default_factory=set)
    was_answered: bool = False
    has_peer_answered: bool = False
    has_timed_out: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Skip:
    """A time for which an owner is not asked."""

    until: float
    seconds: float


@dataclasses.dataclass(slots=True)
class _Pending:
    """A request for tokens that is not answered yet."""

    tenant: ids.TenantId
    owner: ids.DaemonId
    message: gossip_messages.AllowanceRequest
    sent_at: float
    is_repeated: bool = False

    @property
    def next_timer_at(self) -> float:
        if self.is_repeated:
            return self.sent_at + TIMEOUT_SECONDS
        return self.sent_at + RETRY_SECONDS


@dataclasses.dataclass(slots=True)
class _Issued:
    """Tokens that this daemon has issued, and the reply that said so."""

    reply: gossip_messages.AllowanceReply
    tenant: ids.TenantId
    issued_at: float
    share_ratio: float
    returned_count: int = 0


@dataclasses.dataclass(slots=True)
class _TenantState:
    """What a daemon knows of the allowance of a tenant."""

    allowance: allowance_issuer.Allowance
    denied_until: dict[ids.DaemonId, float] = dataclasses.field(
        default_factory=dict
    )
    waiting: collections.deque[tuple[Ticket, float]] = dataclasses.field(
        default_factory=collections.deque
    )
    batch: _Batch | None = None
    denied_count: int = 0  # in this round
    used_at: float = 0.0


class Allowances:
    """The tokens that one daemon acquires, and issues as an owner.

    Attributes:
        result_counts: results of requests, for the metrics.
        message_count: number of messages sent.
    """

    def __init__(
        self,
        own_name: ids.DaemonId,
        data_centre: ids.DataCentreId,
        quota: allowance_issuer.QuotaSettings,
        started_at: float,
        send: Callable[[gossip_messages.AllowanceMessage, ids.DaemonId], None],
        resolve: Callable[[Ticket, allowance_results.Result], None],
        find_allowance: Callable[
            [ids.TenantId], allowance_issuer.Allowance | None
        ],
        random_source: random.Random,
    ):
        """Initialises the state of a daemon that has just started.

        Args:
            own_name: name of the daemon.
            data_centre: data centre in which it runs.
            quota: the bound on the requests of a tenant.
            started_at: monotonic time of its start.
            send: sends a message to a daemon.
            resolve: receives the result of a request, also during `request`.
            find_allowance: returns an allowance of the configuration in force.
            random_source: source of randomness.
        """
        self.result_counts: collections.Counter[str] = collections.Counter()
        self.message_count = 0
        self._own_name = own_name
        self._data_centre = data_centre
        self._quota = quota
        self._started_at = started_at
        self._send_to = send
        self._resolve = resolve
        self._find_allowance = find_allowance
        self._random = random_source
        self._view = FleetView(1, {data_centre: (own_name,)})
        self._lender = share_lending.ShareLender(own_name)
        self._issuer = allowance_issuer.AllowanceIssuer(quota, started_at)
        self._tenants: dict[ids.TenantId, _TenantState] = {}
        # Tenants that got a request served before an owner was known.
        self._started_tenants: set[ids.TenantId] = set()
        self._pending: dict[int, _Pending] = {}
        self._skips: dict[ids.DaemonId, _Skip] = {}
        # No owner is asked until this time, as none has answered.
        self._silent_until = started_at
        self._round_number = 0
        self._stamps: dict[ids.DaemonId, tuple[int, float]] = {}
        # Times at which peers last stated each size; they are few, while the
        # peers of an owner are many and the sizes are read for each request.
        self._stated_sizes: dict[int, float] = {}
        # Owners remember the numbers that this daemon used before a restart,
        # and stamps of an earlier start must not be mistaken for own ones, so
        # that both begin at random. They are drawn with their first use: a
        # daemon without tenants takes the same random decisions as before.
        self._latest_number: int | None = None
        self._drawn_first_stamp: int | None = None
        self._issued: collections.OrderedDict[tuple[str, int], _Issued] = (
            collections.OrderedDict()
        )
        self._returns = allowance_returns.PendingReturns()

    @property
    def _first_stamp(self) -> int:
        """The stamp of the start of this daemon."""
        if self._drawn_first_stamp is None:
            self._drawn_first_stamp = self._random.getrandbits(NUMBER_BITS) + 1
        return self._drawn_first_stamp

    @property
    def next_timer_at(self) -> float | None:
        """Monotonic time at which `run_timers` is due, if at all."""
        times = [each.next_timer_at for each in self._pending.values()]
        times.extend(self._returns.due_at.values())
        return min(times, default=None)

    def set_view(self, view: FleetView) -> None:
        """Sets the daemons of the fleet."""
        self._view = view

    def set_quota(
        self, quota: allowance_issuer.QuotaSettings, now: float
    ) -> None:
        """Changes the bound on the requests of a tenant."""
        self._quota = quota
        self._issuer.set_quota(quota, now)

    def owner(self, now: float) -> ids.DaemonId | None:
        """Returns the owner in the own data centre, if there is one."""
        return self._owner(now)

    def fleet_size(self, now: float) -> int:
        """Returns the number of daemons by which the shares are determined."""
        return self._fleet_size(now)

    def share_ratio(self, now: float) -> float:
        """Returns the ratio of the allowances that this daemon holds."""
        self._owner(now)
        return self._issuer.share_ratio(now)

    def request(
        self,
        allowance: allowance_issuer.Allowance,
        ticket: Ticket,
        now: float,
    ) -> None:
        """Requests a token; `resolve` gets the result for the ticket."""
        state = self._tenants.get(allowance.tenant)
        if state is None:
            state = _TenantState(allowance)
            self._tenants[allowance.tenant] = state
        state.used_at = now
        if allowance.version > state.allowance.version:
            # Denials of the earlier limit may not hold any more.
            state.denied_until.clear()
            state.allowance = allowance
        if len(state.waiting) >= MAX_WAITING_COUNT:
            self._deny(
                state, [ticket], now, allowance_results.DenialCause.EXHAUSTED
            )
            return
        state.waiting.append((ticket, now))
        if state.batch is None:
            self._run_batches(state, now)

    def release(self, granted: allowance_results.Granted, now: float) -> None:
        """Returns the token of a request that no server ran to its owner.

        An owner does not take it back after some time.
        """
        max_age_seconds = allowance_returns.MAX_RETURN_AGE_SECONDS
        if granted.owner is None or now >= granted.asked_at + max_age_seconds:
            return
        self.result_counts["returned"] += 1
        if granted.owner == self._own_name:
            key = (self._own_name, granted.request_number)
            issued = self._issued.get(key)
            if issued is not None:
                self._take_back(issued, issued.returned_count + 1, now)
            return
        self._returns.add(granted.owner, granted.request_number, now)

    def handle(
        self, message: gossip_messages.AllowanceMessage, now: float
    ) -> None:
        """Handles a message of a daemon in the member list."""
        sender = ids.DaemonId(message.sender)
        if isinstance(message, gossip_messages.AllowanceReply):
            self._handle_reply(message, sender, now)
        elif isinstance(message, gossip_messages.AllowanceRequest):
            self._handle_request(message, sender, now)
        else:
            self._handle_loan(message, sender, now)

    def run_timers(self, now: float) -> None:
        """Repeats requests and skips owners that did not answer in time."""
        for number, pending in list(self._pending.items()):
            if number not in self._pending or now < pending.next_timer_at:
                continue
            if not pending.is_repeated:
                pending.is_repeated = True
                self._send(pending.message, pending.owner)
                continue
            self.result_counts["unanswered"] += 1
            seconds = SKIP_SECONDS
            previous = self._skips.get(pending.owner)
            if previous is not None:
                # A refusal may have stated a shorter time.
                seconds = min(
                    MAX_SKIP_SECONDS,
                    max(SKIP_SECONDS, 2.0 * previous.seconds),
                )
            self._skip(number, seconds, now)
        for owner, due_at in list(self._returns.due_at.items()):
            if now >= due_at:
                # No tokens are asked for, so that no reply is needed.
                message = gossip_messages.AllowanceRequest(
                    self._own_name,
                    self._next_number(),
                    "",
                    0,
                    0,
                    0.0,
                    0.0,
                    self._returns.take(owner),
                )
                self._send(message, owner)

    def run_round(self, now: float) -> None:
        """Lends the own share, which is due every `ROUND_SECONDS`."""
        plan = self._plan(now)
        self._update_own_share(plan, now)
        # A share that was lent before a restart has come back by this age.
        may_lend = now - self._started_at >= share_lending.LOAN_SENT_SECONDS
        owner = plan.owner
        if owner is not None and owner != self._own_name:
            if may_lend:
                self._lend(owner, now)
            else:
                self._send(self._make_loan(owner, now, is_lent=False), owner)
        self._round_number += 1
        has_owner = owner not in (None, self._own_name)
        if not has_owner or self._round_number % CONTACT_ROUNDS == 0:
            for contact in plan.contacts:
                question = self._make_loan(contact, now, is_lent=False)
                self._send(question, contact)
        self._prune(now)

    def _is_mature(self, now: float) -> bool:
        """Whether this daemon has run for long enough to issue tokens."""
        return now - self._started_at >= MIN_ISSUER_AGE_SECONDS

    def _plan(self, now: float) -> share_lending.LendingPlan:
        local_daemons = self._view.ranked_daemons.get(self._data_centre, ())
        return self._lender.plan(_LOAN_KEY, local_daemons, now)

    def _update_own_share(
        self, plan: share_lending.LendingPlan, now: float
    ) -> None:
        holds_own_share = plan.owner == self._own_name and self._is_mature(now)
        self._issuer.set_own_share(holds_own_share, self._fleet_size(now), now)

    def _fleet_size(self, now: float) -> int:
        """Returns the largest of the sizes that this daemon and peers know."""
        size = self._view.fleet_size
        for stated_size, stated_at in self._stated_sizes.items():
            if now < stated_at + STATED_SIZE_SECONDS:
                size = max(size, stated_size)
        return size

    def _owner(self, now: float) -> ids.DaemonId | None:
        """Returns the owner in the own data centre, if there is one."""
        plan = self._plan(now)
        self._update_own_share(plan, now)
        if plan.owner is not None:
            return plan.owner
        # The loan to an earlier owner has not ended.
        return self._lender.loan_owner(_LOAN_KEY, now)

    def _owners(self, now: float) -> list[ids.DaemonId]:
        """Returns the owners to ask, that of the own data centre first."""
        owners = []
        # Daemons that would replace a silent owner of another data centre.
        replacements: list[ids.DaemonId] = []
        own = self._owner(now)
        if own == self._own_name and not self._is_mature(now):
            own = None
        if own is not None and not self._is_skipped(own, now):
            owners.append(own)
        if now < self._silent_until:
            return [name for name in owners if name == self._own_name]
        centres = list(self._view.ranked_daemons)
        start = 0
        if self._data_centre in centres:
            start = centres.index(self._data_centre)
        for centre in centres[start:] + centres[:start]:
            if centre == self._data_centre:
                continue
            for rank, name in enumerate(self._view.ranked_daemons[centre]):
                if not self._is_skipped(name, now):
                    (replacements if rank > 0 else owners).append(name)
                    break
        return owners + replacements

    def _has_tried_all_centres(self, batch: _Batch, now: float) -> bool:
        """Whether an owner of each data centre was tried or is skipped.

        The owner of the own data centre is always asked first.
        """
        for centre, names in self._view.ranked_daemons.items():
            if centre == self._data_centre:
                continue
            if not any(
                name in batch.tried_owners or self._is_skipped(name, now)
                for name in names
            ):
                return False
        return True

    def _is_skipped(self, daemon: ids.DaemonId, now: float) -> bool:
        skip = self._skips.get(daemon)
        return skip is not None and now < skip.until

    def _skip(self, request_number: int, seconds: float, now: float) -> None:
        """Skips an owner that issues no tokens, and asks the next one."""
        pending = self._pending.pop(request_number)
        self._skips[pending.owner] = _Skip(now + seconds, seconds)
        state = self._tenants[pending.tenant]
        batch = state.batch
        assert batch is not None
        batch.has_timed_out = True
        self._continue_batch(state, batch, now)
        self._run_batches(state, now)

    def _run_batches(self, state: _TenantState, now: float) -> None:
        """Asks for the tokens of waiting requests until an answer is due."""
        while state.waiting and state.batch is None:
            ends_at = state.waiting[0][1] + MAX_ASK_SECONDS
            count = min(MAX_BATCH_COUNT, len(state.waiting))
            tickets = [state.waiting.popleft()[0] for _ in range(count)]
            state.batch = _Batch(tickets, now, ends_at)
            self._continue_batch(state, state.batch, now)

    def _continue_batch(
        self, state: _TenantState, batch: _Batch, now: float
    ) -> None:
        """Asks the next owner, or resolves the requests that are left."""
        while batch.tickets:
            owner = self._next_owner(state, batch, now)
            if owner is None or now >= batch.ends_at:
                break
            batch.tried_owners.add(owner)
            count = len(batch.tickets)
            if owner != self._own_name:
                self._ask(state, owner, count, now)
                return
            issue = self._issuer.issue(state.allowance, count, now)
            number = self._next_number()
            reply = self._make_reply(number, issue, now)
            self._remember(owner, reply, state.allowance.tenant, now)
            self._record_issue(state, batch, owner, reply, now)
        state.batch = None
        if not batch.tickets:
            return
        # A batch may end before all owners were asked, if timers are late.
        is_silent = (
            batch.has_timed_out
            and not batch.has_peer_answered
            and self._has_tried_all_centres(batch, now)
        )
        if is_silent:
            self._silent_until = now + SKIP_SECONDS
        may_start = (
            not self._is_mature(now)
            and not self._quota.fail_closed
            and not batch.was_answered
            and state.allowance.tenant not in self._started_tenants
        )
        if may_start:
            self._started_tenants.add(state.allowance.tenant)
            granted = allowance_results.Granted(state.allowance.tenant, now)
            self._grant(batch.tickets.pop(0), granted, "started")
        cause = allowance_results.DenialCause.UNDETERMINED
        if batch.was_answered:
            cause = allowance_results.DenialCause.EXHAUSTED
        self._deny(state, batch.tickets, now, cause)

    def _next_owner(
        self, state: _TenantState, batch: _Batch, now: float
    ) -> ids.DaemonId | None:
        if len(batch.tried_owners) >= MAX_OWNERS:
            return None
        for owner in self._owners(now):
            if owner in batch.tried_owners:
                continue
            if now < state.denied_until.get(owner, now):
                batch.was_answered = True
                batch.has_peer_answered |= owner != self._own_name
                continue
            return owner
        return None

    def _ask(
        self,
        state: _TenantState,
        owner: ids.DaemonId,
        count: int,
        now: float,
    ) -> None:
        message = gossip_messages.AllowanceRequest(
            self._own_name,
            self._next_number(),
            state.allowance.tenant,
            count,
            state.allowance.version,
            state.allowance.requests_per_second,
            state.allowance.burst,
            self._returns.take(owner),
        )
        self._pending[message.request_number] = _Pending(
            state.allowance.tenant, owner, message, now
        )
        self._send(message, owner)

    def _next_number(self) -> int:
        """Returns the number of the next request."""
        if self._latest_number is None:
            self._latest_number = self._random.getrandbits(NUMBER_BITS)
        self._latest_number += 1
        return self._latest_number

    def _record_issue(
        self,
        state: _TenantState,
        batch: _Batch,
        owner: ids.DaemonId,
        reply: gossip_messages.AllowanceReply,
        now: float,
    ) -> None:
        """Records the answer of an owner to a batch."""
        batch.was_answered = True
        batch.has_peer_answered |= owner != self._own_name
        granted_count = min(max(0, reply.granted_count), len(batch.tickets))
        granted = allowance_results.Granted(
            state.allowance.tenant,
            batch.asked_at,
            owner,
            reply.request_number,
        )
        for ticket in batch.tickets[:granted_count]:
            self._grant(ticket, granted, "granted")
        del batch.tickets[:granted_count]
        if batch.tickets:
            wait_seconds = min(
                MAX_DENIAL_SECONDS,
                max(MIN_DENIAL_SECONDS, reply.wait_ms / 1000),
            )
            state.denied_until[owner] = now + wait_seconds

    def _grant(
        self, ticket: Ticket, granted: allowance_results.Granted, label: str
    ) -> None:
        self.result_counts[label] += 1
        self._resolve(ticket, granted)

    def _deny(
        self,
        state: _TenantState,
        tickets: Iterable[Ticket],
        now: float,
        cause: allowance_results.DenialCause,
    ) -> None:
        for ticket in tickets:
            state.denied_count += 1
            self.result_counts[cause.value] += 1
            if cause is allowance_results.DenialCause.EXHAUSTED:
                wait_seconds = self._denial_seconds(state, now)
                # The more callers are refused, the later they come back.
                rate = max(0.01, state.allowance.requests_per_second)
                spread_seconds = state.denied_count / rate
            else:
                wait_seconds = OWNERLESS_RETRY_AFTER_SECONDS
                spread_seconds = OWNERLESS_RETRY_AFTER_SECONDS
            spread_seconds = min(
                MAX_SPREAD_SECONDS, max(MIN_SPREAD_SECONDS, spread_seconds)
            )
            retry_after_seconds = wait_seconds + self._random.uniform(
                0.0, spread_seconds
            )
            self._resolve(
                ticket, allowance_results.Denied(retry_after_seconds, cause)
            )

    def _denial_seconds(self, state: _TenantState, now: float) -> float:
        """Returns the seconds until the first denial ends."""
        waits = [
            until - now for until in state.denied_until.values() if until > now
        ]
        return max(MIN_RETRY_AFTER_SECONDS, min(waits, default=0.0))

    def _handle_reply(
        self,
        reply: gossip_messages.AllowanceReply,
        sender: ids.DaemonId,
        now: float,
    ) -> None:
        pending = self._pending.get(reply.request_number)
        if pending is not None and pending.owner != sender:
            pending = None
        if reply.fleet_size <= 0:
            if pending is not None:
                wait_seconds = max(0, reply.wait_ms) / 1000
                self._skip(
                    reply.request_number, min(SKIP_SECONDS, wait_seconds), now
                )
            return
        self._lender.record_heard(sender, now)
        self._stamps[sender] = (reply.stamp, now)
        self._record_size(reply.fleet_size, now)
        self._skips.pop(sender, None)
        self._silent_until = now
        if pending is None:
            return
        del self._pending[reply.request_number]
        state = self._tenants[pending.tenant]
        batch = state.batch
        assert batch is not None
        self._record_issue(state, batch, sender, reply, now)
        self._continue_batch(state, batch, now)
        self._run_batches(state, now)

    def _handle_request(
        self,
        request: gossip_messages.AllowanceRequest,
        sender: ids.DaemonId,
        now: float,
    ) -> None:
        for number, total in request.returns[: allowance_returns.MAX_RETURNS]:
            issued = self._issued.get((request.sender, number))
            if issued is not None:
                self._take_back(issued, total, now)
        if request.returns and request.count <= 0:
            return
        if not self._is_mature(now):
            age_seconds = now - self._started_at
            wait_ms = math.ceil((MIN_ISSUER_AGE_SECONDS - age_seconds) * 1000)
            refusal = gossip_messages.AllowanceReply(
                self._own_name, request.request_number, 0, wait_ms, 0, 0
            )
            self._send(refusal, sender)
            return
        key = (request.sender, request.request_number)
        issued = self._issued.get(key)
        if issued is None:
            self._owner(now)
            issue = self._issue_to_peer(request, now)
            reply = self._make_reply(request.request_number, issue, now)
            tenant = ids.TenantId(request.tenant)
            issued = self._remember(sender, reply, tenant, now)
        self._send(issued.reply, sender)

    def _remember(
        self,
        receiver: ids.DaemonId,
        reply: gossip_messages.AllowanceReply,
        tenant: ids.TenantId,
        now: float,
    ) -> _Issued:
        """Remembers the tokens that a reply states."""
        share_ratio = self._issuer.share_ratio(now)
        issued = _Issued(reply, tenant, now, share_ratio)
        self._issued[receiver, reply.request_number] = issued
        while len(self._issued) > MAX_REMEMBERED_REPLIES:
            self._issued.popitem(last=False)
        return issued

    def _take_back(self, issued: _Issued, total: int, now: float) -> None:
        """Takes back tokens, of which `total` were returned until now."""
        max_age_seconds = allowance_returns.MAX_RETURN_AGE_SECONDS
        total = min(total, issued.reply.granted_count)
        count = total - issued.returned_count
        if count <= 0 or now >= issued.issued_at + max_age_seconds:
            return
        issued.returned_count = total
        self._issuer.take_back(
            issued.tenant, count, issued.issued_at, issued.share_ratio, now
        )

    def _issue_to_peer(
        self, request: gossip_messages.AllowanceRequest, now: float
    ) -> allowance_issuer.Issue:
        tenant = ids.TenantId(request.tenant)
        count = min(MAX_BATCH_COUNT, max(0, request.count))
        allowance = self._find_allowance(tenant)
        if allowance is None or allowance.version < request.version:
            # Of values that no daemon sends, the most careful ones are taken.
            allowance = allowance_issuer.Allowance(
                tenant,
                _finite(request.requests_per_second),
                _finite(request.burst),
                request.version,
            )
        elif allowance.requests_per_second <= 0.0:
            # The limit was removed in a version that the peer may not have.
            self._issuer.drop_bucket(tenant)
            return allowance_issuer.Issue(count, 0.0)
        return self._issuer.issue(allowance, count, now)

    def _handle_loan(
        self,
        loan: gossip_messages.AllowanceLoan,
        sender: ids.DaemonId,
        now: float,
    ) -> None:
        self._record_size(loan.fleet_size, now)
        if not self._is_mature(now):
            return
        fleet_size = min(MAX_FLEET_SIZE, max(1, loan.fleet_size))
        sent_at = self._sent_at(loan)
        if loan.is_lent and sent_at is not None:
            self._issuer.record_loan(sender, fleet_size, sent_at, now)
        reply = self._make_reply(0, allowance_issuer.Issue(0, 0.0), now)
        self._send(reply, sender)

    def _sent_at(self, loan: gossip_messages.AllowanceLoan) -> float | None:
        """Returns a time on the own clock at or before the sending of a loan.

        The loan returns a stamp of this daemon and its age at the sending, so
        a datagram that was delayed on the way does not lengthen the loan.
        """
        if loan.stamp < self._first_stamp or loan.stamp_age_ms < 0:
            return None
        stamp_ms = loan.stamp - self._first_stamp
        return self._started_at + (stamp_ms + loan.stamp_age_ms) / 1000

    def _lend(self, owner: ids.DaemonId, now: float) -> None:
        if owner not in self._stamps:
            return
        self._lender.record_loan(_LOAN_KEY, owner, now)
        self._send(self._make_loan(owner, now, is_lent=True), owner)

    def _make_loan(
        self, owner: ids.DaemonId, now: float, *, is_lent: bool
    ) -> gossip_messages.AllowanceLoan:
        stamp, stamped_at = self._stamps.get(owner, (0, now))
        return gossip_messages.AllowanceLoan(
            self._own_name,
            is_lent,
            self._view.fleet_size,
            stamp,
            math.floor((now - stamped_at) * 1000),
        )

    def _make_reply(
        self, request_number: int, issue: allowance_issuer.Issue, now: float
    ) -> gossip_messages.AllowanceReply:
        return gossip_messages.AllowanceReply(
            self._own_name,
            request_number,
            issue.granted_count,
            math.ceil(min(_MAX_WAIT_MS, issue.wait_seconds * 1000)),
            self._view.fleet_size,
            self._first_stamp + math.floor((now - self._started_at) * 1000),
        )

    def _record_size(self, fleet_size: int, now: float) -> None:
        size = min(MAX_FLEET_SIZE, max(1, fleet_size))
        self._stated_sizes[size] = now

    def _send(
        self,
        message: gossip_messages.AllowanceMessage,
        receiver: ids.DaemonId,
    ) -> None:
        self.message_count += 1
        self._send_to(message, receiver)

    def _prune(self, now: float) -> None:
        """Drops state that is not needed any more."""
        self._issuer.prune(now)
        for daemon, skip in list(self._skips.items()):
            if skip.until + MAX_SKIP_SECONDS <= now:
                del self._skips[daemon]
        for size, stated_at in list(self._stated_sizes.items()):
            if now >= stated_at + STATED_SIZE_SECONDS:
                del self._stated_sizes[size]
        for daemon, (_, stamped_at) in list(self._stamps.items()):
            if now >= stamped_at + share_lending.OWNER_SILENCE_SECONDS:
                del self._stamps[daemon]
        for tenant, state in list(self._tenants.items()):
            state.denied_count = 0
            is_idle = state.batch is None and not state.waiting
            if is_idle and now >= state.used_at + MAX_DENIAL_SECONDS:
                del self._tenants[tenant]


def _finite(value: float) -> float:
    """Returns a value of a message, or 0 for one that no daemon sends."""
    return value if math.isfinite(value) and value >= 0.0 else 0.0
