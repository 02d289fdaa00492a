import asyncio
import random
import types
import unittest

import logbook

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.discovery import items
from hyssopwind.core.dispatch import fleet_retry_budgets
from hyssopwind.core.dispatch import priorities
from hyssopwind.core.dispatch import server_selection
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning
from hyssopwind.core.tenants import allowance_results
from hyssopwind.daemon.gateway import dispatcher
from hyssopwind.daemon.gateway import replicated_state
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


class RevokedWhileWaitingTest(unittest.IsolatedAsyncioTestCase):
    # A request with a revoked key waited until its turn came.
    async def test_request_is_answered_when_the_version_is_applied(self):
        route = make_route(2)
        tested = make_dispatcher(
            route, fleet_retry_budgets.FleetRetryBudget(SETTINGS)
        )
        refusal = outcomes.NotRun(outcomes.Reason.UNAUTHENTICATED, "")
        revoked = set()
        tested._authenticator = types.SimpleNamespace(
            may_send=lambda admission, _request, _route: (
                admission.tenant not in revoked
            ),
            refuse_revoked=lambda admission, _request, _route: (
                refusal if admission.tenant in revoked else None
            ),
        )
        tested._monitor = types.SimpleNamespace(is_cut_off=False)
        contexts = [
            dispatcher._RequestContext(
                types.SimpleNamespace(arrived_at=boot_clock.now()),
                types.SimpleNamespace(tenant=tenant, priority=lambda _route: 2),
                route,
                SERVICE,
                boot_clock.now() + 60.0,
                set(),
                2,
            )
            for tenant in ("one", "two", None)
        ]
        calls = [
            asyncio.ensure_future(tested._run_attempts(context))
            for context in contexts
        ]
        await asyncio.sleep(0)
        tested.refuse_revoked()
        await asyncio.sleep(0.01)
        self.assertFalse(any(call.done() for call in calls))
        revoked.update(("one", None))
        tested.refuse_revoked()
        self.assertIs(await asyncio.wait_for(calls[0], 1.0), refusal)
        self.assertTrue(contexts[0].is_refusal_counted)
        # The others have a key in force, or need none.
        self.assertFalse(calls[1].done() or calls[2].done())
        for call in calls[1:]:
            call.cancel()
        await asyncio.wait(calls)
        self.assertFalse(tested._searches)

    # A version that came while a retry waited for a token was not noticed.
    async def test_key_revoked_before_the_search_begins(self):
        route = make_route(2)
        tested = make_dispatcher(
            route, fleet_retry_budgets.FleetRetryBudget(SETTINGS)
        )
        refusal = outcomes.NotRun(outcomes.Reason.UNAUTHENTICATED, "")
        revoked = set()
        tested._authenticator = types.SimpleNamespace(
            may_send=lambda *_: not revoked,
            refuse_revoked=lambda *_: refusal if revoked else None,
        )
        tested._monitor = types.SimpleNamespace(is_cut_off=False)

        async def acquire(_tenant):
            revoked.add("one")
            tested.refuse_revoked()
            return allowance_results.Granted()

        tested._acquire_allowance = acquire
        context = dispatcher._RequestContext(
            types.SimpleNamespace(arrived_at=boot_clock.now()),
            types.SimpleNamespace(tenant="one", priority=lambda _route: 2),
            route,
            SERVICE,
            boot_clock.now() + 60.0,
            set(),
            2,
        )
        call = asyncio.ensure_future(tested._run_attempts(context))
        for _ in range(5):
            await asyncio.sleep(0)
        is_done = call.done()
        call.cancel()
        await asyncio.wait([call])
        self.assertTrue(is_done)
        self.assertIs(call.result(), refusal)

    def test_listeners_learn_of_each_version_in_force(self):
        state = replicated_state.PlatformState()
        versions = []
        state.add_configuration_listener(
            lambda: versions.append(state.catalogue.configuration_version)
        )
        for revision, version in enumerate((1, 3, 2, 4), 1):
            value = f'{{"version":{version},"resources":[]}}'.encode()
            item = items.Item("op/config", value, revision)
            state.apply_delta(
                items.Delta((item,), revision, revision == 1), 0.0, "test"
            )
        self.assertEqual(versions, [1, 3, 4])


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


class SearchRefusalTest(unittest.TestCase):
    # Each refused request wrote a line, thousands a second in an overload.
    def test_refusals_of_one_class_share_a_line(self):
        route = make_route(2)
        budget = fleet_retry_budgets.FleetRetryBudget(SETTINGS)
        one_class = make_dispatcher(route, budget)
        one_class._log_fields = lambda _context: {}
        one_class._retry_after = lambda _context: 0.1
        context = types.SimpleNamespace(
            service=SERVICE, priority=priorities.Priority(2), last_result=None
        )
        refusal = server_selection.Refuse("all servers are full")
        with logbook.TestHandler() as handler:
            for _ in range(50):
                one_class._handle_refusal(context, refusal)
        self.assertEqual(len(handler.records), 1)
        self.assertEqual(
            one_class.search_refusals.counts,
            {("2", "all-servers-are-full"): 50},
        )
