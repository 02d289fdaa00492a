"""Obtains permits to send to servers with limits, and issues them to peers.

The daemons exchange datagrams: loans of shares, notices of the owners of
permits, requests for permits and the replies to them. `permit_issuer` and
`share_lending` explain who issues how many permits.
"""

import asyncio
import collections
import math
import random
from collections.abc import Callable

import logbook

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.fleet import gossip_messages
from hyssopwind.core.limits import limit_statements
from hyssopwind.core.limits import permit_issuer
from hyssopwind.core.limits import rate_limits
from hyssopwind.core.limits import request_limits
from hyssopwind.core.limits import share_lending
from hyssopwind.core.limits import stated_limits
from hyssopwind.transport import boot_clock

ROUND_SECONDS = 0.5
# Shortest time between two announcements of changed limits of a service.
MIN_ANNOUNCEMENT_SECONDS = 0.1
# Age below which a daemon does not know the size of the fleet, on which its
# share depends, and therefore issues no permits.
MIN_ISSUER_AGE_SECONDS = 3.0
# Time after which an unanswered request for a permit is sent again, and after
# which it counts as denied.
PERMIT_RETRY_SECONDS = 0.06
PERMIT_TIMEOUT_SECONDS = 0.2
# Wait after an unanswered request for a permit.
UNANSWERED_WAIT_SECONDS = 0.25
MIN_OWNERLESS_WAIT_SECONDS = 0.05
# Time over which callers come back who were refused for lack of an owner.
OWNERLESS_SPREAD_SECONDS = 0.5
STATEMENTS_PER_DATAGRAM = 20
MAX_REMEMBERED_REPLIES = 1_000
MAX_CANDIDATES = 8
MAX_BURST_COUNT = 10.0
REQUEST_NUMBER_BITS = 48
_MAX_WAIT_MS = 60_000

_log = logbook.Logger("permits")

SendMessage = Callable[[gossip_messages.PermitMessage, str], None]


class Permits:
    """The permits that one daemon obtains and issues.

    Attributes:
        result_counts: results of requests for permits, for the metrics.
    """

    def __init__(
        self,
        own_name: ids.DaemonId,
        member_list: fleet_members.MemberList,
        server_catalogue: catalogue.Catalogue,
        limits: rate_limits.RateLimits,
        send: SendMessage,
        random_source: random.Random,
    ):
        self.result_counts: collections.Counter[str] = collections.Counter()
        self._own_name = own_name
        self._member_list = member_list
        self._catalogue = server_catalogue
        self._limits = limits
        self._send_message = send
        self._lender = share_lending.ShareLender(own_name)
        self._issuer = permit_issuer.PermitIssuer()
        self._rankings: dict[ids.ServiceId, tuple[int, list[ids.DaemonId]]] = {}
        self._owners: dict[ids.ServiceId, ids.DaemonId | None] = {}
        # What the owner of a service's permits knows, by its last notice.
        self._known_to_owner: dict[
            ids.InstanceId, stated_limits.LimitRecord
        ] = {}
        self._announced_at: dict[ids.ServiceId, float] = {}
        self._random = random_source
        # Starts at random, since owners remember the numbers that this daemon
        # used before a restart.
        self._request_number = random_source.getrandbits(REQUEST_NUMBER_BITS)
        self._pending: dict[int, asyncio.Future[permit_issuer.PermitResult]]
        self._pending = {}
        self._replies: collections.OrderedDict[
            tuple[str, int], gossip_messages.PermitReply
        ] = collections.OrderedDict()
        self._is_stopping = False

    async def run(self) -> None:
        """Renews loans and sends notices until it is cancelled."""
        while True:
            await asyncio.sleep(ROUND_SECONDS)
            now = boot_clock.now()
            for service in self._limited_services(now):
                self._announce(service, now)

    def announce_change(self, service: ids.ServiceId) -> None:
        """Tells peers at once of a changed limit of a service."""
        now = boot_clock.now()
        announced_at = self._announced_at.get(service, float("-inf"))
        if now - announced_at >= MIN_ANNOUNCEMENT_SECONDS:
            self._announce(service, now)

    def announce_stop(self) -> None:
        """Returns the loans of other daemons and issues no more permits."""
        self._is_stopping = True
        now = boot_clock.now()
        for service in self._limited_services(now):
            notice = gossip_messages.LimitNotice(
                self._own_name, service, [], returns_loans=True
            )
            for peer in self._member_list.peers():
                self._send_message(notice, peer.ip)

    def drop_removed_servers(self) -> None:
        """Drops the state of servers that are not listed any more."""
        instances = self._catalogue.instances()
        self._issuer.retain(instances, boot_clock.now())
        for instance in list(self._known_to_owner):
            if instance not in instances:
                del self._known_to_owner[instance]

    async def acquire(
        self, demand: permit_issuer.PermitDemand
    ) -> permit_issuer.PermitResult:
        """Acquires a permit for one of several servers, if there is one."""
        now = boot_clock.now()
        plan = self._plan(demand.service, now)
        peer = None
        if plan.owner is not None and plan.owner != self._own_name:
            peer = self._member_list.find(plan.owner)
        if plan.contacts:
            # The limit may be new, so that no daemon has been contacted.
            self.announce_change(demand.service)
        result: permit_issuer.PermitResult
        if plan.owner == self._own_name:
            result = self._issue(demand, now)
        elif peer is None:
            result = self._deny(demand, plan.ready_in_seconds)
        else:
            if not self._lender.has_loan(demand.service, peer.name, now):
                self._lend(demand.service, peer, now)
            result = await self._request(demand, peer)
        label = "denied"
        if isinstance(result, permit_issuer.Grant):
            label = "granted"
        self.result_counts[label] += 1
        return result

    def handle(self, message: gossip_messages.PermitMessage) -> None:
        """Handles a message of a peer; one from an unknown peer is ignored."""
        peer = self._member_list.find(ids.DaemonId(message.sender))
        if peer is None:
            return
        now = boot_clock.now()
        if isinstance(message, gossip_messages.PermitReply):
            self._handle_reply(message, now)
        elif isinstance(message, gossip_messages.PermitRequest):
            self._handle_request(message, peer, now)
        elif isinstance(message, gossip_messages.ShareLoan):
            self._handle_loan(message, peer, now)
        else:
            self._handle_notice(message, now)

    def _limited_services(self, now: float) -> set[ids.ServiceId]:
        """Returns the services with servers whose limits hold."""
        return self._limits.limited_services(now)

    def _plan(
        self, service: ids.ServiceId, now: float
    ) -> share_lending.LendingPlan:
        digest = self._member_list.digest()
        cached = self._rankings.get(service)
        if cached is None or cached[0] != digest:
            ranked = share_lending.rank_owners(
                service, self._member_list.live_daemons()
            )
            cached = (digest, ranked)
            self._rankings[service] = cached
        plan = self._lender.plan(service, cached[1], now)
        previous = self._owners.get(service)
        if plan.owner is not None and plan.owner != previous:
            self._owners[service] = plan.owner
            _log.info(
                "permit owner changed",
                extra={
                    "service": service,
                    "owner": plan.owner,
                    "previous": previous,
                    "silent": list(plan.contacts),
                },
            )
        return plan

    def _announce(self, service: ids.ServiceId, now: float) -> None:
        """Lends the own share, or sends a notice as the owner."""
        self._announced_at[service] = now
        plan = self._plan(service, now)
        if plan.owner == self._own_name:
            if self._may_serve_peers(now):
                for peer in self._member_list.peers():
                    if not self._issuer.has_loan(service, peer.name, now):
                        self._send_notice(service, peer, now)
        elif plan.owner is not None:
            peer_or_none = self._member_list.find(plan.owner)
            if peer_or_none is not None:
                self._lend(service, peer_or_none, now)
        for name in plan.contacts:
            contact = self._member_list.find(name)
            if contact is not None:
                self._send_loan(service, contact, now, is_lent=False)

    def _lend(
        self, service: ids.ServiceId, peer: fleet_members.Peer, now: float
    ) -> None:
        self._lender.record_loan(service, peer.name, now)
        self._send_loan(service, peer, now, is_lent=True)

    def _send_loan(
        self,
        service: ids.ServiceId,
        peer: fleet_members.Peer,
        now: float,
        *,
        is_lent: bool,
    ) -> None:
        unknown = []
        for statement in self._statements(service, now):
            instance = ids.InstanceId(statement.instance)
            record = self._limits.stated.find(instance)
            known = self._known_to_owner.get(instance)
            if record is not None and (
                known is None or record.adds_to(known, now)
            ):
                unknown.append(statement)
        loan = gossip_messages.ShareLoan(
            self._own_name,
            service,
            is_lent,
            unknown[:STATEMENTS_PER_DATAGRAM],
            self._digest(service, now),
        )
        self._send_message(loan, peer.ip)

    def _digest(self, service: ids.ServiceId, now: float) -> int:
        """Returns a digest of the limits of a service that servers stated."""
        return self._limits.stated.digest(
            self._catalogue.instances_of(service), now
        )

    def _send_notice(
        self,
        service: ids.ServiceId,
        peer: fleet_members.Peer,
        now: float,
        peer_digest: int | None = None,
    ) -> None:
        """Sends the limits of a service to a peer that may not know them."""
        digest = self._digest(service, now)
        statements = self._statements(service, now)
        if digest == peer_digest:
            statements = []
        starts = range(0, max(1, len(statements)), STATEMENTS_PER_DATAGRAM)
        for start in starts:
            page = statements[start : start + STATEMENTS_PER_DATAGRAM]
            notice = gossip_messages.LimitNotice(
                self._own_name, service, page, False, digest
            )
            self._send_message(notice, peer.ip)

    def _statements(
        self, service: ids.ServiceId, now: float
    ) -> list[gossip_messages.LimitStatement]:
        statements = []
        for instance in self._catalogue.instances_of(service):
            record = self._limits.stated.find(instance)
            if record is not None:
                statements.append(
                    limit_statements.make_statement(instance, record, now)
                )
        return statements

    def _merge(
        self,
        statements: list[gossip_messages.LimitStatement],
        sender: str,
        now: float,
    ) -> bool:
        """Merges statements of a peer; returns whether a limit changed."""
        has_changed = False
        for statement in statements:
            read = limit_statements.read_statement(statement, now)
            if read is None:
                _log.warn(
                    "invalid statement ignored",
                    extra={"sender": sender, "server": statement.instance},
                )
                continue
            instance, record = read
            if not self._limits.stated.merge(instance, record, now):
                continue
            has_changed = True
            _log.info(
                "server limit changed",
                extra={
                    "server": instance,
                    "limit": self._limits.stated.rate(instance, now),
                    "source": sender,
                    "age_ms": statement.stated_age_ms,
                },
            )
        return has_changed

    def _is_mature(self, now: float) -> bool:
        """Whether this daemon has run for long enough to issue permits."""
        age_seconds = now - self._member_list.started_at
        return age_seconds >= MIN_ISSUER_AGE_SECONDS

    def _may_serve_peers(self, now: float) -> bool:
        """Whether this daemon takes loans and issues permits to peers."""
        return not self._is_stopping and self._is_mature(now)

    def _issue(
        self, demand: permit_issuer.PermitDemand, now: float
    ) -> permit_issuer.PermitResult:
        if not self._is_mature(now):
            age_seconds = now - self._member_list.started_at
            return self._deny(demand, MIN_ISSUER_AGE_SECONDS - age_seconds)
        share_count = 0
        if not self._is_stopping:
            share_count = self._issuer.lender_count(demand.service, now)
        if self._plan(demand.service, now).owner == self._own_name:
            share_count += 1
        share_ratio = min(1.0, share_count / self._member_list.fleet_size())
        limited = self._limits.limited_servers(demand.service, now)
        return self._issuer.issue(demand, limited, share_ratio, now)

    def _deny(
        self, demand: permit_issuer.PermitDemand, wait_seconds: float
    ) -> permit_issuer.Denial:
        """Returns a denial while there is no owner that issues permits."""
        # Without a wait the request would be tried again at once.
        wait_seconds = max(MIN_OWNERLESS_WAIT_SECONDS, wait_seconds)
        # The wait ends for many callers at the same time.
        spread_seconds = self._random.uniform(0.0, OWNERLESS_SPREAD_SECONDS)
        return permit_issuer.Denial(
            {each.instance: wait_seconds for each in demand.candidates},
            wait_seconds,
            wait_seconds + spread_seconds,
        )

    async def _request(
        self, demand: permit_issuer.PermitDemand, peer: fleet_members.Peer
    ) -> permit_issuer.PermitResult:
        """Requests a permit from the owner; no reply counts as a denial."""
        self._request_number += 1
        number = self._request_number
        message = gossip_messages.PermitRequest(
            self._own_name,
            number,
            demand.service,
            [
                (
                    each.instance,
                    each.limit.requests_per_second,
                    each.limit.burst_count,
                )
                for each in demand.candidates
            ],
            max(0, round(demand.max_wait_seconds * 1000)),
            max(0, round(demand.remaining_seconds * 1000)),
        )
        loop = asyncio.get_running_loop()
        future: asyncio.Future[permit_issuer.PermitResult]
        future = loop.create_future()
        self._pending[number] = future
        retry = loop.call_later(
            PERMIT_RETRY_SECONDS, self._send_message, message, peer.ip
        )
        try:
            self._send_message(message, peer.ip)
            async with asyncio.timeout(PERMIT_TIMEOUT_SECONDS):
                return await future
        except TimeoutError:
            self.result_counts["unanswered"] += 1
            _log.info(
                "permit request unanswered",
                extra={"service": demand.service, "owner": peer.name},
            )
            return self._deny(demand, UNANSWERED_WAIT_SECONDS)
        finally:
            retry.cancel()
            del self._pending[number]

    def _handle_reply(
        self, reply: gossip_messages.PermitReply, now: float
    ) -> None:
        self._lender.record_heard(ids.DaemonId(reply.sender), now)
        future = self._pending.get(reply.request_number)
        if future is None or future.done():
            return
        if reply.instance:
            future.set_result(
                permit_issuer.Grant(
                    ids.InstanceId(reply.instance),
                    max(0, reply.delay_ms) / 1000,
                )
            )
            return
        future.set_result(
            permit_issuer.Denial(
                {
                    ids.InstanceId(instance): max(0, wait_ms) / 1000
                    for instance, wait_ms in reply.wait_ms.items()
                },
                max(0, reply.service_wait_ms) / 1000,
                max(0, reply.return_after_ms) / 1000,
            )
        )

    def _handle_request(
        self,
        request: gossip_messages.PermitRequest,
        peer: fleet_members.Peer,
        now: float,
    ) -> None:
        key = (request.sender, request.request_number)
        reply = self._replies.get(key)
        if reply is None:
            if not self._may_serve_peers(now):
                return
            reply = self._make_reply(request, now)
            self._replies[key] = reply
            while len(self._replies) > MAX_REMEMBERED_REPLIES:
                self._replies.popitem(last=False)
        self._send_message(reply, peer.ip)

    def _make_reply(
        self, request: gossip_messages.PermitRequest, now: float
    ) -> gossip_messages.PermitReply:
        candidates = []
        for name, rate, burst_count in request.candidates[:MAX_CANDIDATES]:
            # Of values that no daemon sends, the most careful ones are taken.
            limit = request_limits.RateLimit(
                rate if math.isfinite(rate) and rate >= 0.0 else 0.0,
                burst_count if 1.0 <= burst_count <= MAX_BURST_COUNT else 1.0,
            )
            candidates.append(
                permit_issuer.Candidate(ids.InstanceId(name), limit)
            )
        demand = permit_issuer.PermitDemand(
            ids.ServiceId(request.service),
            candidates,
            max(0, request.max_wait_ms) / 1000,
            max(0, request.remaining_ms) / 1000,
        )
        result = self._issue(demand, now)
        if isinstance(result, permit_issuer.Grant):
            return gossip_messages.PermitReply(
                self._own_name,
                request.request_number,
                result.instance,
                math.ceil(result.delay_seconds * 1000),
                {},
                0,
                0,
            )
        return gossip_messages.PermitReply(
            self._own_name,
            request.request_number,
            "",
            0,
            {
                instance: _wait_ms(seconds)
                for instance, seconds in result.wait_seconds.items()
            },
            _wait_ms(result.service_wait_seconds),
            _wait_ms(result.return_after_seconds),
        )

    def _handle_loan(
        self,
        loan: gossip_messages.ShareLoan,
        peer: fleet_members.Peer,
        now: float,
    ) -> None:
        has_changed = self._merge(loan.statements, loan.sender, now)
        service = ids.ServiceId(loan.service)
        if self._may_serve_peers(now):
            if loan.is_lent:
                self._issuer.record_loan(service, peer.name, now)
            self._send_notice(service, peer, now, loan.digest)
        if has_changed:
            self.announce_change(service)

    def _handle_notice(
        self, notice: gossip_messages.LimitNotice, now: float
    ) -> None:
        sender = ids.DaemonId(notice.sender)
        service = ids.ServiceId(notice.service)
        if notice.returns_loans:
            self._lender.end_loan(service, sender)
            return
        self._lender.record_heard(sender, now)
        self._merge(notice.statements, notice.sender, now)
        if self._owners.get(service) != sender:
            return
        for statement in notice.statements:
            read = limit_statements.read_statement(statement, now)
            if read is None:
                continue
            instance, record = read
            self._known_to_owner[instance] = record
        if notice.digest == self._digest(service, now):
            for instance in self._catalogue.instances_of(service):
                own_record = self._limits.stated.find(instance)
                if own_record is not None:
                    self._known_to_owner[instance] = own_record


def _wait_ms(seconds: float) -> int:
    return math.ceil(min(_MAX_WAIT_MS, seconds * 1000))
