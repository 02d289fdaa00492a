"""A third of the servers of a service is cold at once under load."""

import unittest

from hyssopwind.standins.tests import kind_pattern_case

PATTERN = "third cold"


class ColdThirdTest(unittest.TestCase):
    # A reserve on top of the lost capacity must not refuse other kinds.
    def test_all_kinds_are_served_by_the_other_servers(self):
        for kind in ("collection", "order", "live"):
            with self.subTest(kind=kind):
                self.assertGreaterEqual(
                    kind_pattern_case.find_in_target(PATTERN, kind),
                    0.97,
                    kind_pattern_case.render(PATTERN),
                )
