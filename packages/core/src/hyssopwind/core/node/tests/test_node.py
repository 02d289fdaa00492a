import random
import unittest

from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core.configuration import configuration_store
from hyssopwind.core.membership import vm_records
from hyssopwind.core.node import key_component
from hyssopwind.core.node import node
from hyssopwind.core.node import timestamp
from hyssopwind.core.ownership import key_records
from hyssopwind.core.pools import clients
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import parsing

TEAM_DOCUMENT = """
[data_centres.chicago]
[services.ledger]
route = "/ledger"
[services.ledger.load]
chicago = "1000/s"
"""
DAEMON_DOCUMENT = """
name = "{name}"
data_centre = "chicago"
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
admin = "127.0.0.1:3"
[platform]
configuration = "http://127.0.0.1:4"
virtual_machines = "http://127.0.0.1:5"
[cluster]
entry_vms = {entry_vms}
[keys]
signing_keys = ["a-signing-key-for-tests"]
"""
POOL = "team/ledger@chicago"
SERVER = vm_records.ServerVmRecord(
    service="team/ledger", data_centre="chicago", address="127.0.0.1:6"
)


def make_node(name="one", start="1", entry_vms=1):
    text = DAEMON_DOCUMENT.format(name=name, entry_vms=entry_vms)
    return node.Node(
        messages.DaemonIdentity(name, start),
        parsing.parse_daemon(text, "d").value,
        random.Random(1),
        invariants.InvariantMonitor(),
        0.0,
    )


def make_timestamps(now):
    return timestamp.Timestamps(now, 1e9 + now)


def heartbeat_arguments(peer, now):
    heartbeat = peer.membership.heartbeat({})
    return messages.Envelope(peer.identity, heartbeat), make_timestamps(now)


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.node = make_node()
        self.node.apply_settings_listing(
            [configuration_store.TeamDocument("team", 1, TEAM_DOCUMENT)],
            1,
            make_timestamps(10.0),
        )
        vm_list = vm_records.VmList(1, {"s1": SERVER}, {})
        self.node.apply_vm_list(vm_list, make_timestamps(10.0))
        self.node.set_phase(messages.Phase.SERVING, make_timestamps(10.0))
        self.node.tick(make_timestamps(10.0))

    def plan(self, now):
        pool_client = self.node.pools.client_for_pool(POOL, now)
        return pool_client.plan(
            now, now + 1, documents.Priority.NORMAL, False, frozenset()
        )

    def test_dropped_owner_is_set_again_at_next_heartbeat(self):
        self.assertIsInstance(self.plan(10.1), clients.RequestAdmission)
        self.node.pools.pool_clients[POOL].clear_owner()
        self.assertIsInstance(self.plan(10.2), clients.NoCapacity)
        self.node.tick(make_timestamps(11.0))
        self.assertIsInstance(self.plan(11.0), clients.RequestAdmission)

    def test_probes_are_due_only_while_the_pool_lease_is_held(self):
        probes = []
        for step in range(100):
            now = 10.0 + step * 0.05
            self.node.tick(make_timestamps(now))
            probes += self.node.pools.due_probes(now)
        self.assertGreater(len(probes), 2)
        lone_node = make_node(entry_vms=5)
        lone_node.apply_settings_listing(
            [configuration_store.TeamDocument("team", 1, TEAM_DOCUMENT)],
            1,
            make_timestamps(10.0),
        )
        lone_node.set_phase(messages.Phase.SERVING, make_timestamps(10.0))
        lone_node.tick(make_timestamps(11.0))
        self.assertEqual(lone_node.pools.due_probes(11.0), [])

    def test_older_vm_list_is_ignored(self):
        older_list = vm_records.VmList(0, {}, {})
        self.node.apply_vm_list(older_list, make_timestamps(10.1))
        self.assertTrue(self.node.pools.is_server_usable(POOL, "s1"))


class TicketTest(unittest.TestCase):
    def setUp(self):
        self.issuer = make_node("one", "1")
        self.other_node = make_node("two", "1")
        self.ticket = self.issuer.keys.issue_ticket(10.0)

    def claim(self, claiming_node, now=10.1, text=None):
        return claiming_node.keys.claim_ticket(text or self.ticket, "f", now)

    def test_issuer_runs_its_ticket(self):
        self.assertIsInstance(self.claim(self.issuer), key_records.Run)

    def test_other_daemon_forwards_to_the_issuer(self):
        self.other_node.receive(*heartbeat_arguments(self.issuer, 10.0))
        decision = self.claim(self.other_node)
        self.assertEqual(
            decision, key_component.Forward("one", "127.0.0.1:1", "1")
        )

    def test_issuer_without_heartbeat_gives_unknown_with_retry(self):
        decision = self.claim(self.other_node)
        self.assertIsInstance(decision, outcomes.Unknown)
        self.assertIsNotNone(decision.retry_after_seconds)

    def test_restarted_issuer_gives_unknown_without_retry(self):
        self.other_node.receive(
            *heartbeat_arguments(make_node("one", "2"), 10.0)
        )
        decision = self.claim(self.other_node)
        self.assertIs(decision.reason, outcomes.Reason.KEY_OWNER_GONE)
        self.assertIsNone(decision.retry_after_seconds)

    def test_issuer_does_not_run_tickets_of_an_earlier_start(self):
        decision = self.claim(make_node("one", "2"))
        self.assertIs(decision.reason, outcomes.Reason.KEY_OWNER_GONE)

    def test_expired_ticket_is_not_run(self):
        decision = self.claim(self.issuer, now=10_000.0)
        self.assertIs(decision.reason, outcomes.Reason.KEY_EXPIRED)
        self.assertIsInstance(decision, outcomes.Unknown)

    def test_altered_ticket_is_not_run(self):
        altered = ("B" if self.ticket[0] == "A" else "A") + self.ticket[1:]
        decision = self.claim(self.issuer, text=altered)
        self.assertIsInstance(decision, outcomes.Unknown)


class DocumentsTest(unittest.TestCase):
    def test_heartbeat_with_older_revisions_is_answered_with_documents(self):
        informed_node = make_node("one")
        informed_node.apply_settings_listing(
            [configuration_store.TeamDocument("team", 4, TEAM_DOCUMENT)],
            4,
            make_timestamps(1.0),
        )
        new_node = make_node("two")
        informed_node.receive(*heartbeat_arguments(new_node, 1.1))
        sent_bodies = [
            outgoing.body
            for outgoing in informed_node.pop_outgoing()
            if isinstance(outgoing.body, messages.Documents)
        ]
        envelope = messages.Envelope(informed_node.identity, sent_bodies[0])
        new_node.receive(envelope, make_timestamps(1.2))
        self.assertTrue(new_node.configuration.is_loaded)
        revisions = new_node.configuration.document_store.revisions
        self.assertEqual(revisions, {"team": 4})


if __name__ == "__main__":
    unittest.main()
