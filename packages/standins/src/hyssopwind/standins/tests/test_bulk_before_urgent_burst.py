"""Many delay-tolerant requests come just before an urgent burst."""

import unittest

from hyssopwind.standins.tests import kind_pattern_case

PATTERN = "bulk before an urgent burst"


class BulkBeforeUrgentBurstTest(unittest.TestCase):
    # Urgent requests waited in line behind archives with ten times their
    # target; 0.44 of them were in target.
    def test_burst_is_in_target_beside_bulk(self):
        self.assertGreaterEqual(
            kind_pattern_case.find_in_target(PATTERN, "live"),
            0.75,
            kind_pattern_case.render(PATTERN),
        )

    def test_bulk_is_served(self):
        self.assertGreaterEqual(
            kind_pattern_case.find_served(PATTERN, "archive"),
            0.95,
            kind_pattern_case.render(PATTERN),
        )
