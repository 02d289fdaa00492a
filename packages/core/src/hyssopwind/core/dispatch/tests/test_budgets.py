import random
import unittest

from hyssopwind.core import ids
from hyssopwind.core.dispatch import attempts
from hyssopwind.core.dispatch import coldness
from hyssopwind.core.dispatch import probing
from hyssopwind.core.dispatch import repeats

SERVICE = ids.ServiceId("s")
TERMS = repeats.RepeatTerms(ratio=0.2, window=10.0, slack=58.0)


class RepeatBudgetTest(unittest.TestCase):
    """Callers repeat at once while answers are lost; fifteen daemons."""

    def test_sum_over_all_daemons_keeps_the_fleet_budget(self):
        randomness = random.Random(3)
        budgets = [repeats.RepeatBudget(TERMS) for _ in range(15)]
        requests, taken = [], []
        for step in range(4_000):
            now = step * 0.01
            budget = randomness.choice(budgets)
            budget.note_request(SERVICE, now)
            requests.append(now)
            if budget.take(SERVICE, now, daemons=15):
                taken.append(now)
        for start in range(30):
            window = (start, start + TERMS.window)
            repeated = sum(window[0] <= t < window[1] for t in taken)
            asked = sum(window[0] <= t < window[1] for t in requests)
            bound = TERMS.ratio * asked + TERMS.slack
            self.assertLessEqual(repeated, bound)

    def test_fleet_that_grows_lowers_the_part_of_each(self):
        alone = repeats.RepeatBudget(TERMS).available(SERVICE, 0.0, 1)
        many = repeats.RepeatBudget(TERMS).available(SERVICE, 0.0, 100)
        self.assertAlmostEqual(alone, 100 * many)


class ProbeBudgetTest(unittest.TestCase):
    """All servers are full, and waiting requests ask again and again."""

    def test_fleet_keeps_the_rate_of_each_server_over_a_day(self):
        budgets = [probing.ProbeBudget(60.0, 0.0) for _ in range(15)]
        asked = 0
        seconds = 60
        for step in range(seconds * 40):
            for budget in budgets:
                asked += budget.take(90, servers=29, daemons=15, now=step / 40)
        self.assertLessEqual(asked / 29 / seconds, 60.0)


class ColdServerTest(unittest.TestCase):
    """A server comes back cold while all daemons have requests for it."""

    def setUp(self):
        self.fleet = [ids.DaemonId(f"d{number}") for number in range(15)]
        self.server = ids.ServerId("i-1")

    def most_in_a_second(self, views, rate):
        permits = {d: coldness.ColdPermits(d) for d in self.fleet}
        sent = []
        for step in range(3_000):
            now = step * 0.001
            for daemon in self.fleet:
                view = views[daemon]
                permit = permits[daemon]
                if permit.may_send(self.server, view, rate, now):
                    permit.note_sent(self.server, now)
                    sent.append(now)
        return max(sum(t <= s < t + 1.0 for s in sent) for t in sent)

    def test_one_view_keeps_the_tolerated_rate(self):
        views = dict.fromkeys(self.fleet, self.fleet)
        self.assertLessEqual(self.most_in_a_second(views, 3.4), 3.4)

    def test_split_fleet_keeps_the_bound(self):
        """Two parts that do not hear each other, overshoot 1.5, slack 5."""
        views = {}
        for number, daemon in enumerate(self.fleet):
            part = self.fleet[:7] if number < 7 else self.fleet[7:]
            views[daemon] = part
        bound = 3.4 * 1.5 + 5
        self.assertLessEqual(self.most_in_a_second(views, 3.4), bound)


class ComingBackTest(unittest.TestCase):
    def test_callers_come_back_spread_out_and_within_the_target(self):
        randomness = random.Random(5)
        times = [
            attempts.retry_after(0.6, randomness.random()) for _ in range(200)
        ]
        self.assertLess(max(times), 0.6)
        self.assertGreater(max(times) - min(times), 0.15)
