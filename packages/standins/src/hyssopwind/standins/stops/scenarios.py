"""Scenarios: functions that draw a plan from a seed."""

import math
import random
from collections.abc import Callable

from hyssopwind.core import registry
from hyssopwind.standins.stops import plans

Draw = Callable[[int, random.Random], plans.Plan]

SCENARIOS: registry.Registry[str, Draw] = registry.Registry("scenario")

_Action = plans.ActionKind
_MEGABYTE = 1_000_000


def draw(name: str, seed: int) -> plans.Plan:
    """Returns the plan of a scenario for a seed.

    Raises:
        LookupError: there is no such scenario.
    """
    return SCENARIOS.find(name)(seed, random.Random(f"{name}-{seed}"))


def _terminate(at: float, gateway: int = 0) -> plans.Action:
    return plans.Action(at, gateway, _Action.TERMINATE)


@SCENARIOS.register("continuous")
def draw_continuous(seed: int, source: random.Random) -> plans.Plan:
    """Callers always have requests under way on an open connection."""
    callers = [
        plans.CallerPlan(
            plans.Habit.CONTINUOUS,
            plans.BROWSE,
            depth=source.randint(2, 4),
            starts_at=source.uniform(0.0, 0.5),
        )
        for _ in range(6)
    ]
    at = source.uniform(1.0, 1.5)
    return plans.Plan("continuous", seed, 1, tuple(callers), (_terminate(at),))


@SCENARIOS.register("early-close")
def draw_early_close(seed: int, source: random.Random) -> plans.Plan:
    """A fast request ends behind a slow one, and a further one follows."""
    callers = [
        plans.CallerPlan(
            plans.Habit.BEHIND_SLOW,
            plans.BROWSE,
            starts_at=source.uniform(0.0, 0.9),
            pause_seconds=0.1,
        )
        for _ in range(6)
    ]
    at = source.uniform(1.0, 1.5)
    return plans.Plan("early-close", seed, 1, tuple(callers), (_terminate(at),))


def _slow_reader(starts_at: float, *, asks_to_close: bool) -> plans.CallerPlan:
    """Returns a caller that reads one answer in four of five seconds."""
    return plans.CallerPlan(
        plans.Habit.NEW,
        plans.VENUE,
        starts_at=starts_at,
        stops_at=starts_at + 0.5,
        work_seconds=0.2,
        answer_bytes=6 * _MEGABYTE,
        read_bytes_per_second=1.5 * _MEGABYTE,
        asks_to_close=asks_to_close,
    )


@SCENARIOS.register("read-past-linger")
def draw_read_past_linger(seed: int, source: random.Random) -> plans.Plan:
    """A closing answer takes longer to read than the connection lingers."""
    at = source.uniform(1.0, 1.5)
    callers = [
        _slow_reader(at + source.uniform(-0.5, 0.0), asks_to_close=True)
        for _ in range(4)
    ]
    return plans.Plan(
        "read-past-linger", seed, 1, tuple(callers), (_terminate(at),)
    )


@SCENARIOS.register("read-past-exit")
def draw_read_past_exit(seed: int, source: random.Random) -> plans.Plan:
    """Answers from before SIGTERM are still being read as requests end."""
    at = source.uniform(1.5, 2.0)
    callers = []
    for _ in range(2):
        starts_at = at - source.uniform(0.4, 0.6)
        callers.append(
            plans.CallerPlan(
                plans.Habit.BATCHES,
                plans.VENUE,
                starts_at=starts_at,
                stops_at=starts_at + 0.1,
                depth=6,
                work_seconds=0.2,
                answer_bytes=3 * _MEGABYTE,
                read_bytes_per_second=4 * _MEGABYTE,
            )
        )
    return plans.Plan(
        "read-past-exit", seed, 1, tuple(callers), (_terminate(at),)
    )


@SCENARIOS.register("unread-answers")
def draw_unread_answers(seed: int, source: random.Random) -> plans.Plan:
    """Callers go on sending while answers are still unread."""
    callers = [
        plans.CallerPlan(
            plans.Habit.UNREAD,
            source.choice((plans.ROSTER, plans.VENUE)),
            starts_at=source.uniform(0.0, 0.5),
            depth=4,
            pause_seconds=source.uniform(0.05, 0.2),
            work_seconds=0.2,
            answer_bytes=source.choice((1, 2)) * _MEGABYTE,
            read_bytes_per_second=3 * _MEGABYTE,
        )
        for _ in range(3)
    ]
    at = source.uniform(1.0, 1.5)
    return plans.Plan(
        "unread-answers", seed, 1, tuple(callers), (_terminate(at),)
    )


@SCENARIOS.register("new-connections")
def draw_new_connections(seed: int, source: random.Random) -> plans.Plan:
    """Connections are opened until the process no longer accepts any."""
    callers = [
        plans.CallerPlan(
            plans.Habit.NEW,
            source.choice((plans.ROSTER, plans.VENUE)),
            starts_at=source.uniform(0.0, 0.9),
            heeds_rotation=False,
        )
        for _ in range(8)
    ]
    at = source.uniform(1.0, 1.5)
    return plans.Plan(
        "new-connections", seed, 1, tuple(callers), (_terminate(at),)
    )


@SCENARIOS.register("steady")
def draw_steady(seed: int, source: random.Random) -> plans.Plan:
    """Callers wait for answers, and the balancer takes the gateway out."""
    at = source.uniform(1.0, 1.5)
    return plans.Plan(
        "steady", seed, 1, _steady_callers(source, 1), (_terminate(at),)
    )


@SCENARIOS.register("site-rates")
def draw_site_rates(seed: int, source: random.Random) -> plans.Plan:
    """Requests at the rates of a site; only the most frequent kind pipelines.

    The rates are those of five of its gateways, so that more cases show.
    """
    callers = []
    for kind, callers_of_kind, interval_seconds in (
        (plans.BROWSE, 8, 0.8),
        (plans.BOOK, 3, 0.9),
        (plans.ROSTER, 3, 1.0),
        (plans.VENUE, 2, 1.3),
    ):
        is_pipelined = kind is plans.BROWSE
        for _ in range(callers_of_kind):
            callers.append(
                plans.CallerPlan(
                    plans.Habit.PACED,
                    kind,
                    starts_at=source.uniform(0.0, 0.5),
                    depth=4 if is_pipelined else 1,
                    pause_seconds=interval_seconds,
                    body_bytes=1_000,
                )
            )
    at = source.uniform(1.0, 1.5)
    return plans.Plan("site-rates", seed, 2, tuple(callers), (_terminate(at),))


@SCENARIOS.register("long-work")
def draw_long_work(seed: int, source: random.Random) -> plans.Plan:
    """Work that begins before the end of the balancer's delay goes on."""
    at = source.uniform(1.0, 1.5)
    callers = [
        plans.CallerPlan(
            source.choice((plans.Habit.NEW, plans.Habit.KEPT)),
            plans.VENUE,
            starts_at=at + source.uniform(0.5, 2.9),
            stops_at=at + 3.0,
            work_seconds=source.uniform(1.5, 2.6),
            heeds_rotation=False,
        )
        for _ in range(12)
    ]
    return plans.Plan("long-work", seed, 1, tuple(callers), (_terminate(at),))


@SCENARIOS.register("bodies")
def draw_bodies(seed: int, source: random.Random) -> plans.Plan:
    """Bodies are on their way at SIGTERM, some of them slow."""
    callers = [
        plans.CallerPlan(
            source.choice((plans.Habit.KEPT, plans.Habit.NEW)),
            plans.BOOK,
            starts_at=source.uniform(0.0, 0.5),
            body_bytes=source.choice((1_000, 100_000, 900_000)),
            body_seconds=source.choice((0.0, 0.3, 1.0, 2.0)),
            expects_continue=source.random() < 0.4,
        )
        for _ in range(8)
    ]
    at = source.uniform(1.0, 1.5)
    return plans.Plan("bodies", seed, 1, tuple(callers), (_terminate(at),))


@SCENARIOS.register("busy-cores")
def draw_busy_cores(seed: int, source: random.Random) -> plans.Plan:
    """Callers that wait for answers, beside processes that never sleep."""
    at = source.uniform(1.0, 1.5)
    return plans.Plan(
        "busy-cores",
        seed,
        1,
        _steady_callers(source, 1),
        (_terminate(at),),
        busy_processes=2,
    )


@SCENARIOS.register("shared-core")
def draw_shared_core(seed: int, source: random.Random) -> plans.Plan:
    """Two gateways and processes that never sleep share one core."""
    callers = list(_steady_callers(source, 2))
    for _ in range(4):
        callers.append(
            plans.CallerPlan(
                source.choice((plans.Habit.CONTINUOUS, plans.Habit.NEW)),
                plans.BROWSE,
                gateway=source.randrange(2),
                starts_at=source.uniform(0.0, 0.8),
                depth=source.randint(2, 4),
                heeds_rotation=False,
            )
        )
    at = source.uniform(1.0, 1.5)
    return _make_plan(
        "shared-core",
        seed,
        2,
        tuple(callers),
        [_terminate(at), _terminate(at + source.uniform(0.0, 2.0), 1)],
        busy_processes=source.choice((1, 2, 3)),
        shares_core=True,
    )


@SCENARIOS.register("repeated-signals")
def draw_repeated_signals(seed: int, source: random.Random) -> plans.Plan:
    """SIGHUP before and after SIGTERM, which comes twice."""
    at = source.uniform(1.0, 1.5)
    actions = [
        plans.Action(at - source.uniform(0.0, 0.8), 0, _Action.RELOAD),
        _terminate(at),
        plans.Action(at + source.uniform(0.0, 1.0), 0, _Action.RELOAD),
        _terminate(at + source.uniform(0.01, 2.5)),
    ]
    return _make_plan(
        "repeated-signals", seed, 1, _steady_callers(source, 1), actions
    )


@SCENARIOS.register("term-while-starting")
def draw_term_while_starting(seed: int, source: random.Random) -> plans.Plan:
    """A process gets SIGTERM before or just after it begins to serve."""
    return _make_starting_plan(
        "term-while-starting", seed, source, _Action.TERMINATE
    )


@SCENARIOS.register("reload-while-starting")
def draw_reload_while_starting(seed: int, source: random.Random) -> plans.Plan:
    """A process gets SIGHUP before or just after it begins to serve."""
    return _make_starting_plan(
        "reload-while-starting", seed, source, _Action.RELOAD
    )


@SCENARIOS.register("freeze")
def draw_freeze(seed: int, source: random.Random) -> plans.Plan:
    """A gateway stops while another one is frozen, and after its own freeze."""
    at = source.uniform(1.0, 1.5)
    actions = [
        plans.Action(at - 0.9, 1, _Action.FREEZE),
        _terminate(at),
        plans.Action(at + source.uniform(0.0, 1.0), 1, _Action.THAW),
        plans.Action(at + 1.5, 0, _Action.START),
        _terminate(at + source.uniform(4.5, 5.0), 1),
    ]
    return _make_plan(
        "freeze", seed, 2, _steady_callers(source, 2, stops_at=12.0), actions
    )


@SCENARIOS.register("rolling")
def draw_rolling(seed: int, source: random.Random) -> plans.Plan:
    """Gateways restart one after the other, and their stops overlap."""
    gateway_count = source.choice((3, 4))
    actions = []
    at = source.uniform(0.8, 1.2)
    for gateway in range(gateway_count):
        actions += [
            _terminate(at, gateway),
            plans.Action(at + 0.05, gateway, _Action.START),
        ]
        at += source.uniform(1.0, 4.0)
    callers = _steady_callers(source, gateway_count, stops_at=at + 6.0)
    return _make_plan("rolling", seed, gateway_count, callers, actions)


@SCENARIOS.register("peer-killed")
def draw_peer_killed(seed: int, source: random.Random) -> plans.Plan:
    """A peer is killed shortly before or after SIGTERM."""
    at = source.uniform(1.5, 2.0)
    actions = [
        _terminate(at),
        plans.Action(at + source.uniform(-1.0, 2.0), 1, _Action.KILL),
    ]
    return _make_plan(
        "peer-killed", seed, 3, _steady_callers(source, 3), actions
    )


@SCENARIOS.register("mixed")
def draw_mixed(seed: int, source: random.Random) -> plans.Plan:
    """All kinds of callers, restarts in series, and a busy core at times."""
    gateway_count = source.choice((1, 2, 3))
    actions = []
    at = source.uniform(0.8, 1.2)
    for gateway in range(gateway_count):
        actions += [
            _terminate(at, gateway),
            plans.Action(at + 0.05, gateway, _Action.START),
        ]
        if source.random() < 0.3:
            repeated_at = at + source.uniform(0.1, 3.0)
            actions.append(_terminate(repeated_at, gateway))
        if source.random() < 0.3:
            reloaded_at = at + source.uniform(-0.5, 2.0)
            actions.append(plans.Action(reloaded_at, gateway, _Action.RELOAD))
        at += source.uniform(0.5, 3.0)
    stops_at = at + 7.0
    callers = list(_steady_callers(source, gateway_count, stops_at=stops_at))
    for _ in range(6):
        habit = source.choice(
            (
                plans.Habit.CONTINUOUS,
                plans.Habit.CONTINUOUS,
                plans.Habit.BEHIND_SLOW,
                plans.Habit.UNREAD,
                plans.Habit.NEW,
            )
        )
        is_unread = habit is plans.Habit.UNREAD
        callers.append(
            plans.CallerPlan(
                habit,
                plans.ROSTER if is_unread else plans.BROWSE,
                gateway=source.randrange(gateway_count),
                starts_at=source.uniform(0.0, 0.8),
                stops_at=stops_at,
                depth=source.randint(2, 4),
                pause_seconds=0.1,
                answer_bytes=_MEGABYTE if is_unread else 200,
                read_bytes_per_second=(
                    3 * _MEGABYTE if is_unread else math.inf
                ),
                heeds_rotation=source.random() < 0.5,
            )
        )
    return _make_plan(
        "mixed",
        seed,
        gateway_count,
        tuple(callers),
        actions,
        busy_processes=source.choice((0, 0, 1)),
    )


def _make_plan(
    name: str,
    seed: int,
    gateway_count: int,
    callers: tuple[plans.CallerPlan, ...],
    actions: list[plans.Action],
    busy_processes: int = 0,
    shares_core: bool = False,
) -> plans.Plan:
    actions.sort(key=lambda action: action.at)
    return plans.Plan(
        name,
        seed,
        gateway_count,
        callers,
        tuple(actions),
        busy_processes=busy_processes,
        shares_core=shares_core,
    )


def _steady_callers(
    source: random.Random, gateway_count: int, stops_at: float = 7.6
) -> tuple[plans.CallerPlan, ...]:
    """Returns callers that wait for answers and heed the balancer."""
    callers = []
    for number in range(4 + 2 * gateway_count):
        habit = source.choice(
            (plans.Habit.KEPT, plans.Habit.NEW, plans.Habit.BATCHES)
        )
        kind = source.choice(plans.KINDS)
        if not kind.is_safe and habit is plans.Habit.BATCHES:
            habit = plans.Habit.KEPT
        callers.append(
            plans.CallerPlan(
                habit,
                kind,
                gateway=number % gateway_count,
                starts_at=source.uniform(0.0, 0.6),
                stops_at=stops_at,
                depth=source.randint(2, 4),
                pause_seconds=source.choice((0.0, 0.0, 0.05, 0.3)),
                body_bytes=1_000,
            )
        )
    return tuple(callers)


def _make_starting_plan(
    name: str, seed: int, source: random.Random, kind: plans.ActionKind
) -> plans.Plan:
    """Returns a plan with callers that connect once the process listens."""
    callers = [
        plans.CallerPlan(
            source.choice((plans.Habit.NEW, plans.Habit.KEPT)),
            source.choice(plans.KINDS),
            starts_at=source.uniform(0.0, 0.4),
            stops_at=2.5,
            body_bytes=1_000,
            heeds_rotation=False,
        )
        for _ in range(6)
    ]
    actions = (
        plans.Action(0.3, 0, _Action.START),
        plans.Action(
            0.3 + source.choice((0.0, source.uniform(0.1, 0.9))),
            0,
            kind,
            waits_for_listener=True,
        ),
    )
    return plans.Plan(
        name, seed, 1, tuple(callers), actions, starts_ready=False
    )
