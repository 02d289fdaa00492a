"""Two kinds of one service, of which one has six times the work."""

import unittest

from hyssopwind.standins.tests import kind_pattern_case

PATTERN = "work one to six"


class WorkOneToSixTest(unittest.TestCase):
    # The head times of long requests made the line refuse short ones at once,
    # and late urgent work went to slowed servers.
    def test_short_kind_is_served_as_well_as_the_long_one(self):
        self.assertGreaterEqual(
            kind_pattern_case.find_in_target(PATTERN, "live"),
            0.9,
            kind_pattern_case.render(PATTERN),
        )

    def test_long_kind_loses_nothing(self):
        self.assertGreaterEqual(
            kind_pattern_case.find_in_target(PATTERN, "archive"),
            kind_pattern_case.find_in_target(
                PATTERN, "archive", has_priorities=False
            )
            - 0.01,
            kind_pattern_case.render(PATTERN),
        )


class OnePriorityTest(unittest.TestCase):
    """A service with one priority decides as before priorities existed."""

    # Figures of the release before priorities: requests, in target, late, sum
    # of the latencies and of the waits in seconds.
    BEFORE = {
        1: {
            "archive": (278, 278, 0, 223.26837, 1.244392),
            "live": (186, 180, 6, 26.231175, 0.745112),
        },
        2: {
            "archive": (279, 279, 0, 246.547387, 13.791801),
            "live": (188, 155, 33, 34.545015, 3.148186),
        },
    }

    def test_seeded_decisions_are_those_before_priorities(self):
        for seed, before in self.BEFORE.items():
            after = kind_pattern_case.run_short(
                PATTERN, seed, duration_seconds=4.0
            )
            for kind, figures in before.items():
                counts = after[kind]
                with self.subTest(seed=seed, kind=kind):
                    self.assertEqual(
                        (
                            counts.request_count,
                            counts.in_target_count,
                            counts.late_count,
                            round(sum(counts.latencies_seconds), 6),
                            round(sum(counts.waits_seconds), 6),
                        ),
                        figures,
                    )
