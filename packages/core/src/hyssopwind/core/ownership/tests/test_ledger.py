import unittest

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import outcomes
from hyssopwind.core import units
from hyssopwind.core.ownership import ledger
from hyssopwind.core.settings import documents

PRINT = ids.Fingerprint("f")
SETTINGS = documents.KeySettings(
    signing_keys=["0" * 16],
    retention=units.Duration(10.0),
    max_stored_answer=units.ByteSize(4),
)


class KeyLedgerTest(unittest.TestCase):
    def setUp(self):
        self.monitor = invariants.InvariantMonitor()
        self.ledger = ledger.KeyLedger(SETTINGS, self.monitor)

    def test_second_sending_is_refused_and_counted(self):
        self.ledger.claim("k", PRINT, 0.0)
        self.assertTrue(self.ledger.mark_sent("k"))
        self.assertFalse(self.ledger.mark_sent("k"))
        self.assertEqual(
            self.monitor.breaches, {invariants.Invariant.RUN_ONCE: 1}
        )

    def test_shed_attempt_may_be_sent_again(self):
        self.ledger.claim("k", PRINT, 0.0)
        self.ledger.mark_sent("k")
        self.ledger.mark_unsent("k")
        self.assertTrue(self.ledger.mark_sent("k"))

    def test_request_that_was_not_run_may_run_later(self):
        self.ledger.claim("k", PRINT, 0.0)
        refusal = outcomes.NotRun(outcomes.Reason.OVERLOADED, "")
        self.ledger.settle("k", refusal, 1.0)
        self.assertEqual(self.ledger.claim("k", PRINT, 2.0), ledger.Run("k"))

    def test_unknown_outcome_stays_unknown(self):
        self.ledger.claim("k", PRINT, 0.0)
        unknown = outcomes.Unknown(outcomes.Reason.SERVER_FAILED, "")
        self.ledger.settle("k", unknown, 1.0)
        self.assertEqual(
            self.ledger.claim("k", PRINT, 2.0), ledger.Replay(unknown)
        )

    def test_running_key_is_never_pruned(self):
        self.ledger.claim("k", PRINT, 0.0)
        self.assertEqual(self.ledger.prune(1000.0), 0)

    def test_ticket_is_kept_until_it_expires(self):
        self.ledger.claim("t:1", PRINT, 0.0, keep_until=50.0)
        answer = outcomes.Answered(200, (), b"ok")
        self.ledger.settle("t:1", answer, 1.0)
        self.assertEqual(self.ledger.prune(40.0), 0)
        self.assertEqual(self.ledger.prune(51.0), 1)

    def test_large_answer_is_not_kept_and_not_run_again(self):
        self.ledger.claim("k", PRINT, 0.0)
        answer = outcomes.Answered(200, (), b"a long answer")
        self.ledger.settle("k", answer, 1.0)
        claim = self.ledger.claim("k", PRINT, 2.0)
        self.assertIs(claim.outcome.reason, outcomes.Reason.ANSWER_NOT_KEPT)


if __name__ == "__main__":
    unittest.main()
