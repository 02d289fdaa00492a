import unittest

from hyssopwind.core import ids
from hyssopwind.core.attempts import quarantine

FINGERPRINT = ids.Fingerprint("f")


class CrashQuarantineTest(unittest.TestCase):
    def setUp(self):
        self.quarantine = quarantine.CrashQuarantine()

    def test_copies_in_flight_at_one_crash_are_counted_once(self):
        for _ in range(10):
            self.quarantine.record_crash(FINGERPRINT, sent_at=0.5, now=1.0)
        self.assertFalse(self.quarantine.is_quarantined(FINGERPRINT, 1.0))

    # Notices of servers that ended together added up to a quarantine.
    def test_notices_of_one_failure_count_once(self):
        self.quarantine.record_crash(FINGERPRINT, sent_at=0.5, now=1.0)
        for received_at in (1.1, 1.2, 1.3, 1.4):
            times = quarantine.CrashTimes(sent_at=0.6, crashed_at=1.0)
            self.quarantine.handle_notice(FINGERPRINT, 1, received_at, times)
        self.assertFalse(self.quarantine.is_quarantined(FINGERPRINT, 1.5))
        times = quarantine.CrashTimes(sent_at=1.05, crashed_at=1.2)
        self.quarantine.handle_notice(FINGERPRINT, 1, 1.5, times)
        self.assertTrue(self.quarantine.is_quarantined(FINGERPRINT, 1.5))

    def test_second_attempt_that_crashes_is_quarantined(self):
        self.quarantine.record_crash(FINGERPRINT, sent_at=0.5, now=1.0)
        self.quarantine.record_crash(FINGERPRINT, sent_at=1.1, now=1.5)
        self.assertTrue(self.quarantine.is_quarantined(FINGERPRINT, 2.0))
        self.assertGreater(
            self.quarantine.remaining_seconds(FINGERPRINT, 2.0), 0.0
        )

    def test_quarantine_ends_after_its_duration(self):
        self.quarantine.handle_notice(FINGERPRINT, 2, now=1.0)
        end = 1.0 + quarantine.CRASH_RETENTION_SECONDS
        self.assertFalse(self.quarantine.is_quarantined(FINGERPRINT, end))

    def test_survived_attempt_clears_crashes(self):
        self.quarantine.record_crash(FINGERPRINT, sent_at=0.5, now=1.0)
        self.assertFalse(
            self.quarantine.record_completed(FINGERPRINT, 0.9, now=1.2)
        )
        self.assertTrue(
            self.quarantine.record_completed(FINGERPRINT, 1.1, now=1.2)
        )
        self.assertTrue(self.quarantine.is_empty)

    def test_recently_survived_request_needs_more_crashes(self):
        self.quarantine.record_completed(FINGERPRINT, 0.1, now=0.2)
        for crash in range(1, 5):
            self.assertFalse(
                self.quarantine.is_quarantined(FINGERPRINT, float(crash))
            )
            self.quarantine.record_crash(
                FINGERPRINT, crash - 0.5, now=float(crash)
            )
        self.assertTrue(self.quarantine.is_quarantined(FINGERPRINT, 4.0))

    def test_number_of_crash_records_is_bounded(self):
        for number in range(quarantine.MAX_FINGERPRINTS + 10):
            fingerprint = ids.Fingerprint(str(number))
            self.quarantine.handle_notice(fingerprint, 1, now=1.0)
        self.quarantine.handle_notice(FINGERPRINT, 2, now=1.0)
        self.assertTrue(self.quarantine.is_quarantined(FINGERPRINT, 1.0))


if __name__ == "__main__":
    unittest.main()
