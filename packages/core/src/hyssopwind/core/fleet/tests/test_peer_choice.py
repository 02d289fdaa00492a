import collections
import random
import unittest

import msgspec

from hyssopwind.core import ids
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.fleet import handovers
from hyssopwind.core.fleet import peer_choice

NORTH, SOUTH = ids.DataCentreId("north"), ids.DataCentreId("south")


def make_peers(count, data_centre, start=0):
    return [
        fleet_members.Peer(
            ids.DaemonId(f"{data_centre}-{number}"),
            "10.0.0.1",
            data_centre,
            0.0,
        )
        for number in range(start, start + count)
    ]


class PeerChoiceTest(unittest.TestCase):
    def setUp(self):
        self.choice = peer_choice.PeerChoice(NORTH)
        self.random = random.Random(1)
        self.local = make_peers(5, NORTH)
        self.peers = self.local + make_peers(10, SOUTH)

    def choose(self, tried=(), now=0.0):
        return self.choice.choose(self.peers, tried, self.random, now)

    def count_choices(self, count=1_000):
        counts = collections.Counter()
        for _ in range(count):
            counts[self.choose().data_centre] += 1
        return counts

    # Requests crossed data centres more often than needed.
    def test_local_peers_get_half_of_the_requests(self):
        self.assertAlmostEqual(self.count_choices()[NORTH], 500, delta=60)
        self.peers = self.local
        self.assertEqual(self.count_choices()[NORTH], 1_000)

    # All requests of a cut daemon went to the same peer.
    def test_requests_are_spread(self):
        counts = collections.Counter()
        for _ in range(60):
            peer = self.choose()
            self.choice.record_start(peer.name)
            counts[peer.name] += 1
        self.assertLessEqual(max(counts.values()), 12)
        self.assertEqual(len(counts), 15)

    # The last local peer got the requests of its whole data centre.
    def test_last_local_peer_gets_no_more_than_a_share(self):
        for peer in self.local[1:]:
            self.choice.record_cut_off(peer.name, 0.0)
        self.assertAlmostEqual(self.count_choices()[NORTH], 100, delta=40)

    # Requests went to peers that had said that they are cut off.
    def test_cut_off_and_leaving_peers_get_nothing(self):
        for peer in self.peers[1:]:
            self.choice.record_cut_off(peer.name, 0.0)
        self.assertIs(self.choose(), self.peers[0])
        self.assertIsNone(self.choose(tried={self.peers[0].name}))
        self.peers[0].is_leaving = True
        self.assertIsNone(self.choose())
        self.choice.record_cut_off(self.peers[3].name, 1.0, is_cut_off=False)
        self.assertIs(self.choose(now=1.0), self.peers[3])

    # A notice that nobody repeated excluded a peer for ever.
    def test_notices_expire(self):
        for peer in self.peers:
            self.choice.record_cut_off(peer.name, 0.0)
        self.assertIsNone(self.choose(now=2.9))
        self.assertIsNotNone(self.choose(now=3.1))

    # A peer without answers got requests without a bound.
    def test_requests_at_one_peer_are_bounded(self):
        self.peers = self.local[:1]
        for _ in range(peer_choice.MAX_IN_FLIGHT):
            self.choice.record_start(self.choose().name)
        self.assertIsNone(self.choose())
        self.choice.record_end(self.local[0].name)
        self.assertIsNotNone(self.choose())


class HandoverTest(unittest.TestCase):
    # A later version's reasons must not become promises.
    def test_unreadable_failure_promises_nothing(self):
        result = handovers.Result(1, "not-run", "reason of a later version")
        self.assertEqual(handovers.read_failure(result).tag, "unknown")

    # Bodies were sent to areas that the route does not allow.
    def test_bodies_stay_in_the_home_regions(self):
        home = frozenset({"west"})
        self.assertTrue(handovers.may_receive_body("west", "east", home))
        self.assertTrue(handovers.may_receive_body("east", "east", home))
        self.assertFalse(handovers.may_receive_body("north", "east", home))

    def make_terms(self):
        return handovers.Terms("d", 7, 100, 5, True, False, 2, ["i-1"])

    # Daemons send the same bytes as before if no tenants are configured.
    def test_terms_without_tenants_are_those_of_the_previous_release(self):
        terms = self.make_terms()
        self.assertIs(handovers.add_tenant(terms, None, None, None), terms)
        self.assertEqual(
            handovers.encode(terms),
            '{"sender":"d","number":7,"remaining_ms":100,"waited_ms":5,'
            '"is_idempotent":true,"is_caller_retry":false,"attempts_left":2,'
            '"tried_servers":["i-1"],"may_have_run":false}',
        )

    def test_previous_release_ignores_the_tenant(self):
        class PreviousTerms(msgspec.Struct):
            sender: str
            number: int
            may_have_run: bool = False

        terms = handovers.add_tenant(
            self.make_terms(), ids.TenantId("a"), ids.KeyDigest("d1"), 3
        )
        text = handovers.encode(terms)
        previous = msgspec.json.decode(text, type=PreviousTerms)
        self.assertEqual(previous.number, 7)
        decoded = handovers.decode_terms(text)
        self.assertEqual((decoded.tenant, decoded.key_digest), ("a", "d1"))
        self.assertEqual(decoded.configuration_version, 3)

    # A peer in whose newer version the route is not public refused a valid
    # key, because the terms did not contain its digest.
    def test_digest_is_sent_without_a_tenant(self):
        terms = handovers.add_tenant(
            self.make_terms(), None, ids.KeyDigest("d1"), 3
        )
        self.assertFalse(terms.tenant)
        self.assertEqual(
            (terms.key_digest, terms.configuration_version), ("d1", 3)
        )

    def test_terms_of_the_previous_release_have_no_tenant(self):
        decoded = handovers.decode_terms(handovers.encode(self.make_terms()))
        self.assertFalse(decoded.tenant)
        self.assertFalse(decoded.key_digest)
        self.assertFalse(decoded.configuration_version)
