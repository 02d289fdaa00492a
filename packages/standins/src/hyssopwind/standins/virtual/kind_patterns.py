"""Load patterns of sites with several kinds of requests.

    python -m hyssopwind.standins.virtual.kind_patterns [PATTERN ...]

It runs the patterns and prints a row for each kind.
"""

import argparse
import dataclasses
from collections.abc import Callable
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core import registry
from hyssopwind.core.routing import tables
from hyssopwind.standins.virtual import kind_load
from hyssopwind.standins.virtual import site_load

MEMBERS = ids.ServiceId("members")
CATALOGUE = ids.ServiceId("catalogue")
# A quarter of the site that the patterns stand for, with the same load of each
# daemon and server.
SERVERS = {MEMBERS: 19, CATALOGUE: 15}
DAEMON_COUNT = 24
SCALE = 0.25

MakePlan: TypeAlias = Callable[[], kind_load.KindPlan]
PATTERNS: "registry.Registry[str, MakePlan]" = registry.Registry("pattern")


def _parts(*services: ids.ServiceId) -> tuple[tables.WeightedService, ...]:
    return tuple(tables.WeightedService(each, 1.0) for each in services)


COLLECTION = kind_load.Kind(
    "collection", 1, _parts(MEMBERS), 229 * SCALE, 0.26, 0.607, 5.058
)
ORDER = kind_load.Kind(
    "order", 1, _parts(MEMBERS), 81 * SCALE, 0.33, 0.81, 6.074
)
ARCHIVE = kind_load.Kind(
    "archive", 2, _parts(CATALOGUE), 95 * SCALE, 0.645, 3.027, 12.038
)
LIVE = kind_load.Kind(
    "live", 0, _parts(CATALOGUE), 57 * SCALE, 0.101, 0.271, 2.678
)
SPLIT_LIVE = dataclasses.replace(LIVE, parts=_parts(CATALOGUE, MEMBERS))
MODEL = site_load.LoadPlan(
    slots_per_server=6,
    queue_length=12,
    daemon_count=DAEMON_COUNT,
    duration_seconds=12.0,
)


def scale_rates(
    kinds: tuple[kind_load.Kind, ...], factor: float
) -> tuple[kind_load.Kind, ...]:
    """Returns kinds with other rates."""
    return tuple(
        dataclasses.replace(
            kind, requests_per_second=factor * kind.requests_per_second
        )
        for kind in kinds
    )


@PATTERNS.register("site in trouble")
def make_site_in_trouble() -> kind_load.KindPlan:
    """Returns 1.5 times the usual load, with cold and rejecting servers."""
    return kind_load.KindPlan(
        SERVERS,
        scale_rates((COLLECTION, ORDER, ARCHIVE, SPLIT_LIVE), 1.5),
        MODEL,
        faults={
            MEMBERS: kind_load.ServiceFaults(
                rejecting=kind_load.Period(6.0, 10.0),
                cold=kind_load.Period(3.0, 6.0),
                cold_ratio=0.33,
            )
        },
    )


@PATTERNS.register("urgent burst at full servers")
def make_urgent_burst() -> kind_load.KindPlan:
    """Returns a burst of urgent requests at servers full of long work."""
    return kind_load.KindPlan(
        {CATALOGUE: SERVERS[CATALOGUE]},
        (
            *scale_rates((ARCHIVE,), 3.5),
            dataclasses.replace(
                LIVE, burst_factor=4.0, burst=kind_load.Period(5.0, 8.0)
            ),
        ),
        MODEL,
    )


@PATTERNS.register("bulk before an urgent burst")
def make_bulk_before_burst() -> kind_load.KindPlan:
    """Returns a burst of tolerant requests just before an urgent one."""
    return kind_load.KindPlan(
        {CATALOGUE: SERVERS[CATALOGUE]},
        (
            dataclasses.replace(
                ARCHIVE, burst_factor=8.0, burst=kind_load.Period(4.0, 6.0)
            ),
            dataclasses.replace(
                LIVE, burst_factor=4.0, burst=kind_load.Period(5.5, 7.5)
            ),
        ),
        MODEL,
    )


@PATTERNS.register("work one to six")
def make_work_one_to_six() -> kind_load.KindPlan:
    """Returns two kinds of one service whose work differs by a factor of 6."""
    return kind_load.KindPlan(
        {CATALOGUE: SERVERS[CATALOGUE]},
        scale_rates((ARCHIVE, LIVE), 3.0),
        MODEL,
    )


@PATTERNS.register("servers reject half")
def make_servers_reject_half() -> kind_load.KindPlan:
    """Returns a service whose servers reject half of the arrivals."""
    return kind_load.KindPlan(
        {MEMBERS: SERVERS[MEMBERS]},
        (
            COLLECTION,
            ORDER,
            dataclasses.replace(LIVE, parts=_parts(MEMBERS)),
        ),
        MODEL,
        faults={
            MEMBERS: kind_load.ServiceFaults(
                rejecting=kind_load.Period(4.0, 9.0)
            )
        },
    )


@PATTERNS.register("third cold")
def make_third_cold() -> kind_load.KindPlan:
    """Returns a service a third of whose servers is cold at once."""
    return kind_load.KindPlan(
        {MEMBERS: SERVERS[MEMBERS]},
        scale_rates(
            (
                COLLECTION,
                ORDER,
                dataclasses.replace(LIVE, parts=_parts(MEMBERS)),
            ),
            1.4,
        ),
        MODEL,
        faults={
            MEMBERS: kind_load.ServiceFaults(
                cold=kind_load.Period(4.0, 7.0), cold_ratio=0.33
            )
        },
    )


@PATTERNS.register("abusive retries")
def make_abusive_retries() -> kind_load.KindPlan:
    """Returns an overload by a tolerant kind that retries up to ten times."""
    return kind_load.KindPlan(
        {CATALOGUE: SERVERS[CATALOGUE]},
        (
            dataclasses.replace(
                scale_rates((ARCHIVE,), 5.0)[0], max_caller_retries=10
            ),
            LIVE,
        ),
        dataclasses.replace(MODEL, duration_seconds=6.0),
    )


@PATTERNS.register("evacuation")
def make_evacuation() -> kind_load.KindPlan:
    """Returns the evacuation of one of three data centres under load."""
    return kind_load.KindPlan(
        SERVERS,
        scale_rates((COLLECTION, ORDER, ARCHIVE, SPLIT_LIVE), 1.2),
        MODEL,
        data_centre_count=3,
        evacuated_at=4.0,
    )


@PATTERNS.register("one request a second")
def make_one_request_a_second() -> kind_load.KindPlan:
    """Returns 100 daemons with a request a second each."""
    return kind_load.KindPlan(
        {MEMBERS: 10, CATALOGUE: 8},
        tuple(
            dataclasses.replace(kind, requests_per_second=rate)
            for kind, rate in (
                (COLLECTION, 50.0),
                (ORDER, 18.0),
                (ARCHIVE, 20.0),
                (SPLIT_LIVE, 12.0),
            )
        ),
        dataclasses.replace(MODEL, daemon_count=100),
    )


def run_pattern(
    name: str, seeds: tuple[int, ...], *, has_priorities: bool = True
) -> list["dict[str, kind_load.KindCounts]"]:
    """Returns the outcomes by kind of one run for each seed."""
    plan = PATTERNS.find(name)()
    results = []
    for seed in seeds:
        model = dataclasses.replace(plan.model, seed=seed)
        seeded_plan = dataclasses.replace(
            plan, model=model, has_priorities=has_priorities
        )
        results.append(dict(kind_load.run_plan(seeded_plan)))
    return results


def main() -> None:
    """Prints the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("patterns", nargs="*")
    parser.add_argument("--seeds", type=int, default=2)
    arguments = parser.parse_args()
    for name in arguments.patterns or list(PATTERNS):
        print(f"\n{name}\n")
        print(
            "| kind | priorities | requests | in target | late | refused "
            "| timed out | wait p50, ms | wait p99, ms |"
        )
        print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
        for has_priorities in (False, True):
            results = run_pattern(
                name,
                tuple(range(1, arguments.seeds + 1)),
                has_priorities=has_priorities,
            )
            for row in kind_load.render_rows(
                "on" if has_priorities else "off", results
            ):
                print(row, flush=True)


if __name__ == "__main__":
    main()
