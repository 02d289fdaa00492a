"""Scenarios of daemons that are partitioned from all servers."""

import dataclasses
import enum
import random
from collections.abc import Callable
from typing import TypeAlias

from hyssopwind.core import registry


class CutKind(enum.Enum):
    """What happens to the connections between a daemon and all servers."""

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse new"


class CutScope(enum.Enum):
    """The daemons that are cut off."""

    ONE = "one"
    HALF = "half"
    DATA_CENTRE = "a data centre"
    ALL_BUT_ONE = "all but one"
    ALL = "all"


class FaultKind(enum.Enum):
    """Something else that happens."""

    KILL = "kill of a daemon"
    START = "start of a killed daemon"
    CONFIGURE = "new configuration"
    SERVICE_DOWN = "all servers of one service end"
    ALL_DOWN = "all servers end"
    SERVERS_UP = "all servers run again"


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A partition between some daemons and all servers.

    Attributes:
        starts_at: seconds from the start of traffic.
        ends_at: seconds from the start of traffic.
        kind: what happens to connections.
        scope: which daemons are cut off.
    """

    starts_at: float
    ends_at: float
    kind: CutKind
    scope: CutScope


@dataclasses.dataclass(frozen=True, slots=True)
class FaultStep:
    """Another fault at some time.

    Attributes:
        at: seconds from the start of traffic.
        kind: what happens.
        daemon: index of the daemon that it happens to.
    """

    at: float
    kind: FaultKind
    daemon: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """A time with more requests.

    Attributes:
        starts_at: seconds from the start of traffic.
        ends_at: seconds from the start of traffic.
        factor: factor on the rate of the requests.
    """

    starts_at: float
    ends_at: float
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class Herd:
    """Requests for the first service that arrive at the same moment.

    Attributes:
        size: number of requests, spread evenly over the daemons.
        period_seconds: time between two herds.
    """

    size: int
    period_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class HangPeriod:
    """A time in which servers of the second service answer only probes.

    Attributes:
        starts_at: seconds from the start of traffic.
        ends_at: seconds from the start of traffic.
        server_count: number of servers that hang.
    """

    starts_at: float
    ends_at: float
    server_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One scenario. Times are seconds from the start of traffic.

    Attributes:
        cuts: partitions; those of one scenario do not overlap.
        faults: other faults.
        popular_ratio: ratio of the requests that are equal to many others.
        reports_load: whether servers report their load.
        retry_slack: retries of all daemons in a window beyond the ratio.
        seconds: length of the traffic.
        rate: first tries of all callers per second.
        bursts: times with more requests.
        herd: requests that arrive together, beside the others.
        hangs: times in which servers hang; those of one scenario do not
            overlap.
        hangs_when_full: whether servers never answer requests that they cannot
            queue, and no later ones on the same connection; others refuse them.
    """

    cuts: tuple[Cut, ...] = ()
    faults: tuple[FaultStep, ...] = ()
    popular_ratio: float = 0.4
    reports_load: bool = True
    retry_slack: float = 58.0
    seconds: float = 14.0
    rate: float = 60.0
    bursts: tuple[Burst, ...] = ()
    herd: Herd | None = None
    hangs: tuple[HangPeriod, ...] = ()
    hangs_when_full: bool = False


MakeScenario: TypeAlias = Callable[[], Scenario]
Scenarios: TypeAlias = registry.Registry[str, MakeScenario]

SCENARIOS: Scenarios = registry.Registry("scenario")
# Scenarios in which no server can be reached by any daemon.
UNAVAILABLE: Scenarios = registry.Registry("scenario without servers")


def _register_cut(kind: CutKind, scope: CutScope) -> None:
    group = UNAVAILABLE if scope is CutScope.ALL else SCENARIOS

    @group.register(f"{scope.value}, {kind.value}")
    def _() -> Scenario:
        return Scenario(cuts=(Cut(3.0, 9.0, kind, scope),))


for _kind in CutKind:
    for _scope in CutScope:
        _register_cut(_kind, _scope)


@SCENARIOS.register("repeated cuts")
def make_repeated_cuts() -> Scenario:
    """Half of the daemons are cut off three times, each time otherwise."""
    return Scenario(
        cuts=(
            Cut(2.0, 6.0, CutKind.RESET, CutScope.HALF),
            Cut(8.0, 12.0, CutKind.HANG, CutScope.HALF),
            Cut(14.0, 18.0, CutKind.REFUSE_NEW, CutScope.HALF),
        ),
        seconds=23.0,
    )


@SCENARIOS.register("short cuts")
def make_short_cuts() -> Scenario:
    """Half of the daemons are cut off for less than a second, often."""
    return Scenario(
        cuts=tuple(
            Cut(at, at + 0.6, kind, CutScope.HALF)
            for at, kind in (
                (2.0, CutKind.HANG),
                (4.0, CutKind.RESET),
                (6.0, CutKind.REFUSE_NEW),
                (8.0, CutKind.HANG),
            )
        )
    )


@SCENARIOS.register("cut beside kills")
def make_cut_beside_kills() -> Scenario:
    """Daemons are killed and start while half of them are cut off."""
    return Scenario(
        cuts=(Cut(3.0, 9.0, CutKind.RESET, CutScope.HALF),),
        faults=(
            FaultStep(4.5, FaultKind.KILL, 1),
            FaultStep(5.0, FaultKind.KILL, 8),
            FaultStep(7.0, FaultKind.START, 8),
            FaultStep(7.5, FaultKind.START, 1),
        ),
    )


@SCENARIOS.register("cut beside configurations")
def make_cut_beside_configurations() -> Scenario:
    """Configurations change while half of the daemons are cut off."""
    return Scenario(
        cuts=(Cut(3.0, 9.0, CutKind.HANG, CutScope.HALF),),
        faults=tuple(
            FaultStep(at, FaultKind.CONFIGURE) for at in (2.0, 4.0, 6.0, 8.0)
        ),
    )


@SCENARIOS.register("cut without reported load")
def make_cut_without_reported_load() -> Scenario:
    """Servers report no load, so that they are not probed."""
    return Scenario(
        cuts=(Cut(3.0, 9.0, CutKind.HANG, CutScope.HALF),),
        reports_load=False,
    )


@SCENARIOS.register("start in a cut")
def make_start_in_cut() -> Scenario:
    """Daemons are killed and start behind a cut that goes on."""
    return Scenario(
        cuts=(Cut(2.0, 10.0, CutKind.HANG, CutScope.ALL_BUT_ONE),),
        faults=tuple(
            FaultStep(at, kind, daemon)
            for daemon in (1, 5, 9)
            for at, kind in ((3.0, FaultKind.KILL), (4.0, FaultKind.START))
        ),
    )


@SCENARIOS.register("cut with few retries")
def make_cut_with_few_retries() -> Scenario:
    """The budget of retries is used up when a cut begins."""
    return Scenario(
        cuts=(Cut(3.0, 9.0, CutKind.RESET, CutScope.HALF),),
        retry_slack=5.0,
    )


@UNAVAILABLE.register("service down")
def make_service_down() -> Scenario:
    """All servers of one service end."""
    return Scenario(
        faults=(
            FaultStep(3.0, FaultKind.SERVICE_DOWN),
            FaultStep(9.0, FaultKind.SERVERS_UP),
        )
    )


@UNAVAILABLE.register("all down")
def make_all_down() -> Scenario:
    """All servers end."""
    return Scenario(
        faults=(
            FaultStep(3.0, FaultKind.ALL_DOWN),
            FaultStep(9.0, FaultKind.SERVERS_UP),
        )
    )


def make_random(seed: int) -> Scenario:
    """Returns a scenario of random cuts and other faults."""
    random_source = random.Random(seed)
    cuts = []
    at = random_source.uniform(1.0, 3.0)
    while at < 14.0:
        ends_at = at + random_source.choice((0.3, 1.0, 4.0, 6.0))
        scope = random_source.choice(list(CutScope))
        cuts.append(
            Cut(at, ends_at, random_source.choice(list(CutKind)), scope)
        )
        at = ends_at + random_source.choice((0.1, 0.5, 2.0, 5.0))
    faults = []
    for _ in range(random_source.randrange(4)):
        daemon = random_source.randrange(15)
        killed_at = random_source.uniform(1.0, 14.0)
        faults.append(FaultStep(killed_at, FaultKind.KILL, daemon))
        started_at = killed_at + random_source.uniform(0.5, 3.0)
        faults.append(FaultStep(started_at, FaultKind.START, daemon))
    for _ in range(random_source.randrange(4)):
        configured_at = random_source.uniform(1.0, 14.0)
        faults.append(FaultStep(configured_at, FaultKind.CONFIGURE))
    if random_source.random() < 0.3:
        down_at = random_source.uniform(1.0, 12.0)
        kind = random_source.choice(
            (FaultKind.SERVICE_DOWN, FaultKind.ALL_DOWN)
        )
        faults.append(FaultStep(down_at, kind))
        faults.append(FaultStep(down_at + 3.0, FaultKind.SERVERS_UP))
    return Scenario(
        tuple(cuts),
        tuple(sorted(faults, key=lambda step: step.at)),
        popular_ratio=random_source.choice((0.0, 0.4, 0.9)),
        reports_load=random_source.random() < 0.8,
        retry_slack=random_source.choice((5.0, 58.0)),
        seconds=max(cuts[-1].ends_at, 14.0) + 4.0,
    )
