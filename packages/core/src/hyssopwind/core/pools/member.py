"""A daemon's use of one pool: direct, by a grant of the owner, or by share.

While the owner says that the pool is open, a request goes at once to the
least loaded server and the owner is told. Otherwise the owner is asked and
the request waits for a grant. Without an owner the daemon keeps to its share
of the limits it knew last.
"""

import dataclasses
import random
from collections.abc import Mapping
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.pools import ranking
from hyssopwind.core.pools import shares
from hyssopwind.core.settings import documents

SUMMARY_VALIDITY = 0.25  # seconds
GRANT_VALIDITY = 0.5  # seconds between the grant and its use
TELL_INTERVAL = 0.02  # seconds between two tells of direct requests
TELL_REFRESH = 1.0  # seconds between two tells while requests are in flight
OWNER_SILENCE = 0.15  # seconds without an answer before shares are used
QUIET = 0.5  # seconds without an answer after which a start may be new
SUSPICION = 1.0  # seconds for which a failing server is not used directly
NUMBER_BITS = 48  # of the random number at which a life starts to count

PRIORITY_RANKS = {
    documents.Priority.HIGH: 0,
    documents.Priority.NORMAL: 1,
    documents.Priority.LOW: 2,
}


@dataclasses.dataclass(frozen=True, slots=True)
class SendDirect:
    """The request goes to a server now."""

    server: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class AskOwner:
    """The request waits for a grant of the owner."""

    ask: messages.Ask


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoom:
    """The daemon has no share left, and no owner answers."""

    retry_after: float


Plan: TypeAlias = SendDirect | AskOwner | NoRoom

_Limits: TypeAlias = dict[ids.ServerId, int]
_SharesBasis: TypeAlias = tuple[_Limits, tuple[ids.DaemonId, ...]]


@dataclasses.dataclass(slots=True)
class ServerCounts:
    """What the daemon has and had at one server."""

    in_flight: int = 0
    completed: int = 0
    shed: int = 0
    failed: int = 0
    start: str = ""
    busy: float = 0.0
    refused: int = 0
    suspect_until: float = float("-inf")
    completed_time: float = float("-inf")


class PoolMember:
    """Decides for one pool in one daemon; all times are monotonic seconds."""

    def __init__(
        self,
        pool: ids.PoolId,
        self_id: ids.DaemonId,
        generator: random.Random,
    ):
        self._pool = pool
        self._self_id = self_id
        self._random = generator
        self._counts: dict[ids.ServerId, ServerCounts] = {}
        self._usable: frozenset[ids.ServerId] = frozenset()
        self._daemons: tuple[ids.DaemonId, ...] = ()
        self._summary: messages.Summary | None = None
        self._summary_time = float("-inf")
        self._owner: messages.Sender | None = None
        self._grants_seen = 0
        self._started = 0
        self._first_ask = generator.getrandbits(NUMBER_BITS)
        self._next_ask = self._first_ask
        self._asked: dict[int, float] = {}
        self._changed: set[ids.ServerId] = set()
        self._told = float("-inf")
        self._is_owner_silent = False
        self._shares: dict[ids.ServerId, int] = {}
        self._shares_basis: _SharesBasis | None = None

    @property
    def pool(self) -> ids.PoolId:
        """The pool."""
        return self._pool

    @property
    def usable(self) -> frozenset[ids.ServerId]:
        """The servers that are listed and not leaving."""
        return self._usable

    @property
    def generator(self) -> random.Random:
        """The source of randomness."""
        return self._random

    @property
    def in_flight(self) -> int:
        """Requests of this daemon at the servers of the pool."""
        return sum(counts.in_flight for counts in self._counts.values())

    @property
    def counts(self) -> Mapping[ids.ServerId, ServerCounts]:
        """What the daemon has at each server."""
        return self._counts

    @property
    def is_idle(self) -> bool:
        """Whether nothing is in flight and nothing is left to tell."""
        return not self._changed and self.in_flight == 0

    def set_servers(
        self,
        usable: frozenset[ids.ServerId],
        daemons: tuple[ids.DaemonId, ...],
    ) -> None:
        """Takes the listed servers, and the daemons that share the limits."""
        if usable == self._usable and daemons == self._daemons:
            return
        self._usable = usable
        self._daemons = daemons
        for server in list(self._counts):
            counts = self._counts[server]
            if server not in usable and counts.in_flight == 0:
                del self._counts[server]
                self._changed.discard(server)

    def is_usable(self, server: ids.ServerId) -> bool:
        """Whether a server is listed and not leaving."""
        return server in self._usable

    def expected_wait(self, now: float) -> float:
        """Returns the wait that the owner expects; zero if it is unknown."""
        if self._summary is None:
            return 0.0
        if now - self._summary_time > SUMMARY_VALIDITY:
            return 0.0
        return self._summary.wait

    def warm_servers(self) -> dict[ids.ServerId, str]:
        """Returns the start identities of the servers last known as warm."""
        if self._summary is None:
            return {}
        return {
            entry.server: entry.start
            for entry in self._summary.servers
            if entry.direct and self._known_start(entry) == entry.start
        }

    def plan(
        self,
        now: float,
        deadline: float,
        priority: documents.Priority,
        foreign: bool,
        avoid: frozenset[ids.ServerId],
    ) -> Plan:
        """Decides how the next request gets its server."""
        if self._is_open(now):
            server = self._least_loaded(now, avoid)
            if server is not None:
                return SendDirect(server)
        if self._has_owner(now):
            return AskOwner(self._ask(now, deadline, priority, foreign, avoid))
        server = self._by_share(now, avoid)
        if server is not None:
            return SendDirect(server)
        return NoRoom(OWNER_SILENCE)

    def withdraw(self, ask: int) -> messages.Withdrawal:
        """Gives up a request for a slot."""
        self._asked.pop(ask, None)
        return messages.Withdrawal(pool=self._pool, ask=ask)

    def take_summary(
        self,
        sender: messages.Sender,
        summary: messages.Summary,
        now: float,
    ) -> None:
        """Takes the state of the pool from its owner."""
        if not self._accept_owner(sender):
            return
        self._summary = summary
        self._summary_time = now
        for entry in summary.servers:
            counts = self._counts.get(entry.server)
            if counts is not None and not counts.start:
                counts.start = entry.start

    def take_grant(
        self, sender: messages.Sender, grant: messages.Grant, now: float
    ) -> ids.ServerId | None:
        """Returns the granted server, or `None` where the grant is no use.

        The request counts as in flight from here on, because the next tell
        says that the grant was seen.

        The age of a grant is bounded by the time since the request for it,
        less the time that it waited at the owner.
        """
        if not self._accept_owner(sender):
            return None
        if not self._first_ask < grant.ask <= self._next_ask:
            return None
        self._grants_seen = max(self._grants_seen, grant.number)
        asked = self._asked.pop(grant.ask, None)
        self._changed.add(grant.server)
        if asked is None or not self.is_usable(grant.server):
            return None
        if now - asked - grant.waited > GRANT_VALIDITY:
            return None
        self.begin(grant.server, direct=False)
        return grant.server

    def take_refusal(self, refusal: messages.Refusal) -> bool:
        """Returns whether the refused request still waits."""
        if refusal.cause is messages.RefusalCause.NOT_OWNER:
            self.forget_owner()
        return self._asked.pop(refusal.ask, None) is not None

    def note_silence(self, now: float) -> bool:
        """Checks the owner while a request waits for its answer.

        Returns:
            Whether the owner is silent; requests then use the shares until
            it is heard again.
        """
        oldest = min(self._asked.values(), default=now)
        heard = max(oldest, self._summary_time)
        if now - heard >= OWNER_SILENCE:
            self._is_owner_silent = True
        return self._is_owner_silent

    def forget_summary(self) -> None:
        """Drops what may be outdated after a pause of the process."""
        self._summary_time = float("-inf")

    def forget_owner(self) -> None:
        """Drops the owner, as when another daemon takes its place."""
        self._owner = None
        self._is_owner_silent = False
        self._asked.clear()
        self._summary_time = float("-inf")

    def set_owner(self, owner: messages.Sender | None) -> bool:
        """Takes the present owner; returns whether it changed."""
        if owner == self._owner:
            return False
        self.forget_owner()
        self._owner = owner
        self._grants_seen = 0
        self._changed |= self._counts.keys()
        return True

    def begin(self, server: ids.ServerId, *, direct: bool) -> None:
        """Notes that a request leaves for a server."""
        counts = self._counts.setdefault(server, ServerCounts())
        counts.in_flight += 1
        if direct:
            self._started += 1
        self._changed.add(server)

    def finish_completed(
        self, server: ids.ServerId, start: str, latency: float, now: float
    ) -> None:
        """Notes a whole answer."""
        counts = self._finish(server)
        counts.completed += 1
        counts.completed_time = now
        counts.busy += latency
        self._note_start(counts, start, now)

    def finish_shed(self, server: ids.ServerId, start: str, now: float) -> None:
        """Notes that the server refused for lack of room."""
        counts = self._finish(server)
        counts.shed += 1
        counts.suspect_until = now + SUSPICION
        self._note_start(counts, start, now)

    def finish_failed(self, server: ids.ServerId, now: float) -> None:
        """Notes a reset or timed-out attempt."""
        counts = self._finish(server)
        counts.failed += 1
        counts.suspect_until = now + SUSPICION

    def finish_refused(self, server: ids.ServerId, now: float) -> None:
        """Notes an attempt whose connection was refused at once."""
        counts = self._finish(server)
        counts.refused += 1
        counts.suspect_until = now + SUSPICION

    def finish_cancelled(self, server: ids.ServerId) -> None:
        """Notes an attempt that was given up on this side."""
        self._finish(server)

    def tell(self, now: float) -> messages.Tell | None:
        """Returns the tell that is due, or `None`."""
        since = now - self._told
        if since < TELL_INTERVAL:
            return None
        is_refresh_due = since >= TELL_REFRESH and self.in_flight > 0
        if not self._changed and not is_refresh_due:
            return None
        return self._make_tell(now)

    def tell_at_once(self, now: float) -> messages.Tell | None:
        """Returns a tell of a finished grant, which frees a slot."""
        if not self._changed or self._is_open(now):
            return None
        return self._make_tell(now)

    def _make_tell(self, now: float) -> messages.Tell:
        entries = []
        for server in sorted(self._changed):
            counts = self._counts.get(server)
            if counts is None:
                continue
            entries.append(
                messages.ServerTell(
                    server,
                    counts.in_flight,
                    counts.completed,
                    counts.shed,
                    counts.failed,
                    counts.start,
                    round(counts.busy, 6),
                    counts.refused,
                )
            )
        self._changed.clear()
        self._told = now
        return messages.Tell(
            pool=self._pool,
            grants_seen=self._grants_seen,
            started=self._started,
            servers=entries,
        )

    def _ask(
        self,
        now: float,
        deadline: float,
        priority: documents.Priority,
        foreign: bool,
        avoid: frozenset[ids.ServerId],
    ) -> messages.Ask:
        self._next_ask += 1
        self._asked[self._next_ask] = now
        return messages.Ask(
            tell=self._make_tell(now),
            ask=self._next_ask,
            rank=PRIORITY_RANKS[priority],
            patience=max(0.0, deadline - now),
            foreign=foreign,
            avoid=sorted(avoid),
        )

    def _accept_owner(self, sender: messages.Sender) -> bool:
        if self._owner != sender:
            return False
        self._is_owner_silent = False
        return True

    def _is_open(self, now: float) -> bool:
        if self._summary is None or not self._summary.open:
            return False
        return now - self._summary_time <= SUMMARY_VALIDITY

    def _has_owner(self, now: float) -> bool:
        """Whether an owner is known that does not leave requests unanswered."""
        return self._owner is not None and not self._is_owner_silent

    def _least_loaded(
        self, now: float, avoid: frozenset[ids.ServerId]
    ) -> ids.ServerId | None:
        best = None
        best_rank = (0.0, 0.0, 0.0)
        assert self._summary is not None
        for entry in self._summary.servers:
            if entry.server in avoid or not self._may_go_direct(entry, now):
                continue
            own = self._own(entry.server)
            load = entry.others + own
            if own >= entry.allowance or load >= self._limit_at(entry, now):
                continue
            rank = (
                ranking.expected_time(
                    2.0**entry.slowness, load, entry.limit - 1
                ),
                load / entry.limit,
                self._random.random(),
            )
            if best is not None and rank >= best_rank:
                continue
            best, best_rank = entry.server, rank
        return best

    def _may_go_direct(self, entry: messages.ServerSummary, now: float) -> bool:
        if not entry.direct or entry.server not in self._usable:
            return False
        counts = self._counts.get(entry.server)
        if counts is None:
            return True
        if now < counts.suspect_until:
            return False
        return self._known_start(entry) == entry.start

    def _limit_at(self, entry: messages.ServerSummary, now: float) -> int:
        """Returns the limit; one at a time at a server that was quiet.

        A quiet server may have started anew; its next answer tells.
        """
        counts = self._counts.get(entry.server)
        if counts is None or now - counts.completed_time > QUIET:
            return min(1, entry.limit)
        return entry.limit

    def _known_start(self, entry: messages.ServerSummary) -> str:
        counts = self._counts.get(entry.server)
        if counts is None or not counts.start:
            return entry.start
        return counts.start

    def _own(self, server: ids.ServerId) -> int:
        counts = self._counts.get(server)
        return counts.in_flight if counts else 0

    def _by_share(
        self, now: float, avoid: frozenset[ids.ServerId]
    ) -> ids.ServerId | None:
        self._count_shares()
        best = None
        best_rank = 1.0
        for server, share in self._shares.items():
            counts = self._counts.get(server)
            if server in avoid or server not in self._usable:
                continue
            if counts is not None and now < counts.suspect_until:
                continue
            rank = self._own(server) / share
            if rank >= best_rank:
                continue
            best, best_rank = server, rank
        return best

    def _count_shares(self) -> None:
        warm = self.warm_servers()
        limits = {}
        if self._summary is not None:
            limits = {
                entry.server: entry.limit
                for entry in self._summary.servers
                if entry.server in warm
            }
        basis = (limits, self._daemons)
        if basis == self._shares_basis:
            return
        self._shares_basis = basis
        self._shares = shares.count_shares(limits, self._daemons, self._self_id)

    def _finish(self, server: ids.ServerId) -> ServerCounts:
        counts = self._counts.setdefault(server, ServerCounts())
        counts.in_flight = max(0, counts.in_flight - 1)
        self._changed.add(server)
        return counts

    def _note_start(self, counts: ServerCounts, start: str, now: float) -> None:
        if not start or start == counts.start:
            return
        if counts.start:
            counts.suspect_until = now + SUSPICION
        counts.start = start
