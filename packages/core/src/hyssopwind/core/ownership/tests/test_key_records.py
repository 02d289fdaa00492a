import unittest

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import outcomes
from hyssopwind.core import units
from hyssopwind.core.ownership import key_records
from hyssopwind.core.settings import documents

FINGERPRINT = ids.Fingerprint("f")
SETTINGS = documents.KeySettings(
    signing_keys=["0" * 16],
    retention=units.Duration(10.0),
    max_stored_answer=units.ByteSize(4),
)


class KeyRecordStoreTest(unittest.TestCase):
    def setUp(self):
        self.monitor = invariants.InvariantMonitor()
        self.records = key_records.KeyRecordStore(SETTINGS, self.monitor)

    def test_sent_key_is_not_sent_again_and_breach_is_counted(self):
        self.records.claim("k", FINGERPRINT, 0.0)
        self.assertTrue(self.records.mark_sent("k"))
        self.assertFalse(self.records.mark_sent("k"))
        self.assertEqual(
            self.monitor.breaches, {invariants.Invariant.RUN_ONCE: 1}
        )

    def test_shed_attempt_may_be_sent_again(self):
        self.records.claim("k", FINGERPRINT, 0.0)
        self.records.mark_sent("k")
        self.records.mark_unsent("k")
        self.assertTrue(self.records.mark_sent("k"))

    def test_request_that_was_not_run_may_run_again(self):
        self.records.claim("k", FINGERPRINT, 0.0)
        refusal = outcomes.NotRun(outcomes.Reason.OVERLOADED, "")
        self.records.complete("k", refusal, 1.0)
        self.assertEqual(
            self.records.claim("k", FINGERPRINT, 2.0), key_records.Run("k")
        )

    def test_unknown_outcome_is_replayed(self):
        self.records.claim("k", FINGERPRINT, 0.0)
        unknown = outcomes.Unknown(outcomes.Reason.SERVER_FAILED, "")
        self.records.complete("k", unknown, 1.0)
        self.assertEqual(
            self.records.claim("k", FINGERPRINT, 2.0),
            key_records.Replay(unknown),
        )

    def test_running_key_is_never_pruned(self):
        self.records.claim("k", FINGERPRINT, 0.0)
        self.assertEqual(self.records.prune(1000.0), 0)

    def test_ticket_is_not_pruned_before_it_expires(self):
        self.records.claim("t:1", FINGERPRINT, 0.0, keep_until=50.0)
        answer = outcomes.Answered(200, (), b"ok")
        self.records.complete("t:1", answer, 1.0)
        self.assertEqual(self.records.prune(40.0), 0)
        self.assertEqual(self.records.prune(51.0), 1)

    def test_too_large_answer_is_not_kept_and_not_run_again(self):
        self.records.claim("k", FINGERPRINT, 0.0)
        answer = outcomes.Answered(200, (), b"a long answer")
        self.records.complete("k", answer, 1.0)
        claim = self.records.claim("k", FINGERPRINT, 2.0)
        self.assertIs(claim.outcome.reason, outcomes.Reason.ANSWER_NOT_KEPT)


if __name__ == "__main__":
    unittest.main()
