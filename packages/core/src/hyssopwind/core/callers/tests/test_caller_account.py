import unittest

import hypothesis
from hypothesis import strategies

from hyssopwind.core.callers import caller_account

MEMORY_BYTES = 100_000_000
MAX_DESCRIPTORS = 1_000
BASE = caller_account.CONNECTION_BYTES
CALLERS = caller_account.Listener.CALLERS
READY = caller_account.Listener.READY
SILENT = caller_account.RECLAIM_SILENCE_SECONDS


class AccountTestCase(unittest.TestCase):
    def setUp(self):
        limits = caller_account.derive_limits(MEMORY_BYTES, MAX_DESCRIPTORS)
        self.total = limits.total_bytes
        self.account = caller_account.CallerAccount(limits)

    def open(self, now=0.0, stage=caller_account.Stage.IDLE, held=BASE):
        holding = self.account.open(CALLERS, now)
        holding.stage = stage
        self.account.set_held(holding, held)
        return holding


class HoldTest(AccountTestCase):
    def test_bodies_do_not_keep_small_requests_out(self):
        """A crowd of bodies would otherwise refuse every request."""
        large = self.total // 8
        granted = 0
        while self.account.try_hold(self.open(), BASE, large):
            granted += 1
        self.assertGreater(granted, 3)
        self.assertTrue(self.account.try_hold(self.open(), BASE, 20_000))

    def test_refused_reservation_is_not_counted(self):
        """The sum would otherwise stay full when nothing is held."""
        self.account.try_hold(self.open(), BASE, self.total // 2)
        holding = self.open()
        self.assertFalse(self.account.try_hold(holding, BASE, self.total))
        self.assertEqual(holding.held_bytes, BASE)

    def test_single_request_larger_than_the_total_is_taken(self):
        """A configuration may allow bodies that the memory hardly holds."""
        holding = self.open()
        self.assertTrue(self.account.try_hold(holding, BASE, 2 * self.total))
        other = self.open()
        self.assertFalse(self.account.try_hold(other, BASE, self.total))

    def test_pipelined_requests_of_one_connection_have_a_share(self):
        holding = self.open()
        self.assertTrue(self.account.may_take_request(holding))
        self.account.set_held(holding, self.total // 8)
        self.assertFalse(self.account.may_take_request(holding))

    def test_lower_limits_hold_for_what_is_added(self):
        holding = self.open()
        self.account.try_hold(holding, BASE, self.total // 2)
        limits = caller_account.derive_limits(MEMORY_BYTES // 4, 100)
        self.account.apply_limits(limits)
        self.assertGreater(self.account.excess_bytes, 0)
        self.assertFalse(self.account.try_hold(self.open(), BASE, 20_000))


class RunTest(AccountTestCase):
    def test_running_requests_are_bounded(self):
        """Each of them may open connections to servers."""
        holding = self.open()
        started = 0
        while self.account.try_start(holding, is_follower=False):
            started += 1
        self.assertEqual(started, self.account.limits.max_running)
        self.account.finish(holding)
        self.assertTrue(self.account.try_start(holding, is_follower=False))

    def test_followers_leave_capacity_to_other_connections(self):
        holding = self.open()
        while self.account.try_start(holding, is_follower=True):
            pass
        self.assertTrue(self.account.try_start(self.open(), is_follower=False))


class ReclaimTest(AccountTestCase):
    def test_order_is_by_silence_and_partial_requests_come_first(self):
        complete = self.open(0.0, caller_account.Stage.COMPLETE, BASE + 1_000)
        late = self.open(2.0, caller_account.Stage.PARTIAL, BASE + 1_000)
        early = self.open(1.0, caller_account.Stage.PARTIAL, BASE + 1_000)
        found = self.account.find_reclaimable(5.0, self.total)
        self.assertEqual(found, [early, late, complete])
        found = self.account.find_reclaimable(5.0, 1_500)
        self.assertEqual(found, [early, late])

    def test_request_at_a_server_is_never_reclaimed(self):
        holding = self.open(0.0, caller_account.Stage.PARTIAL, BASE + 1_000)
        self.account.try_start(holding, is_follower=False)
        self.assertEqual(self.account.find_reclaimable(9.0, self.total), [])
        self.assertEqual(self.account.find_silent(CALLERS, 9.0, 5), [])

    def test_connection_that_the_daemon_does_not_read_is_kept(self):
        """It is silent because of the daemon."""
        holding = self.open(0.0, caller_account.Stage.PARTIAL, BASE + 1_000)
        holding.is_waiting = True
        self.assertEqual(self.account.find_reclaimable(9.0, self.total), [])

    def test_connection_that_sends_is_kept(self):
        holding = self.open(0.0, caller_account.Stage.PARTIAL, BASE + 1_000)
        holding.progress_at = 9.0
        now = 9.0 + SILENT / 2
        self.assertEqual(self.account.find_reclaimable(now, self.total), [])

    def test_silent_connections_of_the_full_listener_make_room(self):
        ready = self.account.open(READY, 0.0)
        callers = self.open()
        self.assertEqual(self.account.find_silent(READY, 1.0, 5), [ready])
        self.assertEqual(self.account.find_silent(CALLERS, 1.0, 5), [callers])


class ConnectionTest(AccountTestCase):
    def test_crowd_at_one_listener_leaves_the_others_their_connections(self):
        """The readiness check must be answered during a crowd."""
        while self.account.may_open(CALLERS):
            self.open()
        self.assertTrue(self.account.may_open(READY))
        sums = sum(self.account.limits.max_connections.values())
        self.assertLess(sums, MAX_DESCRIPTORS * 3 // 4)


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ("open", "close", "set", "try", "start", "finish", "limits")
        ),
        strategies.integers(0, 30),
        strategies.integers(0, 40_000_000),
    ),
    max_size=80,
)


class AccountPropertyTest(unittest.TestCase):
    """A count that drifts either refuses everybody or bounds nothing."""

    @hypothesis.given(EVENTS)
    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    def test_sum_equals_what_is_held_and_is_zero_at_the_end(self, events):
        account = caller_account.CallerAccount(
            caller_account.derive_limits(MEMORY_BYTES, MAX_DESCRIPTORS)
        )
        holdings, ended, running = [], [], []
        for name, index, size in events:
            holding = holdings[index % len(holdings)] if holdings else None
            if name == "open":
                holdings.append(account.open(CALLERS, 0.0))
            elif name == "limits":
                account.apply_limits(caller_account.derive_limits(size, 100))
            elif name == "finish" and running:
                account.finish(running.pop())
            elif holding is None:
                continue
            elif name == "close":
                holdings.remove(holding)
                ended.append(holding)
                account.close(holding)
            elif name == "set":
                account.set_held(holding, BASE + size)
            elif name == "try":
                others = account.held_bytes - holding.held_bytes
                is_granted = account.try_hold(holding, BASE, BASE + size)
                self.assertEqual(
                    holding.held_bytes, BASE + size if is_granted else BASE
                )
                if is_granted:
                    total = account.limits.total_bytes
                    limit = max(total, total / 4 + holding.held_bytes)
                    self.assertLessEqual(others + holding.held_bytes, limit)
            elif name == "start" and account.try_start(
                holding, is_follower=index % 2 == 0
            ):
                running.append(holding)
            # Late events of a connection that has closed change nothing.
            for each in ended:
                account.close(each)
                account.set_held(each, size)
            held = sum(each.held_bytes for each in holdings)
            self.assertEqual(account.held_bytes, held)
            self.assertEqual(account.connection_count, len(holdings))
            self.assertEqual(account.running_count, len(running))
        for holding in running:
            account.finish(holding)
        for holding in holdings:
            account.close(holding)
        self.assertEqual(
            (
                account.held_bytes,
                account.running_count,
                account.connection_count,
            ),
            (0, 0, 0),
        )
