import unittest

from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.dispatch import retry_policy
from hyssopwind.core.settings import tuning

BROKEN = attempt_results.Failed(attempt_results.FailureKind.BROKEN)
GARBLED = attempt_results.Failed(attempt_results.FailureKind.GARBLED)
NOT_CONNECTED = attempt_results.Failed(
    attempt_results.FailureKind.NOT_CONNECTED
)
SETTINGS = tuning.RetryHedgeSettings()
SHED = attempt_results.Shed("", 0.0)


def make_answer(status):
    answer = outcomes.Answered(status, (), b"")
    return attempt_results.WholeAnswer(answer, "", 0.1)


class RetryDecisionTest(unittest.TestCase):
    def decide(
        self, result, is_idempotent=True, attempts_left=1, remaining=1.0
    ):
        return retry_policy.retry_decision(
            result,
            is_idempotent=is_idempotent,
            attempts_left=attempts_left,
            remaining_seconds=remaining,
        )

    def test_request_that_may_have_run_is_retried_only_if_idempotent(self):
        for result in (BROKEN, GARBLED, make_answer(500)):
            with self.subTest(result=result):
                self.assertIs(
                    self.decide(result), retry_policy.RetryDecision.RETRY
                )
                self.assertIs(
                    self.decide(result, is_idempotent=False),
                    retry_policy.RetryDecision.FINISH,
                )

    def test_request_that_has_not_run_is_retried_though_not_idempotent(self):
        for result in (NOT_CONNECTED, SHED):
            with self.subTest(result=result):
                decision = self.decide(result, is_idempotent=False)
                self.assertIs(decision, retry_policy.RetryDecision.RETRY)

    def test_no_attempts_or_time_left_finishes(self):
        self.assertIs(
            self.decide(BROKEN, attempts_left=0),
            retry_policy.RetryDecision.FINISH,
        )
        self.assertIs(
            self.decide(BROKEN, remaining=0.001),
            retry_policy.RetryDecision.FINISH,
        )

    def test_answer_with_status_below_500_finishes(self):
        for status in (200, 404, 429):
            self.assertIs(
                self.decide(make_answer(status)),
                retry_policy.RetryDecision.FINISH,
            )

    def test_failure_of_request_that_may_have_run_has_unknown_outcome(self):
        failure = attempt_results.failure_outcome(
            GARBLED, is_idempotent=False, retry_after_seconds=1.0
        )
        self.assertIsInstance(failure, outcomes.Unknown)


class HedgeTest(unittest.TestCase):
    """A server stops answering in the middle of its work."""

    def test_hedged_attempt_can_end_within_latency_target(self):
        delay = retry_policy.hedge_delay_seconds(0.22, 0.6, SETTINGS)
        self.assertLess(delay + 0.22, 0.6)

    def test_hedge_for_slowed_server_starts_by_latest_time(self):
        delay = retry_policy.hedge_delay_seconds(1.1, 0.6, SETTINGS)
        self.assertLessEqual(delay, 0.6 * SETTINGS.latest_hedge)
