import json
import os
import threading
import time
import unittest

from hyssopwind.core.settings import tuning
from hyssopwind.daemon import log_output

RUNS_ALONE = True  # real sockets and times


class BoundedStreamTest(unittest.TestCase):
    """Log lines beyond the rate, and a pipe that nobody reads."""

    def setUp(self):
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, self.write_end)

    def make_stream(self, burst):
        volume = tuning.LogVolumeSettings(burst=burst)
        return log_output.BoundedStream(self.write_end, volume)

    def test_lines_beyond_the_rate_are_dropped_and_counted(self):
        stream = self.make_stream(burst=10)
        for number in range(1_000):
            stream.write(f"{number}\n")
        stream.flush()
        lines = os.read(self.read_end, 65_536).decode().split()
        self.assertLess(len(lines), 30)
        self.assertGreater(stream.dropped_count, 900)

    def test_number_of_dropped_lines_is_logged_before_the_next_line(self):
        stream = self.make_stream(burst=1)
        for _ in range(50):
            stream.write("x\n")
        dropped = stream.dropped_count
        stream._bucket.deposit(1.0, 0.0)
        stream.write("y\n")
        stream.flush()
        notice = os.read(self.read_end, 65_536).decode().splitlines()[-2]
        self.assertEqual(json.loads(notice)["count"], dropped)

    def test_last_lines_are_written_once_a_slow_reader_goes_on(self):
        """The lines about a stop are the last ones of a process."""
        stream = self.make_stream(burst=1_000_000)
        for _ in range(1_500):
            stream.write("x" * 100 + "\n")
        stream.write("last\n")
        stream.flush()
        received = bytearray()

        def read():
            time.sleep(0.1)
            while not received.endswith(b"last\n"):
                received.extend(os.read(self.read_end, 65_536))

        reader = threading.Thread(target=read, daemon=True)
        reader.start()
        stream.close(timeout_seconds=5.0)
        reader.join(5.0)
        self.assertTrue(received.endswith(b"last\n"))

    def test_close_gives_up_a_reader_that_does_not_read(self):
        stream = self.make_stream(burst=1_000_000)
        for _ in range(1_500):
            stream.write("x" * 100 + "\n")
        started = time.monotonic()
        stream.close(timeout_seconds=0.1)
        self.assertLess(time.monotonic() - started, 1.0)

    def test_writes_to_a_full_pipe_do_not_block_and_stay_bounded(self):
        stream = self.make_stream(burst=1_000_000)
        for _ in range(20_000):
            stream.write("x" * 100 + "\n")
            stream.flush()
        self.assertLess(
            len(stream._pending), log_output.MAX_PENDING_BYTES + 200
        )
        self.assertGreater(stream.dropped_count, 0)
