import unittest

from hyssopwind.core import ids
from hyssopwind.core.dispatch import evidence
from hyssopwind.core.routing import tables

SERVER = ids.ServerId("i-1")
SERVICE = ids.ServiceId("s")
ROUTE = tables.Route("r", "h", "/", True, 1.2, 0.6, 0, 2, ())


class EvidenceTest(unittest.TestCase):
    def setUp(self):
        self.evidence = evidence.Evidence()

    def succeed(self, took, expected, now=0.0, crowded=False):
        self.evidence.note_success(
            ROUTE,
            SERVER,
            took,
            expected,
            now,
            service=SERVICE,
            crowded=crowded,
        )

    def test_rests_double_up_to_a_limit(self):
        now = 0.0
        for _ in range(20):
            self.evidence.note_failure(SERVER, now)
        resting = now + evidence.LONGEST_REST - 0.01
        self.assertTrue(self.evidence.is_resting(SERVER, resting))
        over = now + evidence.LONGEST_REST + 0.01
        self.assertFalse(self.evidence.is_resting(SERVER, over))

    def test_one_request_at_a_time_tries_after_a_rest(self):
        for _ in range(2):
            self.evidence.note_failure(SERVER, 0.0)
        after = evidence.FIRST_REST + 0.1
        self.assertFalse(self.evidence.is_resting(SERVER, after))
        self.evidence.begin(SERVER)
        self.assertTrue(self.evidence.is_resting(SERVER, after))
        self.evidence.end(SERVER)
        self.assertFalse(self.evidence.is_resting(SERVER, after))

    def test_success_ends_the_doubt(self):
        for _ in range(3):
            self.evidence.note_failure(SERVER, 0.0)
        self.succeed(0.2, 0.2, now=3.0)
        self.evidence.begin(SERVER)
        self.assertFalse(self.evidence.is_resting(SERVER, 3.0))

    def test_healthy_looking_slow_server_gets_a_penalty_that_fades(self):
        """Health checks pass, yet requests take seven times longer."""
        for _ in range(3):
            self.succeed(1.6, 0.22)
        high = self.evidence.penalty(SERVER, 0.0)
        self.assertGreater(high, 2.0)
        later = self.evidence.penalty(SERVER, evidence.PENALTY_MEMORY)
        self.assertAlmostEqual(later - 1.0, (high - 1.0) / 2)

    def test_usual_spread_is_no_penalty(self):
        for took in (0.15, 0.3, 0.35, 0.2):
            self.succeed(took, 0.22)
        self.assertEqual(self.evidence.penalty(SERVER, 0.0), 1.0)

    def test_work_is_learnt_from_undisturbed_answers(self):
        for _ in range(200):
            work = self.evidence.work(ROUTE)
            self.succeed(0.3, work)
        self.assertAlmostEqual(self.evidence.work(ROUTE), 0.3, places=2)

    def test_crowding_is_learnt_apart_from_the_server(self):
        for _ in range(20):
            factor = self.evidence.crowding(SERVICE)
            self.succeed(0.22 * 1.7, 0.22 * factor, crowded=True)
        self.assertAlmostEqual(self.evidence.crowding(SERVICE), 1.7, delta=0.05)
        self.assertEqual(self.evidence.penalty(SERVER, 0.0), 1.0)

    def test_silence_rests_for_a_moment(self):
        self.evidence.note_silence(SERVER, 0.0)
        self.assertTrue(self.evidence.is_resting(SERVER, 0.1))
        self.assertFalse(
            self.evidence.is_resting(SERVER, evidence.SILENCE_REST)
        )
