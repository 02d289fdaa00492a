import json
import random
import unittest

from hyssopwind.core import decoding
from hyssopwind.core.discovery import items
from hyssopwind.core.fleet import change_encoding
from hyssopwind.core.fleet import pull_planning
from hyssopwind.core.fleet import transfer_queue


def make_value(changed=0, count=1_000):
    members = [
        {"name": f"{random.Random(n).getrandbits(64):x}", "weight": n < changed}
        for n in range(count)
    ]
    return json.dumps(members).encode()


def make_replica(*versions):
    replica = items.ItemReplica()
    for revision, value in versions:
        item = items.Item("op/config", value, revision)
        replica.apply(items.Delta((item,), revision, revision == 1))
    return replica


class ChangeEncodingTest(unittest.TestCase):
    def pull(self, source, receiver):
        held = change_encoding.large_revisions(receiver)
        data = change_encoding.ChangeEncoder(source).encode(
            receiver.revision, held, age_ms=40
        )
        delta, age_ms = change_encoding.decode(data, receiver)
        self.assertEqual(age_ms, 40)
        receiver.apply(delta)
        return len(data)

    def test_small_change_of_a_large_value_is_sent_as_a_patch(self):
        source = make_replica((1, make_value()), (2, make_value(5)))
        receiver = make_replica((1, make_value()))
        self.assertLess(self.pull(source, receiver), 500)
        self.assertEqual(dict(receiver.items), dict(source.items))

    def test_patch_from_the_version_before_last(self):
        source = make_replica(*((n, make_value(n)) for n in range(1, 5)))
        receiver = make_replica((1, make_value(1)))
        self.assertLess(self.pull(source, receiver), 1_000)
        self.assertEqual(dict(receiver.items), dict(source.items))

    def test_receiver_without_a_base_gets_the_whole_value(self):
        source = make_replica((1, make_value()), (2, make_value(5)))
        receiver = items.ItemReplica()
        self.pull(source, receiver)
        self.assertEqual(dict(receiver.items), dict(source.items))

    def test_patch_for_a_version_that_was_replaced_is_rejected(self):
        source = make_replica((1, make_value()), (2, make_value(5)))
        receiver = make_replica((1, make_value()), (3, make_value(9)))
        data = change_encoding.ChangeEncoder(source).encode(1, [1], 0)
        with self.assertRaises(change_encoding.BaseMissingError):
            change_encoding.decode(data, receiver)

    def test_corrupted_messages_are_rejected(self):
        source = make_replica((1, make_value()))
        data = change_encoding.ChangeEncoder(source).encode(0, [], 0)
        random_source = random.Random(1)
        for _ in range(200):
            changed = bytearray(data)
            changed[random_source.randrange(len(data))] ^= 0xFF
            try:
                delta, _ = change_encoding.decode(
                    bytes(changed), items.ItemReplica()
                )
            except decoding.DecodeError:
                continue
            for item in delta.items:
                self.assertEqual(item.value, make_value())


class TransferQueueTest(unittest.TestCase):
    # A leader served all daemons of its data centre at the same time, and no
    # transfer ended.
    def test_waiting_peers_are_served_by_those_that_have_received(self):
        queue = transfer_queue.TransferQueue()
        waiting = [f"10.0.0.{number}" for number in range(24)]
        served = []
        referred = []
        now = 0.0
        for ip in waiting:
            queue.enter(ip, now)
        while waiting:
            for ip in list(waiting):
                queue.enter(ip, now)
                decision = queue.poll(ip, 7, now)
                if isinstance(decision, transfer_queue.Serve):
                    served.append(ip)
                if isinstance(decision, transfer_queue.Refer):
                    referred.append(ip)
                if decision is not None:
                    waiting.remove(ip)
            now += 0.1
            for ip in served + referred:
                queue.complete(ip, 7)
            self.assertLess(now, 1.0)
        self.assertLess(len(served), 12)

    def test_peer_with_an_older_revision_gets_no_referrals(self):
        queue = transfer_queue.TransferQueue()
        queue.complete("a", 6)
        for ip in "bcd":
            queue.enter(ip, 0.0)
            decision = queue.poll(ip, 7, 0.0)
        self.assertIsNone(decision)
        self.assertEqual(queue.poll("d", 7, 0.4), transfer_queue.Busy())

    # Any heartbeat of a peer made room for a transfer to another one, and reset
    # the limit of its referrals.
    def test_heartbeat_with_an_earlier_revision_completes_no_transfer(self):
        queue = transfer_queue.TransferQueue()
        for ip in ("a", "b"):
            queue.enter(ip, 0.0)
            self.assertEqual(queue.poll(ip, 7, 0.0), transfer_queue.Serve())
            queue.complete(ip, 6)
        queue.enter("c", 0.1)
        self.assertIsNone(queue.poll("c", 7, 0.1))

    def test_heartbeat_leaves_the_limit_of_referrals(self):
        queue = transfer_queue.TransferQueue()
        decisions = []
        for number in range(6):
            queue.complete("source", 7)
            queue.enter(f"peer-{number}", 0.0)
            decisions.append(queue.poll(f"peer-{number}", 7, 0.0))
        self.assertEqual(decisions.count(transfer_queue.Refer("source")), 2)

    def test_transfer_that_is_never_confirmed_makes_room(self):
        queue = transfer_queue.TransferQueue()
        for ip in "abc":
            queue.enter(ip, 0.0)
            decision = queue.poll(ip, 7, 0.0)
        self.assertIsNone(decision)
        queue.enter("d", 1.2)
        queue.leave("c")
        self.assertEqual(queue.poll("d", 7, 1.2), transfer_queue.Serve())


class PullPlannerTest(unittest.TestCase):
    # Several leaders sent the same configuration to one daemon over one link.
    def test_second_peer_is_asked_only_without_progress(self):
        planner = pull_planning.PullPlanner()
        planner.announce("a", 7)
        planner.start("a", 0.0)
        planner.announce("b", 7)
        planner.record_progress("a", 0.3)
        self.assertIsNone(planner.next_source(6, 0.5))
        self.assertEqual(planner.next_source(6, 0.8), "b")

    def test_failed_peer_is_asked_last(self):
        planner = pull_planning.PullPlanner()
        planner.announce("a", 8)
        planner.announce("b", 7)
        planner.start("a", 0.0)
        planner.fail("a", 0.1)
        self.assertEqual(planner.next_source(6, 0.2), "b")
        self.assertEqual(planner.next_source(6, 2.0), "a")

    def test_referral_is_followed_once(self):
        planner = pull_planning.PullPlanner()
        planner.announce("a", 8)
        planner.start("a", 0.0)
        planner.refer("a", "c")
        planner.finish("a")
        self.assertEqual(planner.next_source(6, 0.1), "c")
        planner.start("c", 0.1)
        planner.finish("c", revision=6)
        self.assertEqual(planner.next_source(6, 0.2), "a")


if __name__ == "__main__":
    unittest.main()
