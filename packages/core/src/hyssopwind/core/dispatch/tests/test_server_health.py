import unittest

from hyssopwind.core import ids
from hyssopwind.core.dispatch import probe_results
from hyssopwind.core.dispatch import server_health
from hyssopwind.core.routing import tables

SERVER = ids.ServerId("i-1")
SERVICE = ids.ServiceId("s")
ROUTE = tables.Route("r", "h", "/", True, 1.2, 0.6, 0, 2, ())


class PassiveHealthTest(unittest.TestCase):
    def setUp(self):
        self.passive_health = server_health.PassiveHealth()

    def record_success(self, observed, expected, now=0.0, is_congested=False):
        self.passive_health.record_success(
            ROUTE,
            SERVER,
            observed,
            expected,
            now,
            service=SERVICE,
            is_congested=is_congested,
        )

    def test_ejections_double_up_to_limit(self):
        now = 0.0
        for _ in range(20):
            self.passive_health.record_failure(SERVER, now)
        before_end = now + server_health.MAX_EJECTION_SECONDS - 0.01
        self.assertTrue(self.passive_health.is_ejected(SERVER, before_end))
        after_end = now + server_health.MAX_EJECTION_SECONDS + 0.01
        self.assertFalse(self.passive_health.is_ejected(SERVER, after_end))

    def test_server_gets_one_request_at_a_time_after_ejection(self):
        for _ in range(2):
            self.passive_health.record_failure(SERVER, 0.0)
        after_end = server_health.FIRST_EJECTION_SECONDS + 0.1
        self.assertFalse(self.passive_health.is_ejected(SERVER, after_end))
        self.passive_health.record_start(SERVER, 3.0)
        self.assertTrue(self.passive_health.is_ejected(SERVER, after_end))
        self.passive_health.record_end(SERVER, 3.0)
        self.assertFalse(self.passive_health.is_ejected(SERVER, after_end))

    def test_success_resets_failures(self):
        for _ in range(3):
            self.passive_health.record_failure(SERVER, 0.0)
        self.record_success(0.2, 0.2, now=3.0)
        self.passive_health.record_start(SERVER, 3.0)
        self.assertFalse(self.passive_health.is_ejected(SERVER, 3.0))

    def report_load(self, running, probed_at, silent_since=1.0, took=0.001):
        load = probe_results.Load(running, 0, 4, 1.0)
        return self.passive_health.record_load(
            SERVER, load, [silent_since], probed_at, probed_at + took
        )

    def test_server_that_reports_fewer_requests_than_sent_is_ejected(self):
        self.passive_health.record_start(SERVER, 1.0)
        self.assertTrue(self.report_load(running=0, probed_at=1.2))
        self.assertTrue(self.passive_health.is_ejected(SERVER, 1.3))

    def test_request_that_the_probe_overtook_does_not_eject(self):
        self.passive_health.record_start(SERVER, 1.0)
        self.assertFalse(self.report_load(running=0, probed_at=1.01))

    def test_reported_requests_of_other_daemons_do_not_eject(self):
        self.passive_health.record_start(SERVER, 1.0)
        self.assertFalse(self.report_load(running=2, probed_at=1.5))
        self.assertFalse(self.passive_health.is_ejected(SERVER, 1.6))

    def test_ignored_request_ejects_once(self):
        self.passive_health.record_start(SERVER, 1.0)
        self.assertTrue(self.report_load(running=0, probed_at=1.2))
        self.assertFalse(self.report_load(running=0, probed_at=1.4))
        self.passive_health.record_end(SERVER, 1.0)
        self.passive_health.record_start(SERVER, 2.0)
        self.assertTrue(
            self.report_load(running=0, probed_at=2.2, silent_since=2.0)
        )

    # On a slow link a probe may overtake a request by more than 50 ms.
    def test_probe_that_took_longer_than_request_was_there(self):
        self.passive_health.record_start(SERVER, 1.0)
        self.assertFalse(self.report_load(0, probed_at=1.1, took=0.2))
        self.assertTrue(self.report_load(0, probed_at=1.3, took=0.2))

    def test_slow_server_with_passing_probes_gets_decaying_penalty(self):
        """Probes succeed, yet requests take seven times longer."""
        for _ in range(3):
            self.record_success(1.6, 0.22)
        high = self.passive_health.penalty_ratio(SERVER, 0.0)
        self.assertGreater(high, 2.0)
        later = self.passive_health.penalty_ratio(
            SERVER, server_health.PENALTY_HALF_LIFE_SECONDS
        )
        self.assertAlmostEqual(later - 1.0, (high - 1.0) / 2)

    def test_typical_spread_of_durations_causes_no_penalty(self):
        for observed in (0.15, 0.3, 0.35, 0.2):
            self.record_success(observed, 0.22)
        self.assertEqual(self.passive_health.penalty_ratio(SERVER, 0.0), 1.0)

    def test_expected_work_follows_durations_of_uncongested_answers(self):
        for _ in range(200):
            work = self.passive_health.expected_work_seconds(ROUTE)
            self.record_success(0.3, work)
        self.assertAlmostEqual(
            self.passive_health.expected_work_seconds(ROUTE), 0.3, places=2
        )

    def test_congestion_is_estimated_without_penalty_for_server(self):
        for _ in range(20):
            ratio = self.passive_health.congestion_ratio(SERVICE)
            self.record_success(0.22 * 1.7, 0.22 * ratio, is_congested=True)
        self.assertAlmostEqual(
            self.passive_health.congestion_ratio(SERVICE), 1.7, delta=0.05
        )
        self.assertEqual(self.passive_health.penalty_ratio(SERVER, 0.0), 1.0)

    def test_probe_without_answer_ejects_for_short_time(self):
        self.passive_health.record_unanswered_probe(SERVER, 0.0)
        self.assertTrue(self.passive_health.is_ejected(SERVER, 0.1))
        self.assertFalse(
            self.passive_health.is_ejected(
                SERVER, server_health.UNANSWERED_PROBE_EJECTION_SECONDS
            )
        )


class HangTest(unittest.TestCase):
    """Servers ignore requests and report none."""

    def setUp(self):
        self.passive_health = server_health.PassiveHealth()
        self.servers = [ids.ServerId(f"i-{number}") for number in range(6)]

    def record_hang(self, number, now, is_told=False):
        self.passive_health.record_hang(
            self.servers[number], self.servers, now, is_told=is_told
        )

    def count_ejected(self, now):
        return sum(
            self.passive_health.is_ejected(server, now)
            for server in self.servers
        )

    # Each daemon tried a server that hangs again after a second.
    def test_daemon_that_found_it_tries_the_server_first(self):
        self.record_hang(0, 0.0)
        self.record_hang(1, 0.0, is_told=True)
        self.assertEqual(self.count_ejected(3.9), 2)
        self.assertEqual(self.count_ejected(4.1), 1)
        self.assertEqual(self.count_ejected(5.1), 0)

    # A service that had hung as a whole was served by a few servers only.
    def test_ejections_are_short_if_most_servers_hang(self):
        for number in range(6):
            self.record_hang(number, 0.1 * number, is_told=number % 2 == 0)
        self.assertEqual(self.count_ejected(0.6), 6)
        self.assertEqual(self.count_ejected(1.6), 0)
