import unittest

from hyssopwind.core import outcomes
from hyssopwind.core.attempts import judgement
from hyssopwind.core.dispatch import attempts
from hyssopwind.core.settings import tuning

BROKEN = judgement.Failed(judgement.FailureKind.BROKEN)
GARBLED = judgement.Failed(judgement.FailureKind.GARBLED)
REFUSED = judgement.Failed(judgement.FailureKind.NOT_CONNECTED)
SETTINGS = tuning.RepeatingSettings()
SHED = judgement.Shed("", 0.0)


def make_answer(status):
    answer = outcomes.Answered(status, (), b"")
    return judgement.WholeAnswer(answer, "", 0.1)


class RetryDecisionTest(unittest.TestCase):
    def decide(self, result, idempotent=True, tries_left=1, remaining=1.0):
        return attempts.next_step(
            result,
            idempotent=idempotent,
            tries_left=tries_left,
            remaining=remaining,
        )

    def test_result_that_may_have_run_is_retried_only_if_idempotent(self):
        for result in (BROKEN, GARBLED, make_answer(500)):
            with self.subTest(result=result):
                self.assertIs(self.decide(result), attempts.Step.TRY_AGAIN)
                self.assertIs(
                    self.decide(result, idempotent=False),
                    attempts.Step.FINISH,
                )

    def test_result_that_has_not_run_is_retried_if_not_idempotent(self):
        for result in (REFUSED, SHED):
            with self.subTest(result=result):
                decision = self.decide(result, idempotent=False)
                self.assertIs(decision, attempts.Step.TRY_AGAIN)

    def test_no_attempts_or_time_left_finishes(self):
        self.assertIs(self.decide(BROKEN, tries_left=0), attempts.Step.FINISH)
        self.assertIs(
            self.decide(BROKEN, remaining=0.001), attempts.Step.FINISH
        )

    def test_answer_with_status_below_500_finishes(self):
        for status in (200, 404, 429):
            self.assertIs(
                self.decide(make_answer(status)), attempts.Step.FINISH
            )

    def test_failure_of_request_that_may_have_run_has_unknown_outcome(self):
        failure = judgement.failure_outcome(
            GARBLED, may_repeat=False, retry_after=1.0
        )
        self.assertIsInstance(failure, outcomes.Unknown)


class HedgeTest(unittest.TestCase):
    """A server stops answering in the middle of its work."""

    def test_hedged_attempt_can_end_within_latency_target(self):
        delay = attempts.hedge_delay(0.22, 0.6, SETTINGS)
        self.assertLess(delay + 0.22, 0.6)

    def test_hedge_for_slowed_server_starts_by_latest_time(self):
        delay = attempts.hedge_delay(1.1, 0.6, SETTINGS)
        self.assertLessEqual(delay, 0.6 * SETTINGS.latest_hedge)
