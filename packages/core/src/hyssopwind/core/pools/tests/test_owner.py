import unittest

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core.pools import owner
from hyssopwind.core.pools import server_load
from hyssopwind.core.settings import reading
from hyssopwind.core.settings import snapshot

POOL = ids.PoolId("team/ledger@chicago")
ONE = messages.Sender(ids.DaemonId("one"), ids.StartId("1"))
ONE_ANEW = messages.Sender(ids.DaemonId("one"), ids.StartId("2"))
TWO = messages.Sender(ids.DaemonId("two"), ids.StartId("1"))
THREE = messages.Sender(ids.DaemonId("three"), ids.StartId("1"))
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
    team = reading.read_team(text, "t").value
    return snapshot.compile_snapshot({"team": team}).services["team/ledger"]


class OwnerTestCase(unittest.TestCase):
    def setUp(self):
        self.monitor = invariants.InvariantMonitor()
        self.owner = owner.PoolOwner(POOL, make_service(), self.monitor, 0.0)
        self.number = 0
        self.introduce()

    def introduce(self):
        """Lets the owner hear both daemons, so that later tells are news."""
        for sender in (ONE, TWO):
            self.owner.take_tell(sender, self.tell(), 0.0)

    def add_warm_servers(self, *names):
        self.owner.inherit({ids.ServerId(name): "start" for name in names})
        self.owner.set_servers(ids.ServerId(name) for name in names)
        tells = [
            messages.ServerTell(ids.ServerId(name), 0, 1, 0, 0, "start", 0.01)
            for name in names
        ]
        self.owner.take_tell(TWO, self.tell(servers=tells), 0.0)

    def tell(self, servers=(), grants_seen=0, started=0):
        return messages.Tell(
            pool=POOL,
            grants_seen=grants_seen,
            started=started,
            servers=list(servers),
        )

    def ask(
        self,
        sender=ONE,
        now=0.1,
        rank=1,
        patience=1.0,
        lease=True,
        foreign=False,
        **tell,
    ):
        self.number += 1
        message = messages.Ask(
            tell=self.tell(**tell),
            ask=self.number,
            rank=rank,
            patience=patience,
            foreign=foreign,
            avoid=[],
        )
        sent = self.owner.take_ask(sender, message, now, lease)
        return [outgoing.body for outgoing in sent]


class GrantTest(OwnerTestCase):
    def test_grants_up_to_one_beyond_the_slots(self):
        self.add_warm_servers("s1")
        answers = [self.ask() for _ in range(4)]
        granted = [a for a in answers if a and type(a[0]) is messages.Grant]
        self.assertEqual(len(granted), 3)
        self.assertEqual(self.owner.queue_length, 1)

    def test_tell_of_a_finished_request_frees_the_slot(self):
        self.add_warm_servers("s1")
        for _ in range(4):
            self.ask()
        done = messages.ServerTell(SERVER, 2, 1, 0, 0, "start", 0.01)
        sent = self.owner.take_tell(ONE, self.tell([done], grants_seen=3), 0.12)
        self.assertEqual([o.body.ask for o in sent], [4])
        loads = self.owner.servers[SERVER].in_flight
        self.assertEqual(loads, self.owner.recount()[SERVER])

    def test_repeated_tell_changes_nothing(self):
        self.add_warm_servers("s1")
        self.ask()
        busy = messages.ServerTell(SERVER, 1, 0, 0, 0, "start", 0.0)
        for _ in range(3):
            self.owner.take_tell(ONE, self.tell([busy], grants_seen=1), 0.2)
        self.assertEqual(self.owner.servers[SERVER].in_flight, 1)

    def test_new_start_of_a_daemon_drops_its_counts(self):
        self.add_warm_servers("s1")
        busy = messages.ServerTell(SERVER, 3, 0, 0, 0, "start", 0.0)
        self.owner.take_tell(ONE, self.tell([busy]), 0.2)
        self.owner.take_tell(ONE_ANEW, self.tell(), 0.3)
        self.assertEqual(self.owner.servers[SERVER].in_flight, 0)

    def test_unused_grant_is_free_again(self):
        self.add_warm_servers("s1")
        self.ask()
        self.owner.tick(0.1 + owner.GRANT_VALIDITY + 0.1, True)
        self.assertEqual(self.owner.servers[SERVER].in_flight, 0)

    def test_higher_priority_and_near_requests_go_first(self):
        self.add_warm_servers("s1")
        for _ in range(3):
            self.ask()
        self.ask(rank=2)
        self.ask(rank=0, foreign=True)
        self.ask(rank=0)
        done = messages.ServerTell(SERVER, 0, 3, 0, 0, "start", 0.03)
        sent = self.owner.take_tell(ONE, self.tell([done], grants_seen=3), 0.12)
        self.assertEqual([o.body.ask for o in sent], [6, 5, 4])

    def test_hopeless_request_is_refused_at_once(self):
        self.add_warm_servers("s1")
        for _ in range(8):
            self.ask(patience=5.0)
        answers = self.ask(patience=0.001)
        self.assertIs(type(answers[0]), messages.Refusal)
        self.assertGreater(answers[0].retry_after, 0.0)

    def test_full_queue_refuses_the_lowest_priority(self):
        self.add_warm_servers("s1")
        limit = owner.QUEUE_PER_SLOT * 2
        for _ in range(3 + limit):
            self.ask(rank=2, patience=50.0)
        answers = self.ask(rank=0, patience=50.0)
        refused = [a for a in answers if type(a) is messages.Refusal]
        self.assertEqual(len(refused), 1)
        self.assertNotEqual(refused[0].ask, self.number)


class NewOwnerTest(OwnerTestCase):
    def test_history_told_to_a_new_owner_is_no_news(self):
        self.owner.inherit({SERVER: "start"})
        self.owner.set_servers([SERVER])
        history = messages.ServerTell(SERVER, 1, 900, 7, 5, "start", 9.0)
        told = self.tell([history], started=900)
        self.owner.take_tell(THREE, told, 0.1)
        load = self.owner.servers[SERVER]
        self.assertFalse(load.is_cold)
        self.assertTrue(load.is_usable(0.1))
        self.assertEqual((load.limit, load.in_flight), (3, 1))
        self.assertTrue(self.owner.is_open(0.1))

    def test_news_after_the_history_counts(self):
        self.owner.inherit({SERVER: "start"})
        self.owner.set_servers([SERVER])
        history = messages.ServerTell(SERVER, 1, 900, 7, 5, "start", 9.0)
        self.owner.take_tell(THREE, self.tell([history]), 0.1)
        broken = messages.ServerTell(SERVER, 0, 900, 7, 6, "start", 9.0)
        self.owner.take_tell(THREE, self.tell([broken]), 0.2)
        self.assertTrue(self.owner.servers[SERVER].is_cold)


class ColdStartTest(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.owner.set_servers([SERVER])

    def test_unknown_server_is_cold_and_gets_one_request(self):
        self.assertIs(type(self.ask()[0]), messages.Grant)
        self.assertEqual(self.ask(), [])
        self.assertEqual(self.monitor.breaches, {})

    def test_cold_server_gets_nothing_without_a_lease(self):
        self.assertEqual(self.ask(lease=False), [])

    def test_completed_requests_raise_the_limit(self):
        load = self.owner.servers[SERVER]
        done = messages.ServerTell(SERVER, 0, 4, 0, 0, "a", 0.04)
        self.owner.take_tell(ONE, self.tell([done]), 0.1)
        self.assertEqual(load.limit, 2)
        done = messages.ServerTell(SERVER, 0, 8, 0, 0, "a", 0.08)
        self.owner.take_tell(ONE, self.tell([done]), 0.2)
        self.assertFalse(load.is_cold)

    def test_new_start_identity_makes_it_cold_again(self):
        self.add_warm_servers("s2")
        load = self.owner.servers[ids.ServerId("s2")]
        self.assertFalse(load.is_cold)
        done = messages.ServerTell(load.server, 0, 2, 0, 0, "other", 0.02)
        self.owner.take_tell(TWO, self.tell([done]), 0.1)
        self.assertTrue(load.is_cold)
        self.assertFalse(self.owner.is_open(0.1))

    def test_broken_attempt_makes_it_cold_again(self):
        self.add_warm_servers("s2")
        load = self.owner.servers[ids.ServerId("s2")]
        broken = messages.ServerTell(load.server, 0, 1, 0, 1, "start", 0.01)
        self.owner.take_tell(TWO, self.tell([broken]), 0.1)
        self.assertTrue(load.is_cold)

    def test_report_that_stays_cold_is_believed_once(self):
        self.add_warm_servers("s2")
        load = self.owner.servers[ids.ServerId("s2")]
        report = server_load.LoadReport("start", True, False, 0.1)
        self.owner.take_report(load.server, report, 0.1)
        self.assertTrue(load.is_cold)
        done = messages.ServerTell(load.server, 0, 60, 0, 0, "start", 0.6)
        self.owner.take_tell(TWO, self.tell([done]), 0.2)
        self.owner.take_report(load.server, report, 0.3)
        self.assertFalse(load.is_cold)

    def test_draining_report_stops_new_work(self):
        self.add_warm_servers("s2")
        load = self.owner.servers[ids.ServerId("s2")]
        report = server_load.LoadReport("start", False, True, 0.1)
        self.owner.take_report(load.server, report, 0.1)
        self.assertFalse(load.is_usable(0.2))


class DataCentreTest(OwnerTestCase):
    def test_out_refuses_at_once(self):
        self.add_warm_servers("s1")
        self.owner.configure(make_service(state="out"), 1.0)
        answer = self.ask(now=1.0)[0]
        self.assertIs(answer.cause, messages.RefusalCause.DATA_CENTRE_OUT)
        self.assertFalse(self.owner.is_open(1.0))

    def test_return_is_closed_until_the_ramp_is_over(self):
        self.add_warm_servers("s1")
        self.owner.configure(make_service(state="out"), 1.0)
        self.owner.configure(make_service(state="in"), 5.0)
        self.assertFalse(self.owner.is_open(10.0))
        self.assertTrue(self.owner.is_open(15.1))

    def test_declared_load_is_not_exceeded(self):
        self.owner = owner.PoolOwner(
            POOL, make_service(load="10/s", slots=50), self.monitor, 0.0
        )
        self.introduce()
        self.add_warm_servers("s1", "s2")
        granted = 0
        for step in range(1000):
            now = 0.1 + step * 0.002
            answers = self.ask(now=now, patience=0.05, grants_seen=granted)
            granted += sum(type(a) is messages.Grant for a in answers)
        self.assertLessEqual(granted, 10 * 2.1 + 2)
        self.assertGreaterEqual(granted, 15)


if __name__ == "__main__":
    unittest.main()
