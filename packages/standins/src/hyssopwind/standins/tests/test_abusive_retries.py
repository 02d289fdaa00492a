"""Callers of one kind overload a service and retry up to ten times."""

import unittest

from hyssopwind.standins.tests import kind_pattern_case

PATTERN = "abusive retries"


class AbusiveRetriesTest(unittest.TestCase):
    # Retries that were late already took the slots of urgent requests; 0.33 of
    # these were in target.
    def test_urgent_kind_is_served_beside_retries(self):
        self.assertGreaterEqual(
            kind_pattern_case.find_in_target(PATTERN, "live"),
            0.6,
            kind_pattern_case.render(PATTERN),
        )

    def test_kind_that_retries_is_not_starved(self):
        kind_pattern_case.assert_not_starved(self, PATTERN)
