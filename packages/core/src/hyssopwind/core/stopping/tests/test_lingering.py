import unittest

from hyssopwind.core.stopping import lingering


class LingerTest(unittest.TestCase):
    def make(self, outstanding_bytes):
        return lingering.Linger(
            stall_seconds=10.0, outstanding_bytes=outstanding_bytes, now=0.0
        )

    def test_slow_reader_is_kept_while_it_makes_progress(self):
        """A drop would cut an answer that the caller is still reading."""
        linger = self.make(100)
        for second in range(1, 100):
            self.assertFalse(
                linger.may_drop(
                    outstanding_bytes=100 - second, now=float(9 * second)
                )
            )

    def test_caller_that_reads_nothing_is_dropped(self):
        linger = self.make(100)
        self.assertFalse(linger.may_drop(outstanding_bytes=100, now=9.9))
        self.assertTrue(linger.may_drop(outstanding_bytes=100, now=10.0))

    def test_caller_that_keeps_its_side_open_is_dropped(self):
        linger = self.make(0)
        self.assertFalse(linger.may_drop(outstanding_bytes=0, now=0.9))
        self.assertTrue(linger.may_drop(outstanding_bytes=0, now=1.0))

    def test_time_to_close_starts_with_the_last_acknowledgement(self):
        linger = self.make(5)
        self.assertFalse(linger.may_drop(outstanding_bytes=0, now=8.0))
        self.assertFalse(linger.may_drop(outstanding_bytes=0, now=8.9))
        self.assertTrue(linger.may_drop(outstanding_bytes=0, now=9.0))
