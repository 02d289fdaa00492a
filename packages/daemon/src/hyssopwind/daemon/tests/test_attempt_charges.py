"""Tests of which attempts of a request use up its tenant's allowance."""

import asyncio
import random
import types
import unittest
from unittest import mock

import multidict

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.dispatch import fleet_retry_budgets
from hyssopwind.core.dispatch import server_selection
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning
from hyssopwind.core.tenants import allowance_results
from hyssopwind.core.tenants import authentication
from hyssopwind.core.tenants import tenant_table
from hyssopwind.daemon.gateway import authenticator
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.daemon.gateway import dispatcher
from hyssopwind.transport import boot_clock

SERVICE = ids.ServiceId("s")
TENANT = tenant_table.Tenant(ids.TenantId("one"), None, 1.0, 1.0)
ANSWER = attempt_results.WholeAnswer(outcomes.Answered(200, (), b""), "", 0.01)
BROKEN = attempt_results.Failed(attempt_results.FailureKind.BROKEN)
SHED = attempt_results.Shed("", 0.1)


class AttemptChargeTest(unittest.IsolatedAsyncioTestCase):
    """A request with scripted results of its attempts."""

    def make_dispatcher(self, token_count, *results):
        """Returns a dispatcher whose tenant has some tokens.

        Each result is the seconds until an attempt ends, and how it ends.
        """
        self.acquired = []
        self.released = []
        self.sent_count = 0
        route = tables.Route(
            "r",
            "h",
            "/",
            True,
            1.0,
            0.1,
            0,
            3,
            (tables.WeightedService(SERVICE, 1.0),),
        )
        state = mock.Mock(
            wait_for_configuration=mock.AsyncMock(return_value=True),
            log_fields=dict,
        )
        state.catalogue.configuration = tables.Configuration(
            1, (route,), {}, tables.CallerLimits()
        )
        state.catalogue.routes.find.return_value = route
        state.catalogue.find = lambda server: types.SimpleNamespace(
            entry=types.SimpleNamespace(id=server)
        )

        async def pick(request):
            server = ids.ServerId(f"i-{len(request.tried_servers)}")
            return server_selection.Send(server, 0.01)

        async def send(attempt_request):
            self.sent_count += 1
            seconds, result = results[self.sent_count - 1]
            # Called by the sender just before it writes the request.
            self.assertTrue(attempt_request.may_send())
            await asyncio.sleep(seconds)
            return result

        async def acquire(tenant):
            await asyncio.sleep(0)
            if len(self.acquired) == token_count:
                return allowance_results.Denied(1.0)
            token = allowance_results.Granted(tenant.id, boot_clock.now())
            self.acquired.append(token)
            return token

        return dispatcher.Dispatcher(
            platform_state=state,
            request_authenticator=mock.Mock(
                admit=lambda *_: authenticator.Admission(
                    authentication.Credentials(),
                    authentication.Accepted(TENANT),
                    None,
                    is_charged=token_count == 0,
                ),
                refuse_revoked=lambda *_: None,
            ),
            server_picker=types.SimpleNamespace(
                expected_work_seconds=lambda _route: 0.01,
                check_server=lambda _server: None,
                pick=pick,
                find_good_server=pick,
            ),
            sender=types.SimpleNamespace(send=send),
            monitor=mock.Mock(
                is_cut_off=False,
                is_confirmed_unreachable=mock.AsyncMock(return_value=False),
            ),
            handover=None,
            retry_budget=fleet_retry_budgets.FleetRetryBudget(
                fleet_retry_budgets.FleetRetrySettings(0.2, 10.0, 5.0)
            ),
            daemon_count=lambda: 1,
            retry_settings=tuning.RetryHedgeSettings(),
            random_source=random.Random(1),
            configuration_bound_seconds=1.0,
            acquire_allowance=acquire,
            release_allowance=self.released.append,
        )

    def make_request(self):
        return caller_requests.CallerRequest(
            "GET",
            "/",
            multidict.CIMultiDict(),
            b"",
            boot_clock.now(),
            (1, 1),
            False,
        )

    async def serve(self, token_count, *results):
        tested = self.make_dispatcher(token_count, *results)
        outcome = await tested.serve(self.make_request())
        await asyncio.sleep(0.01)
        return outcome

    # A tenant whose requests are sent again ran more than its allowance.
    async def test_retry_after_a_run_is_charged(self):
        outcome = await self.serve(5, (0.0, BROKEN), (0.0, ANSWER))
        self.assertIsInstance(outcome, outcomes.Answered)
        self.assertEqual((len(self.acquired), self.released), (2, []))

    async def test_retry_after_a_refusal_uses_the_same_token(self):
        outcome = await self.serve(1, (0.0, SHED), (0.0, ANSWER))
        self.assertIsInstance(outcome, outcomes.Answered)
        self.assertEqual((len(self.acquired), self.released), (1, []))

    async def test_retry_without_a_token_is_not_sent(self):
        outcome = await self.serve(1, (0.0, BROKEN), (0.0, ANSWER))
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertEqual(self.sent_count, 1)

    async def test_refused_request_returns_its_token(self):
        outcome = await self.serve(1, *[(0.0, SHED)] * 3)
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertEqual(self.sent_count, 3)
        self.assertEqual(self.released, self.acquired)

    async def test_hedge_is_charged(self):
        await self.serve(5, (0.05, ANSWER), (0.05, ANSWER))
        self.assertEqual((len(self.acquired), self.released), (2, []))
        await self.serve(1, (0.05, ANSWER))
        self.assertEqual((self.sent_count, self.released), (1, []))

    async def test_refused_hedge_returns_its_token(self):
        await self.serve(5, (0.05, ANSWER), (0.0, SHED))
        self.assertEqual((self.sent_count, len(self.acquired)), (2, 2))
        self.assertEqual(self.released, self.acquired[1:])

    # The daemon that handed it over has charged the first attempt only.
    async def test_first_attempt_for_a_peer_is_charged_already(self):
        outcome = await self.serve(0, (0.0, BROKEN))
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertEqual(self.sent_count, 1)

    # A token was lost for each caller that left before its request was written.
    async def test_attempt_cancelled_before_its_connection_is_returned(self):
        tested = self.make_dispatcher(1)
        connecting = asyncio.Event()

        async def send(_attempt_request):
            connecting.set()
            await asyncio.sleep(60.0)

        tested._sender = types.SimpleNamespace(send=send)
        task = asyncio.ensure_future(tested.serve(self.make_request()))
        await connecting.wait()
        task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(0)
        self.assertEqual(self.released, self.acquired)
        self.assertEqual(len(self.acquired), 1)

    # The caller closes its connection while it waits for a server.
    async def test_cancelled_request_returns_its_token(self):
        tested = self.make_dispatcher(1)
        picking = asyncio.Event()

        async def pick(_request):
            picking.set()
            await asyncio.sleep(60.0)

        tested._picker.pick = pick
        task = asyncio.ensure_future(tested.serve(self.make_request()))
        await picking.wait()
        task.cancel()
        await asyncio.wait([task])
        self.assertEqual(self.released, self.acquired)
        self.assertEqual(len(self.acquired), 1)


if __name__ == "__main__":
    unittest.main()
