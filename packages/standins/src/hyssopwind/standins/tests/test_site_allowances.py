"""Allowances of tenants with the gossip of a fleet, in virtual time."""

import asyncio
import collections
import dataclasses
import random

import msgspec

from hyssopwind.core import ids
from hyssopwind.core.dispatch import settings
from hyssopwind.core.tenants import allowance_results
from hyssopwind.core.tenants import allowances as core_allowances
from hyssopwind.core.tenants import tenant_table
from hyssopwind.daemon.gateway import allowances
from hyssopwind.standins.site import documents
from hyssopwind.standins.tests import site_fleet_case
from hyssopwind.standins.virtual import site_fleet
from hyssopwind.transport import boot_clock

RATE = 40.0
BURST = 20.0
BOUND = (RATE * 5.0 + BURST) * 1.25 + 20.0
TENANT = tenant_table.Tenant(ids.TenantId("one"), None, RATE, BURST)


class AllowanceDaemon(site_fleet.VirtualDaemon):
    """A daemon that also takes part in the allowances of tenants."""

    def __init__(self, fleet, options):
        super().__init__(fleet, options)
        self.allowances = allowances.FleetAllowances(
            settings.LiveSettings(options),
            self.member_list,
            self.platform_state,
            self.gossip.send_allowance_message,
            random.Random(options.ip),
        )
        self.gossip._on_allowance_message = self.allowances.handle
        self._tasks.append(asyncio.ensure_future(self.allowances.run()))


class TimerFleet(site_fleet.VirtualFleet):
    """A fleet without allowances, whose daemons have the same timers.

    The virtual clock sums the times up to each timer, so that a further timer
    changes the last digits of all times.
    """

    def start(self, ip):
        super().start(ip)

        async def run():
            while True:
                await asyncio.sleep(core_allowances.ROUND_SECONDS)

        self.daemons[ip]._tasks.append(asyncio.ensure_future(run()))


class AllowanceFleet(site_fleet.VirtualFleet):
    """A fleet of such daemons, and requests of a tenant."""

    def __init__(self, plan):
        super().__init__(plan)
        self.granted = []
        self.counts = collections.Counter()
        self.demand_random = random.Random(plan.seed)

    def start(self, ip):
        self.daemons[ip] = AllowanceDaemon(self, self._options[ip])
        self._options[ip] = dataclasses.replace(
            self._options[ip], first_start=False
        )

    def configure(self, tenants):
        document = documents.make_configuration(
            1, [documents.make_route_resource("safe", "/safe/"), *tenants]
        )
        self.store.write("op/config", msgspec.json.encode(document))

    async def request(self, daemon):
        result = await daemon.allowances.acquire(TENANT)
        if isinstance(result, allowance_results.Granted):
            self.granted.append(boot_clock.now())
        else:
            self.counts[result.cause] += 1

    async def demand(self, rate, seconds, ips=None):
        """Requests at random times, each at a random daemon."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        tasks = set()
        while loop.time() < end:
            await asyncio.sleep(self.demand_random.expovariate(rate))
            ip = self.demand_random.choice(ips or sorted(self.daemons))
            daemon = self.daemons.get(ip)
            if daemon is None or not daemon.platform_state.catalogue.routes:
                continue
            task = asyncio.ensure_future(self.request(daemon))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    def granted_in(self, start, end):
        return sum(start <= when < end for when in self.granted)

    def most_in_a_window(self):
        return max(self.granted_in(when, when + 5.0) for when in self.granted)


class SiteAllowanceTest(site_fleet_case.FleetCase):
    def start_allowance_fleet(self, **plan):
        fleet = AllowanceFleet(site_fleet.FleetPlan(**plan))
        fleet.configure(
            [
                documents.make_tenant_resource(
                    "one", ["k"], rate_per_s=RATE, burst=BURST
                )
            ]
        )
        fleet.start_all()
        return fleet

    # Daemons learn of each other and of the configuration while requests come.
    def test_whole_fleet_starts_and_restarts_under_load(self):
        async def main():
            fleet = self.start_allowance_fleet(daemons_per_data_centre=5)
            start = boot_clock.now()
            await fleet.demand(200.0, 14.0)
            for ip in list(fleet.daemons):
                fleet.kill(ip)
            fleet.start_all()
            restart = boot_clock.now()
            await fleet.demand(200.0, 12.0)
            self.assertLessEqual(fleet.most_in_a_window(), BOUND)
            for begin in (start, restart):
                self.assertLessEqual(fleet.granted_in(begin, begin + 3.0), 15)
                self.assertGreaterEqual(
                    fleet.granted_in(begin + 6.0, begin + 12.0),
                    0.9 * RATE * 6.0,
                )

        site_fleet_case.run_in_virtual_time(main)

    # The daemons on the two sides count each other for a minute.
    def test_data_centre_is_cut_off_for_some_time(self):
        async def main():
            fleet = self.start_allowance_fleet(daemons_per_data_centre=6)
            await fleet.demand(200.0, 8.0)
            ips = sorted(fleet.daemons)
            cut = {ip for ip in ips if ip.split(".")[1] == ips[0].split(".")[1]}
            fleet.cut_links = {
                frozenset((first, second))
                for first in cut
                for second in ips
                if second not in cut
            }
            await fleet.demand(200.0, 20.0)
            fleet.cut_links = set()
            await fleet.demand(200.0, 12.0)
            self.assertLessEqual(fleet.most_in_a_window(), BOUND)
            end = boot_clock.now()
            self.assertGreaterEqual(
                fleet.granted_in(end - 30.0, end), 0.9 * RATE * 30.0
            )

        site_fleet_case.run_in_virtual_time(main)

    # One daemon that gets all requests of a tenant, in a large fleet.
    def test_one_of_many_daemons_uses_the_allowance(self):
        async def main():
            fleet = self.start_allowance_fleet(daemons_per_data_centre=20)
            await asyncio.sleep(8.0)
            await fleet.demand(80.0, 10.0, sorted(fleet.daemons)[:1])
            self.assertLessEqual(fleet.most_in_a_window(), BOUND)
            end = boot_clock.now()
            self.assertGreaterEqual(
                fleet.granted_in(end - 8.0, end), 0.9 * RATE * 8.0
            )

        site_fleet_case.run_in_virtual_time(main)

    # Without limits the fleet sends what it sent before, byte for byte.
    def test_without_limits_the_datagrams_are_the_same(self):
        sent_bytes = []

        async def run(fleet):
            fleet.store.write(
                "op/config",
                msgspec.json.encode(
                    documents.make_configuration(
                        1, [documents.make_route_resource("safe", "/safe/")]
                    )
                ),
            )
            fleet.start_all()
            await asyncio.sleep(6.0)
            sent_bytes.append(dict(fleet.sent_bytes))

        plan = site_fleet.FleetPlan(seed=3)
        for fleet_type in (TimerFleet, AllowanceFleet):
            site_fleet_case.run_in_virtual_time(
                lambda fleet_type=fleet_type: run(fleet_type(plan))
            )
        self.assertGreater(sum(sent_bytes[0].values()), 10_000)
        self.assertEqual(sent_bytes[0], sent_bytes[1])
