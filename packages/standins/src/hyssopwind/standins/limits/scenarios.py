"""Scenarios of servers that state limits, with the demand and the faults."""

import dataclasses
import enum
import math
from collections.abc import Callable
from typing import TypeAlias

from hyssopwind.core import registry


class Naming(enum.Enum):
    """The answers in which a server states its limit."""

    ALL = "all answers"
    PROBES = "answers to probes"
    REQUESTS = "answers to requests"
    REFUSALS = "refusals"


class Fault(enum.Enum):
    """Something that happens to a daemon."""

    KILL = "kill"
    START = "start"
    STOP = "stop"
    FREEZE = "freeze"
    THAW = "thaw"
    CUT = "cut from peers"
    HEAL = "heal"
    CUT_STORE = "cut from the store"
    HEAL_STORE = "heal the store"


@dataclasses.dataclass(frozen=True, slots=True)
class FaultStep:
    """A fault at some time.

    Attributes:
        at: seconds from the start of traffic.
        fault: what happens.
        daemon: index of the daemon, modulo the size of the fleet.
    """

    at: float
    fault: Fault
    daemon: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One scenario. Times are seconds from the start of traffic.

    Attributes:
        limits: changes of the stated limit: time, requests per second
            (infinity for none).
        limited_ratio: ratio of the servers that state the limit.
        naming: answers in which they state it.
        quiet_seconds: time for which refusals say that the server wants no
            requests; 0 if they do not say so.
        leaves_at: time from which limited servers say that they will stop.
        refusal_ratio: ratio of the requests that limited servers refuse.
        reports_load: whether servers report their load.
        busiest_share: share of the requests that one daemon gets; 0 for an
            equal share.
        demand_factor: demand relative to the rate that servers without limits
            get in quiet times.
        is_idempotent: whether the requests may run more than once.
        silent_ratio: ratio of the requests whose answers servers hold back for
            long, so that daemons hedge.
        failing_ratio: ratio of the requests that servers fail, so that daemons
            retry and eject.
        cold_seconds: time for which limited servers are cold at the start.
        faults: faults of daemons.
        drains: whether one of the limited servers is drained and its address
            used again.
        seconds: length of the traffic.
    """

    limits: tuple[tuple[float, float], ...] = ((2.0, 1.1),)
    limited_ratio: float = 0.25
    naming: Naming = Naming.ALL
    quiet_seconds: float = 0.0
    leaves_at: float = math.inf
    refusal_ratio: float = 0.0
    reports_load: bool = True
    busiest_share: float = 0.0
    demand_factor: float = 1.0
    is_idempotent: bool = True
    silent_ratio: float = 0.0
    failing_ratio: float = 0.0
    cold_seconds: float = 0.0
    faults: tuple[FaultStep, ...] = ()
    drains: bool = False
    seconds: float = 40.0


MakeScenario: TypeAlias = Callable[[], Scenario]

SCENARIOS: "registry.Registry[str, MakeScenario]" = registry.Registry(
    "scenario"
)


@SCENARIOS.register("fraction")
def make_fraction() -> Scenario:
    """A limit of a fractional number of requests per second."""
    return Scenario(limits=((2.0, 1.7),))


@SCENARIOS.register("under one a second")
def make_under_one() -> Scenario:
    """A limit under one request per second, also for the whole fleet."""
    return Scenario(limits=((2.0, 0.4),), seconds=60.0)


@SCENARIOS.register("falling and rising")
def make_falling_and_rising() -> Scenario:
    """A limit that falls, rises, ends and comes back."""
    return Scenario(
        limits=(
            (2.0, 2.0),
            (14.0, 0.7),
            (30.0, 1.8),
            (42.0, math.inf),
            (48.0, 1.0),
        ),
        seconds=64.0,
    )


@SCENARIOS.register("one server")
def make_one_server() -> Scenario:
    """A single server states a limit."""
    return Scenario(limited_ratio=0.0)


@SCENARIOS.register("all but one")
def make_all_but_one() -> Scenario:
    """All servers but one state limits."""
    return Scenario(limited_ratio=0.99)


@SCENARIOS.register("whole service")
def make_whole_service() -> Scenario:
    """All servers of the service state limits, which are below the demand."""
    return Scenario(limited_ratio=1.0)


@SCENARIOS.register("whole service, one busy daemon")
def make_whole_service_one_daemon() -> Scenario:
    """One daemon gets nearly all the load, and all servers state limits."""
    return Scenario(limited_ratio=1.0, busiest_share=0.95)


@SCENARIOS.register("one busy daemon")
def make_one_daemon() -> Scenario:
    """One daemon gets nearly all the load, and a server near it is limited."""
    return Scenario(limited_ratio=0.0, busiest_share=0.95)


@SCENARIOS.register("one busy daemon, servers in two data centres")
def make_one_daemon_two_data_centres() -> Scenario:
    """One daemon gets nearly all the load; half of the servers are remote."""
    return Scenario(busiest_share=0.95)


@SCENARIOS.register("stated to probes")
def make_stated_to_probes() -> Scenario:
    """Servers state limits only in answers to probes."""
    return Scenario(naming=Naming.PROBES)


@SCENARIOS.register("stated to requests")
def make_stated_to_requests() -> Scenario:
    """Servers state limits only in answers to requests."""
    return Scenario(naming=Naming.REQUESTS)


@SCENARIOS.register("stated in refusals")
def make_stated_in_refusals() -> Scenario:
    """Servers refuse some requests and state limits only there."""
    return Scenario(naming=Naming.REFUSALS, refusal_ratio=0.5)


@SCENARIOS.register("no load reports")
def make_no_load() -> Scenario:
    """Servers do not report their load, so that daemons do not probe them."""
    return Scenario(reports_load=False, naming=Naming.REQUESTS)


@SCENARIOS.register("hedges and retries")
def make_hedges() -> Scenario:
    """Servers hold back or fail some answers, so that daemons send again."""
    return Scenario(
        limited_ratio=0.6, silent_ratio=0.08, failing_ratio=0.08, seconds=50.0
    )


@SCENARIOS.register("unsafe requests")
def make_unsafe() -> Scenario:
    """Requests that may run only once, and all servers state limits."""
    return Scenario(limited_ratio=1.0, is_idempotent=False)


@SCENARIOS.register("warm-up")
def make_warm_up() -> Scenario:
    """Limited servers are cold at first."""
    return Scenario(cold_seconds=8.0)


@SCENARIOS.register("drained and address used again")
def make_drained() -> Scenario:
    """A limited server leaves, and another server gets its address."""
    return Scenario(drains=True, seconds=50.0)


@SCENARIOS.register("killed daemons")
def make_killed() -> Scenario:
    """Daemons are killed and start again in turn."""
    faults = []
    for number in range(6):
        at = 8.0 + 5.0 * number
        faults.append(FaultStep(at, Fault.KILL, 2 * number))
        faults.append(FaultStep(at + 1.5, Fault.START, 2 * number))
    return Scenario(limited_ratio=0.5, faults=tuple(faults), seconds=50.0)


WITHDRAWALS: "registry.Registry[str, MakeScenario]" = registry.Registry(
    "scenario of servers that want no requests"
)


@WITHDRAWALS.register("some leave")
def make_some_leave() -> Scenario:
    """Half of the servers say that they will stop, the store does not."""
    return Scenario(
        limits=((2.0, math.inf),),
        limited_ratio=0.5,
        leaves_at=5.0,
        seconds=20.0,
    )


@WITHDRAWALS.register("some want quiet")
def make_some_quiet() -> Scenario:
    """Half of the servers refuse requests and want quiet."""
    return Scenario(
        limits=((2.0, math.inf),),
        limited_ratio=0.5,
        refusal_ratio=0.5,
        quiet_seconds=3.0,
        seconds=30.0,
    )


@WITHDRAWALS.register("all want quiet")
def make_all_quiet() -> Scenario:
    """All servers refuse many requests and want quiet."""
    return Scenario(
        limits=((2.0, math.inf),),
        limited_ratio=1.0,
        refusal_ratio=0.7,
        quiet_seconds=2.5,
        seconds=30.0,
    )


@WITHDRAWALS.register("limited and quiet")
def make_limited_and_quiet() -> Scenario:
    """Servers state limits and want quiet after refusals."""
    return Scenario(
        limited_ratio=0.6,
        refusal_ratio=0.3,
        quiet_seconds=1.5,
        failing_ratio=0.05,
        seconds=30.0,
    )


PROCESS_SCENARIOS: "registry.Registry[str, MakeScenario]" = registry.Registry(
    "scenario of real processes"
)


@PROCESS_SCENARIOS.register("whole service")
def make_process_whole_service() -> Scenario:
    """All servers state a limit that falls, then ends."""
    return Scenario(
        limits=((1.0, 2.2), (9.0, 0.9), (20.0, math.inf)),
        limited_ratio=1.0,
        seconds=22.0,
    )


@PROCESS_SCENARIOS.register("one busy daemon")
def make_process_one_daemon() -> Scenario:
    """Some servers state a limit, and one daemon gets nearly all the load."""
    return Scenario(
        limits=((1.0, 0.8),),
        limited_ratio=0.5,
        naming=Naming.REQUESTS,
        busiest_share=0.95,
        seconds=20.0,
    )


@PROCESS_SCENARIOS.register("faults")
def make_process_faults() -> Scenario:
    """Daemons are killed, stopped, frozen and started again."""
    return Scenario(
        limits=((1.0, 1.6),),
        limited_ratio=0.5,
        faults=(
            FaultStep(5.0, Fault.KILL, 0),
            FaultStep(6.0, Fault.START, 0),
            FaultStep(9.0, Fault.FREEZE, 1),
            FaultStep(12.0, Fault.THAW, 1),
            FaultStep(14.0, Fault.STOP, 2),
            FaultStep(16.0, Fault.START, 2),
            FaultStep(18.0, Fault.FREEZE, 3),
            FaultStep(19.5, Fault.THAW, 3),
            FaultStep(20.0, Fault.KILL, 4),
            FaultStep(21.0, Fault.START, 4),
        ),
        seconds=26.0,
    )


@SCENARIOS.register("cut daemons")
def make_cut() -> Scenario:
    """Daemons are cut from their peers, and some from the store."""
    faults = []
    for number in range(4):
        at = 8.0 + 8.0 * number
        faults.append(FaultStep(at, Fault.CUT, 3 * number))
        faults.append(FaultStep(at + 6.0, Fault.HEAL, 3 * number))
        faults.append(FaultStep(at, Fault.CUT_STORE, 3 * number + 1))
        faults.append(FaultStep(at + 6.0, Fault.HEAL_STORE, 3 * number + 1))
    return Scenario(limited_ratio=0.5, faults=tuple(faults), seconds=50.0)
