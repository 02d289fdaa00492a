import unittest

from hyssopwind.core.stopping import lingering


class LingerTest(unittest.TestCase):
    def make(self, outstanding_bytes):
        return lingering.Linger(outstanding_bytes=outstanding_bytes, now=0.0)

    def may_drop(self, linger, outstanding_bytes, now):
        return linger.may_drop(
            outstanding_bytes=outstanding_bytes, stall_seconds=10.0, now=now
        )

    def test_slow_reader_is_kept_while_it_makes_progress(self):
        """A drop would cut an answer that the caller is still reading."""
        linger = self.make(100)
        for second in range(1, 100):
            self.assertFalse(
                self.may_drop(linger, 100 - second, float(9 * second))
            )

    def test_caller_that_reads_nothing_is_dropped(self):
        linger = self.make(100)
        self.assertFalse(self.may_drop(linger, 100, 9.9))
        self.assertTrue(self.may_drop(linger, 100, 10.0))

    def test_caller_that_keeps_its_side_open_is_dropped(self):
        linger = self.make(0)
        self.assertFalse(self.may_drop(linger, 0, 0.9))
        self.assertTrue(self.may_drop(linger, 0, 1.0))

    def test_time_to_close_starts_with_the_last_acknowledgement(self):
        linger = self.make(5)
        self.assertFalse(self.may_drop(linger, 0, 8.0))
        self.assertFalse(self.may_drop(linger, 0, 8.9))
        self.assertTrue(self.may_drop(linger, 0, 9.0))
