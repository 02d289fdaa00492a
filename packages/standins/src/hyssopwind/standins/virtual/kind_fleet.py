"""Daemons that serve kinds of requests of different urgency, in virtual time.

The daemons run their own request path, as in `limited_fleet`; the servers are
those of `site_load`, which reject when their queue is full. Figures are
counted for each kind, from its callers' point of view.
"""

import asyncio
import bisect
import dataclasses
import json
import random
from unittest import mock

import multidict

from hyssopwind.core import outcomes
from hyssopwind.core.dispatch import probe_results
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.platform import field_names
from hyssopwind.standins.limits import scenarios
from hyssopwind.standins.site import documents
from hyssopwind.standins.virtual import limited_fleet
from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import site_load
from hyssopwind.transport import answers
from hyssopwind.transport import boot_clock

CALLER_ONE_WAY_SECONDS = 0.008
WORK_SPREAD = 0.3  # standard deviation of the logarithm
SLOTS = 6
QUEUE_LENGTH = 12
# Requests a second that a cold server accepts.
COLD_RATE = 3.4
DAEMONS_PER_DATA_CENTRE = 5
# The fleet's fixed number of retries, which is 58 for 98 daemons.
RETRY_SLACK = 9.0
RETRY_RATIO = 0.2
RETRY_WINDOW_SECONDS = 10.0
# Pause of a caller that is told nothing about its return.
RETRY_PAUSE_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Requests of one route.

    Attributes:
        name: name of the route and its path.
        service: service of the route.
        priority: priority of the route.
        rate: requests a second.
        work_seconds: median work.
        target_seconds: latency target.
        deadline_seconds: time for which callers wait, with their retries.
        is_idempotent: whether a request may run more than once.
        caller_retries: retries of a caller.
        ignores_retry_after: whether callers come back at once.
        burst_factor: factor on the rate during the trouble.
    """

    name: str
    service: str
    priority: int
    rate: float
    work_seconds: float
    target_seconds: float
    deadline_seconds: float
    is_idempotent: bool = True
    caller_retries: int = 2
    ignores_retry_after: bool = False
    burst_factor: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A run. Times are seconds from the start of traffic.

    Attributes:
        kinds: the kinds of requests.
        server_counts: number of servers of each service.
        trouble: start and end of the trouble.
        rejected_ratio: share of the arrivals that all servers reject during
            the trouble.
        cold_ratio: share of the servers that are cold during the trouble.
        seconds: length of the traffic.
        seed: seed of all random choices.
    """

    kinds: tuple[Kind, ...]
    server_counts: tuple[tuple[str, int], ...]
    trouble: tuple[float, float] = (6.0, 14.0)
    rejected_ratio: float = 0.0
    cold_ratio: float = 0.0
    seconds: float = 18.0
    seed: int = 1


@dataclasses.dataclass(slots=True)
class KindCounts:
    """How the requests of a kind that began in the trouble ended.

    Attributes:
        requested: number of requests, without retries.
        in_target: number answered within the target.
        late: number answered after it.
        refused: number whose last answer was a refusal.
        failed: number that ended in another way.
        refused_again: number of refusals of callers that had come back.
        wait_seconds: time until the answer of each request that was served,
            less the median work.
    """

    requested: int = 0
    in_target: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    refused_again: int = 0
    wait_seconds: list[float] = dataclasses.field(default_factory=list)

    @property
    def in_target_ratio(self) -> float:
        """Share of the requests that were answered within the target."""
        return self.in_target / max(1, self.requested)

    def wait_percentile(self, ratio: float) -> float:
        """Returns a percentile of the wait in seconds."""
        waits = sorted(self.wait_seconds) or [0.0]
        return waits[min(len(waits) - 1, int(ratio * len(waits)))]


class _KindServer(limited_fleet.LimitedServer):
    """A server of `site_load` that rejects or is cold during the trouble."""

    def __init__(
        self,
        number: int,
        fleet: "KindFleet",
        service: str,
        random_source: random.Random,
        *,
        is_cold: bool,
    ):
        super().__init__(number, fleet, is_limited=False)
        self._kind_fleet = fleet
        self._service = service
        self._is_cold = is_cold
        self._random = random_source
        self._accepted_at = 0.0
        self._model = site_load.ModelServer(
            number,
            site_load.LoadPlan(
                slots_per_server=SLOTS, queue_length=QUEUE_LENGTH
            ),
            random_source,
        )

    def entry(self, **changes: object) -> bytes:
        """Returns its entry in the store."""
        document = documents.make_server_entry(
            self.address,
            zone=self.data_centre,
            slots=SLOTS,
            service=self._service,
            **changes,
        )
        return json.dumps(document).encode()

    def answer_probe(self) -> answers.Answer:
        """Returns the answer to a load probe."""
        load = self._model.load()
        return limited_fleet._make_answer(
            200,
            {field_names.SERVER_ID: self.id, field_names.LOAD: _encode(load)},
        )

    async def answer_request(
        self, daemon_name: str, request_id: str, expected: str
    ) -> answers.Answer:
        """Runs a request and returns the answer to it."""
        fields = {field_names.REQUEST_ID: request_id}
        kind = self._kind_fleet.kinds[request_id]
        self._kind_fleet.record_arrival(request_id)
        work_seconds = kind.work_seconds * self._random.lognormvariate(
            0.0, WORK_SPREAD
        )
        # A server goes on running a request whose daemon has left.
        if self._rejects() or not await asyncio.shield(
            self._model.run(work_seconds)
        ):
            self._kind_fleet.rejected_count += 1
            fields[field_names.NOT_RUN] = "1"
            return limited_fleet._make_answer(503, fields)
        fields[field_names.SERVER_STAMP] = "s"
        fields[field_names.LOAD] = _encode(self._model.load())
        return limited_fleet._make_answer(200, fields)

    def _rejects(self) -> bool:
        plan = self._kind_fleet.plan
        if not self._kind_fleet.is_in_trouble:
            return False
        now = boot_clock.now()
        if self._is_cold:
            if now < self._accepted_at + 1.0 / COLD_RATE:
                return True
            self._accepted_at = now
        return self._random.random() < plan.rejected_ratio


def _encode(load: probe_results.Load) -> str:
    slowdown_percent = round(100 * load.slowdown)
    return f"{load.running},{load.waiting},{load.slots},{slowdown_percent}"


class KindFleet(limited_fleet.LimitedFleet):
    """A fleet, its servers, and callers of several kinds.

    Attributes:
        plan: the run.
        kinds: kind of each request, by its id.
        counts: how the requests of each kind ended.
        arrival_count: number of arrivals at servers.
        rejected_count: number of these that servers rejected.
        request_times: times at which requests reached daemons, by service.
        retry_times: times of arrivals at servers beyond the first of a request,
            by service.
        decisions: id, end in milliseconds and tag of each request's outcome.
    """

    def __init__(self, plan: Plan):
        super().__init__(
            scenarios.Scenario(limits=(), seconds=plan.seconds),
            limited_fleet.FleetSize(DAEMONS_PER_DATA_CENTRE, 1),
            plan.seed,
        )
        self.plan = plan
        self.kinds: dict[str, Kind] = {}
        self._arrived: set[str] = set()
        self.counts = {kind.name: KindCounts() for kind in plan.kinds}
        self.arrival_count = 0
        self.rejected_count = 0
        self.request_times = self._make_times()
        self.retry_times = self._make_times()
        self.decisions: list[tuple[str, int, str]] = []
        self.servers = []
        for service, count in plan.server_counts:
            for number in range(count):
                self.servers.append(
                    _KindServer(
                        len(self.servers),
                        self,
                        service,
                        random.Random(self.random_source.random()),
                        is_cold=number < plan.cold_ratio * count,
                    )
                )
        for ip, options in self._options.items():
            self._options[ip] = dataclasses.replace(
                options,
                retry_slack=RETRY_SLACK,
                retry_ratio=RETRY_RATIO,
                retry_window=RETRY_WINDOW_SECONDS,
            )

    @property
    def is_in_trouble(self) -> bool:
        """Whether the trouble of the plan is going on."""
        elapsed = boot_clock.now() - self.traffic_started_at
        return self.plan.trouble[0] <= elapsed < self.plan.trouble[1]

    def record_arrival(self, request_id: str) -> None:
        """Records the arrival of a request at a server."""
        self.arrival_count += 1
        if request_id not in self._arrived:
            self._arrived.add(request_id)
            return
        service = self.kinds[request_id].service
        self.retry_times[service].append(boot_clock.now())

    def highest_spent_ratio(self, service: str) -> float:
        """Returns the largest part of the retry budget spent in a window."""
        highest = 0.0
        start = self.traffic_started_at
        for step in range(int(10 * self.plan.seconds)):
            counts = []
            for times in (
                self.request_times[service],
                self.retry_times[service],
            ):
                first = bisect.bisect_left(times, start + step / 10)
                last = bisect.bisect_left(
                    times, start + step / 10 + RETRY_WINDOW_SECONDS
                )
                counts.append(last - first)
            allowed = RETRY_RATIO * counts[0] + RETRY_SLACK
            highest = max(highest, counts[1] / allowed)
        return highest

    def _make_times(self) -> dict[str, list[float]]:
        return {service: [] for service, _ in self.plan.server_counts}

    def _publish(self) -> None:
        routes = [
            documents.make_route_resource(
                kind.name,
                f"/{kind.name}/",
                kind="safe" if kind.is_idempotent else "unsafe",
                timeout_s=kind.deadline_seconds,
                target_latency_s=kind.target_seconds,
                priority=kind.priority,
                service=kind.service,
                max_attempts=3,
            )
            for kind in self.plan.kinds
        ]
        services = [service for service, _ in self.plan.server_counts]
        configuration = documents.make_configuration(1, routes, services)
        self.store.write("op/config", json.dumps(configuration).encode())
        for server in self.servers:
            self.store.write(f"servers/{server.id}", server.entry())

    async def _run_callers(self) -> "list[asyncio.Task[None]]":
        tasks: list[asyncio.Task[None]] = []
        generators = [
            asyncio.ensure_future(self._run_kind(kind, tasks))
            for kind in self.plan.kinds
        ]
        await asyncio.gather(*generators)
        return tasks

    async def _run_kind(
        self, kind: Kind, tasks: "list[asyncio.Task[None]]"
    ) -> None:
        end = boot_clock.now() + self.plan.seconds
        while boot_clock.now() < end:
            factor = kind.burst_factor if self.is_in_trouble else 1.0
            await asyncio.sleep(
                self.random_source.expovariate(kind.rate * factor)
            )
            tasks.append(asyncio.ensure_future(self._run_request(kind)))

    async def _run_request(self, kind: Kind) -> None:
        started_at = boot_clock.now()
        counts = self.counts[kind.name]
        if not self.is_in_trouble:
            counts = KindCounts()
        counts.requested += 1
        deadline = started_at + kind.deadline_seconds
        outcome: outcomes.Outcome | None = None
        for attempt in range(1 + kind.caller_retries):
            left = deadline - boot_clock.now()
            if left <= 0.0:
                break
            outcome = await self._send(kind, left)
            if isinstance(outcome, outcomes.Answered):
                break
            if isinstance(outcome, outcomes.NotRun):
                counts.refused_again += attempt > 0
            elif not kind.is_idempotent:
                break
            pause = outcome.retry_after_seconds
            if pause is None or kind.ignores_retry_after:
                pause = RETRY_PAUSE_SECONDS
            left = deadline - boot_clock.now()
            if attempt < kind.caller_retries:
                await asyncio.sleep(
                    min(pause, limited_fleet.MAX_RETRY_AFTER_RATIO * left)
                )
        seconds = boot_clock.now() - started_at
        _count_outcome(counts, kind, outcome, seconds)

    async def _send(self, kind: Kind, seconds: float) -> outcomes.Outcome:
        self._request_count += 1
        request_id = f"r{self._request_count}"
        self.kinds[request_id] = kind
        daemon = self._select_daemon()
        fields: multidict.CIMultiDict[str] = multidict.CIMultiDict(
            {
                "Host": documents.HOST,
                field_names.REQUEST_ID: request_id,
                field_names.DEADLINE: str(round(seconds * 1000)),
            }
        )
        self.sent_at[request_id] = boot_clock.now()
        await asyncio.sleep(CALLER_ONE_WAY_SECONDS)
        request = caller_requests.CallerRequest(
            "GET" if kind.is_idempotent else "POST",
            f"/{kind.name}/a",
            fields,
            b"",
            boot_clock.now(),
            (1, 1),
            False,
        )
        self.request_times[kind.service].append(boot_clock.now())
        outcome = await daemon.request_path.dispatcher.serve(request)
        ended_at_ms = round(boot_clock.now() * 1000)
        self.decisions.append((request_id, ended_at_ms, outcome.tag))
        await asyncio.sleep(CALLER_ONE_WAY_SECONDS)
        return outcome


def _count_outcome(
    counts: KindCounts,
    kind: Kind,
    outcome: outcomes.Outcome | None,
    seconds: float,
) -> None:
    is_served = isinstance(outcome, outcomes.Answered)
    if is_served and seconds <= kind.deadline_seconds:
        counts.wait_seconds.append(max(0.0, seconds - kind.work_seconds))
        if seconds <= kind.target_seconds:
            counts.in_target += 1
        else:
            counts.late += 1
    elif isinstance(outcome, outcomes.NotRun):
        counts.refused += 1
    else:
        counts.failed += 1


def run_in_virtual_time(plan: Plan) -> KindFleet:
    """Runs a plan on a virtual clock and returns the fleet at its end."""

    async def run() -> KindFleet:
        event_loop = asyncio.get_running_loop()
        with mock.patch.object(
            boot_clock,
            "now",
            lambda: limited_fleet.START_SECONDS + event_loop.time(),
        ):
            fleet = KindFleet(plan)
            await fleet.run()
            return fleet

    return loop.run_virtual(run())


SERVICES = (("members", 12), ("catalogue", 9))
COLLECTION = Kind("collection", "members", 1, 35.0, 0.26, 0.607, 5.058)
ORDER = Kind(
    "order", "members", 1, 12.4, 0.33, 0.81, 6.074, is_idempotent=False
)
ARCHIVE = Kind("archive", "catalogue", 2, 14.6, 0.645, 3.027, 12.038)
LIVE = Kind("live", "catalogue", 0, 8.8, 0.101, 0.271, 2.678)
LIVE_AT_MEMBERS = dataclasses.replace(LIVE, service="members")
KINDS = (COLLECTION, ORDER, ARCHIVE, LIVE)
KINDS_AT_MEMBERS = (COLLECTION, ORDER, ARCHIVE, LIVE_AT_MEMBERS)


def run_seeds(plan: Plan, seeds: tuple[int, ...]) -> dict[str, KindCounts]:
    """Runs a plan with several seeds and returns the sums by kind."""
    sums = {kind.name: KindCounts() for kind in plan.kinds}
    for seed in seeds:
        fleet = run_in_virtual_time(dataclasses.replace(plan, seed=seed))
        for name, counts in fleet.counts.items():
            total = sums[name]
            for field in dataclasses.fields(KindCounts):
                value = getattr(total, field.name) + getattr(counts, field.name)
                setattr(total, field.name, value)
    return sums
