"""Decides whether this daemon itself lacks the way to the servers.

A server that does not answer may be down, or the daemon may be partitioned
from all servers. Failures at several servers without an answer in between are
only a reason to verify: a diverse sample of servers is probed on new
connections, and the daemon is cut off if none of them answers. So one dead
service does not count as a partition while servers of others answer.

Connections that are open may live on while new ones are refused. Only an answer
on a new connection therefore ends the state.
"""

import dataclasses
import enum
import random
from collections.abc import Iterable

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue

# Distinct servers that have to fail before others are probed.
SUSPICIOUS_SERVER_COUNT = 2
# Time in which failures to connect count together although servers answer on
# connections that are open.
CONNECT_FAILURE_WINDOW_SECONDS = 1.0
VERIFICATION_SAMPLE = 4
# Time after a verification that found a server until the next one. It is longer
# while servers answer on open connections, on which requests can be served.
VERIFICATION_INTERVAL_SECONDS = 0.5
ANSWERED_VERIFICATION_INTERVAL_SECONDS = 2.0
# A request is overdue after this multiple of its expected duration, and at
# least after this time.
OVERDUE_RATIO = 2.0
MIN_OVERDUE_SECONDS = 0.3
# Time without an answer on an open connection after which none is expected.
ANSWER_SILENCE_SECONDS = 0.3
# Probes of a daemon that is cut off.
CUT_PROBE_INTERVAL_SECONDS = 0.25
CUT_PROBE_SAMPLE = 2
# Servers among which one with an open connection is looked for, and the time
# for which its answer is relied on; the next probe follows sooner.
OPEN_CONNECTION_SAMPLE = 8
OPEN_ANSWER_SECONDS = 0.6


def overdue_seconds(estimated_seconds: float) -> float:
    """Returns after how long a request counts as overdue."""
    return max(MIN_OVERDUE_SECONDS, OVERDUE_RATIO * estimated_seconds)


class Reachability(enum.Enum):
    """Whether this daemon reaches servers."""

    REACHABLE = "reachable"
    # New connections fail, but open ones carry answers.
    NO_NEW_CONNECTIONS = "no new connections"
    CUT_OFF = "cut off"


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What a change of the state was decided on.

    Attributes:
        failed_servers: servers that failed since the last answer.
        probed_servers: servers that were probed on new connections.
        silent_seconds: seconds since the last answer of any server.
        since: monotonic time of the first of the failures.
    """

    failed_servers: tuple[ids.ServerId, ...]
    probed_servers: tuple[ids.ServerId, ...]
    silent_seconds: float
    since: float


class ServerReachability:
    """Counts answers and failures of all servers together.

    Examples:
        >>> reachability = ServerReachability()
        >>> reachability.record_failure(ids.ServerId("a"), 1.0)
        >>> reachability.needs_verification(9, 1.0)
        False
        >>> reachability.record_failure(ids.ServerId("b"), 1.0)
        >>> reachability.needs_verification(9, 1.0)
        True
        >>> evidence = reachability.record_unanswered_verification((), 1.2)
        >>> reachability.state(1.2)
        <Reachability.CUT_OFF: 'cut off'>
        >>> evidence = reachability.record_new_connection_answer(5.0)
        >>> reachability.state(5.0)
        <Reachability.REACHABLE: 'reachable'>
    """

    def __init__(self) -> None:
        self._is_cut_off = False
        self._last_answer_at = float("-inf")
        self._open_until = float("-inf")
        self._verified_at = float("-inf")
        # Times of the last failures by server: those since the last answer, and
        # those to connect in the window.
        self._failures: dict[ids.ServerId, float] = {}
        self._connect_failures: dict[ids.ServerId, float] = {}
        self._first_failure_at: float | None = None
        self._is_silent = False

    @property
    def last_answer_at(self) -> float:
        """Monotonic time of the last answer of any server."""
        return self._last_answer_at

    @property
    def is_reachable(self) -> bool:
        """Whether servers can be reached on new connections."""
        return not self._is_cut_off

    @property
    def failed_servers(self) -> list[ids.ServerId]:
        """Servers that failed since the last answer."""
        return sorted({*self._failures, *self._connect_failures})

    def state(self, now: float) -> Reachability:
        """Returns the state at a monotonic time."""
        if not self._is_cut_off:
            return Reachability.REACHABLE
        is_silent = now - self._last_answer_at >= ANSWER_SILENCE_SECONDS
        if not is_silent or now < self._open_until:
            return Reachability.NO_NEW_CONNECTIONS
        return Reachability.CUT_OFF

    def record_answer(self, now: float) -> None:
        """Records bytes of any server on any connection."""
        self._last_answer_at = now
        self._is_silent = False
        if self._is_cut_off or not self._failures:
            return
        self._failures.clear()
        if not self._connect_failures:
            self._first_failure_at = None

    def record_open_connection_answer(self, now: float) -> None:
        """Records the answer to a probe on an open connection."""
        self.record_answer(now)
        self._open_until = now + OPEN_ANSWER_SECONDS

    def record_failure(
        self, server: ids.ServerId, now: float, *, is_connect: bool = False
    ) -> None:
        """Records a probe or request that a server did not answer.

        Args:
            server: the server.
            now: monotonic time in seconds.
            is_connect: whether no connection to the server was made.
        """
        self._drop_old_connect_failures(now)
        if self._first_failure_at is None:
            self._first_failure_at = now
        self._failures[server] = now
        if is_connect:
            self._connect_failures[server] = now

    def record_overdue(
        self, server: ids.ServerId, sent_at: float, now: float
    ) -> None:
        """Records that a request waits much longer than expected.

        It matters if no server has answered since the request was sent; then
        it alone has to be verified, as requests on hung connections fail only
        at their deadlines.
        """
        if self._last_answer_at < sent_at:
            self.record_failure(server, now)
            self._is_silent = True

    def needs_verification(self, server_count: int, now: float) -> bool:
        """Whether a sample of servers has to be probed.

        Args:
            server_count: number of listed servers.
            now: monotonic time in seconds.
        """
        if self._is_cut_off or not server_count:
            return False
        interval_seconds = VERIFICATION_INTERVAL_SECONDS
        if now - self._last_answer_at < ANSWER_SILENCE_SECONDS:
            interval_seconds = ANSWERED_VERIFICATION_INTERVAL_SECONDS
        if now - self._verified_at < interval_seconds:
            return False
        if self._is_silent:
            return True
        self._drop_old_connect_failures(now)
        failed_count = max(len(self._failures), len(self._connect_failures))
        return failed_count >= min(SUSPICIOUS_SERVER_COUNT, server_count)

    def record_unanswered_verification(
        self, probed_servers: Iterable[ids.ServerId], now: float
    ) -> Evidence:
        """Records that no server of the sample answered: the daemon is cut off.

        Returns:
            What this was decided on.
        """
        self._is_cut_off = True
        return self._evidence(tuple(probed_servers), now)

    def record_new_connection_answer(self, now: float) -> Evidence | None:
        """Records an answer on a new connection.

        Returns:
            What the state was based on, if it ends with the answer.
        """
        evidence = None
        if self._is_cut_off:
            evidence = self._evidence((), now)
            self._is_cut_off = False
        else:
            self._verified_at = now
        self._last_answer_at = now
        self._is_silent = False
        self._failures.clear()
        self._connect_failures.clear()
        self._first_failure_at = None
        return evidence

    def _evidence(
        self, probed_servers: tuple[ids.ServerId, ...], now: float
    ) -> Evidence:
        since = self._first_failure_at
        return Evidence(
            tuple(self.failed_servers),
            probed_servers,
            now - self._last_answer_at,
            now if since is None else since,
        )

    def _drop_old_connect_failures(self, now: float) -> None:
        if self._is_cut_off:
            return
        for server, failed_at in list(self._connect_failures.items()):
            if now - failed_at > CONNECT_FAILURE_WINDOW_SECONDS:
                del self._connect_failures[server]
        if not self._failures and not self._connect_failures:
            self._first_failure_at = None


def choose_sample(
    random_source: random.Random,
    listed_servers: Iterable[catalogue.ListedServer],
    count: int,
    excluded: Iterable[ids.ServerId] = (),
) -> list[catalogue.ListedServer]:
    """Returns random servers of as many services and data centres as possible.

    Args:
        random_source: source of randomness.
        listed_servers: all servers.
        count: number of servers.
        excluded: servers that are taken only if there are no others.
    """
    avoided = set(excluded)
    left = [each for each in listed_servers if not each.entry.is_draining]
    random_source.shuffle(left)
    used: dict[tuple[str, str], int] = {}
    sample: list[catalogue.ListedServer] = []
    while left and len(sample) < count:
        best = min(
            left,
            key=lambda each: (
                each.entry.id in avoided,
                used.get(("service", each.entry.service), 0),
                used.get(("data centre", each.entry.data_centre), 0),
            ),
        )
        left.remove(best)
        sample.append(best)
        for attribute in (
            ("service", best.entry.service),
            ("data centre", best.entry.data_centre),
        ):
            used[attribute] = used.get(attribute, 0) + 1
    return sample
