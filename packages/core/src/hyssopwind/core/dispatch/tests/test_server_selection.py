import unittest

from hyssopwind.core import ids
from hyssopwind.core.dispatch import probe_results
from hyssopwind.core.dispatch import server_selection
from hyssopwind.core.settings import tuning

SETTINGS = tuning.SelectionSettings()


def make_candidate(
    name, running=0, waiting=0, slowdown=1.0, is_local=True, **fields
):
    load = probe_results.Load(running, waiting, 4, slowdown)
    return server_selection.Candidate(
        ids.ServerId(name), is_local, load, 4, **fields
    )


def make_timing(
    waited=0.0, target=0.6, remaining=1.2, work=0.22, is_caller_retry=False
):
    return server_selection.RequestTiming(
        work, waited, target, remaining, is_caller_retry
    )


class NoisyNeighbourTest(unittest.TestCase):
    """A quarter of the servers take five times longer, for 150 ms each."""

    def test_server_without_slowdown_is_selected(self):
        candidates = [
            make_candidate("slow", slowdown=5.0),
            make_candidate("fast", running=2),
        ]
        decision = server_selection.decide(
            candidates, make_timing(), SETTINGS, has_probed_remote=False
        )
        self.assertEqual(decision.server, "fast")

    def test_remote_servers_are_probed_before_slowed_local_one_is_used(self):
        candidates = [make_candidate("slow", slowdown=5.0)]
        decision = server_selection.decide(
            candidates, make_timing(), SETTINGS, has_probed_remote=False
        )
        self.assertIsInstance(decision, server_selection.ProbeRemote)

    def test_local_server_is_preferred_when_equally_good(self):
        candidates = [
            make_candidate("remote", is_local=False),
            make_candidate("local", running=1),
        ]
        decision = server_selection.decide(
            candidates, make_timing(), SETTINGS, has_probed_remote=True
        )
        self.assertEqual(decision.server, "local")

    def test_request_waits_while_answer_can_still_be_in_time(self):
        candidates = [make_candidate("slow", slowdown=5.0)]
        decision = server_selection.decide(
            candidates, make_timing(), SETTINGS, has_probed_remote=True
        )
        self.assertIsInstance(decision, server_selection.Wait)

    def test_persistently_slow_server_is_selected_without_wait(self):
        candidates = [make_candidate("slow", penalty_ratio=5.0)]
        decision = server_selection.decide(
            candidates, make_timing(), SETTINGS, has_probed_remote=True
        )
        self.assertIsInstance(decision, server_selection.Send)


class BurstTest(unittest.TestCase):
    """More requests arrive than the servers have slots for."""

    def test_congested_server_is_avoided_once_congestion_was_observed(self):
        congested = make_candidate("a", running=3, congestion_ratio=1.7)
        decision = server_selection.decide(
            [congested], make_timing(), SETTINGS, has_probed_remote=True
        )
        self.assertIsInstance(decision, server_selection.Wait)
        unaffected = make_candidate("b", running=3, congestion_ratio=1.0)
        decision = server_selection.decide(
            [unaffected], make_timing(), SETTINGS, has_probed_remote=True
        )
        self.assertIsInstance(decision, server_selection.Send)

    def test_request_is_queued_only_if_answer_is_in_time(self):
        late_timing = make_timing(waited=0.35)
        short_queue = [make_candidate("a", running=3, congestion_ratio=1.1)]
        self.assertIsInstance(
            server_selection.decide(
                short_queue, late_timing, SETTINGS, has_probed_remote=True
            ),
            server_selection.Send,
        )
        long_queue = [
            make_candidate("a", running=4, waiting=4, congestion_ratio=1.1)
        ]
        self.assertIsInstance(
            server_selection.decide(
                long_queue, late_timing, SETTINGS, has_probed_remote=True
            ),
            server_selection.Refuse,
        )

    def test_late_request_is_sent_only_to_spare_slot(self):
        late_timing = make_timing(waited=0.58)
        spare = [make_candidate("a", running=1, slowdown=1.4)]
        self.assertIsInstance(
            server_selection.decide(
                spare, late_timing, SETTINGS, has_probed_remote=True
            ),
            server_selection.Send,
        )
        half_occupied = [make_candidate("a", running=2, slowdown=1.4)]
        self.assertIsInstance(
            server_selection.decide(
                half_occupied, late_timing, SETTINGS, has_probed_remote=True
            ),
            server_selection.Refuse,
        )

    def test_caller_retry_waits_longer_between_probes(self):
        busy = [make_candidate("a", running=4, waiting=6)]
        caller_retry = make_timing(waited=0.9, is_caller_retry=True)
        decision = server_selection.decide(
            busy, caller_retry, SETTINGS, has_probed_remote=True
        )
        self.assertEqual(
            decision, server_selection.Wait(2 * SETTINGS.wait_step)
        )

    def test_caller_retry_is_refused_well_before_timeout(self):
        busy = [make_candidate("a", running=4, waiting=6)]
        caller_retry = make_timing(
            waited=1.9, remaining=0.5, is_caller_retry=True
        )
        decision = server_selection.decide(
            busy, caller_retry, SETTINGS, has_probed_remote=True
        )
        self.assertIsInstance(decision, server_selection.Refuse)

    def test_request_without_enough_time_left_is_refused(self):
        late_timing = make_timing(waited=0.5, remaining=0.1)
        decision = server_selection.decide(
            [make_candidate("a")], late_timing, SETTINGS, has_probed_remote=True
        )
        self.assertIsInstance(decision, server_selection.Refuse)

    def test_full_server_is_not_selected(self):
        full = make_candidate("a", running=4, waiting=8)
        self.assertFalse(server_selection.has_queue_capacity(full))
        decision = server_selection.decide(
            [full], make_timing(waited=0.5), SETTINGS, has_probed_remote=True
        )
        self.assertEqual(decision.reason, "all servers are full")
        self.assertEqual(decision.answered_count, 1)


class UnreportedLoadTest(unittest.TestCase):
    """A service whose servers do not report their load."""

    def test_own_requests_in_flight_are_counted_instead(self):
        busy = server_selection.Candidate(
            ids.ServerId("busy"), True, None, 2, in_flight_count=2
        )
        idle = server_selection.Candidate(ids.ServerId("idle"), True, None, 2)
        decision = server_selection.decide(
            [busy, idle], make_timing(), SETTINGS, has_probed_remote=False
        )
        self.assertEqual(decision.server, "idle")
