"""Late requests that wait until no other request needs a server."""

import unittest

from hyssopwind.core.dispatch import late_work
from hyssopwind.core.dispatch import server_selection


def make_timing(remaining_seconds):
    return server_selection.RequestTiming(
        work_seconds=0.5,
        waited_seconds=4.0,
        latency_target_seconds=3.0,
        remaining_seconds=remaining_seconds,
    )


class LateWorkTest(unittest.TestCase):
    def setUp(self):
        self.late_work = late_work.LateWork()

    def can_be_sent(self, remaining_seconds, now):
        return self.late_work.can_be_sent(make_timing(remaining_seconds), now)

    # Late requests waited until their callers gave up, without an answer.
    def test_request_is_refused_if_none_was_sent_for_as_long_as_it_has(self):
        self.late_work.add(now=0.0)
        self.assertTrue(self.can_be_sent(8.0, now=0.0))
        self.assertTrue(self.can_be_sent(8.0, now=5.0))
        self.assertFalse(self.can_be_sent(5.0, now=5.0))

    def test_many_requests_share_the_slots_that_become_free(self):
        for _ in range(20):
            self.late_work.add(now=0.0)
        for number in range(10):
            self.late_work.remove(now=1.0 + number, is_sent=True)
        self.assertTrue(self.can_be_sent(12.0, now=10.0))
        self.assertFalse(self.can_be_sent(5.0, now=10.0))

    def test_end_of_an_overload_is_not_taken_for_a_part_of_it(self):
        self.late_work.add(now=0.0)
        self.late_work.remove(now=9.0, is_sent=False)
        self.assertTrue(self.can_be_sent(1.0, now=9.0))
        self.late_work.add(now=60.0)
        self.assertTrue(self.can_be_sent(1.0, now=60.0))
