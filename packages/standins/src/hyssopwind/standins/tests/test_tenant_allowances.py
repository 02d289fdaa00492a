"""Allowances of tenants with gateways and stand-ins in one process."""

import asyncio
import json
import time

import logbook

from hyssopwind.core.fleet import gossip_messages
from hyssopwind.core.tenants import allowances
from hyssopwind.standins.site import documents
from hyssopwind.standins.tests import site_gateway_case
from hyssopwind.standins.tests import site_peers_case
from hyssopwind.transport import boot_clock

RUNS_ALONE = True  # real sockets and times

KEY = "key-of-one-41aa"
FREE_KEY = "key-of-two-90cd"
RATE = 10.0
BURST = 4.0


def bound(seconds, rate=RATE, burst=BURST):
    """Returns the most requests in a span, with the default settings."""
    return (rate * max(5.0, seconds) + burst) * 1.25 + 20.0


class AllowanceTestCase(site_gateway_case.GatewayTestCase):
    """A daemon with a tenant that has an allowance, and one without."""

    tenants = [
        documents.make_tenant_resource(
            "one", [KEY], rate_per_s=RATE, burst=BURST
        ),
        documents.make_tenant_resource("two", [FREE_KEY]),
    ]

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.configure(2, [*self.routes, *self.tenants])
        for daemon in self.daemons():
            catalogue = daemon._platform_state.catalogue
            await self.wait_until(
                lambda catalogue=catalogue: catalogue.configuration_version == 2
            )

    def daemons(self):
        return [self.daemon]

    async def wait_for_maturity(self):
        for daemon in self.daemons():
            node = daemon._request_path.allowances._node
            await self.wait_until(
                lambda node=node: (
                    boot_clock.now() - node._started_at
                    > allowances.MIN_ISSUER_AGE_SECONDS + 0.6
                ),
                5.0,
            )

    def record_messages(self, daemon):
        sent = []
        gossip = daemon._gossip
        original = gossip.send_allowance_message

        def record(message, ip):
            sent.append(message)
            original(message, ip)

        gossip.send_allowance_message = record
        return sent


class OneDaemonTest(AllowanceTestCase):
    # A caller that does not know when to come back would try at once.
    async def test_requests_beyond_the_allowance_are_answered_429(self):
        slow = documents.make_tenant_resource(
            "one", [KEY], rate_per_s=1.0, burst=2.0
        )
        await self.configure(3, [*self.routes, slow, self.tenants[1]])
        catalogue = self.daemon._platform_state.catalogue
        await self.wait_until(lambda: catalogue.configuration_version == 3)
        await self.wait_for_maturity()
        # A bucket starts empty, and its first token takes 1 s at this rate.
        await asyncio.sleep(1.5)
        started_at = time.monotonic()
        with logbook.TestHandler().applicationbound() as log:
            answers = [
                await self.call("/safe/a", Api_Key=KEY) for _ in range(60)
            ]
            free = [
                await self.call("/safe/a", Api_Key=FREE_KEY) for _ in range(30)
            ]
        seconds = time.monotonic() - started_at
        statuses = [answer[0] for answer in answers]
        self.assertEqual({answer[0] for answer in free}, {200})
        self.assertEqual(set(statuses), {200, 429})
        self.assertLessEqual(statuses.count(200), bound(seconds, 1.0, 2.0))
        self.assertEqual(self.count_executions(), statuses.count(200) + 30)
        for status, fields, body in answers:
            if status != 429:
                continue
            self.assertEqual(fields["hyssopwind-outcome"], "not-run")
            self.assertGreater(float(fields["retry-after"]), 0.0)
            self.assertTrue(
                json.loads(body)["type"].endswith("tenant-limit"), body
            )
        lines = [
            record.extra
            for record in log.records
            if record.message == "requests of a tenant refused"
        ]
        self.assertGreaterEqual(len(lines), 1)
        self.assertLessEqual(len(lines), seconds + 2.0)
        self.assertEqual(lines[0]["tenant"], "one")
        self.assertEqual(lines[0]["limit"], 1.0)
        self.assertEqual(lines[0]["version"], 3)
        metrics = self.daemon._metrics.render().decode()
        self.assertIn('hyssopwind_allowances_total{result="granted"}', metrics)
        self.assertNotIn('"one"', metrics)

    # Servers that refuse must not use up the allowance.
    async def test_request_that_no_server_ran_is_not_charged(self):
        await self.wait_for_maturity()
        counts = self.daemon._request_path.allowances.result_counts
        for stand_in in self.servers:
            await stand_in.close()
        answers = [await self.call("/safe/a", Api_Key=KEY) for _ in range(3)]
        self.assertNotIn(200, [answer[0] for answer in answers])
        self.assertGreaterEqual(counts["granted"] + counts["reused"], 1)
        await asyncio.sleep(0)
        metrics = self.daemon._metrics.render().decode()
        self.assertNotIn('result="exhausted"', metrics)

    # Its allowance cannot be checked yet, and other callers wait as well.
    async def test_first_request_after_the_start_is_served(self):
        # The start of the daemon itself may have taken longer than the time
        # after which it issues tokens.
        node = self.daemon._request_path.allowances._node
        node._started_at = boot_clock.now()
        answers = [await self.call("/safe/a", Api_Key=KEY) for _ in range(3)]
        self.assertEqual([each[0] for each in answers], [200, 503, 503])
        self.assertIn("retry-after", answers[-1][1])

    # A daemon without a limited tenant sends what it sent before.
    async def test_without_limits_no_message_is_sent(self):
        await self.configure(3, [*self.routes, self.tenants[1]])
        catalogue = self.daemon._platform_state.catalogue
        await self.wait_until(lambda: catalogue.configuration_version == 3)
        sent = self.record_messages(self.daemon)
        await asyncio.sleep(1.2)
        answer = await self.call("/safe/a", Api_Key=FREE_KEY)
        self.assertEqual(answer[0], 200)
        self.assertEqual(sent, [])


class PeersTest(site_peers_case.PeersTestCase, AllowanceTestCase):
    """Two daemons of one data centre."""

    def daemons(self):
        # The second daemon starts after the first one is configured.
        return [self.daemon, *([self.peer] if hasattr(self, "peer") else [])]

    # Each daemon would grant the whole allowance.
    async def test_two_daemons_share_the_allowance(self):
        catalogue = self.peer._platform_state.catalogue
        await self.wait_until(lambda: catalogue.configuration_version == 2)
        sent = [self.record_messages(daemon) for daemon in self.daemons()]
        await self.wait_for_maturity()
        await asyncio.sleep(2.0)
        tenant = self.daemon._platform_state.catalogue.configuration.tenants
        tenant = tenant.find(KEY)
        granted_count = 0
        started_at = time.monotonic()
        for _ in range(100):
            for daemon in self.daemons():
                result = await daemon._request_path.allowances.acquire(tenant)
                granted_count += hasattr(result, "asked_at")
            await asyncio.sleep(0.02)
        seconds = time.monotonic() - started_at
        self.assertLessEqual(granted_count, bound(seconds))
        # The tokens of the two seconds before alone are more.
        self.assertGreaterEqual(granted_count, 15)
        kinds = {type(message) for messages in sent for message in messages}
        self.assertEqual(
            kinds,
            {
                gossip_messages.AllowanceLoan,
                gossip_messages.AllowanceRequest,
                gossip_messages.AllowanceReply,
            },
        )
        for messages in sent:
            for message in messages:
                self.assertNotIn(KEY.encode(), gossip_messages.encode(message))
