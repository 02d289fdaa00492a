"""Tests of what a refusal by the allowance of a tenant leaves behind."""

import random
import types
import unittest
from unittest import mock

from hyssopwind.core import ids
from hyssopwind.core.dispatch import fleet_retry_budgets
from hyssopwind.core.dispatch import priorities
from hyssopwind.core.dispatch import retry_reserves
from hyssopwind.core.tenants import allowance_results
from hyssopwind.core.tenants import tenant_table
from hyssopwind.daemon.gateway import dispatcher

SERVICE = ids.ServiceId("s")


class AllowanceRefusalTest(unittest.IsolatedAsyncioTestCase):
    async def test_refused_request_leaves_no_class_behind(self) -> None:
        """Guards against a reserve of retries for requests never sent."""
        tolerant = priorities.Priority(2)
        budget = fleet_retry_budgets.FleetRetryBudget(
            fleet_retry_budgets.FleetRetrySettings(0.2, 10.0, 5.0)
        )
        budget.record_request(SERVICE, 0.0, priorities.Priority(0))
        budget.record_request(SERVICE, 0.0, tolerant)
        tested = dispatcher.Dispatcher(
            *(mock.Mock() for _ in range(6)),
            retry_budget=budget,
            daemon_count=lambda: 1,
            retry_settings=mock.Mock(),
            random_source=random.Random(1),
            configuration_bound_seconds=1.0,
            acquire_allowance=mock.AsyncMock(
                return_value=allowance_results.Denied(1.0)
            ),
        )
        context = types.SimpleNamespace(
            admission=types.SimpleNamespace(
                tenant=tenant_table.Tenant(ids.TenantId("a")), is_charged=False
            ),
            service=SERVICE,
            priority=tolerant,
        )
        self.assertIsNotNone(await tested._check_allowance(context))
        reserves = budget.reserves(SERVICE, 0.0)
        self.assertFalse(reserves.has_several_classes)
        # The more urgent class is the one that is left.
        self.assertGreater(
            reserves.reserved_count(retry_reserves.RetryDemand(tolerant)), 0.0
        )
