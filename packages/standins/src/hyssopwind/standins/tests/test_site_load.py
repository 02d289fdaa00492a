"""Server selection under several load patterns, in virtual time."""

import unittest

from hyssopwind.standins.virtual import experiment

SEED_COUNT = 2
WAIT_FOR_GOOD = "ask, wait for a good server"
SEND_AT_ONCE = "ask, send at once"
OWN_COUNTS = "own counts"


def rows_by_policy(pattern):
    return {
        row.policy: row
        for row in experiment.compare_policies(pattern, SEED_COUNT)
    }


class PatternTest(unittest.TestCase):
    def test_burst_is_answered_in_target_among_disturbed_servers(self):
        """Requests that wait at the daemon don't fill disturbed servers."""
        results = rows_by_policy("burst")
        self.assertGreaterEqual(results[WAIT_FOR_GOOD].in_target_ratio, 0.9)
        gain = (
            results[WAIT_FOR_GOOD].in_target_ratio
            - results[SEND_AT_ONCE].in_target_ratio
        )
        self.assertGreaterEqual(gain, 0.1)
        self.assertLessEqual(results[WAIT_FOR_GOOD].timed_out_ratio, 0.02)

    def test_lasting_overload_causes_few_timeouts(self):
        """Requests that can't succeed in time are refused and use no slots."""
        results = rows_by_policy("overload")
        self.assertGreaterEqual(results[WAIT_FOR_GOOD].in_target_ratio, 0.7)
        self.assertLessEqual(results[WAIT_FOR_GOOD].timed_out_ratio, 0.02)
        self.assertGreater(
            results[WAIT_FOR_GOOD].in_target_ratio,
            results[SEND_AT_ONCE].in_target_ratio,
        )

    def test_calm_load_is_answered_in_target_with_disturbed_servers(self):
        """Fresh probe results show which servers are not disturbed."""
        results = rows_by_policy("calm")
        self.assertGreaterEqual(results[WAIT_FOR_GOOD].in_target_ratio, 0.97)
        self.assertEqual(results[WAIT_FOR_GOOD].refused_ratio, 0.0)
        self.assertGreater(
            results[WAIT_FOR_GOOD].in_target_ratio,
            results[OWN_COUNTS].in_target_ratio,
        )

    def test_burst_is_answered_in_target_by_servers_with_two_slots(self):
        """Congestion does not slow these servers down."""
        results = rows_by_policy("two slots")
        self.assertGreaterEqual(results[WAIT_FOR_GOOD].in_target_ratio, 0.95)

    def test_waiting_policy_answers_in_target_without_disturbance(self):
        results = rows_by_policy("no neighbours")
        self.assertGreaterEqual(results[WAIT_FOR_GOOD].in_target_ratio, 0.99)


class PlotTest(unittest.TestCase):
    def test_plot_has_a_bar_for_each_row(self):
        row = experiment.PolicyRow(
            "calm", WAIT_FOR_GOOD, 0.5, 0.2, 0.2, 0.1, 0.4
        )
        plot = experiment.render_svg([row, row])
        self.assertEqual(plot.count("<rect"), 2)
        self.assertIn("0.500", plot)
