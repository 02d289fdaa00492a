import math
import random
import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from hyssopwind.core import buckets
from hyssopwind.core import ids
from hyssopwind.core.fleet import gossip_messages
from hyssopwind.core.tenants import allowance_issuer
from hyssopwind.core.tenants import allowance_results
from hyssopwind.core.tenants import allowance_returns
from hyssopwind.core.tenants import allowances
from hyssopwind.core.tenants.tests import allowance_fleet

CENTRE = ids.DataCentreId("c0")


def is_in_time(result):
    """Whether a caller can honour the time, and does not come back at once."""
    return (
        allowances.MIN_RETRY_AFTER_SECONDS
        <= result.retry_after_seconds
        <= allowances.MAX_DENIAL_SECONDS + allowances.MAX_SPREAD_SECONDS
    )


class FleetAllowanceTest(unittest.TestCase):
    """Daemons of several data centres share the allowance of a tenant."""

    def check_bound(self, fleet, allowance, start=float("-inf")):
        self.assertLessEqual(
            fleet.most_in_a_window(allowance.tenant, start),
            fleet.bound(allowance),
        )

    def check_denials(self, fleet):
        for _, _, denied in fleet.denied:
            self.assertTrue(is_in_time(denied), denied)

    # Equal shares would refuse a tenant whose requests reach few daemons.
    def test_allowance_is_used_at_one_several_and_all_daemons(self):
        for counts in ((5, 5, 5), (38, 38, 38), (104, 104, 104), (300, 8, 4)):
            for hot_count in (1, 3, None):
                allowance = allowance_fleet.make_allowance()
                fleet = allowance_fleet.SimulatedFleet(counts, [allowance])
                names = fleet.names[:hot_count]
                fleet.demand("t", 80.0, names, 0.0, 12.0)
                fleet.run_until(12.0)
                with self.subTest(counts=counts, hot_count=hot_count):
                    self.check_bound(fleet, allowance)
                    self.check_denials(fleet)
                    granted = fleet.granted_between(4.0, 12.0)
                    self.assertGreaterEqual(granted, 0.9 * 40.0 * 8.0)

    # A bucket of one data centre holds less than a token of a small tenant.
    def test_low_rates_are_used(self):
        for rate, burst in ((0.5, 0.5), (2.0, 1.0), (3.0, 20.0)):
            allowance = allowance_fleet.make_allowance(rate=rate, burst=burst)
            fleet = allowance_fleet.SimulatedFleet(
                (20, 20, 20, 20), [allowance]
            )
            fleet.demand("t", 2.0 * rate, fleet.names, 0.0, 60.0)
            fleet.run_until(60.0)
            self.check_bound(fleet, allowance)
            granted = fleet.granted_between(10.0, 60.0)
            self.assertGreaterEqual(granted, 0.9 * rate * 50.0)

    # Most tenants stay below their allowance and must not notice it.
    def test_tenants_below_their_allowances_are_not_refused(self):
        random_source = random.Random(5)
        allowance_list = [
            allowance_fleet.make_allowance(f"t{number}", rate, rate)
            for number, rate in enumerate(
                [60.0] * 4
                + [random_source.uniform(1.0, 6.0) for _ in range(74)]
            )
        ]
        fleet = allowance_fleet.SimulatedFleet((38, 38, 38), allowance_list)
        ideal_denied_count = 0
        for allowance in allowance_list:
            rate = 0.6 * allowance.requests_per_second
            times = fleet.demand(allowance.tenant, rate, fleet.names, 6.0, 16.0)
            bucket = buckets.TokenBucket(
                allowance.requests_per_second, allowance.burst, 0.0
            )
            ideal_denied_count += sum(
                not bucket.try_acquire(when) for when in times
            )
        fleet.run_until(17.0)
        granted_count = sum(len(times) for times in fleet.granted.values())
        self.assertGreater(granted_count, 2_000)
        self.assertLessEqual(
            len(fleet.denied), ideal_denied_count + 0.002 * granted_count
        )

    # The loans to a dead owner must not come back while they are in use.
    def test_owner_dies(self):
        allowance = allowance_fleet.make_allowance()
        fleet = allowance_fleet.SimulatedFleet((5, 5, 5), [allowance])
        fleet.demand("t", 80.0, fleet.names, 0.0, 20.0)
        fleet.run_until(6.0)
        fleet.kill(fleet.owner("c0"))
        fleet.run_until(20.0)
        self.check_bound(fleet, allowance)
        # The other two data centres go on.
        self.assertGreaterEqual(
            fleet.granted_between(6.0, 10.0), 0.6 * 40.0 * 4.0
        )
        self.assertGreaterEqual(
            fleet.granted_between(12.0, 20.0), 0.9 * 40.0 * 8.0 * 14 / 15
        )
        self.assertLessEqual(max(fleet.waits), 0.25)

    # Each data centre uses no more than its own part of the allowance.
    def test_data_centre_is_cut_off(self):
        def is_reachable(first, second, now):
            is_same_side = (first[:2] == "c0") == (second[:2] == "c0")
            return is_same_side or now < 5.0

        allowance = allowance_fleet.make_allowance()
        fleet = allowance_fleet.SimulatedFleet(
            (5, 5, 5), [allowance], is_reachable=is_reachable
        )
        fleet.demand("t", 200.0, fleet.names, 0.0, 20.0)
        fleet.run_until(20.0)
        self.check_bound(fleet, allowance)
        self.assertGreaterEqual(
            fleet.granted_between(10.0, 20.0), 0.9 * 40.0 * 10.0
        )

    # A daemon without peers has its own share only.
    def test_all_daemons_are_cut_off_from_each_other(self):
        for counts in ((5, 5, 5), (38, 38, 38)):
            allowance = allowance_fleet.make_allowance()
            fleet = allowance_fleet.SimulatedFleet(
                counts,
                [allowance],
                is_reachable=lambda first, second, now: now < 5.0,
            )
            fleet.demand("t", 200.0, fleet.names, 0.0, 14.0)
            fleet.run_until(14.0)
            self.check_bound(fleet, allowance)
            if sum(counts) == 15:
                self.assertGreater(fleet.granted_between(9.0, 14.0), 100)

    # A loan that is delayed must end at the owner as early as at the lender.
    def test_messages_are_lost_repeated_and_late(self):
        for longest_delay in (0.05, 0.5, 3.0):
            allowance = allowance_fleet.make_allowance()
            fleet = allowance_fleet.SimulatedFleet(
                (5, 5, 5),
                [allowance],
                delay=lambda source, now, longest=longest_delay: source.uniform(
                    0.0005, longest
                ),
                loss_ratio=0.1,
                duplicate_ratio=0.2,
            )
            fleet.demand("t", 200.0, fleet.names, 0.0, 15.0)
            fleet.run_until(15.0)
            self.check_bound(fleet, allowance)
            self.assertLessEqual(max(fleet.waits), 0.7)
            if longest_delay == 0.05:
                granted = fleet.granted_between(5.0, 15.0)
                self.assertGreaterEqual(granted, 0.9 * 40.0 * 10.0)

    # The store is down for some daemons, which know the old limit.
    def test_limit_is_lowered_at_some_daemons_first(self):
        old = allowance_fleet.make_allowance(rate=80.0, burst=40.0)
        new = allowance_fleet.make_allowance(rate=10.0, burst=5.0, version=2)
        fleet = allowance_fleet.SimulatedFleet((5, 5, 5), [old])
        fleet.demand("t", 300.0, fleet.names, 0.0, 20.0)
        fleet.run_until(5.0)
        fleet.configure(new, fleet.names[::4])
        fleet.run_until(9.0)
        self.check_bound(fleet, old)
        fleet.configure(new)
        fleet.run_until(20.0)
        self.check_bound(fleet, new, start=9.0)
        self.assertGreaterEqual(fleet.granted_between(10.0, 20.0), 0.9 * 100)

    # A daemon with an old configuration must not hold a raised limit down.
    def test_raised_limit_is_used_while_a_daemon_has_the_old_one(self):
        old = allowance_fleet.make_allowance(rate=10.0, burst=5.0)
        new = allowance_fleet.make_allowance(rate=80.0, burst=40.0, version=2)
        fleet = allowance_fleet.SimulatedFleet((5, 5, 5), [old])
        fleet.demand("t", 300.0, fleet.names, 0.0, 12.0)
        fleet.run_until(5.0)
        fleet.configure(new, fleet.names[1:])
        fleet.run_until(12.0)
        self.assertGreaterEqual(
            fleet.granted_between(6.0, 12.0), 0.9 * 80.0 * 6.0
        )

    # After the loss of power of all machines no daemon knows the others.
    def test_whole_fleet_restarts(self):
        for is_closed in (False, True):
            allowance = allowance_fleet.make_allowance()
            fleet = allowance_fleet.SimulatedFleet(
                (5, 5, 5),
                [allowance],
                quota=allowance_issuer.QuotaSettings(fail_closed=is_closed),
                started_at=0.0,
            )
            fleet.demand("t", 200.0, fleet.names, 0.5, 10.0)
            fleet.run_until(10.0)
            self.check_bound(fleet, allowance)
            expected = 0 if is_closed else 15
            self.assertEqual(fleet.granted_between(0.0, 3.0), expected)
            causes = {denied.cause for when, _, denied in fleet.denied}
            self.assertIn(allowance_results.DenialCause.UNDETERMINED, causes)
            self.assertLessEqual(max(fleet.waits), 0.7)
            self.assertGreaterEqual(
                fleet.granted_between(5.0, 10.0), 0.9 * 200.0
            )

    def test_one_daemon_restarts(self):
        allowance = allowance_fleet.make_allowance()
        fleet = allowance_fleet.SimulatedFleet((5, 5, 5), [allowance])
        fleet.demand("t", 200.0, fleet.names, 0.0, 20.0)
        for when, name in enumerate(fleet.names):
            fleet.run_until(2.0 + when)
            fleet.kill(name)
            fleet.run_until(2.3 + when)
            fleet.start(name)
        fleet.run_until(20.0)
        self.check_bound(fleet, allowance)
        self.assertGreaterEqual(fleet.granted_between(2.0, 18.0), 300)

    # Daemons of the previous release count, and never answer.
    def test_half_of_the_fleet_is_of_the_previous_release(self):
        allowance = allowance_fleet.make_allowance()
        fleet = allowance_fleet.SimulatedFleet((8, 8), [allowance])
        old = fleet.names[::2]
        for name in old:
            fleet.daemons[name].is_alive = False
        fleet.demand("t", 200.0, fleet.names[1::2], 0.0, 20.0)
        fleet.run_until(10.0)
        fleet.sent_to.clear()
        fleet.run_until(20.0)
        self.check_bound(fleet, allowance)
        # The shares of the others; theirs are not used.
        self.assertGreaterEqual(
            fleet.granted_between(10.0, 20.0), 0.9 * 0.5 * 40.0 * 10.0
        )
        # Each message is a line in the log of the daemon.
        most = max(fleet.sent_to[name] for name in old)
        self.assertLessEqual(most, 10.0 * len(old))

    # More requests must not cost more messages once the tenant is denied.
    def test_denials_are_answered_without_messages(self):
        counts = {}
        for rate in (80.0, 4_000.0):
            allowance = allowance_fleet.make_allowance()
            fleet = allowance_fleet.SimulatedFleet((5, 5, 5), [allowance])
            fleet.demand("t", rate, fleet.names, 0.0, 8.0)
            fleet.run_until(8.0)
            self.check_bound(fleet, allowance)
            counts[rate] = fleet.message_count
        self.assertLess(counts[4_000.0], 3.0 * counts[80.0])

    # Tokens of requests that reach no server must not add to the allowance.
    def test_returned_tokens_stay_within_the_bound(self):
        allowance = allowance_fleet.make_allowance()
        fleet = allowance_fleet.SimulatedFleet((5, 5, 5), [allowance])
        returned = []

        def release(daemon, result):
            if not isinstance(result, allowance_results.Granted):
                return
            if fleet.random.random() < 0.5:
                returned.append(fleet.now)
                fleet.call_at(
                    fleet.now + fleet.random.uniform(0.0, 0.7),
                    lambda: daemon.node.release(result, daemon.clock()),
                )

        when = 0.0
        while (when := when + fleet.random.expovariate(200.0)) < 15.0:
            daemon = fleet.daemons[fleet.random.choice(fleet.names)]
            fleet.call_at(
                when, lambda daemon=daemon: daemon.request("t", release)
            )
        fleet.run_until(15.0)
        times = fleet.granted[ids.TenantId("t")]
        for when in returned:
            times.remove(when)
        self.check_bound(fleet, allowance)
        self.assertGreater(len(returned), 200)

    # Daemons that have just started know nothing of what others have served;
    # the design note states the sum.
    def test_sum_of_a_restart_is_that_of_the_note(self):
        for is_closed, started_count in ((False, 114), (True, 0)):
            allowance = allowance_fleet.make_allowance()
            fleet = allowance_fleet.SimulatedFleet(
                (38, 38, 38),
                [allowance],
                quota=allowance_issuer.QuotaSettings(fail_closed=is_closed),
            )
            fleet.demand("t", 456.0, fleet.names, 0.0, 16.0)
            fleet.run_until(8.0)
            for name in fleet.names:
                fleet.kill(name)
                fleet.start(name)
            fleet.run_until(16.0)
            self.assertEqual(fleet.granted_between(8.0, 11.0), started_count)
            self.assertLessEqual(
                fleet.granted_between(8.0, 13.0), started_count + 80
            )
            self.assertLessEqual(
                fleet.most_in_a_window(), 200 + 20 + 16 + started_count
            )

    # Requests that servers refused used up the allowance of the others.
    def test_returned_tokens_are_used_by_other_daemons(self):
        for hot_count in (1, 3, None):
            allowance = allowance_fleet.make_allowance()
            fleet = allowance_fleet.SimulatedFleet((5, 5, 5), [allowance])
            names = fleet.names[:hot_count]
            fleet.demand_with_returns("t", 250.0, names, 0.0, 12.0, 0.6, 0.1)
            fleet.run_until(12.0)
            with self.subTest(hot_count=hot_count):
                self.check_bound(fleet, allowance)
                used_count = fleet.granted_between(4.0, 12.0)
                self.assertGreaterEqual(used_count, 0.9 * 40.0 * 8.0)

    # Tokens that circulate while servers refuse would all be used at once when
    # the servers serve again.
    def test_tokens_returned_for_long_do_not_add_up(self):
        for rate, burst in ((40.0, 20.0), (4.0, 4.0), (40.0, 200.0)):
            for hold in (0.1, 0.9):
                allowance = allowance_fleet.make_allowance(
                    rate=rate, burst=burst
                )
                fleet = allowance_fleet.SimulatedFleet((5, 5, 5), [allowance])
                fleet.demand_with_returns(
                    "t", 20.0 * rate, fleet.names, 0.0, 10.0, 1.0, hold
                )
                fleet.demand("t", 20.0 * rate, fleet.names, 10.0, 16.0)
                fleet.run_until(16.0)
                with self.subTest(rate=rate, burst=burst, hold=hold):
                    self.assertGreater(fleet.returned_count, 20)
                    self.check_bound(fleet, allowance)


class RandomEventsTest(unittest.TestCase):
    """Daemons die, start and are cut off while messages are lost."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
    @hypothesis.given(
        counts=strategies.lists(
            strategies.integers(1, 5), min_size=1, max_size=4
        ),
        rate=strategies.sampled_from((0.5, 4.0, 40.0)),
        burst=strategies.sampled_from((0.0, 5.0, 60.0)),
        longest_delay=strategies.sampled_from((0.002, 0.1, 2.0)),
        loss_ratio=strategies.sampled_from((0.0, 0.1, 0.4)),
        partition_seconds=strategies.sampled_from((0.7, 1.6, 2.5, 6.0)),
        cut_ratio=strategies.sampled_from((0.0, 0.3, 1.0)),
        restarts=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 19),
                strategies.floats(0.0, 12.0),
                strategies.floats(0.1, 4.0),
            ),
            max_size=5,
        ),
        pauses=strategies.lists(
            strategies.tuples(
                strategies.sampled_from((0.3, 1.0, 3.0)),
                strategies.sampled_from((0.0, 0.6, 3.0, 20.0)),
            ),
            min_size=1,
            max_size=12,
        ),
        seed=strategies.integers(0, 1_000),
        return_ratio=strategies.sampled_from((0.0, 0.3, 0.9)),
        longest_hold=strategies.sampled_from((0.05, 1.2)),
    )
    def test_sum_never_exceeds_the_bound(
        self,
        counts,
        rate,
        burst,
        longest_delay,
        loss_ratio,
        partition_seconds,
        cut_ratio,
        restarts,
        pauses,
        seed,
        return_ratio,
        longest_hold,
    ):
        cuts = {}
        cut_random = random.Random(seed)

        def is_reachable(first, second, now):
            key = (
                frozenset((first, second)),
                math.floor(now / partition_seconds),
            )
            if key not in cuts:
                cuts[key] = cut_random.random() < cut_ratio
            # Between two partitions all links work.
            return key[1] % 2 == 0 or not cuts[key]

        allowance = allowance_fleet.make_allowance(rate=rate, burst=burst)
        fleet = allowance_fleet.SimulatedFleet(
            counts,
            [allowance],
            seed,
            delay=lambda source, now: source.uniform(0.0005, longest_delay),
            loss_ratio=loss_ratio,
            duplicate_ratio=0.2,
            is_reachable=is_reachable,
        )

        def restart(name, pause_seconds):
            if fleet.daemons[name].is_alive:
                fleet.kill(name)
                fleet.call_at(
                    fleet.now + pause_seconds, lambda: fleet.start(name)
                )

        for number, when, pause_seconds in restarts:
            name = fleet.names[number % len(fleet.names)]
            fleet.call_at(
                when,
                lambda name=name, pause=pause_seconds: restart(name, pause),
            )
        when = 0.0
        for seconds, factor in pauses:
            if factor:
                demand = min(200.0, max(4.0, rate * factor))
                fleet.demand_with_returns(
                    "t",
                    demand,
                    fleet.names,
                    when,
                    when + seconds,
                    return_ratio,
                    longest_hold,
                )
                # As retries of them, and requests that run.
                fleet.demand(
                    "t", demand, fleet.names, when + seconds / 2, when + seconds
                )
            when += seconds
        fleet.run_until(when + 1.0)
        self.assertLessEqual(
            fleet.most_in_a_window("t"), fleet.bound(allowance)
        )


class IssuerTest(unittest.TestCase):
    """The buckets of an owner follow the shares that it holds."""

    def setUp(self):
        self.quota = allowance_issuer.QuotaSettings(overshoot=0.0, slack=0.0)
        self.issuer = allowance_issuer.AllowanceIssuer(self.quota, 0.0)
        self.allowance = allowance_fleet.make_allowance(rate=10.0, burst=10.0)

    def lend(self, lenders, sent_at, now, fleet_size=4):
        for name in lenders:
            self.issuer.record_loan(
                ids.DaemonId(name), fleet_size, sent_at, now
            )

    def issue(self, now, count=50):
        return self.issuer.issue(self.allowance, count, now).granted_count

    # A tenant that begins after the owner must not be refused at first.
    def test_bucket_is_filled_before_the_first_request(self):
        self.lend("ab", 10.0, 10.0)
        for when in (10.5, 11.0, 11.5):
            self.lend("ab", when, when)
        self.assertEqual(self.issue(12.0), 5)

    # Another owner may have issued the tokens of the shares that left.
    def test_tokens_of_a_share_that_left_are_dropped(self):
        self.lend("abcd", 0.0, 0.0)
        for when in (0.5, 1.0, 1.5):
            self.lend("abcd", when, when)
        self.lend("a", 2.0, 2.0)
        self.lend("a", 3.0, 3.0)
        self.assertEqual(self.issue(3.1), 2)

    def test_bucket_is_empty_after_all_loans_have_ended(self):
        self.lend("abcd", 0.0, 0.0)
        self.issue(1.0)
        self.lend("abcd", 5.0, 5.0)
        self.assertEqual(self.issue(5.0), 0)

    # A datagram that arrives late would count for too long.
    def test_late_loan_ends_with_the_loan_of_the_lender(self):
        self.lend("abcd", 0.0, 1.4)
        self.assertEqual(self.issuer.share_ratio(1.44), 1.0)
        self.assertEqual(self.issuer.share_ratio(1.46), 0.0)
        self.lend("abcd", 0.0, 1.6)
        self.assertEqual(self.issuer.share_ratio(1.6), 0.0)

    # An owner that has just started knows fewer daemons than its lenders.
    def test_smallest_share_of_the_lenders_holds(self):
        self.issuer.set_own_share(True, 1, 0.0)
        self.lend("a", 0.0, 0.0, fleet_size=8)
        self.assertEqual(self.issuer.share_ratio(0.1), 0.25)

    # With many changes of the share, old ones are merged to issue less.
    def test_many_changes_of_the_share(self):
        for number in range(500):
            self.issuer.set_own_share(True, 1 + number % 3, number / 100)
        self.assertLessEqual(self.issue(5.0), 10)

    # Daemons that ask at the same time for the same token send messages.
    def test_denied_daemons_get_different_times(self):
        self.issuer.set_own_share(True, 1, 0.0)
        waits = [
            self.issuer.issue(self.allowance, 1, 0.01).wait_seconds
            for _ in range(10)
        ]
        for first, second in zip(waits, waits[1:], strict=False):
            self.assertAlmostEqual(second - first, 0.1)

    # A denial by the share of an owner that has just matured, which grows with
    # the next loans, must not last for many seconds.
    def test_denial_is_short_after_the_share_has_grown(self):
        issuer = allowance_issuer.AllowanceIssuer(
            allowance_issuer.QuotaSettings(), 0.0
        )
        issuer.set_own_share(True, 15, 10.0)
        issue = issuer.issue(
            allowance_fleet.make_allowance(rate=1.0, burst=1.0), 1, 10.1
        )
        self.assertEqual(issue.granted_count, 0)
        self.assertLessEqual(
            issue.wait_seconds, allowance_issuer.SMALL_SHARE_WAIT_SECONDS
        )

    # A reload that lowers the slack had no effect until a restart.
    def test_lower_slack_holds_from_the_change_on(self):
        quota = allowance_issuer.QuotaSettings(slack=20.0)
        issuer = allowance_issuer.AllowanceIssuer(quota, 0.0)
        issuer.set_own_share(True, 1, 0.0)
        issuer.issue(self.allowance, 0, 0.0)
        issuer.set_quota(self.quota, 10.0)
        self.assertEqual(
            issuer.issue(self.allowance, 50, 10.0).granted_count, 10
        )
        issuer.set_quota(quota, 10.0)
        # A higher slack adds no tokens at once.
        self.assertEqual(
            issuer.issue(self.allowance, 50, 10.0).granted_count, 0
        )
        self.assertEqual(
            issuer.issue(self.allowance, 50, 20.0).granted_count, 26
        )

    # Thousands of tenants must not use memory after their last request.
    def test_idle_buckets_are_dropped_and_come_back_full(self):
        self.issuer.set_own_share(True, 1, 0.0)
        self.assertEqual(self.issue(20.0), 10)
        self.issuer.prune(100.0)
        self.assertEqual(self.issue(100.0), 10)


class MessageTest(unittest.TestCase):
    """Messages that no daemon sends, from a faulty or an older peer."""

    def setUp(self):
        self.sent = []
        self.results = {}
        self.configuration = {}
        self.node = allowances.Allowances(
            ids.DaemonId("a"),
            CENTRE,
            allowance_issuer.QuotaSettings(),
            0.0,
            lambda message, receiver: self.sent.append(message),
            self.results.__setitem__,
            self.configuration.get,
            random.Random(1),
        )
        self.node.set_view(
            allowances.make_fleet_view(
                2, [(ids.DaemonId("a"), CENTRE), (ids.DaemonId("b"), CENTRE)]
            )
        )

    def test_invalid_values_issue_nothing(self):
        for rate, burst, count in (
            (math.nan, 5.0, 5),
            (math.inf, math.inf, 5),
            (-5.0, -5.0, 5),
            (5.0, 5.0, -5),
        ):
            message = gossip_messages.AllowanceRequest(
                "b", 7, "t", count, 1, rate, burst
            )
            self.node.handle(message, 10.0)
            reply = self.sent.pop()
            self.assertEqual(reply.granted_count, 0)

    # A stamp of an earlier start of this daemon, or of the future.
    def test_loan_with_a_foreign_stamp_is_not_counted(self):
        for stamp, age_ms in ((0, 0), (1, 5), (2**62, 0), (2**62, -5)):
            loan = gossip_messages.AllowanceLoan("b", True, 2, stamp, age_ms)
            self.node.handle(loan, 10.0)
            self.assertIsInstance(
                self.sent.pop(), gossip_messages.AllowanceReply
            )
        own_share = self.node.share_ratio(10.0)
        self.assertLessEqual(own_share, 0.5)

    # A daemon with an older configuration must not refuse a tenant whose limit
    # was removed.
    def test_removed_limit_issues_all_tokens(self):
        tenant = ids.TenantId("t")
        message = gossip_messages.AllowanceRequest("b", 7, "t", 5, 1, 1.0, 1.0)
        self.node.handle(message, 10.0)
        self.assertLess(self.sent.pop().granted_count, 5)
        self.configuration[tenant] = allowance_fleet.make_allowance(
            rate=0.0, burst=0.0, version=2
        )
        message = gossip_messages.AllowanceRequest("b", 8, "t", 5, 1, 1.0, 1.0)
        self.node.handle(message, 10.1)
        self.assertEqual(self.sent.pop().granted_count, 5)

    # An owner that restarts in a partition knows fewer daemons than its peers
    # and must not take a larger share than theirs.
    def test_stated_fleet_size_is_used_while_immature(self):
        loan = gossip_messages.AllowanceLoan("b", False, 50)
        self.node.handle(loan, 1.0)
        self.assertEqual(self.node.fleet_size(3.5), 50)
        self.assertEqual(self.sent, [])

    # A repeated request must not take a second token.
    def test_repeated_request_gets_the_same_reply(self):
        self.node.handle(gossip_messages.AllowanceLoan("b", False, 2), 10.0)
        message = gossip_messages.AllowanceRequest(
            "b", 9, "t", 1, 1, 50.0, 50.0
        )
        self.node.handle(message, 20.0)
        self.node.handle(message, 30.0)
        self.assertEqual(self.sent[-1], self.sent[-2])

    def issue(self, number, now, returns=(), count=1):
        """Returns the tokens that a peer gets of the bucket of one."""
        message = gossip_messages.AllowanceRequest(
            "b", number, "t", count, 1, 0.01, 20.0, list(returns)
        )
        self.sent.clear()
        self.node.handle(message, now)
        return sum(each.granted_count for each in self.sent)

    # A duplicated return would add to the allowance, a lost one costs a token.
    def test_return_counts_once(self):
        self.node.handle(gossip_messages.AllowanceLoan("b", False, 2), 10.0)
        self.node.share_ratio(20.0)
        issued_count = self.issue(1, 2_000.0, count=64)
        self.assertGreater(issued_count, 1)
        self.assertEqual(self.issue(2, 2_000.1), 0)
        self.assertEqual(self.issue(3, 2_000.2, [(1, 1)]), 1)
        for number, returns in (
            (4, [(1, 1)]),
            (5, [(1, -3), (1, 1), (1, 1)]),
            (6, [(2, 1), (99, 5)]),
        ):
            self.assertEqual(self.issue(number, 2_000.3, returns), 0)
        # The second token of the first request, and not more than it got.
        self.assertEqual(self.issue(7, 2_000.4, [(1, 2)]), 1)
        self.assertEqual(self.issue(8, 2_001.5, [(1, 3)]), 0)
        # A message that only returns tokens needs no reply.
        self.node.handle(
            gossip_messages.AllowanceRequest(
                "b", 9, "", 0, 0, 0.0, 0.0, [(7, 1)]
            ),
            2_001.0,
        )
        self.assertEqual(self.sent[1:], [])

    def test_more_returns_than_one_message_has(self) -> None:
        """Guards against returns that the owner ignores beyond the limit."""
        returns = allowance_returns.PendingReturns()
        owner = ids.DaemonId("b")
        for number in range(100):
            returns.add(owner, number, 1.0)
        first = returns.take(owner)
        self.assertLessEqual(len(first), allowance_returns.MAX_RETURNS)
        self.assertIn(owner, returns.due_at)
        numbers = [number for number, _ in first + returns.take(owner)]
        self.assertEqual(numbers, list(range(100)))
        self.assertNotIn(owner, returns.due_at)

    # Daemons of the previous release run beside this one.
    def test_previous_release_reads_requests_with_returns(self):
        class AllowanceRequest(
            msgspec.Struct, array_like=True, tag="aq", frozen=True
        ):
            sender: str
            request_number: int
            tenant: str
            count: int
            version: int
            requests_per_second: float
            burst: float

        message = gossip_messages.AllowanceRequest(
            "b", 7, "t", 5, 1, 1.0, 2.0, [(3, 1)]
        )
        earlier = msgspec.msgpack.decode(
            gossip_messages.encode(message), type=AllowanceRequest
        )
        self.assertEqual(earlier.burst, 2.0)
        decoded = gossip_messages.decode(msgspec.msgpack.encode(earlier))
        self.assertEqual(decoded.returns, [])
        self.assertEqual(decoded.count, 5)


class SilentOwnerTest(unittest.TestCase):
    """A daemon whose requests for tokens are not answered."""

    def setUp(self):
        self.sent = []
        self.results = {}
        self.node = allowances.Allowances(
            ids.DaemonId("a"),
            CENTRE,
            allowance_issuer.QuotaSettings(),
            0.0,
            lambda message, receiver: self.sent.append((message, receiver)),
            self.results.__setitem__,
            lambda tenant: None,
            random.Random(1),
        )
        self.node.set_view(
            allowances.make_fleet_view(
                4,
                [
                    (ids.DaemonId(f"b{number}"), ids.DataCentreId(f"c{number}"))
                    for number in range(1, 4)
                ],
            )
        )

    def request(self, ticket, now):
        """Requests a token; returns the daemons asked until now."""
        self.sent.clear()
        # The own share of this daemon has no token.
        allowance = allowance_fleet.make_allowance(rate=1.0, burst=1.0)
        self.node.request(allowance, ticket, now)
        return [receiver for _, receiver in self.sent]

    # Late timers must not stop all questions before each owner was asked.
    def test_owner_is_asked_after_a_batch_with_late_timers(self):
        self.request("first", 10.0)
        for now in (10.09, 10.23, 10.32, 10.46):
            self.node.run_timers(now)
        self.assertIn("first", self.results)
        self.assertEqual(self.request("second", 10.5), ["b3"])

    # A short wait that an owner states before it issues tokens must not
    # shorten the time for which it is skipped when it is silent.
    def test_skip_after_a_time_out_is_not_below_the_shortest(self):
        self.assertEqual(self.request("first", 10.0), ["b1"])
        self.reply(0, 10.001)
        self.reply(4, 10.002)
        self.assertEqual(self.request("second", 10.1), ["b1"])
        for now in (10.17, 10.31):
            self.node.run_timers(now)
        self.reply(4, 10.32)
        self.assertEqual(self.request("third", 10.4), ["b2"])

    def reply(self, fleet_size, now):
        """Answers the latest request; a size of 0 refuses it."""
        message, receiver = self.sent[-1]
        granted_count = 1 if fleet_size else 0
        reply = gossip_messages.AllowanceReply(
            receiver, message.request_number, granted_count, 1, fleet_size, 1
        )
        self.node.handle(reply, now)


if __name__ == "__main__":
    unittest.main()
