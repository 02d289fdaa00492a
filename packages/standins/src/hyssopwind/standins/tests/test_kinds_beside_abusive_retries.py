"""Callers of one kind come back at once, many times."""

import dataclasses
import unittest

from hyssopwind.standins.virtual import kind_fleet

SEEDS = (1, 2, 3)
ABUSIVE = dataclasses.replace(
    kind_fleet.ARCHIVE,
    caller_retries=12,
    ignores_retry_after=True,
    burst_factor=2.5,
)
PLAN = kind_fleet.Plan(
    (kind_fleet.COLLECTION, kind_fleet.ORDER, ABUSIVE, kind_fleet.LIVE),
    kind_fleet.SERVICES,
    rejected_ratio=0.3,
)


class AbusiveRetriesTest(unittest.TestCase):
    # Retries of the abusive kind used the budget of the urgent one, of which
    # 0.84 were served in target.
    def test_urgent_kind_is_served_in_target(self):
        counts = kind_fleet.run_seeds(PLAN, SEEDS)
        self.assertGreater(counts["live"].in_target_ratio, 0.87)
