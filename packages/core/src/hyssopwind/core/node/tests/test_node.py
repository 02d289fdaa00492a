import random
import unittest

from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core.configuration import store
from hyssopwind.core.membership import machines
from hyssopwind.core.node import moments
from hyssopwind.core.node import node
from hyssopwind.core.node import owning
from hyssopwind.core.ownership import ledger
from hyssopwind.core.pools import member
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import reading

TEAM = """
[data_centres.chicago]
[services.ledger]
route = "/ledger"
[services.ledger.load]
chicago = "1000/s"
"""
DAEMON = """
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
SERVER = machines.ServerRecord(
    service="team/ledger", data_centre="chicago", address="127.0.0.1:6"
)


def make_node(name="one", start="1", entry_vms=1):
    text = DAEMON.format(name=name, entry_vms=entry_vms)
    return node.Node(
        messages.Sender(name, start),
        reading.read_daemon(text, "d").value,
        random.Random(1),
        invariants.InvariantMonitor(),
        0.0,
    )


def at(now):
    return moments.Moment(now, 1e9 + now)


def heartbeat_of(other, now):
    beat = other.members.heartbeat({})
    return messages.Envelope(other.sender, beat), at(now)


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.node = make_node()
        self.node.take_settings_listing(
            [store.TeamDocument("team", 1, TEAM)], 1, at(10.0)
        )
        listing = machines.MachineList(1, {"s1": SERVER}, {})
        self.node.take_machines(listing, at(10.0))
        self.node.set_phase(messages.Phase.SERVING, at(10.0))
        self.node.tick(at(10.0))

    def plan(self, now):
        pool_member = self.node.pools.member_of(POOL, now)
        return pool_member.plan(
            now, now + 1, documents.Priority.NORMAL, False, frozenset()
        )

    def test_owner_that_was_dropped_is_asked_again(self):
        self.assertIsInstance(self.plan(10.1), member.AskOwner)
        self.node.pools.members[POOL].forget_owner()
        self.assertIsInstance(self.plan(10.2), member.NoRoom)
        self.node.tick(at(11.0))
        self.assertIsInstance(self.plan(11.0), member.AskOwner)

    def test_probes_need_the_lease_of_the_pool(self):
        probes = []
        for step in range(100):
            now = 10.0 + step * 0.05
            self.node.tick(at(now))
            probes += self.node.pools.probes_due(now)
        self.assertGreater(len(probes), 2)
        lone = make_node(entry_vms=5)
        lone.take_settings_listing(
            [store.TeamDocument("team", 1, TEAM)], 1, at(10.0)
        )
        lone.set_phase(messages.Phase.SERVING, at(10.0))
        lone.tick(at(11.0))
        self.assertEqual(lone.pools.probes_due(11.0), [])

    def test_older_list_of_machines_is_not_taken(self):
        older = machines.MachineList(0, {}, {})
        self.node.take_machines(older, at(10.1))
        self.assertTrue(self.node.pools.is_server_usable(POOL, "s1"))


class TicketTest(unittest.TestCase):
    def setUp(self):
        self.issuer = make_node("one", "1")
        self.other = make_node("two", "1")
        self.ticket = self.issuer.keys.issue_ticket(10.0)

    def claim(self, where, now=10.1, text=None):
        return where.keys.claim_ticket(text or self.ticket, "f", now)

    def test_issuer_runs_it(self):
        self.assertIsInstance(self.claim(self.issuer), ledger.Run)

    def test_another_daemon_hands_it_on(self):
        self.other.receive(*heartbeat_of(self.issuer, 10.0))
        decision = self.claim(self.other)
        self.assertEqual(decision, owning.Forward("one", "127.0.0.1:1", "1"))

    def test_unheard_issuer_leaves_it_unknown_for_now(self):
        decision = self.claim(self.other)
        self.assertIsInstance(decision, outcomes.Unknown)
        self.assertIsNotNone(decision.retry_after)

    def test_replaced_issuer_makes_it_final(self):
        self.other.receive(*heartbeat_of(make_node("one", "2"), 10.0))
        decision = self.claim(self.other)
        self.assertIs(decision.reason, outcomes.Reason.KEY_OWNER_GONE)
        self.assertIsNone(decision.retry_after)

    def test_new_life_does_not_run_tickets_of_the_old(self):
        decision = self.claim(make_node("one", "2"))
        self.assertIs(decision.reason, outcomes.Reason.KEY_OWNER_GONE)

    def test_expired_ticket_does_not_run(self):
        decision = self.claim(self.issuer, now=10_000.0)
        self.assertIs(decision.reason, outcomes.Reason.KEY_EXPIRED)
        self.assertIsInstance(decision, outcomes.Unknown)

    def test_altered_ticket_does_not_run(self):
        altered = ("B" if self.ticket[0] == "A" else "A") + self.ticket[1:]
        decision = self.claim(self.issuer, text=altered)
        self.assertIsInstance(decision, outcomes.Unknown)


class DocumentsTest(unittest.TestCase):
    def test_heartbeat_with_older_revisions_is_answered(self):
        knowing = make_node("one")
        knowing.take_settings_listing(
            [store.TeamDocument("team", 4, TEAM)], 4, at(1.0)
        )
        fresh = make_node("two")
        knowing.receive(*heartbeat_of(fresh, 1.1))
        sent = [
            outgoing.body
            for outgoing in knowing.take_outgoing()
            if isinstance(outgoing.body, messages.Documents)
        ]
        envelope = messages.Envelope(knowing.sender, sent[0])
        fresh.receive(envelope, at(1.2))
        self.assertTrue(fresh.configuration.is_loaded)
        revisions = fresh.configuration.documents.revisions
        self.assertEqual(revisions, {"team": 4})


if __name__ == "__main__":
    unittest.main()
