"""Observes whether this daemon reaches servers, and verifies a suspicion.

While the daemon is cut off it probes a few servers at a fixed rate and tells
its peers, which then hand it no requests.
"""

import asyncio
import random
from collections.abc import Callable
from collections.abc import Sequence

import logbook

from hyssopwind.core import ids
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.dispatch import probe_budgets
from hyssopwind.core.dispatch import server_reachability
from hyssopwind.core.fleet import fleet_members
from hyssopwind.platform import probe_answers
from hyssopwind.transport import boot_clock
from hyssopwind.transport import connection
from hyssopwind.transport import connection_pools

# Interval of the notices to peers while the daemon is cut off.
NOTICE_INTERVAL_SECONDS = 1.0

_log = logbook.Logger("reachability")


class ReachabilityMonitor:
    """Decides whether this daemon itself lacks the way to the servers."""

    def __init__(
        self,
        server_catalogue: catalogue.Catalogue,
        connection_pool: connection_pools.ConnectionPool,
        probe_timeout_seconds: float,
        health_path: Callable[[ids.ServiceId], str],
        probe_budget: probe_budgets.ProbeBudget,
        member_list: fleet_members.MemberList,
        on_begin: Callable[[], None],
        on_end: Callable[[float], None],
        announce: Callable[[bool], None],
        random_source: random.Random,
    ):
        self._catalogue = server_catalogue
        self._pool = connection_pool
        self._probe_timeout_seconds = probe_timeout_seconds
        self._health_path = health_path
        self._probe_budget = probe_budget
        self._member_list = member_list
        self._on_begin = on_begin
        self._on_end = on_end
        self._announce = announce
        self._random = random_source
        self._reachability = server_reachability.ServerReachability()
        self._verification: asyncio.Task[None] | None = None
        self._cut_task: asyncio.Task[None] | None = None
        self._cut_off_at = float("-inf")
        self._probe_count = 0

    @property
    def probe_count(self) -> int:
        """Number of probes sent so far."""
        return self._probe_count

    @property
    def is_reachable(self) -> bool:
        """Whether servers can be reached on new connections."""
        return self._reachability.is_reachable

    @property
    def state(self) -> server_reachability.Reachability:
        """Whether servers can be reached on any connection."""
        if self._reachability.is_reachable:
            return server_reachability.Reachability.REACHABLE
        return self._reachability.state(boot_clock.now())

    @property
    def is_cut_off(self) -> bool:
        """Whether servers answer neither on new nor on open connections."""
        return self.state is server_reachability.Reachability.CUT_OFF

    def record_answer(self) -> None:
        """Records bytes of any server."""
        self._reachability.record_answer(boot_clock.now())

    def record_failure(
        self, server: ids.ServerId, kind: attempt_results.FailureKind
    ) -> None:
        """Records a probe or request that a server did not answer."""
        now = boot_clock.now()
        self._reachability.record_failure(
            server,
            now,
            is_connect=kind is attempt_results.FailureKind.NOT_CONNECTED,
        )
        self._start_verification(now)

    def record_overdue(self, server: ids.ServerId, sent_at: float) -> None:
        """Records that a request waits much longer than expected."""
        now = boot_clock.now()
        self._reachability.record_overdue(server, sent_at, now)
        self._start_verification(now)

    async def is_confirmed_unreachable(self) -> bool:
        """Whether servers cannot be reached, after a verification that runs."""
        if self._verification is not None:
            await asyncio.wait({self._verification})
        return not self._reachability.is_reachable

    async def does_another_answer(
        self, server: ids.ServerId, since: float
    ) -> bool:
        """Whether any server has answered since a time, or one does now.

        Without any other server this cannot be known, and is assumed.

        Args:
            server: a server that does not answer.
            since: monotonic time.
        """
        if self._reachability.last_answer_at > since:
            return True
        if await self.is_confirmed_unreachable():
            return False
        sample = self._choose_sample(
            server_reachability.VERIFICATION_SAMPLE, [server]
        )
        sample = [each for each in sample if each.entry.id != server]
        if not sample:
            return True
        return await self._probe_any(sample)

    def stop(self) -> None:
        """Ends all work in the background."""
        for task in (self._verification, self._cut_task):
            if task is not None:
                task.cancel()

    def _start_verification(self, now: float) -> None:
        if self._verification is not None:
            return
        if self._reachability.needs_verification(
            self._catalogue.server_count, now
        ):
            self._verification = asyncio.get_running_loop().create_task(
                self._verify()
            )

    def _choose_sample(
        self, count: int, excluded: Sequence[ids.ServerId] = ()
    ) -> list[catalogue.ListedServer]:
        return server_reachability.choose_sample(
            self._random, self._catalogue.listed_servers(), count, excluded
        )

    async def _verify(self) -> None:
        try:
            sample = self._choose_sample(
                server_reachability.VERIFICATION_SAMPLE,
                self._reachability.failed_servers,
            )
            if not sample or await self._probe_any(sample):
                return
            now = boot_clock.now()
            evidence = self._reachability.record_unanswered_verification(
                [each.entry.id for each in sample], now
            )
            self._cut_off_at = now
            _log.warn(
                "cut off from all servers",
                extra={
                    "failed": list(evidence.failed_servers),
                    "probed": list(evidence.probed_servers),
                    "silent_ms": round(min(evidence.silent_seconds, 1e6) * 1e3),
                },
            )
            self._cut_task = asyncio.get_running_loop().create_task(
                self._watch_cut()
            )
            if self.is_cut_off:
                self._on_begin()
        finally:
            self._verification = None

    async def _watch_cut(self) -> None:
        """Probes servers and tells the peers, until a server answers."""
        next_notice_at = float("-inf")
        while not self._reachability.is_reachable:
            try:
                if boot_clock.now() >= next_notice_at:
                    next_notice_at = boot_clock.now() + NOTICE_INTERVAL_SECONDS
                    self._announce(True)
                if await self._probe_in_cut():
                    return
            except Exception as error:  # The state would never end.
                _log.error(
                    "cut could not be watched", extra={"error": repr(error)}
                )
            await asyncio.sleep(server_reachability.CUT_PROBE_INTERVAL_SECONDS)

    async def _probe_in_cut(self) -> bool:
        """Probes a few servers; returns whether the cut has ended."""
        # A daemon that is cut off sends no other probes.
        allowed_count = self._probe_budget.try_acquire(
            server_reachability.CUT_PROBE_SAMPLE,
            server_count=self._catalogue.server_count,
            daemon_count=self._member_list.fleet_size(),
            now=boot_clock.now(),
        )
        sample = self._choose_sample(max(1, allowed_count))
        if not sample:
            self._end_cut()
            return True
        has_answered, _ = await asyncio.gather(
            self._probe_any(sample), self._probe_open_connection()
        )
        return has_answered

    async def _probe_open_connection(self) -> None:
        """Probes one server on an open connection, which may live on."""
        for listed_server in self._choose_sample(
            server_reachability.OPEN_CONNECTION_SAMPLE
        ):
            entry = listed_server.entry
            idle = self._pool.take_idle(entry.address)
            if idle is None:
                continue
            self._probe_count += 1
            path = self._health_path(entry.service)
            head = f"GET {path} HTTP/1.1\r\nHost: {entry.address}\r\n\r\n"
            try:
                async with asyncio.timeout(self._probe_timeout_seconds):
                    await idle.exchange(
                        head.encode(), "GET", probe_answers.is_probe_answer
                    )
            except (connection.ExchangeError, TimeoutError):
                return
            self._pool.release(idle)
            self._reachability.record_open_connection_answer(boot_clock.now())
            return

    async def _probe_any(
        self, listed_servers: Sequence[catalogue.ListedServer]
    ) -> bool:
        """Returns whether any of the servers answers on a new connection."""
        tasks = [
            asyncio.get_running_loop().create_task(self._probe(each))
            for each in listed_servers
        ]
        try:
            for completed in asyncio.as_completed(tasks):
                if await completed:
                    self._end_cut()
                    return True
        finally:
            for task in tasks:
                task.cancel()
        return False

    async def _probe(self, listed_server: catalogue.ListedServer) -> bool:
        entry = listed_server.entry
        self._probe_count += 1
        try:
            await self._pool.get_on_new_connection(
                entry.address,
                self._health_path(entry.service),
                self._probe_timeout_seconds,
                probe_answers.is_probe_answer,
            )
        except connection.ExchangeError as error:
            # Bytes that are no answer still came from a server.
            return error.kind in (
                attempt_results.FailureKind.GARBLED,
                attempt_results.FailureKind.TOO_LARGE,
            )
        return True

    def _end_cut(self) -> None:
        now = boot_clock.now()
        evidence = self._reachability.record_new_connection_answer(now)
        if evidence is None:
            return
        _log.warn(
            "servers can be reached again",
            extra={
                "cut_off_ms": round((now - self._cut_off_at) * 1000),
                "failed": list(evidence.failed_servers),
            },
        )
        # The first probe that failed was sent before it did.
        self._on_end(evidence.since - self._probe_timeout_seconds)
        self._announce(False)
