"""Scenarios: functions that draw a plan from a seed."""

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
