"""A hundred daemons with a request a second each."""

import unittest

from hyssopwind.standins.tests import kind_pattern_case
from hyssopwind.standins.virtual import kind_patterns

PATTERN = "one request a second"


class OneRequestASecondTest(unittest.TestCase):
    # A daemon sees an urgent request only every ten seconds, and estimates the
    # demand of the fleet from it.
    def test_all_kinds_are_served(self):
        for kind in ("collection", "order", "archive", "live"):
            with self.subTest(kind=kind):
                self.assertGreaterEqual(
                    kind_pattern_case.find_in_target(PATTERN, kind),
                    0.97,
                    kind_pattern_case.render(PATTERN),
                )

    def test_split_keeps_to_the_weights(self):
        counts = kind_pattern_case.run(PATTERN)["live"]
        ratio = counts.service_counts[kind_patterns.MEMBERS] / (
            counts.request_count
        )
        self.assertAlmostEqual(ratio, 0.5, delta=0.06)
