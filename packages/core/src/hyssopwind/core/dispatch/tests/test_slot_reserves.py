"""Slots that requests leave to more urgent ones."""

import unittest

from hyssopwind.core import ids
from hyssopwind.core.dispatch import priorities
from hyssopwind.core.dispatch import priority_classes
from hyssopwind.core.dispatch import probe_results
from hyssopwind.core.dispatch import server_selection
from hyssopwind.core.dispatch import slot_reserves
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning

URGENT = priorities.Priority(0)
BULK = priorities.Priority(2)
SHAPE = slot_reserves.FleetShape(daemon_count=100, server_count=60)
SERVICE = ids.ServiceId("s")
SLOTS = 6


def make_candidate(running, *, waiting=0, slowdown=1.0, has_load=True):
    load = probe_results.Load(running, waiting, SLOTS, slowdown)
    return server_selection.Candidate(
        ids.ServerId("a"), True, load if has_load else None, SLOTS
    )


def make_timing(waited_seconds=0.0):
    return server_selection.RequestTiming(
        work_seconds=0.1,
        waited_seconds=waited_seconds,
        latency_target_seconds=0.3,
        remaining_seconds=2.0,
    )


def is_reserved(candidate, *, offered_load=0.15, waited_seconds=0.0):
    return slot_reserves.mark_reserved(
        candidate, make_timing(waited_seconds), offered_load, good_factor=1.3
    ).is_reserved


class LateTest(unittest.TestCase):
    # All requests of a class whose work had come to exceed its target were late
    # on arrival, so that they were sent only while no other request waited.
    def test_class_with_work_longer_than_its_target_is_not_late_on_arrival(
        self,
    ):
        timing = server_selection.RequestTiming(0.5, 0.0, 0.3, 2.0)
        self.assertFalse(slot_reserves.is_late(timing))
        waited = server_selection.RequestTiming(0.5, 0.31, 0.3, 2.0)
        self.assertTrue(slot_reserves.is_late(waited))


class ReserveTest(unittest.TestCase):
    def test_last_slot_is_left_to_urgent_requests(self):
        self.assertFalse(is_reserved(make_candidate(SLOTS - 2)))
        self.assertTrue(is_reserved(make_candidate(SLOTS - 1)))

    def test_nothing_is_reserved_without_urgent_requests(self):
        for running in (SLOTS - 1, SLOTS):
            self.assertFalse(
                is_reserved(make_candidate(running), offered_load=0.0)
            )

    # All requests in flight were taken for those of an urgent class.
    def test_nothing_is_reserved_at_servers_of_unknown_load(self):
        self.assertFalse(is_reserved(make_candidate(0, has_load=False)))

    # Late work took slots of work that could still be in target.
    def test_late_work_uses_spare_slots_of_good_servers_only(self):
        late = {"waited_seconds": 0.25, "offered_load": 0.0}
        self.assertFalse(is_reserved(make_candidate(2), **late))
        self.assertTrue(is_reserved(make_candidate(3), **late))
        self.assertTrue(is_reserved(make_candidate(0, slowdown=5.0), **late))

    # An estimate of the work that is wrong by a factor of five starved others.
    def test_wrong_estimate_leaves_two_thirds_of_the_slots_to_all(self):
        for slot_count in range(1, 13):
            for load in (0.05, 0.5, 5.0, 500.0):
                reserved = slot_reserves.reserved_slots(load, slot_count, 0.99)
                self.assertLessEqual(reserved, slot_count / 3)

    # A part of a split at servers of two slots got one of them only, and a
    # quarter of its requests was late or refused for a few urgent ones.
    def test_urgent_requests_do_not_reserve_half_of_small_servers(self):
        for load in (0.1, 0.42, 2.0):
            reserved = slot_reserves.reserved_slots(load, 2, 0.99)
            self.assertEqual(reserved, 0)

    # Rounded up at all servers, the reserve of a few urgent requests refused
    # one in eighty of the others.
    def test_few_urgent_requests_reserve_slots_of_some_servers(self):
        reserved_count = 0
        for number in range(200):
            phase = slot_reserves.rounding_phase(ids.ServerId(f"i-{number}"))
            reserved_count += slot_reserves.reserved_slots(0.04, SLOTS, phase)
        self.assertAlmostEqual(reserved_count / 200, 0.16, delta=0.05)


class DemandTest(unittest.TestCase):
    def setUp(self):
        self.demand = slot_reserves.ServiceDemand()

    def record_arrivals(self, priority, per_second, work_seconds):
        for number in range(round(30 * per_second)):
            self.demand.record_arrival(
                priority, work_seconds, number / per_second
            )

    def test_demand_of_the_fleet_follows_from_that_of_a_daemon(self):
        self.record_arrivals(URGENT, 0.5, 0.1)
        # 50 requests a second of 0.1 s at 60 servers.
        load = self.demand.offered_load(BULK, SHAPE, now=30.0)
        self.assertAlmostEqual(load, 5.0 / 60, delta=0.02)

    # For some half-lives after a start, daemons left urgent requests no slots.
    def test_rate_is_known_two_seconds_after_the_first_request(self):
        for number in range(5):
            self.demand.record_arrival(URGENT, 0.1, 500.0 + 0.5 * number)
        load = self.demand.offered_load(BULK, SHAPE, now=502.5)
        # 200 requests a second of 0.1 s at 60 servers.
        self.assertAlmostEqual(load, 20.0 / 60, delta=0.05)

    def test_first_request_does_not_stand_for_a_high_rate(self):
        self.demand.record_arrival(URGENT, 0.1, 500.0)
        load = self.demand.offered_load(BULK, SHAPE, now=500.001)
        self.assertLess(load, 12.0 / 60)

    # A daemon that knew no peers yet took all urgent requests for its own.
    def test_daemon_without_peers_reserves_slots_after_its_start(self):
        self.record_arrivals(URGENT, 0.5, 0.1)
        shape = slot_reserves.make_fleet_shape(1, 60, seconds_since_start=1.0)
        load = self.demand.offered_load(BULK, shape, now=30.0)
        self.assertAlmostEqual(load, 0.05, delta=0.01)

    def test_less_urgent_requests_need_no_reserve(self):
        self.record_arrivals(BULK, 10.0, 1.0)
        for priority in (URGENT, BULK):
            load = self.demand.offered_load(priority, SHAPE, now=30.0)
            self.assertEqual(load, 0.0)

    def test_reserve_ends_after_the_last_urgent_requests(self):
        self.record_arrivals(URGENT, 0.5, 0.1)
        load = self.demand.offered_load(BULK, SHAPE, now=90.0)
        self.assertEqual(slot_reserves.reserved_slots(load, SLOTS, 0.9), 0)

    # The reserve kept a class from all servers that urgent ones had filled.
    def test_class_that_finds_no_servers_is_starved(self):
        for number in range(20):
            now = float(number)
            self.demand.record_end(URGENT, now, is_sent=True)
            self.demand.record_end(BULK, now, is_sent=number % 4 == 0)
        self.assertTrue(self.demand.is_starved(BULK, 20.0))
        self.assertFalse(self.demand.is_starved(URGENT, 20.0))

    def test_single_refusals_do_not_show_that_a_class_is_starved(self):
        self.demand.record_end(URGENT, 0.0, is_sent=True)
        for _ in range(3):
            self.demand.record_end(BULK, 0.0, is_sent=False)
        self.assertFalse(self.demand.is_starved(BULK, 0.0))

    # Requests of earlier weights made a service treat its only class as urgent.
    def test_class_of_a_part_that_lost_its_weight_is_dropped(self):
        self.record_arrivals(URGENT, 0.5, 0.1)
        self.record_arrivals(BULK, 0.5, 0.1)
        self.demand.drop_except({URGENT})
        self.assertFalse(self.demand.has_less_urgent(URGENT))

    def test_overload_of_all_classes_starves_none(self):
        for number in range(40):
            for priority in (URGENT, BULK):
                is_sent = number % 5 == 0
                self.demand.record_end(priority, 0.0, is_sent=is_sent)
        self.assertFalse(self.demand.is_starved(BULK, 0.0))


class CongestionTest(unittest.TestCase):
    """Urgent requests use the slots that others leave free."""

    def decide(self, candidate, waited_seconds=0.0):
        return server_selection.decide(
            [candidate],
            make_timing(waited_seconds),
            tuning.SelectionSettings(),
            has_probed_remote=True,
            may_congest=True,
        )

    # Urgent requests waited beside a free slot until it was too late for it.
    def test_free_slot_of_a_congested_server_is_used_at_once(self):
        candidate = server_selection.Candidate(
            ids.ServerId("a"),
            True,
            probe_results.Load(SLOTS - 1, 0, SLOTS),
            SLOTS,
            congestion_ratio=1.7,
        )
        self.assertIsInstance(self.decide(candidate), server_selection.Send)
        self.assertNotIsInstance(
            self.decide(candidate, waited_seconds=0.1), server_selection.Send
        )

    def test_request_does_not_queue_at_a_server(self):
        decision = self.decide(make_candidate(SLOTS, slowdown=1.2))
        self.assertIsInstance(decision, server_selection.Wait)


class PriorityClassesTest(unittest.TestCase):
    def has_several(self, *route_priorities, services=("s",), weight=1.0):
        parts = tuple(
            tables.WeightedService(ids.ServiceId(each), weight)
            for each in services
        )
        routes = tuple(
            tables.Route(
                f"r{n}", "h", f"/{n}/", True, 1.0, 0.5, priority, 2, parts
            )
            for n, priority in enumerate(route_priorities)
        )
        configuration = tables.Configuration(
            1, routes, {}, tables.CallerLimits()
        )
        return priority_classes.PriorityClasses().has_several(
            SERVICE, configuration
        )

    def test_routes_of_one_priority_change_nothing(self):
        self.assertFalse(self.has_several(1, 1, 1))
        self.assertFalse(self.has_several())
        self.assertFalse(self.has_several(0, 1, services=("other",)))

    def test_part_of_a_split_counts(self):
        self.assertTrue(self.has_several(0, 1, services=("other", "s")))

    # Urgent requests of a split left a service slots that none of them used.
    def test_part_of_weight_zero_does_not_count(self):
        self.assertFalse(self.has_several(0, 1, weight=0.0))

    def test_no_configuration_has_no_priorities(self):
        classes = priority_classes.PriorityClasses()
        self.assertFalse(classes.has_several(SERVICE, None))
