import unittest

import hypothesis
from hypothesis import strategies

from hyssopwind.core.stopping import stop_plan

GRACES = strategies.floats(min_value=0.5, max_value=120.0)
OFFSETS = strategies.floats(min_value=0.0, max_value=130.0)


class StopPlanTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(GRACES)
    def test_times_are_in_order_and_within_the_grace_period(self, grace):
        """A stop that outlasts the grace period is ended by SIGKILL."""
        plan = stop_plan.StopPlan(10.0, grace)
        times = [
            plan.requested_at,
            plan.admission_end,
            plan.idle_close_at,
            plan.deadline,
            plan.handover_deadline,
            plan.requested_at + grace,
        ]
        self.assertEqual(times, sorted(times))
        self.assertLessEqual(plan.admission_end, plan.last_answer_at)
        self.assertLess(plan.last_answer_at, plan.deadline)
        self.assertLess(plan.handover_deadline, plan.requested_at + grace)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(GRACES, OFFSETS, OFFSETS)
    def test_late_requests_end_before_the_drain(self, grace, offset, duration):
        """Nothing excuses a cut of a request that was taken late."""
        plan = stop_plan.StopPlan(10.0, grace)
        now = 10.0 + offset
        if now >= plan.admission_end and plan.may_start(now, now + duration):
            self.assertLessEqual(now + duration, plan.deadline)

    def test_early_requests_are_taken_whatever_their_deadline(self):
        plan = stop_plan.StopPlan(10.0, 6.0)
        self.assertTrue(plan.may_start(12.0, 22.0))
        self.assertTrue(plan.takes_followers(12.0))

    # Requests that were sent to servers in the first part of the grace period
    # ran beyond its end, up to the timeout of their route.
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(GRACES, OFFSETS)
    def test_early_requests_are_taken_and_end_before_the_drain(
        self, grace, duration
    ):
        plan = stop_plan.StopPlan(10.0, grace)
        self.assertTrue(plan.may_start(10.0, 10.0 + duration))
        self.assertTrue(plan.takes_followers(10.0))
        limited = plan.limit_deadline(10.0 + duration)
        self.assertLess(limited, plan.deadline)
        self.assertGreater(limited, 10.0 - 1e-9)

    def test_request_that_is_not_idempotent_needs_time(self):
        plan = stop_plan.StopPlan(10.0, 6.0)
        for now, target, may_start in (
            (10.5, 1.0, True),
            (12.0, 1.0, True),
            (12.0, 2.0, False),
            (13.0, 0.1, False),
        ):
            self.assertIs(
                plan.may_start(
                    now,
                    22.0,
                    latency_target_seconds=target,
                    is_idempotent=False,
                ),
                may_start,
            )

    def test_followers_are_refused_once_late_requests_are_limited(self):
        """A pipelining caller would keep its connection open for good."""
        plan = stop_plan.StopPlan(10.0, 6.0)
        self.assertFalse(plan.takes_followers(plan.admission_end))
