import unittest

from hyssopwind.core.callers import body_pace


class BodyPaceTest(unittest.TestCase):
    def make(self, declared_bytes=1_000, deadline_seconds=20.0):
        return body_pace.BodyPace(
            now=0.0,
            declared_bytes=declared_bytes,
            deadline_seconds=deadline_seconds,
            stall_seconds=10.0,
            grace_seconds=5.0,
        )

    def test_stalled_body_is_too_slow(self):
        """Bodies that stopped short were held until their callers left."""
        pace = self.make(None, None)
        pace.record(997, now=3.0)
        self.assertFalse(pace.is_too_slow(12.9))
        self.assertTrue(pace.is_too_slow(13.0))

    def test_body_that_drips_is_too_slow(self):
        pace = self.make()
        for second in range(5):
            pace.record(second, now=float(second))
            self.assertFalse(pace.is_too_slow(float(second)))
        pace.record(6, now=6.0)
        self.assertTrue(pace.is_too_slow(6.0))

    def test_body_at_the_needed_rate_is_never_too_slow(self):
        pace = self.make()
        for second in range(20):
            pace.record(50 * second, now=float(second))
            self.assertFalse(pace.is_too_slow(float(second)))

    def test_body_in_chunks_has_until_the_deadline(self):
        pace = self.make(None)
        for second in range(20):
            pace.record(second, now=float(second))
            self.assertFalse(pace.is_too_slow(float(second)))
        self.assertTrue(pace.is_too_slow(20.0))

    def test_short_deadline_leaves_the_time_of_a_head(self):
        """A caller may state the time left when it sent its first byte."""
        pace = self.make(deadline_seconds=0.1)
        self.assertFalse(pace.is_too_slow(4.9))

    def test_time_in_which_the_daemon_does_not_read_does_not_count(self):
        pace = self.make()
        pace.record(100, now=1.0)
        pace.suspend(now=1.0)
        self.assertFalse(pace.is_too_slow(100.0))
        pace.resume(now=100.0)
        self.assertFalse(pace.is_too_slow(103.0))
        self.assertTrue(pace.is_too_slow(110.0))

    def test_next_check_is_never_at_once(self):
        """A timer without a delay would keep the event loop busy."""
        pace = self.make()
        for now in (0.0, 4.999, 5.0, 9.99, 30.0):
            self.assertGreater(pace.next_check_seconds(now), 0.0)
