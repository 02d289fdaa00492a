import asyncio
import random
import types
import unittest

from hyssopwind.core import ids
from hyssopwind.core.dispatch import fleet_retry_budgets
from hyssopwind.core.dispatch import priorities
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import dispatcher
from hyssopwind.transport import boot_clock

SERVICE = ids.ServiceId("s")
SETTINGS = fleet_retry_budgets.FleetRetrySettings(0.2, 10.0, 5.0)


def make_route(priority):
    parts = (tables.WeightedService(SERVICE, 1.0),)
    return tables.Route("r", "h", "/", True, 1.0, 0.5, priority, 2, parts)


async def pick_nothing(_request):
    await asyncio.sleep(60.0)


def make_dispatcher(route, budget, *other_routes):
    routes = (route, *other_routes)
    configuration = tables.Configuration(1, routes, {}, tables.CallerLimits())
    return dispatcher.Dispatcher(
        platform_state=types.SimpleNamespace(
            catalogue=types.SimpleNamespace(configuration=configuration)
        ),
        request_authenticator=None,
        server_picker=types.SimpleNamespace(
            expected_work_seconds=lambda _route: 0.1, pick=pick_nothing
        ),
        sender=None,
        monitor=None,
        handover=None,
        retry_budget=budget,
        daemon_count=lambda: 1,
        retry_settings=tuning.RetryHedgeSettings(),
        random_source=random.Random(1),
        configuration_bound_seconds=1.0,
    )


class OnePriorityTest(unittest.TestCase):
    # Requests of the earlier priority counted as a class of their own, so that
    # the later ones left a reserve to them.
    def test_change_of_the_priority_denies_no_retry(self):
        budget = fleet_retry_budgets.FleetRetryBudget(SETTINGS)
        now = boot_clock.now()
        for number in range(20):
            priority = priorities.Priority(1 if number < 15 else 2)
            budget.record_request(SERVICE, now, priority, 0.1, 1)
        route = make_route(2)
        context = types.SimpleNamespace(
            service=SERVICE,
            priority=priorities.Priority(2),
            route=route,
            is_caller_retry=False,
        )
        one_class = make_dispatcher(route, budget)
        allowed = [one_class._try_acquire_retry(context) for _ in range(10)]
        self.assertEqual(allowed, [True] * 9 + [False])


class LateRetryTest(unittest.TestCase):
    # Load: servers reject half of the arrivals of two classes. Requests that
    # had spent their target used the retries of those that had not.
    def test_retry_past_the_target_leaves_the_reserve(self):
        budget = fleet_retry_budgets.FleetRetryBudget(SETTINGS)
        now = boot_clock.now()
        for number in range(20):
            priority = priorities.Priority(2 * (number % 2))
            budget.record_request(SERVICE, now, priority, 0.1, 1)
            budget.record_attempt(SERVICE, has_failed=number % 2 == 0)
        route = make_route(0)
        several_classes = make_dispatcher(route, budget, make_route(2))
        context = types.SimpleNamespace(
            service=SERVICE,
            request=types.SimpleNamespace(arrived_at=now),
            priority=priorities.Priority(0),
            route=route,
            deadline=now + 0.5,
            spent_seconds=0.45,
            is_caller_retry=False,
        )
        self.assertFalse(several_classes._try_acquire_retry(context))
        self.assertTrue(several_classes._is_retry_denied(context))
        context.spent_seconds = 0.1
        self.assertTrue(several_classes._try_acquire_retry(context))


class ConfiguredClassesTest(unittest.TestCase):
    # Load: eight requests of a priority that no route has any more. The others
    # left a reserve for it.
    def test_earlier_priority_keeps_no_reserve(self):
        budget = fleet_retry_budgets.FleetRetryBudget(SETTINGS)
        now = boot_clock.now()
        for _ in range(8):
            budget.record_request(SERVICE, now, priorities.Priority(0), 0.1, 1)
        route = make_route(2)
        context = types.SimpleNamespace(
            service=SERVICE,
            request=types.SimpleNamespace(arrived_at=now),
            priority=priorities.Priority(2),
            route=route,
            deadline=now + 0.5,
            spent_seconds=0.0,
            is_caller_retry=False,
        )
        several_classes = make_dispatcher(route, budget, make_route(3))
        allowed = [
            several_classes._try_acquire_retry(context) for _ in range(7)
        ]
        self.assertEqual(allowed, [True] * 6 + [False])


class TimedOutSearchTest(unittest.IsolatedAsyncioTestCase):
    # A search that lasted until the deadline was not counted as failed.
    async def test_search_until_the_deadline_counts_as_failed(self):
        route = make_route(2)
        budget = fleet_retry_budgets.FleetRetryBudget(SETTINGS)
        one_class = make_dispatcher(route, budget)
        now = boot_clock.now()
        forecast = one_class._forecast(SERVICE)
        forecast.record_search(0.0, is_found=True, now=now - 1.0)
        context = types.SimpleNamespace(
            service=SERVICE,
            request=types.SimpleNamespace(arrived_at=now),
            priority=priorities.Priority(2),
            route=route,
            deadline=now + 0.01,
            spent_seconds=0.0,
            tried_servers=set(),
            is_caller_retry=False,
        )
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.02):
                await one_class._select_server(context)
        self.assertGreater(forecast.free_after_seconds(boot_clock.now()), 0.1)
