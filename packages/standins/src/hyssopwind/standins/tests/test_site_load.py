"""Load patterns that the choice of servers answers, in virtual time."""

import unittest

from hyssopwind.standins.virtual import experiment

SEEDS = 2
WAIT = "ask, wait for a good server"
AT_ONCE = "ask, send at once"
OWN = "own counts"


def rows(pattern):
    return {row.policy: row for row in experiment.compare(pattern, SEEDS)}


class PatternTest(unittest.TestCase):
    def test_burst_twice_the_usual_rate_among_disturbed_servers(self):
        """Requests that wait at the daemon don't fill disturbed servers."""
        found = rows("burst")
        self.assertGreaterEqual(found[WAIT].in_target, 0.9)
        gained = found[WAIT].in_target - found[AT_ONCE].in_target
        self.assertGreaterEqual(gained, 0.1)
        self.assertLessEqual(found[WAIT].failed, 0.02)

    def test_lasting_overload(self):
        """What can't be served in time is refused and takes no slots."""
        found = rows("overload")
        self.assertGreaterEqual(found[WAIT].in_target, 0.7)
        self.assertLessEqual(found[WAIT].failed, 0.02)
        self.assertGreater(found[WAIT].in_target, found[AT_ONCE].in_target)

    def test_calm_hours_with_disturbed_servers(self):
        """Fresh reports find the servers that are not disturbed."""
        found = rows("calm")
        self.assertGreaterEqual(found[WAIT].in_target, 0.97)
        self.assertEqual(found[WAIT].refused, 0.0)
        self.assertGreater(found[WAIT].in_target, found[OWN].in_target)

    def test_servers_with_two_slots_that_crowding_does_not_slow(self):
        found = rows("two slots")
        self.assertGreaterEqual(found[WAIT].in_target, 0.95)

    def test_waiting_costs_nothing_without_disturbance(self):
        found = rows("no neighbours")
        self.assertGreaterEqual(found[WAIT].in_target, 0.99)


class PlotTest(unittest.TestCase):
    def test_plot_has_a_bar_for_each_row(self):
        row = experiment.Row("calm", WAIT, 0.5, 0.2, 0.2, 0.1, 0.4)
        plot = experiment.draw([row, row])
        self.assertEqual(plot.count("<rect"), 2)
        self.assertIn("0.500", plot)
