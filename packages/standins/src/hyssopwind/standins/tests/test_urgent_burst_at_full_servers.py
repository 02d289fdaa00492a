"""An urgent burst reaches servers that are full of long work."""

import unittest

from hyssopwind.standins.tests import kind_pattern_case

PATTERN = "urgent burst at full servers"


class UrgentBurstTest(unittest.TestCase):
    # Long work filled all slots, so that a burst of short requests waited for
    # the ends of some of it; 0.51 of them were in target.
    def test_burst_finds_slots_at_full_servers(self):
        self.assertGreaterEqual(
            kind_pattern_case.find_in_target(PATTERN, "live"),
            0.75,
            kind_pattern_case.render(PATTERN),
        )

    def test_long_work_uses_the_other_slots(self):
        self.assertGreaterEqual(
            kind_pattern_case.find_in_target(PATTERN, "archive"),
            kind_pattern_case.find_in_target(
                PATTERN, "archive", has_priorities=False
            )
            - 0.08,
            kind_pattern_case.render(PATTERN),
        )
        kind_pattern_case.assert_not_starved(self, PATTERN)
