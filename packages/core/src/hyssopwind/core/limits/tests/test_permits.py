import math
import random
import unittest

from hyssopwind.core import ids
from hyssopwind.core.limits import permit_issuer
from hyssopwind.core.limits import rate_limits
from hyssopwind.core.limits import request_limits
from hyssopwind.core.limits import share_lending

SERVICE = ids.ServiceId("s")
SERVER = ids.InstanceId("i-1@1")
ROUND_SECONDS = 0.5


def make_stated_limit(rate):
    return request_limits.RateLimit(rate, rate_limits.STATED_BURST_COUNT)


class Daemon:
    """A daemon whose messages arrive at once, or not at all."""

    def __init__(self, name, fleet_size):
        self.name = name
        self.fleet_size = fleet_size
        self.lender = share_lending.ShareLender(name)
        self.issuer = permit_issuer.PermitIssuer()
        self.next_round_at = 0.0

    def plan(self, daemons, now):
        ranked = share_lending.rank_owners(SERVICE, [d.name for d in daemons])
        return self.lender.plan(SERVICE, ranked, now)

    def issue(self, limit, daemons, now):
        shares = self.issuer.lender_count(SERVICE, now)
        if self.plan(daemons, now).owner == self.name:
            shares += 1
        demand = permit_issuer.PermitDemand(
            SERVICE, [permit_issuer.Candidate(SERVER, limit)], 0.0, 0.0
        )
        share_ratio = min(1.0, shares / self.fleet_size)
        return self.issuer.issue(demand, [], share_ratio, now)


class Fleet:
    """Daemons that all want to send to one server all the time."""

    def __init__(self, count, limit, seed, reachable=lambda a, b, now: True):
        self.random = random.Random(seed)
        names = [ids.DaemonId(f"d{number}") for number in range(count)]
        self.daemons = [Daemon(name, count) for name in names]
        self.by_name = {each.name: each for each in self.daemons}
        self.limit = limit
        self.reachable = reachable
        self.sent_times = []

    def run(self, seconds, step=0.02, demanding=None):
        now = 0.0
        while now < seconds:
            for daemon in self.daemons:
                if daemon.next_round_at <= now:
                    daemon.next_round_at = now + ROUND_SECONDS
                    self.run_round(daemon, now)
            for daemon in self.random.sample(self.daemons, len(self.daemons)):
                if demanding is None or daemon.name in demanding:
                    self.try_send(daemon, now)
            now += step

    def run_round(self, daemon, now):
        plan = daemon.plan(self.daemons, now)
        if plan.owner not in (None, daemon.name):
            daemon.lender.record_loan(SERVICE, plan.owner, now)
            owner = self.by_name[plan.owner]
            if self.reachable(daemon.name, owner.name, now):
                owner.issuer.record_loan(SERVICE, daemon.name, now)
                daemon.lender.record_heard(owner.name, now)
        for name in plan.contacts:
            if self.reachable(daemon.name, name, now):
                daemon.lender.record_heard(name, now)

    def try_send(self, daemon, now):
        plan = daemon.plan(self.daemons, now)
        if plan.owner is None:
            return
        if not self.reachable(daemon.name, plan.owner, now):
            return
        owner = self.by_name[plan.owner]
        result = owner.issue(self.limit, self.daemons, now)
        if isinstance(result, permit_issuer.Grant):
            self.sent_times.append(now)

    def most_in_one_second(self):
        return max(
            sum(t <= s < t + 1.0 for s in self.sent_times)
            for t in self.sent_times
        )


class FleetPermitTest(unittest.TestCase):
    """A server takes few requests from all daemons together."""

    # A server restarts cold while all daemons have requests for it.
    def test_daemons_with_same_view_stay_within_tolerated_rate(self):
        for rate in (3.4, 1.0, 0.5, 7.0):
            fleet = Fleet(15, rate_limits.make_warmup_limit(rate), seed=1)
            fleet.run(20.0, step=0.005)
            self.assertLessEqual(fleet.most_in_one_second(), max(1.0, rate))
            self.assertGreaterEqual(
                len(fleet.sent_times), 0.8 * math.floor(rate) * 20.0
            )

    def test_daemons_with_same_view_stay_within_stated_limit(self):
        fleet = Fleet(15, make_stated_limit(3.4), seed=1)
        fleet.run(20.0)
        self.assertLessEqual(len(fleet.sent_times), 3.4 * 20.0 + 2.0)

    def test_rate_is_used_by_one_demanding_daemon(self):
        for count in (6, 15, 100):
            for rate in (0.3, 1.1, 8.0):
                fleet = Fleet(count, make_stated_limit(rate), seed=2)
                fleet.run(40.0, demanding={"d3"})
                sent = len(fleet.sent_times)
                self.assertGreaterEqual(sent, 0.8 * rate * 40.0, (count, rate))
                self.assertLessEqual(sent, rate * 40.0 + 2.0)

    def test_partitioned_fleet_stays_within_the_rate(self):
        def reachable(first, second, now):
            if now < 6.0:
                return True
            return (int(first[1:]) < 7) == (int(second[1:]) < 7)

        for limit in (
            make_stated_limit(3.4),
            rate_limits.make_warmup_limit(3.4),
        ):
            fleet = Fleet(15, limit, seed=3, reachable=reachable)
            fleet.run(30.0)
            self.assertLessEqual(len(fleet.sent_times), 3.4 * 30.0 + 4.0)
            self.assertLessEqual(fleet.most_in_one_second(), 3.4 * 1.5 + 5)

    # Links fail and heal at random, so that daemons disagree about the owner.
    def test_sum_stays_within_the_rate_while_links_fail(self):
        for seed in range(12):
            random_source = random.Random(seed)
            cuts = {}

            def reachable(
                first, second, now, random_source=random_source, cuts=cuts
            ):
                key = frozenset((first, second)), math.floor(now / 2.5)
                if key not in cuts:
                    cuts[key] = random_source.random() < 0.3
                return not cuts[key]

            fleet = Fleet(9, make_stated_limit(5.0), seed, reachable)
            fleet.run(40.0, step=0.05)
            self.assertLessEqual(len(fleet.sent_times), 5.0 * 40.0 + 2.0 * 9)
            for start in range(36):
                count = sum(start <= t < start + 4.0 for t in fleet.sent_times)
                self.assertLessEqual(count, 1.5 * 5.0 * 4.0 + 5, (seed, start))


class ChangedLimitTest(unittest.TestCase):
    def issue(self, issuer, limit, now, max_wait=0.0):
        demand = permit_issuer.PermitDemand(
            SERVICE, [permit_issuer.Candidate(SERVER, limit)], max_wait, 10.0
        )
        return issuer.issue(demand, [], 1.0, now)

    # Permits that were reserved at the old rate would add to the new one.
    def test_permits_issued_before_a_fall_of_the_limit_still_count(self):
        issuer = permit_issuer.PermitIssuer()
        for _ in range(5):
            result = self.issue(issuer, make_stated_limit(10.0), 0.0, 1.0)
            self.assertIsInstance(result, permit_issuer.Grant)
        denial = self.issue(issuer, make_stated_limit(1.0), 0.0)
        self.assertGreaterEqual(denial.wait_seconds[SERVER], 3.0)

    def test_limit_zero_issues_nothing(self):
        issuer = permit_issuer.PermitIssuer()
        for now in (0.0, 100.0):
            denial = self.issue(issuer, make_stated_limit(0.0), now)
            self.assertEqual(denial.wait_seconds[SERVER], math.inf)


class ReturnTest(unittest.TestCase):
    """All servers of a service are at their limits."""

    def deny(self, issuer, now, remaining=10.0):
        candidates = [
            permit_issuer.Candidate(
                ids.InstanceId(f"i-{n}@1"), make_stated_limit(1.0)
            )
            for n in range(4)
        ]
        demand = permit_issuer.PermitDemand(SERVICE, candidates, 0.0, remaining)
        result = issuer.issue(demand, [], 1.0, now)
        self.assertIsInstance(result, permit_issuer.Denial)
        return result.return_after_seconds

    def test_callers_come_back_one_for_each_permit(self):
        issuer = permit_issuer.PermitIssuer()
        times = [self.deny(issuer, 0.0) for _ in range(12)]
        for first, second in zip(times, times[1:], strict=False):
            self.assertAlmostEqual(second - first, 0.25)

    def test_callers_who_give_up_before_take_no_place(self):
        issuer = permit_issuer.PermitIssuer()
        for _ in range(12):
            self.deny(issuer, 0.0, remaining=0.5)
        self.assertLessEqual(self.deny(issuer, 0.0), 1.0)

    def test_servers_that_take_nothing_give_a_finite_time(self):
        issuer = permit_issuer.PermitIssuer()
        demand = permit_issuer.PermitDemand(
            SERVICE,
            [permit_issuer.Candidate(SERVER, make_stated_limit(0.0))],
            0.0,
            10.0,
        )
        result = issuer.issue(demand, [], 1.0, 0.0)
        self.assertTrue(math.isfinite(result.return_after_seconds))
