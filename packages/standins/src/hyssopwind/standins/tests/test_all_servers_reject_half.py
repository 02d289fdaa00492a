"""All servers of a service reject half of the arrivals."""

import unittest

from hyssopwind.standins.tests import kind_pattern_case

PATTERN = "servers reject half"
KINDS = ("collection", "order")


class RejectingServersTest(unittest.TestCase):
    # The short kind was served worse than the kinds with long work.
    def test_urgent_kind_is_served_about_as_well_as_the_others(self):
        urgent = kind_pattern_case.find_in_target(PATTERN, "live")
        for kind in KINDS:
            with self.subTest(kind=kind):
                self.assertGreaterEqual(
                    urgent,
                    kind_pattern_case.find_in_target(PATTERN, kind) - 0.03,
                    kind_pattern_case.render(PATTERN),
                )

    def test_no_kind_is_starved(self):
        kind_pattern_case.assert_not_starved(self, PATTERN)
