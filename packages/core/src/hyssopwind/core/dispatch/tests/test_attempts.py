import unittest

from hyssopwind.core import outcomes
from hyssopwind.core.attempts import judgement
from hyssopwind.core.dispatch import attempts
from hyssopwind.core.settings import tuning

BROKEN = judgement.Failed(judgement.FailureKind.BROKEN)
GARBLED = judgement.Failed(judgement.FailureKind.GARBLED)
REFUSED = judgement.Failed(judgement.FailureKind.NOT_CONNECTED)
TERMS = tuning.RepeatingSettings()
SHED = judgement.Shed("", 0.0)


def whole(status):
    answer = outcomes.Answered(status, (), b"")
    return judgement.WholeAnswer(answer, "", 0.1)


class NextStepTest(unittest.TestCase):
    def step(self, result, idempotent=True, tries_left=1, remaining=1.0):
        return attempts.next_step(
            result,
            idempotent=idempotent,
            tries_left=tries_left,
            remaining=remaining,
        )

    def test_what_may_have_run_is_repeated_only_if_idempotent(self):
        for result in (BROKEN, GARBLED, whole(500)):
            with self.subTest(result=result):
                self.assertIs(self.step(result), attempts.Step.TRY_AGAIN)
                self.assertIs(
                    self.step(result, idempotent=False), attempts.Step.FINISH
                )

    def test_what_has_not_run_may_go_elsewhere(self):
        for result in (REFUSED, SHED):
            with self.subTest(result=result):
                step = self.step(result, idempotent=False)
                self.assertIs(step, attempts.Step.TRY_AGAIN)

    def test_ends_without_tries_or_time(self):
        self.assertIs(self.step(BROKEN, tries_left=0), attempts.Step.FINISH)
        self.assertIs(self.step(BROKEN, remaining=0.001), attempts.Step.FINISH)

    def test_answers_of_servers_are_final_below_500(self):
        for status in (200, 404, 429):
            self.assertIs(self.step(whole(status)), attempts.Step.FINISH)

    def test_failure_of_a_request_that_may_have_run_promises_nothing(self):
        failure = judgement.failure_outcome(
            GARBLED, may_repeat=False, retry_after=1.0
        )
        self.assertIsInstance(failure, outcomes.Unknown)


class HedgeTest(unittest.TestCase):
    """A server goes silent in the middle of its work."""

    def test_second_attempt_can_end_within_the_target(self):
        delay = attempts.hedge_delay(0.22, 0.6, TERMS)
        self.assertLess(delay + 0.22, 0.6)

    def test_disturbed_server_is_not_waited_for_long(self):
        delay = attempts.hedge_delay(1.1, 0.6, TERMS)
        self.assertLessEqual(delay, 0.6 * TERMS.latest_hedge)
