import unittest
import uuid

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core import units
from hyssopwind.core.membership import leases
from hyssopwind.core.ownership import key_records
from hyssopwind.core.ownership import partitions
from hyssopwind.core.settings import documents

CLUSTER = documents.ClusterSettings(
    entry_vms=1, lease=units.Duration(3.0), clock_error=units.Duration(0.5)
)
KEYS = documents.KeySettings(
    signing_keys=["0" * 16],
    retention=units.Duration(100.0),
    opaque_key_window=units.Duration(50.0),
    max_records=2,
)
WALL = 1_000_000.0
FINGERPRINT = ids.Fingerprint("f")


def make_key(created_at):
    value = int(created_at * 1000) << 80 | 7 << 76 | 2 << 62
    return str(uuid.UUID(int=value))


class Owner:
    """A partition owner that needs a quorum of one."""

    def __init__(self, name, keys=KEYS):
        self.sender = messages.DaemonIdentity(
            ids.DaemonId(name), ids.StartId("1")
        )
        self.lease_holder = leases.LeaseHolder(CLUSTER)
        self.records = key_records.KeyRecordStore(
            keys, invariants.InvariantMonitor()
        )
        self.partitions = partitions.KeyPartitions(
            CLUSTER, keys, self.lease_holder, self.records
        )

    def acquire(self, resource, now, previous=""):
        self.lease_holder.add_resources([resource])
        lease_request = self.lease_holder.next_request(now)
        reply = messages.LeaseReply(
            round=lease_request.round,
            granted=[resource],
            previous_holders={resource: previous} if previous else {},
            refused_holders={},
        )
        self.lease_holder.handle_reply(self.sender.daemon, reply, now)
        self.partitions.record_lease_state(resource, now, WALL + now)

    def claim(self, key, now, fingerprint=FINGERPRINT):
        return self.partitions.claim(key, fingerprint, now, WALL + now)


class KeyPartitionsTest(unittest.TestCase):
    def setUp(self):
        self.key = make_key(WALL + 12.0)
        self.resource = partitions.partition_of(self.key)
        self.owner = Owner("one")

    def test_key_without_lease_does_not_run(self):
        claim = self.owner.claim(self.key, 12.0)
        self.assertIsInstance(claim, outcomes.Unknown)
        self.assertIsNotNone(claim.retry_after_seconds)

    def test_key_created_under_this_owner_runs_once(self):
        self.owner.acquire(self.resource, 10.0)
        self.assertIsInstance(self.owner.claim(self.key, 12.0), key_records.Run)
        self.assertIsInstance(
            self.owner.claim(self.key, 12.5), key_records.Wait
        )

    def test_key_created_before_this_owner_does_not_run(self):
        self.owner.acquire(self.resource, 11.5)
        claim = self.owner.claim(self.key, 12.6)
        self.assertIsInstance(claim, outcomes.Unknown)
        self.assertIsNone(claim.retry_after_seconds)

    def test_key_with_other_fingerprint_is_refused(self):
        self.owner.acquire(self.resource, 10.0)
        self.owner.claim(self.key, 12.0)
        claim = self.owner.claim(self.key, 12.1, ids.Fingerprint("g"))
        self.assertIs(claim.reason, outcomes.Reason.KEY_REUSED)

    def test_key_created_in_the_future_does_not_run(self):
        self.owner.acquire(self.resource, 9.0)
        claim = self.owner.claim(self.key, 11.4)
        self.assertIsInstance(claim, outcomes.Unknown)

    def test_key_older_than_retention_does_not_run(self):
        self.owner.acquire(self.resource, 10.0)
        self.owner.acquire(self.resource, 12.0)
        for now in range(14, 112, 2):
            self.owner.acquire(self.resource, float(now))
        claim = self.owner.claim(self.key, 111.5)
        self.assertIs(claim.reason, outcomes.Reason.KEY_EXPIRED)

    def test_full_store_refuses_new_key_and_keeps_records(self):
        self.owner.acquire(self.resource, 10.0)
        self.owner.records.claim("t:1", FINGERPRINT, 10.0)
        self.owner.records.claim("t:2", FINGERPRINT, 10.0)
        claim = self.owner.claim(self.key, 12.0)
        self.assertIsInstance(claim, outcomes.NotRun)
        self.assertIs(claim.reason, outcomes.Reason.KEY_MEMORY_FULL)
        self.assertEqual(len(self.owner.records), 2)

    def test_opaque_key_runs_only_after_its_window(self):
        resource = partitions.partition_of("order-17")
        self.owner.acquire(resource, 10.0)
        claim = self.owner.claim("order-17", 12.0)
        self.assertIsInstance(claim, outcomes.Unknown)
        for now in range(12, 62, 2):
            self.owner.acquire(resource, float(now))
        self.assertIsInstance(
            self.owner.claim("order-17", 61.0), key_records.Run
        )

    def test_completed_answer_is_replayed(self):
        self.owner.acquire(self.resource, 10.0)
        run = self.owner.claim(self.key, 12.0)
        answer = outcomes.Answered(200, (), b"paid")
        self.owner.records.complete(run.key, answer, 12.1)
        self.assertEqual(
            self.owner.claim(self.key, 12.2), key_records.Replay(answer)
        )


class HandoverTest(unittest.TestCase):
    def setUp(self):
        self.key = make_key(WALL + 12.0)
        self.resource = partitions.partition_of(self.key)
        self.previous_owner = Owner("one")
        self.successor = Owner("two")
        self.previous_owner.acquire(self.resource, 10.0)
        self.run = self.previous_owner.claim(self.key, 12.0)

    def hand_over(self, now=12.8):
        request = self.successor.partitions.request_transfer(self.resource, now)
        transfer = self.previous_owner.partitions.hand_over(
            self.successor.sender.daemon, request, now, WALL + now
        )
        self.successor.partitions.handle_transfer(
            self.previous_owner.sender, transfer, now
        )

    def test_running_key_waits_at_successor(self):
        self.hand_over()
        self.successor.acquire(self.resource, 13.2, previous="one/1")
        self.assertIsInstance(
            self.successor.claim(self.key, 13.3), key_records.Wait
        )

    def test_successor_runs_key_older_than_its_lease(self):
        self.hand_over()
        self.successor.acquire(self.resource, 13.2, previous="one/1")
        other_key = make_key(WALL + 12.001)
        while partitions.partition_of(other_key) != self.resource:
            other_key = str(uuid.UUID(int=uuid.UUID(other_key).int + 1))
        self.assertIsInstance(
            self.successor.claim(other_key, 13.3), key_records.Run
        )

    def test_owner_in_between_makes_records_incomplete(self):
        self.hand_over()
        self.successor.acquire(self.resource, 13.2, previous="three/1")
        self.assertAlmostEqual(
            self.successor.partitions.complete_since(self.resource), WALL + 13.2
        )

    def test_late_acquisition_makes_records_incomplete(self):
        self.hand_over()
        self.successor.acquire(self.resource, 16.1, previous="one/1")
        self.assertAlmostEqual(
            self.successor.partitions.complete_since(self.resource), WALL + 16.1
        )

    def test_previous_owner_runs_no_key_after_handover(self):
        self.hand_over()
        self.assertFalse(
            self.previous_owner.partitions.may_send(self.key, 12.9)
        )
        claim = self.previous_owner.claim(make_key(WALL + 12.5), 12.9)
        self.assertNotIsInstance(claim, key_records.Run)

    def test_previous_owner_returns_successor_of_running_key(self):
        self.hand_over()
        self.assertEqual(
            self.previous_owner.partitions.successor_of(self.run.key), "two"
        )


if __name__ == "__main__":
    unittest.main()
