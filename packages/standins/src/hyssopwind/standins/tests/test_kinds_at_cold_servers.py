"""A third of the servers of each service is cold at once under load."""

import dataclasses
import unittest

from hyssopwind.standins.virtual import kind_fleet

SEEDS = (1, 2, 3)
LOAD_FACTOR = 1.3
KINDS = tuple(
    dataclasses.replace(kind, rate=kind.rate * LOAD_FACTOR)
    for kind in kind_fleet.KINDS_AT_MEMBERS
)
PLAN = kind_fleet.Plan(
    KINDS,
    kind_fleet.SERVICES,
    trouble=(6.0, 9.0),
    seconds=12.0,
    cold_ratio=0.33,
)


class ColdServersTest(unittest.TestCase):
    # Retries of less urgent requests left none for the urgent ones.
    def test_all_kinds_are_served_in_target(self):
        for name, counts in kind_fleet.run_seeds(PLAN, SEEDS).items():
            with self.subTest(kind=name):
                self.assertGreater(counts.in_target_ratio, 0.9)
