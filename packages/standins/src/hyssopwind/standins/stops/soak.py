"""A soak: many faults that overlap, drawn from a seed, on real processes.

A plan is written out as JSON, can be run again and is cut down when it fails.
"""

import argparse
import asyncio
import collections
import concurrent.futures
import dataclasses
import json
import math
import multiprocessing
import pathlib
import random
import shutil
import sys
import tempfile
from typing import Any

import msgspec

from hyssopwind.standins.stops import judging
from hyssopwind.standins.stops import oracles
from hyssopwind.standins.stops import plans
from hyssopwind.standins.stops import rig

SCENARIO = "soak"
FAULTS_END_SECONDS = 14.0
# Callers go on until the bounds of recovery and configuration have passed.
TRAFFIC_END_SECONDS = 32.0
GATEWAY_COUNTS = (2, 3, 4)
CALLER_COUNTS = (8, 14)
FAULT_COUNTS = (6, 14)
CROWD_COUNTS = (1, 3)
MAX_SHRINK_RUNS = 12

_Act = plans.ActionKind
_World = plans.WorldActionKind


def draw(seed: int) -> plans.Plan:
    """Returns the plan of a seed."""
    source = random.Random(f"{SCENARIO}-{seed}")
    gateway_count = source.choice(GATEWAY_COUNTS)
    actions: list[plans.Action] = []
    changes: list[plans.WorldAction] = []
    for _ in range(source.randint(*FAULT_COUNTS)):
        if source.random() < 0.5:
            actions += _draw_gateway_fault(source, gateway_count)
        else:
            changes += _draw_world_fault(source)
    actions += _final_starts(actions, gateway_count)
    changes += [
        plans.WorldAction(FAULTS_END_SECONDS, _World.SERVE),
        plans.WorldAction(FAULTS_END_SECONDS + 1.0, _World.CONFIGURE),
        # After the bounds, at a calm store.
        plans.WorldAction(FAULTS_END_SECONDS + 12.0, _World.CONFIGURE),
    ]
    return plans.Plan(
        SCENARIO,
        seed,
        gateway_count,
        tuple(
            _draw_caller(source, gateway_count)
            for _ in range(source.randint(*CALLER_COUNTS))
        ),
        tuple(sorted(actions, key=lambda action: action.at)),
        busy_processes=source.choice((0, 0, 2)),
        world_actions=tuple(sorted(changes, key=lambda change: change.at)),
        service_count=2,
        crowds=_draw_crowds(seed, gateway_count),
    )


def _draw_crowds(seed: int, gateway_count: int) -> tuple[plans.Crowd, ...]:
    """Returns crowds, drawn apart so that a seed keeps its other faults."""
    source = random.Random(f"{SCENARIO}-crowds-{seed}")
    crowds = [
        plans.Crowd(
            source.uniform(1.0, FAULTS_END_SECONDS - 4.0),
            source.uniform(0.5, 4.0),
            source.randrange(gateway_count),
            source.choice(list(plans.Listener)),
            source.choice(list(plans.CrowdKind)),
        )
        for _ in range(source.randint(*CROWD_COUNTS))
    ]
    return tuple(sorted(crowds, key=lambda crowd: crowd.at))


def _draw_gateway_fault(
    source: random.Random, gateway_count: int
) -> list[plans.Action]:
    at = source.uniform(1.0, FAULTS_END_SECONDS - 3.0)
    gateway = source.randrange(gateway_count)
    kind = source.choice(("stop", "stop", "roll", "kill", "freeze", "reload"))
    if kind == "stop":
        return [
            plans.Action(at, gateway, _Act.TERMINATE),
            plans.Action(at + source.uniform(0.1, 2.0), gateway, _Act.START),
        ]
    if kind == "roll":
        rolled = []
        for number in range(gateway_count):
            begin = at + number * source.uniform(0.2, 1.5)
            rolled.append(plans.Action(begin, number, _Act.TERMINATE))
            rolled.append(plans.Action(begin + 0.3, number, _Act.START))
        return rolled
    if kind == "kill":
        return [
            plans.Action(at, gateway, _Act.KILL),
            plans.Action(at + source.uniform(0.0, 1.0), gateway, _Act.START),
        ]
    if kind == "freeze":
        return [
            plans.Action(at, gateway, _Act.FREEZE),
            plans.Action(at + source.uniform(0.3, 2.5), gateway, _Act.THAW),
        ]
    return [
        plans.Action(at + 0.1 * number, gateway, _Act.RELOAD)
        for number in range(source.randint(1, 3))
    ]


def _draw_world_fault(source: random.Random) -> list[plans.WorldAction]:
    at = source.uniform(1.0, FAULTS_END_SECONDS - 4.0)
    end = at + source.uniform(0.3, 3.5)
    kind = source.choice(
        ("configure", "configure", "store", "restore", "odd", "odd", "server")
    )
    if kind == "configure":
        return [
            plans.WorldAction(at + 0.33 * number, _World.CONFIGURE)
            for number in range(source.randint(1, 4))
        ]
    if kind == "store":
        mode = source.choice((_World.SILENCE, _World.TURN_AWAY))
        return [
            plans.WorldAction(at, mode),
            plans.WorldAction(end, _World.SERVE),
            plans.WorldAction(end, _World.DROP_HISTORY),
        ]
    if kind == "restore":
        return [
            plans.WorldAction(at, _World.COPY),
            plans.WorldAction(at + 0.2, _World.CONFIGURE),
            plans.WorldAction(end, _World.RESTORE),
        ]
    if kind == "odd":
        number = source.randrange(100)
        return [
            plans.WorldAction(at, _World.PUT_ODD, number),
            plans.WorldAction(at + 0.05, _World.CONFIGURE),
            plans.WorldAction(end, _World.REMOVE_ODD),
        ]
    server = source.randrange(rig.SERVER_COUNT)
    pair = source.choice(
        ((_World.CRASH, _World.RECOVER), (_World.DRAIN, _World.UNDRAIN))
    )
    return [
        plans.WorldAction(at, pair[0], server),
        plans.WorldAction(end, pair[1], server),
    ]


def _final_starts(
    actions: list[plans.Action], gateway_count: int
) -> list[plans.Action]:
    """Returns actions after which all gateways run."""
    final = []
    for gateway in range(gateway_count):
        own = [each for each in actions if each.gateway == gateway]
        if any(each.kind is _Act.FREEZE for each in own):
            final.append(
                plans.Action(FAULTS_END_SECONDS - 0.1, gateway, _Act.THAW)
            )
        if any(each.kind in (_Act.KILL, _Act.TERMINATE) for each in own):
            final.append(plans.Action(FAULTS_END_SECONDS, gateway, _Act.START))
    return final


def _draw_caller(source: random.Random, gateway_count: int) -> plans.CallerPlan:
    habit = source.choice(
        (
            plans.Habit.KEPT,
            plans.Habit.KEPT,
            plans.Habit.CONTINUOUS,
            plans.Habit.BATCHES,
            plans.Habit.BEHIND_SLOW,
            plans.Habit.NEW,
            plans.Habit.PACED,
        )
    )
    kinds: tuple[plans.RequestKind, ...] = (
        plans.BROWSE,
        plans.BOOK,
        plans.BOOK,
        plans.ROSTER,
    )
    if habit not in (plans.Habit.KEPT, plans.Habit.NEW, plans.Habit.PACED):
        kinds = (plans.BROWSE, plans.ROSTER)
    return plans.CallerPlan(
        habit,
        source.choice(kinds),
        gateway=source.randrange(gateway_count),
        starts_at=source.uniform(0.0, 0.5),
        stops_at=TRAFFIC_END_SECONDS,
        depth=source.randint(1, 4),
        pause_seconds=source.uniform(0.05, 0.3),
        work_seconds=source.uniform(0.02, 0.4),
        answer_bytes=source.choice((20, 200, 20_000)),
        heeds_rotation=source.random() < 0.5,
    )


def encode_plan(plan: plans.Plan) -> bytes:
    """Returns a plan as JSON, to be run again."""
    fields = msgspec.to_builtins(plan)
    for caller in fields["callers"]:
        # JSON has no infinite numbers; the default is infinite.
        if math.isinf(caller["read_bytes_per_second"]):
            del caller["read_bytes_per_second"]
    return msgspec.json.encode(fields)


def decode_plan(data: bytes) -> plans.Plan:
    """Returns the plan that `encode_plan` wrote."""
    return msgspec.json.decode(data, type=plans.Plan)


def judge(result: rig.RunResult) -> dict[str, list[str]]:
    """Returns the breaches of a run by rule."""
    plan = result.plan
    return oracles.find_breaches(
        oracles.RunRecords(
            result.judged,
            result.timelines,
            result.world,
            {
                f"i-{number}": number % plan.service_count
                for number in range(rig.SERVER_COUNT)
            },
            judging.Bounds(grace=plan.grace_seconds),
            tuple(result.crashes),
        )
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """What a run showed, without its records.

    Attributes:
        request_count: number of requests.
        breaches: breaches by rule.
        held_up_seconds: longest time for which the run itself was held up.
        log_directory: where the logs of the gateways are.
    """

    request_count: int
    breaches: dict[str, list[str]]
    held_up_seconds: float
    log_directory: pathlib.Path


class Soak:
    """Runs plans with the gateway that was built in a directory.

    Each run is a process, so that runs do not hold each other up: servers that
    are held up together look cut off.
    """

    def __init__(self, directory: pathlib.Path, jobs: int):
        self._directory = directory
        self._run_count = 0
        self._executor = concurrent.futures.ProcessPoolExecutor(
            jobs, multiprocessing.get_context("spawn")
        )

    def close(self) -> None:
        """Ends the processes."""
        self._executor.shutdown(cancel_futures=True)

    async def build(self) -> None:
        """Builds the gateway."""
        await rig.build(self._directory / "build")

    async def run(self, plan: plans.Plan) -> Summary:
        """Returns what the run of a plan showed."""
        self._run_count += 1
        log_directory = self._directory / f"run-{self._run_count}"
        log_directory.mkdir()
        return await asyncio.get_running_loop().run_in_executor(
            self._executor,
            run_plan,
            encode_plan(plan),
            self._directory / "build",
            log_directory,
        )

    async def shrink(self, plan: plans.Plan, rule: str) -> plans.Plan:
        """Returns a plan of fewer faults that still breaks a rule."""
        count = MAX_SHRINK_RUNS
        for field in ("actions", "world_actions", "crowds"):
            for part in _parts_to_remove(len(getattr(plan, field))):
                if not count:
                    return plan
                count -= 1
                kept = [
                    each
                    for number, each in enumerate(getattr(plan, field))
                    if number not in part
                ]
                changed: dict[str, Any] = {field: tuple(kept)}
                smaller = dataclasses.replace(plan, **changed)
                if rule in (await self.run(smaller)).breaches:
                    plan = smaller
                    break
        return plan


def run_plan(
    encoded_plan: bytes, build: pathlib.Path, log_directory: pathlib.Path
) -> Summary:
    """Runs a plan in this process."""
    plan = decode_plan(encoded_plan)
    result = asyncio.run(rig.run(plan, build, log_directory))
    return Summary(
        len(result.judged),
        judge(result),
        result.held_up_seconds,
        log_directory,
    )


def _parts_to_remove(length: int) -> list[range]:
    """Returns the parts of a list whose removal is tried, larger ones first."""
    half, quarter = length // 2, length // 4
    return [
        part
        for part in (
            range(length),
            range(half),
            range(half, length),
            range(quarter),
            range(length - quarter, length),
        )
        if part
    ]


async def run_seeds(arguments: argparse.Namespace) -> int:
    """Runs all seeds or the plan of a file; returns the failed runs."""
    failed_count = 0
    request_count = 0
    fault_counts: collections.Counter[str] = collections.Counter()
    if arguments.plan:
        drawn = [decode_plan(arguments.plan.read_bytes())]
    else:
        first, _, last = arguments.seeds.partition("-")
        drawn = [
            draw(seed) for seed in range(int(first), int(last or first) + 1)
        ]
    with tempfile.TemporaryDirectory(prefix="hyssopwind-") as text:
        soak = Soak(pathlib.Path(text), arguments.jobs)
        await soak.build()

        async def run_one(plan: plans.Plan) -> None:
            nonlocal failed_count, request_count
            summary = await soak.run(plan)
            request_count += summary.request_count
            fault_counts.update(each.kind.value for each in plan.actions)
            fault_counts.update(each.kind.value for each in plan.world_actions)
            fault_counts.update(each.kind.value for each in plan.crowds)
            _report(plan, summary, arguments.report)
            if not summary.breaches:
                return
            failed_count += 1
            if arguments.keep:
                shutil.copytree(
                    summary.log_directory,
                    arguments.keep / f"soak-{plan.seed}",
                    dirs_exist_ok=True,
                )
            if arguments.shrink:
                plan = await soak.shrink(plan, next(iter(summary.breaches)))
            _keep_plan(plan, arguments.keep)

        try:
            await asyncio.gather(*(run_one(plan) for plan in drawn))
        finally:
            soak.close()
    print(
        f"{failed_count} of {len(drawn)} runs broke a rule; {request_count}"
        f" requests; {dict(sorted(fault_counts.items()))}"
    )
    return failed_count


def _report(
    plan: plans.Plan, summary: Summary, path: pathlib.Path | None
) -> None:
    counts = {rule: len(found) for rule, found in summary.breaches.items()}
    print(
        f"{'FAILED' if counts else 'passed'} seed {plan.seed}:"
        f" {summary.request_count} requests, held up"
        f" {summary.held_up_seconds:.2f} s {counts or ''}",
        flush=True,
    )
    for rule, found in summary.breaches.items():
        print(f"  {rule}: {found[0]}")
    if path is None:
        return
    line = {
        "seed": plan.seed,
        "requests": summary.request_count,
        "held_up_seconds": round(summary.held_up_seconds, 3),
        "actions": len(plan.actions) + len(plan.world_actions),
        "crowds": len(plan.crowds),
        "breaches": summary.breaches,
    }
    with path.open("a", encoding="utf-8") as stream:
        stream.write(json.dumps(line) + "\n")


def _keep_plan(plan: plans.Plan, directory: pathlib.Path | None) -> None:
    if directory is not None:
        directory.mkdir(parents=True, exist_ok=True)
        path = directory / f"soak-{plan.seed}.json"
        path.write_bytes(encode_plan(plan))


def main() -> int:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1", help="such as 7 or 1-50")
    parser.add_argument("--plan", type=pathlib.Path, help="plan to run again")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--report", type=pathlib.Path)
    parser.add_argument("--keep", type=pathlib.Path, help="for failed runs")
    parser.add_argument("--shrink", action="store_true")
    return 1 if asyncio.run(run_seeds(parser.parse_args())) else 0


if __name__ == "__main__":
    sys.exit(main())
