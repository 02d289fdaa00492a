import random
import unittest

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.discovery import entries
from hyssopwind.core.dispatch import server_health
from hyssopwind.core.dispatch import server_reachability

A, B, C = (ids.ServerId(name) for name in "abc")


def make_server(name, service="s", data_centre="north"):
    entry = entries.ServerEntry(
        ids.ServerId(name),
        ids.ServiceId(service),
        f"10.0.0.1:{name}",
        ids.DataCentreId(data_centre),
        4,
        False,
        0.0,
        1,
    )
    return catalogue.ListedServer(entry, 0.0, 0.0)


class ServerReachabilityTest(unittest.TestCase):
    def setUp(self):
        self.reachability = server_reachability.ServerReachability()

    def state(self, now):
        return self.reachability.state(now)

    def needs_verification(self, now):
        return self.reachability.needs_verification(9, now)

    # Single servers that fail between answers are no reason to send probes.
    def test_failures_between_answers_do_not_count(self):
        for number in range(100):
            now = 0.1 * number
            self.reachability.record_failure(ids.ServerId(str(number)), now)
            self.assertFalse(self.needs_verification(now))
            self.reachability.record_answer(now)

    # A server that fails again and again is one server.
    def test_one_dead_server_does_not_count(self):
        for number in range(10):
            self.reachability.record_failure(A, 0.1 * number, is_connect=True)
        self.assertFalse(self.needs_verification(1.0))

    # The only server of a site failed and nothing was verified.
    def test_only_server_counts(self):
        self.reachability.record_failure(A, 1.0)
        self.assertTrue(self.reachability.needs_verification(1, 1.0))

    # Open connections that lived on hid that new ones were refused.
    def test_refused_connections_count_despite_answers(self):
        self.reachability.record_failure(A, 1.0, is_connect=True)
        self.reachability.record_answer(1.1)
        self.reachability.record_failure(B, 1.2, is_connect=True)
        self.reachability.record_answer(1.3)
        self.assertTrue(self.needs_verification(1.3))
        self.reachability.record_unanswered_verification([C], 1.4)
        expected = server_reachability.Reachability.NO_NEW_CONNECTIONS
        self.assertIs(self.state(1.4), expected)
        self.reachability.record_answer(1.5)
        self.assertIs(self.state(1.5), expected)
        self.assertFalse(self.reachability.is_reachable)
        expected = server_reachability.Reachability.CUT_OFF
        self.assertIs(self.state(2.0), expected)

    # A cut daemon did not use connections that were open, as it sent nothing.
    def test_answer_to_a_probe_on_an_open_connection_is_relied_on(self):
        self.reachability.record_unanswered_verification([C], 1.0)
        self.reachability.record_open_connection_answer(2.0)
        expected = server_reachability.Reachability.NO_NEW_CONNECTIONS
        self.assertIs(self.state(2.5), expected)
        expected = server_reachability.Reachability.CUT_OFF
        self.assertIs(self.state(2.7), expected)

    # A dead service made a daemon verify its own links all the time.
    def test_verification_that_found_a_server_is_not_repeated_at_once(self):
        for server in (A, B):
            self.reachability.record_failure(server, 1.0)
        self.assertIsNone(self.reachability.record_new_connection_answer(1.0))
        for server in (A, B):
            self.reachability.record_failure(server, 1.2)
        self.assertFalse(self.needs_verification(1.2))
        self.assertTrue(self.needs_verification(1.6))

    # A second cut directly after a first one was not verified.
    def test_end_of_a_cut_delays_no_verification(self):
        self.reachability.record_unanswered_verification([C], 1.0)
        self.reachability.record_new_connection_answer(2.0)
        for server in (A, B):
            self.reachability.record_failure(server, 2.1)
        self.assertTrue(self.needs_verification(2.1))

    # Old failures to connect counted together with one much later.
    def test_failures_to_connect_expire(self):
        self.reachability.record_failure(A, 1.0, is_connect=True)
        self.reachability.record_answer(1.1)
        self.reachability.record_failure(B, 9.0, is_connect=True)
        self.assertFalse(self.needs_verification(9.0))

    # The evidence started with the end of the cut, so that nothing was dropped.
    def test_evidence_names_the_first_failure(self):
        self.reachability.record_failure(A, 1.0)
        self.reachability.record_failure(B, 1.2)
        self.reachability.record_unanswered_verification([C], 1.4)
        self.reachability.record_failure(C, 3.0)
        self.reachability.record_answer(3.5)
        evidence = self.reachability.record_new_connection_answer(4.0)
        self.assertEqual(evidence.since, 1.0)
        self.assertEqual(evidence.failed_servers, (A, B, C))


class SampleTest(unittest.TestCase):
    # A sample of the dead service alone would have shown a cut.
    def test_sample_covers_services_and_data_centres(self):
        servers = [make_server(f"d{number}", "dead") for number in range(30)]
        servers.append(make_server("x", "other"))
        servers.append(make_server("y", "dead", "south"))
        for seed in range(20):
            sample = server_reachability.choose_sample(
                random.Random(seed), servers, 4, ["d1", "d2"]
            )
            names = [each.entry.id for each in sample]
            self.assertEqual(len(set(names)), 4)
            self.assertIn("x", names)
            self.assertIn("y", names)
            self.assertNotIn("d1", names)

    # Without any other server nothing was probed.
    def test_failed_servers_are_taken_if_there_are_no_others(self):
        sample = server_reachability.choose_sample(
            random.Random(1), [make_server("a")], 4, ["a"]
        )
        self.assertEqual([each.entry.id for each in sample], ["a"])


class ForgettingTest(unittest.TestCase):
    # Ejections by a cut daemon outlasted the cut.
    def test_failures_since_the_cut_are_forgotten(self):
        health = server_health.PassiveHealth()
        for _ in range(5):
            health.record_failure(A, 1.0)
            health.record_failure(B, 9.0)
        health.record_unanswered_probe(C, 9.0)
        health.record_slow(C, 9.0, 9.0)
        health.forget_failures(since=8.0)
        self.assertTrue(health.is_ejected(A, 1.1))
        self.assertFalse(health.is_ejected(B, 9.1))
        self.assertFalse(health.is_ejected(C, 9.1))
        self.assertEqual(health.penalty_ratio(C, 9.1), 1.0)
