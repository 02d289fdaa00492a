"""A data centre is evacuated under load."""

import unittest

from hyssopwind.standins.tests import kind_pattern_case

PATTERN = "evacuation"


class EvacuationTest(unittest.TestCase):
    # The load offered to each server grows by half at once.
    def test_all_kinds_are_served_by_the_other_data_centres(self):
        for kind in ("collection", "order", "archive", "live"):
            with self.subTest(kind=kind):
                self.assertGreaterEqual(
                    kind_pattern_case.find_in_target(PATTERN, kind),
                    0.96,
                    kind_pattern_case.render(PATTERN),
                )
