import itertools
import random
import unittest

from hyssopwind.core import ids
from hyssopwind.core.limits import server_notices
from hyssopwind.core.limits import stated_limits

PROBE = server_notices.AnswerKind.PROBE
REQUEST = server_notices.AnswerKind.REQUEST
REFUSAL = server_notices.AnswerKind.REFUSAL
INSTANCE = ids.InstanceId("i-1@1")


def draw_record(random_source):
    return stated_limits.LimitRecord(
        random_source.choice([1.0, 2.5]),
        float(random_source.randint(0, 3)),
        frozenset(random_source.sample([PROBE, REQUEST], 1)),
        float(random_source.randint(0, 3)),
    )


class MergeTest(unittest.TestCase):
    """Daemons hear of the answers of a server in any order."""

    def test_merge_is_commutative_associative_and_idempotent(self):
        random_source = random.Random(1)
        merge = stated_limits.merge_records
        for _ in range(2_000):
            a, b, c = (draw_record(random_source) for _ in range(3))
            self.assertEqual(merge(a, b), merge(b, a))
            self.assertEqual(merge(merge(a, b), c), merge(a, merge(b, c)))
            self.assertEqual(merge(a, a), a)

    def test_order_of_peer_records_does_not_matter(self):
        random_source = random.Random(2)
        records = [draw_record(random_source) for _ in range(4)]
        results = set()
        for order in itertools.permutations(records):
            limits = stated_limits.StatedLimits()
            for record in order:
                limits.merge(INSTANCE, record, 10.0)
            results.add(limits.find(INSTANCE))
        self.assertEqual(len(results), 1)


class StatedLimitsTest(unittest.TestCase):
    def setUp(self):
        self.limits = stated_limits.StatedLimits()

    def record(self, kind, rate, now):
        return self.limits.record_answer(INSTANCE, kind, rate, now)

    # A server that states its limit only to requests still answers probes.
    def test_answers_of_another_kind_do_not_end_a_limit(self):
        self.record(REQUEST, 2.0, 0.0)
        self.record(PROBE, None, 5.0)
        self.assertEqual(self.limits.rate(INSTANCE, 5.0), 2.0)

    # A server that states its limit to both need not be sent a request for
    # the end of the limit to be noticed.
    def test_probe_ends_a_limit_that_probes_and_requests_stated(self):
        self.record(REQUEST, 0.1, 0.0)
        self.record(PROBE, 0.1, 0.5)
        self.record(PROBE, None, 5.0)
        self.assertIsNone(self.limits.rate(INSTANCE, 5.0))

    # Answers may overtake each other.
    def test_limit_holds_shortly_after_each_answer_that_states_it(self):
        self.record(REQUEST, 2.0, 0.0)
        self.record(REQUEST, None, 0.1)
        self.assertEqual(self.limits.rate(INSTANCE, 0.5), 2.0)
        self.assertIsNone(self.limits.rate(INSTANCE, 1.5))

    # Refusals state the limit and the answers between them do not.
    def test_limit_of_refusals_holds_between_refusals(self):
        self.record(REFUSAL, 2.0, 0.0)
        self.record(REQUEST, None, 1.0)
        self.assertEqual(self.limits.rate(INSTANCE, 5.0), 2.0)
        self.assertIsNone(self.limits.rate(INSTANCE, 11.0))

    def test_changes_are_reported(self):
        self.assertTrue(self.record(PROBE, 2.0, 0.0))
        self.assertFalse(self.record(PROBE, 2.0, 1.0))
        self.assertTrue(self.record(PROBE, 1.0, 2.0))

    def test_restated_limit_holds_again(self):
        self.record(PROBE, 2.0, 0.0)
        self.record(PROBE, None, 5.0)
        self.record(PROBE, 3.0, 6.0)
        self.assertEqual(self.limits.rate(INSTANCE, 60.0), 3.0)

    # The next start of the server does not have the limit.
    def test_records_of_removed_servers_are_dropped(self):
        self.record(PROBE, 2.0, 0.0)
        self.limits.retain({ids.InstanceId("i-1@2")})
        self.assertIsNone(self.limits.rate(INSTANCE, 0.0))
