import unittest

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core.pools import owners
from hyssopwind.core.pools import server_load
from hyssopwind.core.settings import parsing
from hyssopwind.core.settings import snapshot

POOL = ids.PoolId("team/ledger@chicago")
DAEMON_ONE = messages.DaemonIdentity(ids.DaemonId("one"), ids.StartId("1"))
DAEMON_ONE_RESTARTED = messages.DaemonIdentity(
    ids.DaemonId("one"), ids.StartId("2")
)
DAEMON_TWO = messages.DaemonIdentity(ids.DaemonId("two"), ids.StartId("1"))
DAEMON_THREE = messages.DaemonIdentity(ids.DaemonId("three"), ids.StartId("1"))
SERVER = ids.ServerId("s1")


def make_service(state="in", load="1000/s", slots=2):
    text = f"""
[data_centres.chicago]
state = "{state}"
return_ramp = "10s"
[services.ledger]
route = "/ledger"
slots = {slots}
cold_start = {{ limit = 1, step = 4 }}
[services.ledger.load]
chicago = "{load}"
"""
    team = parsing.parse_team(text, "t").value
    return snapshot.compile_snapshot({"team": team}).services["team/ledger"]


class OwnerTestCase(unittest.TestCase):
    def setUp(self):
        self.monitor = invariants.InvariantMonitor()
        self.owner = owners.PoolOwner(POOL, make_service(), self.monitor, 0.0)
        self.last_admission_id = 0
        self.send_first_load_updates()

    def send_first_load_updates(self):
        """Sends empty load updates, so that the next ones count in full."""
        for sender in (DAEMON_ONE, DAEMON_TWO):
            self.owner.handle_load_update(sender, self.make_load_update(), 0.0)

    def add_warm_servers(self, *names):
        self.owner.inherit_warm_servers(
            {ids.ServerId(name): "start" for name in names}
        )
        self.owner.set_servers(ids.ServerId(name) for name in names)
        server_updates = [
            messages.ServerLoadUpdate(
                ids.ServerId(name), 0, 1, 0, 0, "start", 0.01
            )
            for name in names
        ]
        self.owner.handle_load_update(
            DAEMON_TWO, self.make_load_update(servers=server_updates), 0.0
        )

    def make_load_update(
        self, servers=(), last_grant_number=0, direct_request_count=0
    ):
        return messages.LoadUpdate(
            pool=POOL,
            last_grant_number=last_grant_number,
            direct_request_count=direct_request_count,
            servers=list(servers),
        )

    def request_slot(
        self,
        sender=DAEMON_ONE,
        now=0.1,
        rank=1,
        timeout=1.0,
        lease_held=True,
        is_remote=False,
        **load_update,
    ):
        self.last_admission_id += 1
        message = messages.AdmissionRequest(
            load_update=self.make_load_update(**load_update),
            admission_id=self.last_admission_id,
            priority_rank=rank,
            timeout_seconds=timeout,
            is_remote=is_remote,
            tried_servers=[],
        )
        outgoing = self.owner.handle_admission_request(
            sender, message, now, lease_held
        )
        return [answer.body for answer in outgoing]


class GrantTest(OwnerTestCase):
    def test_full_server_is_granted_one_request_beyond_slots(self):
        self.add_warm_servers("s1")
        answers = [self.request_slot() for _ in range(4)]
        granted = [a for a in answers if a and type(a[0]) is messages.Grant]
        self.assertEqual(len(granted), 3)
        self.assertEqual(self.owner.queue_length, 1)

    def test_reported_completion_frees_slot_for_queued_request(self):
        self.add_warm_servers("s1")
        for _ in range(4):
            self.request_slot()
        done = messages.ServerLoadUpdate(SERVER, 2, 1, 0, 0, "start", 0.01)
        outgoing = self.owner.handle_load_update(
            DAEMON_ONE, self.make_load_update([done], last_grant_number=3), 0.12
        )
        self.assertEqual([o.body.admission_id for o in outgoing], [4])
        in_flight = self.owner.servers[SERVER].in_flight
        self.assertEqual(in_flight, self.owner.recount_in_flight()[SERVER])

    def test_repeated_load_update_is_counted_once(self):
        self.add_warm_servers("s1")
        self.request_slot()
        busy = messages.ServerLoadUpdate(SERVER, 1, 0, 0, 0, "start", 0.0)
        for _ in range(3):
            self.owner.handle_load_update(
                DAEMON_ONE,
                self.make_load_update([busy], last_grant_number=1),
                0.2,
            )
        self.assertEqual(self.owner.servers[SERVER].in_flight, 1)

    def test_restarted_daemon_drops_its_counts(self):
        self.add_warm_servers("s1")
        busy = messages.ServerLoadUpdate(SERVER, 3, 0, 0, 0, "start", 0.0)
        self.owner.handle_load_update(
            DAEMON_ONE, self.make_load_update([busy]), 0.2
        )
        self.owner.handle_load_update(
            DAEMON_ONE_RESTARTED, self.make_load_update(), 0.3
        )
        self.assertEqual(self.owner.servers[SERVER].in_flight, 0)

    def test_unused_grant_expires(self):
        self.add_warm_servers("s1")
        self.request_slot()
        self.owner.tick(0.1 + owners.GRANT_VALIDITY_SECONDS + 0.1, True)
        self.assertEqual(self.owner.servers[SERVER].in_flight, 0)

    def test_queue_prefers_high_priority_then_local_requests(self):
        self.add_warm_servers("s1")
        for _ in range(3):
            self.request_slot()
        self.request_slot(rank=2)
        self.request_slot(rank=0, is_remote=True)
        self.request_slot(rank=0)
        done = messages.ServerLoadUpdate(SERVER, 0, 3, 0, 0, "start", 0.03)
        outgoing = self.owner.handle_load_update(
            DAEMON_ONE, self.make_load_update([done], last_grant_number=3), 0.12
        )
        self.assertEqual([o.body.admission_id for o in outgoing], [6, 5, 4])

    def test_request_that_cannot_meet_deadline_is_refused_at_once(self):
        self.add_warm_servers("s1")
        for _ in range(8):
            self.request_slot(timeout=5.0)
        answers = self.request_slot(timeout=0.001)
        self.assertIs(type(answers[0]), messages.Refusal)
        self.assertGreater(answers[0].retry_after_seconds, 0.0)

    def test_full_queue_refuses_lowest_priority(self):
        self.add_warm_servers("s1")
        limit = owners.QUEUED_REQUESTS_PER_SLOT * 2
        for _ in range(3 + limit):
            self.request_slot(rank=2, timeout=50.0)
        answers = self.request_slot(rank=0, timeout=50.0)
        refused = [a for a in answers if type(a) is messages.Refusal]
        self.assertEqual(len(refused), 1)
        self.assertNotEqual(refused[0].admission_id, self.last_admission_id)


class NewOwnerTest(OwnerTestCase):
    def test_first_load_update_counts_only_requests_in_flight(self):
        self.owner.inherit_warm_servers({SERVER: "start"})
        self.owner.set_servers([SERVER])
        history = messages.ServerLoadUpdate(SERVER, 1, 900, 7, 5, "start", 9.0)
        load_update = self.make_load_update([history], direct_request_count=900)
        self.owner.handle_load_update(DAEMON_THREE, load_update, 0.1)
        load = self.owner.servers[SERVER]
        self.assertFalse(load.is_cold)
        self.assertTrue(load.is_usable(0.1))
        self.assertEqual((load.limit, load.in_flight), (3, 1))
        self.assertTrue(self.owner.is_open(0.1))

    def test_failure_after_first_load_update_makes_server_cold(self):
        self.owner.inherit_warm_servers({SERVER: "start"})
        self.owner.set_servers([SERVER])
        history = messages.ServerLoadUpdate(SERVER, 1, 900, 7, 5, "start", 9.0)
        self.owner.handle_load_update(
            DAEMON_THREE, self.make_load_update([history]), 0.1
        )
        failed = messages.ServerLoadUpdate(SERVER, 0, 900, 7, 6, "start", 9.0)
        self.owner.handle_load_update(
            DAEMON_THREE, self.make_load_update([failed]), 0.2
        )
        self.assertTrue(self.owner.servers[SERVER].is_cold)


class ColdStartTest(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.owner.set_servers([SERVER])

    def test_unknown_server_is_cold_and_gets_one_request(self):
        self.assertIs(type(self.request_slot()[0]), messages.Grant)
        self.assertEqual(self.request_slot(), [])
        self.assertEqual(self.monitor.breaches, {})

    def test_cold_server_gets_no_request_without_lease(self):
        self.assertEqual(self.request_slot(lease_held=False), [])

    def test_completed_requests_raise_the_limit(self):
        load = self.owner.servers[SERVER]
        done = messages.ServerLoadUpdate(SERVER, 0, 4, 0, 0, "a", 0.04)
        self.owner.handle_load_update(
            DAEMON_ONE, self.make_load_update([done]), 0.1
        )
        self.assertEqual(load.limit, 2)
        done = messages.ServerLoadUpdate(SERVER, 0, 8, 0, 0, "a", 0.08)
        self.owner.handle_load_update(
            DAEMON_ONE, self.make_load_update([done]), 0.2
        )
        self.assertFalse(load.is_cold)

    def test_new_start_identity_makes_server_cold(self):
        self.add_warm_servers("s2")
        load = self.owner.servers[ids.ServerId("s2")]
        self.assertFalse(load.is_cold)
        done = messages.ServerLoadUpdate(load.server, 0, 2, 0, 0, "other", 0.02)
        self.owner.handle_load_update(
            DAEMON_TWO, self.make_load_update([done]), 0.1
        )
        self.assertTrue(load.is_cold)
        self.assertFalse(self.owner.is_open(0.1))

    def test_failed_attempt_makes_server_cold(self):
        self.add_warm_servers("s2")
        load = self.owner.servers[ids.ServerId("s2")]
        failed = messages.ServerLoadUpdate(
            load.server, 0, 1, 0, 1, "start", 0.01
        )
        self.owner.handle_load_update(
            DAEMON_TWO, self.make_load_update([failed]), 0.1
        )
        self.assertTrue(load.is_cold)

    def test_repeated_cold_report_is_applied_once(self):
        self.add_warm_servers("s2")
        load = self.owner.servers[ids.ServerId("s2")]
        report = server_load.LoadReport("start", True, False, 0.1)
        self.owner.handle_load_report(load.server, report, 0.1)
        self.assertTrue(load.is_cold)
        done = messages.ServerLoadUpdate(load.server, 0, 60, 0, 0, "start", 0.6)
        self.owner.handle_load_update(
            DAEMON_TWO, self.make_load_update([done]), 0.2
        )
        self.owner.handle_load_report(load.server, report, 0.3)
        self.assertFalse(load.is_cold)

    def test_draining_server_is_unusable(self):
        self.add_warm_servers("s2")
        load = self.owner.servers[ids.ServerId("s2")]
        report = server_load.LoadReport("start", False, True, 0.1)
        self.owner.handle_load_report(load.server, report, 0.1)
        self.assertFalse(load.is_usable(0.2))


class DataCentreTest(OwnerTestCase):
    def test_data_centre_that_is_out_refuses_at_once(self):
        self.add_warm_servers("s1")
        self.owner.apply_service_settings(make_service(state="out"), 1.0)
        answer = self.request_slot(now=1.0)[0]
        self.assertIs(answer.cause, messages.RefusalCause.DATA_CENTRE_OUT)
        self.assertFalse(self.owner.is_open(1.0))

    def test_recovered_data_centre_is_closed_until_ramp_ends(self):
        self.add_warm_servers("s1")
        self.owner.apply_service_settings(make_service(state="out"), 1.0)
        self.owner.apply_service_settings(make_service(state="in"), 5.0)
        self.assertFalse(self.owner.is_open(10.0))
        self.assertTrue(self.owner.is_open(15.1))

    def test_declared_load_is_not_exceeded(self):
        self.owner = owners.PoolOwner(
            POOL, make_service(load="10/s", slots=50), self.monitor, 0.0
        )
        self.send_first_load_updates()
        self.add_warm_servers("s1", "s2")
        granted = 0
        for step in range(1000):
            now = 0.1 + step * 0.002
            answers = self.request_slot(
                now=now, timeout=0.05, last_grant_number=granted
            )
            granted += sum(type(a) is messages.Grant for a in answers)
        self.assertLessEqual(granted, 10 * 2.1 + 2)
        self.assertGreaterEqual(granted, 15)


if __name__ == "__main__":
    unittest.main()
