import random
import unittest

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.pools import clients
from hyssopwind.core.settings import documents

POOL = ids.PoolId("team/ledger@chicago")
SELF_ID = ids.DaemonId("one")
OWNER = messages.DaemonIdentity(ids.DaemonId("two"), ids.StartId("1"))
OTHER_DAEMON = messages.DaemonIdentity(ids.DaemonId("three"), ids.StartId("1"))
NORMAL = documents.Priority.NORMAL
S1 = ids.ServerId("s1")
S2 = ids.ServerId("s2")


def make_entry(
    server,
    limit=3,
    in_flight_elsewhere=0,
    may_send_direct=True,
    start_id="a",
    slowness_log2=0,
):
    return messages.ServerSummary(
        server,
        limit,
        in_flight_elsewhere,
        limit,
        may_send_direct,
        start_id,
        slowness_log2,
    )


class PoolClientTest(unittest.TestCase):
    def setUp(self):
        self.client = clients.PoolClient(POOL, SELF_ID, random.Random(1))
        self.client.set_servers(frozenset((S1, S2)), (SELF_ID, OWNER.daemon))
        self.client.set_owner(OWNER)

    def receive_summary(self, *entries, is_open=True, now=1.0, sender=OWNER):
        summary = messages.Summary(
            pool=POOL, is_open=is_open, servers=list(entries)
        )
        self.client.handle_summary(sender, summary, now)

    def plan(self, now=1.0, avoid=()):
        return self.client.plan(now, now + 1, NORMAL, False, frozenset(avoid))

    def test_open_pool_sends_to_least_loaded_server(self):
        self.receive_summary(
            make_entry(S1, in_flight_elsewhere=1), make_entry(S2)
        )
        self.assertEqual(self.plan(), clients.SendDirect(S2))

    def test_slow_server_loses_to_faster_server(self):
        self.receive_summary(
            make_entry(S1, slowness_log2=2),
            make_entry(S2, in_flight_elsewhere=0),
        )
        self.client.begin(S2, is_direct=True)
        self.client.finish_completed(S2, "a", 0.01, 0.9)
        self.assertEqual(self.plan(), clients.SendDirect(S2))

    def test_expired_summary_requests_admission(self):
        self.receive_summary(make_entry(S1))
        late = 1.0 + clients.SUMMARY_VALIDITY_SECONDS + 0.01
        self.assertIsInstance(self.plan(now=late), clients.RequestAdmission)

    def test_process_pause_requests_admission(self):
        self.receive_summary(make_entry(S1))
        self.client.expire_summary()
        self.assertIsInstance(self.plan(), clients.RequestAdmission)

    def test_closed_pool_requests_admission(self):
        self.receive_summary(make_entry(S1), is_open=False)
        self.assertIsInstance(self.plan(), clients.RequestAdmission)

    def test_cold_server_is_not_used_without_grant(self):
        self.receive_summary(make_entry(S1, may_send_direct=False))
        self.assertIsInstance(self.plan(), clients.RequestAdmission)

    def test_restarted_server_is_not_used_without_grant(self):
        self.receive_summary(make_entry(S1))
        self.client.begin(S1, is_direct=True)
        self.client.finish_completed(S1, "b", 0.01, 1.0)
        self.assertIsInstance(self.plan(), clients.RequestAdmission)

    def test_server_without_recent_answer_gets_one_request_at_a_time(self):
        self.receive_summary(
            make_entry(S1), make_entry(S2, may_send_direct=False)
        )
        self.assertIsInstance(self.plan(), clients.SendDirect)
        self.client.begin(S1, is_direct=True)
        self.assertIsInstance(self.plan(), clients.RequestAdmission)

    def test_delisted_server_is_not_used_without_grant(self):
        self.receive_summary(make_entry(S1))
        self.client.set_servers(frozenset((S2,)), (SELF_ID, OWNER.daemon))
        self.assertIsInstance(self.plan(), clients.RequestAdmission)

    def test_summary_from_other_daemon_is_ignored(self):
        self.receive_summary(make_entry(S1), sender=OTHER_DAEMON)
        self.assertIsInstance(self.plan(), clients.RequestAdmission)

    def test_owner_timeout_limits_requests_to_share(self):
        self.receive_summary(make_entry(S1), make_entry(S2), is_open=False)
        self.plan(now=5.0)
        self.assertTrue(self.client.check_owner_timeout(5.2))
        sent_count = 0
        while isinstance(self.plan(now=5.2), clients.SendDirect):
            self.client.begin(self.plan(now=5.2).server, is_direct=True)
            sent_count += 1
        self.assertLess(sent_count, 6)
        self.assertGreater(sent_count, 0)
        self.assertIsInstance(self.plan(now=5.2), clients.NoCapacity)

    def test_change_of_owner_drops_pending_admission(self):
        # Failure: a request waits until its deadline for an owner that stopped.
        plan = self.plan(now=5.0)
        admission_id = plan.admission_request.admission_id
        self.assertTrue(self.client.is_admission_pending(admission_id))
        self.client.set_owner(OTHER_DAEMON)
        self.assertFalse(self.client.is_admission_pending(admission_id))

    def test_cold_server_has_no_share(self):
        self.receive_summary(
            make_entry(S1, may_send_direct=False), is_open=False
        )
        self.plan(now=5.0)
        self.client.check_owner_timeout(5.2)
        self.assertIsInstance(self.plan(now=5.2), clients.NoCapacity)

    def test_expired_grant_is_unused_but_reported(self):
        request = self.plan().admission_request
        grant = messages.Grant(
            pool=POOL,
            admission_id=request.admission_id,
            server=S1,
            grant_number=4,
            queued_seconds=0.0,
        )
        late = 1.0 + clients.GRANT_VALIDITY_SECONDS + 0.1
        self.assertIsNone(self.client.handle_grant(OWNER, grant, late))
        self.assertEqual(self.client.due_load_update(late).last_grant_number, 4)

    def test_grant_that_waited_at_the_owner_is_used(self):
        request = self.plan().admission_request
        grant = messages.Grant(
            pool=POOL,
            admission_id=request.admission_id,
            server=S1,
            grant_number=4,
            queued_seconds=0.9,
        )
        self.assertEqual(self.client.handle_grant(OWNER, grant, 2.0), S1)

    def test_load_update_after_grant_includes_its_request(self):
        request = self.plan().admission_request
        grant = messages.Grant(
            pool=POOL,
            admission_id=request.admission_id,
            server=S1,
            grant_number=4,
            queued_seconds=0.0,
        )
        self.client.handle_grant(OWNER, grant, 1.1)
        load_update = self.client.due_load_update(1.2)
        self.assertEqual(load_update.last_grant_number, 4)
        self.assertEqual(load_update.servers[0].in_flight, 1)

    def test_grant_for_earlier_process_is_ignored(self):
        grant = messages.Grant(
            pool=POOL,
            admission_id=3,
            server=S1,
            grant_number=99,
            queued_seconds=0.0,
        )
        self.assertIsNone(self.client.handle_grant(OWNER, grant, 1.0))
        self.client.begin(S1, is_direct=True)
        self.assertEqual(self.client.due_load_update(2.0).last_grant_number, 0)

    def test_new_owner_receives_all_counts(self):
        self.client.begin(S1, is_direct=True)
        self.client.due_load_update(2.0)
        self.client.set_owner(OTHER_DAEMON)
        load_update = self.client.due_load_update(3.0)
        self.assertEqual([s.server for s in load_update.servers], [S1])


if __name__ == "__main__":
    unittest.main()
