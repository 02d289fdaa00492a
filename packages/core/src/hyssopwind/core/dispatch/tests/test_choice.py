import unittest

from hyssopwind.core import ids
from hyssopwind.core.dispatch import choice
from hyssopwind.core.dispatch import readings
from hyssopwind.core.settings import tuning

TERMS = tuning.ChoosingSettings()


def server(name, running=0, waiting=0, slowdown=1.0, near=True, **changes):
    load = readings.Load(running, waiting, 4, slowdown)
    return choice.Candidate(ids.ServerId(name), near, load, 4, **changes)


def timing(waited=0.0, target=0.6, remaining=1.2, work=0.22, returned=False):
    return choice.Timing(work, waited, target, remaining, returned)


class NoisyNeighbourTest(unittest.TestCase):
    """A quarter of the servers take five times longer, for 150 ms each."""

    def test_undisturbed_server_is_taken(self):
        candidates = [server("slow", slowdown=5.0), server("fast", running=2)]
        decision = choice.decide(candidates, timing(), TERMS, widened=False)
        self.assertEqual(decision.server, "fast")

    def test_other_data_centres_are_asked_before_a_disturbed_server(self):
        candidates = [server("slow", slowdown=5.0)]
        decision = choice.decide(candidates, timing(), TERMS, widened=False)
        self.assertIsInstance(decision, choice.Widen)

    def test_near_server_is_preferred_when_equally_good(self):
        candidates = [server("far", near=False), server("near", running=1)]
        decision = choice.decide(candidates, timing(), TERMS, widened=True)
        self.assertEqual(decision.server, "near")

    def test_waits_while_the_answer_can_still_be_in_time(self):
        candidates = [server("slow", slowdown=5.0)]
        decision = choice.decide(candidates, timing(), TERMS, widened=True)
        self.assertIsInstance(decision, choice.Wait)

    def test_persistent_slowness_is_not_waited_for(self):
        candidates = [server("slow", penalty=5.0)]
        decision = choice.decide(candidates, timing(), TERMS, widened=True)
        self.assertIsInstance(decision, choice.Send)


class BurstTest(unittest.TestCase):
    """More requests arrive than the servers have slots for."""

    def test_crowded_server_is_avoided_once_it_is_known_to_slow_down(self):
        crowded = server("a", running=3, crowding=1.7)
        decision = choice.decide([crowded], timing(), TERMS, widened=True)
        self.assertIsInstance(decision, choice.Wait)
        free = server("b", running=3, crowding=1.0)
        decision = choice.decide([free], timing(), TERMS, widened=True)
        self.assertIsInstance(decision, choice.Send)

    def test_queue_is_joined_only_if_the_answer_is_in_time(self):
        late = timing(waited=0.35)
        short = [server("a", running=3, crowding=1.1)]
        self.assertIsInstance(
            choice.decide(short, late, TERMS, widened=True), choice.Send
        )
        long = [server("a", running=4, waiting=4, crowding=1.1)]
        self.assertIsInstance(
            choice.decide(long, late, TERMS, widened=True), choice.Refuse
        )

    def test_late_request_takes_a_spare_slot_only(self):
        late = timing(waited=0.58)
        spare = [server("a", running=1, slowdown=1.4)]
        self.assertIsInstance(
            choice.decide(spare, late, TERMS, widened=True), choice.Send
        )
        wanted = [server("a", running=2, slowdown=1.4)]
        self.assertIsInstance(
            choice.decide(wanted, late, TERMS, widened=True), choice.Refuse
        )

    def test_caller_that_came_back_waits_for_what_others_leave(self):
        busy = [server("a", running=4, waiting=6)]
        back = timing(waited=0.9, returned=True)
        decision = choice.decide(busy, back, TERMS, widened=True)
        self.assertEqual(decision, choice.Wait(2 * TERMS.wait_step))

    def test_caller_that_came_back_is_refused_well_before_its_end(self):
        busy = [server("a", running=4, waiting=6)]
        back = timing(waited=1.9, remaining=0.5, returned=True)
        decision = choice.decide(busy, back, TERMS, widened=True)
        self.assertIsInstance(decision, choice.Refuse)

    def test_refuses_what_no_server_can_answer_in_time(self):
        late = timing(waited=0.5, remaining=0.1)
        decision = choice.decide([server("a")], late, TERMS, widened=True)
        self.assertIsInstance(decision, choice.Refuse)

    def test_full_servers_are_no_choice(self):
        full = server("a", running=4, waiting=8)
        self.assertFalse(choice.has_room(full))
        decision = choice.decide(
            [full], timing(waited=0.5), TERMS, widened=True
        )
        self.assertEqual(decision.reason, "all servers are full")
        self.assertEqual(decision.answered, 1)


class UntoldLoadTest(unittest.TestCase):
    """A service whose servers do not tell their load."""

    def test_own_requests_are_counted_instead(self):
        busy = choice.Candidate(
            ids.ServerId("busy"), True, None, 2, in_flight=2
        )
        idle = choice.Candidate(ids.ServerId("idle"), True, None, 2)
        decision = choice.decide([busy, idle], timing(), TERMS, widened=False)
        self.assertEqual(decision.server, "idle")
