"""What the tests of load patterns of several kinds have in common."""

import dataclasses
import functools

from hyssopwind.standins.virtual import kind_load
from hyssopwind.standins.virtual import kind_patterns


@functools.cache
def run(name, seed=1, *, has_priorities=True):
    return kind_patterns.run_pattern(
        name, (seed,), has_priorities=has_priorities
    )[0]


def find_in_target(name, kind, *, has_priorities=True):
    return run(name, has_priorities=has_priorities)[kind].in_target_ratio


def find_served(name, kind, *, has_priorities=True):
    return run(name, has_priorities=has_priorities)[kind].served_ratio


def assert_not_starved(case, name):
    """Checks the share of each kind against that of all kinds."""
    counts = run(name)
    served_count = sum(
        c.served_ratio * c.request_count for c in counts.values()
    )
    request_count = sum(c.request_count for c in counts.values())
    for kind, each in counts.items():
        with case.subTest(kind=kind):
            case.assertGreaterEqual(
                each.served_ratio, 0.25 * served_count / request_count
            )


def render(name):
    """Returns the figures of a pattern, for the message of a failure."""
    rows = kind_load.render_rows("off", [run(name, has_priorities=False)])
    rows += kind_load.render_rows("on", [run(name)])
    return "\n" + "\n".join(rows)


def run_short(name, seed, duration_seconds):
    """Returns the outcomes of a short run in which all priorities are equal."""
    plan = kind_patterns.PATTERNS.find(name)()
    model = dataclasses.replace(
        plan.model, seed=seed, duration_seconds=duration_seconds
    )
    return kind_load.run_plan(
        dataclasses.replace(plan, model=model, has_priorities=False)
    )
