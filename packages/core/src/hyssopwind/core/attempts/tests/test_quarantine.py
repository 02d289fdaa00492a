import unittest

from hyssopwind.core import ids
from hyssopwind.core.attempts import quarantine

PRINT = ids.Fingerprint("f")


class CrashQuarantineTest(unittest.TestCase):
    def setUp(self):
        self.quarantine = quarantine.CrashQuarantine()

    def test_copies_in_flight_at_one_crash_count_once(self):
        for _ in range(10):
            self.quarantine.note_crash(PRINT, sent=0.5, now=1.0)
        self.assertFalse(self.quarantine.is_quarantined(PRINT, 1.0))

    def test_second_sending_that_crashes_is_quarantined(self):
        self.quarantine.note_crash(PRINT, sent=0.5, now=1.0)
        self.quarantine.note_crash(PRINT, sent=1.1, now=1.5)
        self.assertTrue(self.quarantine.is_quarantined(PRINT, 2.0))
        self.assertGreater(self.quarantine.remaining(PRINT, 2.0), 0.0)

    def test_ends_after_its_time(self):
        self.quarantine.take_notice(PRINT, 2, now=1.0)
        later = 1.0 + quarantine.MEMORY
        self.assertFalse(self.quarantine.is_quarantined(PRINT, later))

    def test_survived_run_clears(self):
        self.quarantine.note_crash(PRINT, sent=0.5, now=1.0)
        self.assertFalse(self.quarantine.note_completed(PRINT, 0.9, now=1.2))
        self.assertTrue(self.quarantine.note_completed(PRINT, 1.1, now=1.2))
        self.assertTrue(self.quarantine.is_empty)

    def test_popular_request_needs_more_crashes(self):
        self.quarantine.note_completed(PRINT, 0.1, now=0.2)
        for crash in range(1, 5):
            self.assertFalse(
                self.quarantine.is_quarantined(PRINT, float(crash))
            )
            self.quarantine.note_crash(PRINT, crash - 0.5, now=float(crash))
        self.assertTrue(self.quarantine.is_quarantined(PRINT, 4.0))

    def test_memory_is_bounded(self):
        for number in range(quarantine.MAX_FINGERPRINTS + 10):
            name = ids.Fingerprint(str(number))
            self.quarantine.take_notice(name, 1, now=1.0)
        self.quarantine.take_notice(PRINT, 2, now=1.0)
        self.assertTrue(self.quarantine.is_quarantined(PRINT, 1.0))


if __name__ == "__main__":
    unittest.main()
