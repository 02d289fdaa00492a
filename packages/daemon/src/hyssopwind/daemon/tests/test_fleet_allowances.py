"""Tests of the allowances of tenants as a daemon takes part in them."""

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


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    async def test_reload_changes_the_quota(self) -> None:
        """Guards against settings that hold only from the next start on."""
        live_settings = settings.LiveSettings(make_settings())
        state = mock.Mock()
        state.log_fields.return_value = {}
        state.catalogue.configuration = types.SimpleNamespace(
            version=1,
            tenants=types.SimpleNamespace(tenants={TENANT.id: TENANT}),
        )
        tested = allowances.FleetAllowances(
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
