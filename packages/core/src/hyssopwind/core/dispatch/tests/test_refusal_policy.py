import random
import unittest

from hyssopwind.core.dispatch import refusal_policy

TARGET_SECONDS = 0.271
WORK_SECONDS = 0.101


def make_timing(
    elapsed=0.02, remaining=2.6, free_after=0.0, target=TARGET_SECONDS
):
    return refusal_policy.ReturnTiming(
        target, elapsed, remaining, WORK_SECONDS, free_after
    )


def draw_many(timing):
    random_source = random.Random(4)
    return [
        refusal_policy.return_after_seconds(timing, random_source.random())
        for _ in range(200)
    ]


class ReturnTest(unittest.TestCase):
    # Callers with a target of 271 ms were told to come back after up to 135 ms.
    def test_caller_comes_back_while_its_target_can_be_met(self):
        for seconds in draw_many(make_timing()):
            self.assertLess(0.02 + seconds + 1.3 * WORK_SECONDS, TARGET_SECONDS)

    def test_caller_does_not_come_back_before_capacity_is_free(self):
        for seconds in draw_many(make_timing(free_after=0.05)):
            self.assertGreaterEqual(seconds, 0.05)

    # Late work competed with work that could still be in time.
    def test_caller_whose_target_is_lost_comes_back_later(self):
        for timing in (
            make_timing(elapsed=0.2),
            make_timing(free_after=0.5),
        ):
            for seconds in draw_many(timing):
                self.assertGreaterEqual(seconds, 0.5 * TARGET_SECONDS)

    # Callers of all daemons came back at the same moment.
    def test_returns_are_spread(self):
        for timing in (
            make_timing(),
            make_timing(elapsed=0.2),
            make_timing(free_after=0.07),
        ):
            times = draw_many(timing)
            self.assertGreater(max(times) - min(times), 0.09 * TARGET_SECONDS)

    def test_late_return_leaves_time_for_the_work(self):
        for remaining in (0.2, 0.4, 1.0):
            timing = make_timing(elapsed=2.0, remaining=remaining)
            for seconds in draw_many(timing):
                self.assertGreaterEqual(seconds, 0.0)
                self.assertLessEqual(
                    seconds, max(0.0, remaining - 1.3 * WORK_SECONDS)
                )

    # Callers near their deadline were told to come back shortly before it, or
    # all of them at once.
    def test_return_is_spread_below_a_third_of_the_time_left(self):
        for remaining in (0.01, 0.1, 0.2, 0.4, 1.0, 2.6):
            for elapsed in (0.02, 0.2, 2.0):
                for free_after in (0.0, 0.07, 0.5, 5.0):
                    timing = make_timing(elapsed, remaining, free_after)
                    with self.subTest(timing):
                        times = draw_many(timing)
                        self.assertLessEqual(max(times), remaining / 3)
                        self.assertGreater(max(times), 0.0)
                        self.assertGreater(
                            max(times) - min(times),
                            min(0.09 * TARGET_SECONDS, 0.1 * remaining),
                        )

    # Without any time left, all callers were told to come back at once.
    def test_return_without_time_left_is_spread(self):
        times = draw_many(make_timing(elapsed=2.0, remaining=0.0))
        self.assertGreater(max(times) - min(times), 0.09 * TARGET_SECONDS)
        self.assertLessEqual(max(times), TARGET_SECONDS)


class CapacityForecastTest(unittest.TestCase):
    # Capacity was expected at once while all searches failed, as the duration
    # of searches decayed and only successes renewed it.
    def test_capacity_is_not_expected_while_all_searches_fail(self):
        forecast = refusal_policy.CapacityForecast()
        forecast.record_search(0.1, is_found=True, now=0.0)
        for step in range(1, 41):
            forecast.record_search(0.1, is_found=False, now=step / 4)
        self.assertGreater(forecast.free_after_seconds(10.0), 0.4)
        self.assertLess(forecast.free_after_seconds(10.0), 3.0)

    def test_failures_since_the_start_count(self):
        forecast = refusal_policy.CapacityForecast()
        for step in range(40):
            forecast.record_search(0.1, is_found=False, now=100.0 + step / 4)
        self.assertGreater(forecast.free_after_seconds(109.75), 0.4)


class ReturnedRequestTest(unittest.TestCase):
    # A caller that came back after 40 ms was taken for a new one.
    def test_early_return_counts_only_with_several_classes(self):
        for has_several_classes in (False, True):
            self.assertEqual(
                refusal_policy.is_returned(
                    0.04, has_several_classes=has_several_classes
                ),
                has_several_classes,
            )
