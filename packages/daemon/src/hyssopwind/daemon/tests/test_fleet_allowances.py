"""Tests of the allowances of tenants as a daemon takes part in them."""

import asyncio
import dataclasses
import random
import types
import unittest
from unittest import mock

from hyssopwind.core import ids
from hyssopwind.core.dispatch import settings
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.tenants import allowance_results
from hyssopwind.core.tenants import tenant_table
from hyssopwind.daemon.gateway import allowances
from hyssopwind.transport import boot_clock

TENANT = tenant_table.Tenant(ids.TenantId("one"), None, 1.0, 1.0)


def make_settings(**changes) -> settings.GatewaySettings:
    values = {
        field.name: mock.sentinel.unused
        for field in dataclasses.fields(settings.GatewaySettings)
        if field.default is dataclasses.MISSING
    }
    names = {"name": ids.DaemonId("a"), "data_centre": ids.DataCentreId("c")}
    return settings.GatewaySettings(**{**values, **names, **changes})


def make_allowances(
    live_settings: settings.LiveSettings,
) -> allowances.FleetAllowances:
    state = mock.Mock()
    state.log_fields.return_value = {}
    state.catalogue.configuration = types.SimpleNamespace(
        version=1,
        tenants=types.SimpleNamespace(tenants={TENANT.id: TENANT}),
    )
    return allowances.FleetAllowances(
        live_settings,
        fleet_members.MemberList(
            ids.DaemonId("a"),
            "127.0.0.1",
            ids.DataCentreId("c"),
            boot_clock.now(),
        ),
        state,
        mock.Mock(),
        random.Random(1),
    )


class CancelledRequestTest(unittest.IsolatedAsyncioTestCase):
    async def test_token_granted_as_the_caller_leaves_is_returned(self) -> None:
        """Guards against tokens that are lost between grant and resumption."""
        tested = make_allowances(settings.LiveSettings(make_settings()))
        node = mock.Mock(next_timer_at=None)
        tested._node_in_use = node
        request = asyncio.create_task(tested.acquire(TENANT))
        await asyncio.sleep(0)
        _, future, _ = node.request.call_args.args
        granted = allowance_results.Granted(
            TENANT.id, boot_clock.now(), ids.DaemonId("b"), 1
        )
        tested._resolve(future, granted)
        request.cancel()
        await asyncio.wait([request])
        self.assertTrue(request.cancelled())
        node.release.assert_called_once_with(granted, mock.ANY)


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    async def test_reload_changes_the_quota(self) -> None:
        """Guards against settings that hold only from the next start on."""
        live_settings = settings.LiveSettings(make_settings())
        tested = make_allowances(live_settings)
        tested.handle(mock.Mock(sender="unknown"))
        live_settings.replace(make_settings(fail_closed=True))
        # A daemon that has just started serves one request otherwise.
        self.assertIsInstance(
            await tested.acquire(TENANT), allowance_results.Denied
        )
        live_settings.replace(make_settings(fail_closed=False))
        self.assertIsInstance(
            await tested.acquire(TENANT), allowance_results.Granted
        )


if __name__ == "__main__":
    unittest.main()
