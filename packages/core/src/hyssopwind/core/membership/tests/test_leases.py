import unittest

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core import units
from hyssopwind.core.membership import leases
from hyssopwind.core.settings import documents

CLUSTER = documents.ClusterSettings(entry_vms=3, lease=units.Duration(3.0))
ONE = messages.DaemonIdentity(ids.DaemonId("one"), ids.StartId("1"))
TWO = messages.DaemonIdentity(ids.DaemonId("two"), ids.StartId("1"))
TWO_RESTARTED = messages.DaemonIdentity(ids.DaemonId("two"), ids.StartId("2"))


def make_request(round_number=1, resource="r"):
    return messages.LeaseRequest(round=round_number, resources=[resource])


class LeaseGrantorTest(unittest.TestCase):
    def setUp(self):
        self.grantor = leases.LeaseGrantor(CLUSTER, started_at=0.0)

    def test_new_process_grants_nothing_for_one_lease_duration(self):
        reply = self.grantor.handle_request(ONE, make_request(), now=3.0)
        self.assertEqual(reply.refused_holders, {"r": ""})
        reply = self.grantor.handle_request(ONE, make_request(), now=3.2)
        self.assertEqual(reply.granted, ["r"])
        self.assertEqual(reply.previous_holders, {})

    def test_resource_is_granted_to_one_owner_at_a_time(self):
        self.grantor.handle_request(ONE, make_request(), now=4.0)
        reply = self.grantor.handle_request(TWO, make_request(), now=7.0)
        self.assertEqual(reply.refused_holders, {"r": "one/1"})
        reply = self.grantor.handle_request(TWO, make_request(), now=7.2)
        self.assertEqual(reply.granted, ["r"])
        self.assertEqual(reply.previous_holders, {"r": "one/1"})

    def test_restarted_owner_is_refused_while_the_old_lease_lasts(self):
        self.grantor.handle_request(TWO, make_request(), now=4.0)
        reply = self.grantor.handle_request(
            TWO_RESTARTED, make_request(), now=5.0
        )
        self.assertEqual(reply.refused_holders, {"r": "two/1"})

    def test_release_ends_only_a_lease_of_its_sender(self):
        self.grantor.handle_request(ONE, make_request(), now=4.0)
        release = messages.LeaseRelease(resources=["r"])
        self.grantor.handle_release(TWO, release)
        reply = self.grantor.handle_request(TWO, make_request(), now=4.1)
        self.assertEqual(reply.granted, [])
        self.grantor.handle_release(ONE, release)
        reply = self.grantor.handle_request(TWO, make_request(), now=4.1)
        self.assertEqual(reply.granted, ["r"])
        self.assertEqual(reply.previous_holders, {"r": "one/1"})


class LeaseHolderTest(unittest.TestCase):
    def setUp(self):
        self.holder = leases.LeaseHolder(CLUSTER)
        self.holder.add_resources(["r"])

    def send_request(self, sent_at):
        sent_request = self.holder.next_request(sent_at)
        self.round = sent_request.round if sent_request else self.round

    def receive_grant(self, peer, sent_at, received_at, previous=None):
        self.send_request(sent_at)
        reply = messages.LeaseReply(
            round=self.round,
            granted=["r"],
            previous_holders={"r": previous} if previous else {},
            refused_holders={},
        )
        self.holder.handle_reply(ids.DaemonId(peer), reply, received_at)

    def test_lease_is_held_only_with_a_quorum_of_grants(self):
        self.receive_grant("one", 1.0, 1.1)
        self.assertFalse(self.holder.is_held("r", 1.2))
        self.receive_grant("two", 1.2, 1.3)
        self.assertTrue(self.holder.is_held("r", 1.4))

    def test_lease_counts_from_the_sending_of_the_request(self):
        self.receive_grant("one", 1.0, 3.0)
        self.receive_grant("two", 1.0, 3.0)
        self.assertTrue(self.holder.is_held("r", 3.9))
        self.assertFalse(self.holder.is_held("r", 4.0))

    def test_reply_later_than_the_lease_is_ignored(self):
        self.receive_grant("one", 1.0, 9.0)
        self.receive_grant("two", 1.0, 9.0)
        self.assertFalse(self.holder.is_held("r", 9.0))

    def test_held_since_restarts_after_the_lease_expired(self):
        self.receive_grant("one", 1.0, 1.1)
        self.receive_grant("two", 1.0, 1.1)
        self.assertEqual(self.holder.held_since("r", 2.0), 1.1)
        self.receive_grant("one", 6.0, 6.1)
        self.receive_grant("two", 6.0, 6.2)
        self.assertEqual(self.holder.held_since("r", 6.3), 6.2)

    def test_reply_to_an_earlier_process_is_ignored(self):
        restarted = leases.LeaseHolder(CLUSTER, first_round=2**40)
        restarted.add_resources(["r"])
        restarted.next_request(1.0)
        reply = messages.LeaseReply(
            round=1, granted=["r"], previous_holders={}, refused_holders={}
        )
        for peer in ("one", "two", "three"):
            restarted.handle_reply(ids.DaemonId(peer), reply, 1.1)
        self.assertFalse(restarted.is_held("r", 1.2))

    def test_held_lease_is_renewed_after_a_third_of_its_duration(self):
        self.receive_grant("one", 1.0, 1.1)
        self.receive_grant("two", 1.0, 1.1)
        self.assertIsNone(self.holder.next_request(1.9))
        self.assertIsNotNone(self.holder.next_request(2.0))

    def test_previous_holders_named_by_grants_are_returned(self):
        self.receive_grant("one", 1.0, 1.1, previous="a/1")
        self.receive_grant("two", 1.0, 1.1, previous="b/1")
        self.assertEqual(self.holder.previous_holders("r", 1.2), {"a/1", "b/1"})


if __name__ == "__main__":
    unittest.main()
