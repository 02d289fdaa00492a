"""How long requests wait in the line of a service."""

import unittest

from hyssopwind.core.dispatch import head_times

MAX_WAIT_SECONDS = 0.3


class HeadTimesTest(unittest.TestCase):
    def setUp(self):
        self.times = head_times.HeadTimes()

    def has_room(self, waiting_count, now):
        return self.times.is_wait_likely_shorter(
            MAX_WAIT_SECONDS, waiting_count, now
        )

    def test_first_requests_of_a_line_are_accepted(self):
        self.assertTrue(self.has_room(waiting_count=5, now=0.0))

    def test_burst_that_outlasts_its_servers_is_refused(self):
        for number in range(5):
            self.times.record(0.2, now=0.2 * number)
        self.assertFalse(self.has_room(waiting_count=1, now=1.0))

    def test_short_line_is_accepted_while_servers_are_found_quickly(self):
        for number in range(5):
            self.times.record(0.02, now=0.02 * number)
        self.assertTrue(self.has_room(waiting_count=4, now=0.1))
        self.assertFalse(self.has_room(waiting_count=20, now=0.1))

    def test_requests_are_accepted_again_some_seconds_after_a_burst(self):
        for _ in range(5):
            self.times.record(0.3, now=0.0)
        self.assertFalse(self.has_room(waiting_count=0, now=0.0))
        self.assertTrue(self.has_room(waiting_count=0, now=3.0))
