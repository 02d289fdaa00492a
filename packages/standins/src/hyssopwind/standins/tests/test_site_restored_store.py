"""The store comes back from a copy, which loses what was written since.

Revisions go back and are given out again. Daemons dropped all later changes as
old ones until the store had passed the lost revision, and listed it without a
pause meanwhile.
"""

import asyncio
import functools
import json

from hyssopwind.core.discovery import positions
from hyssopwind.standins.site import documents
from hyssopwind.standins.tests import site_fleet_case
from hyssopwind.standins.tests import site_gateway_case
from hyssopwind.transport import boot_clock

CONFIGURATION_KEY = "op/config"


class RestoredFleetTest(site_fleet_case.FleetCase):
    """Fifteen daemons, of which few read the store."""

    def check_bound(self, fleet):
        now = boot_clock.now()
        bound = site_fleet_case.CHANGE_BOUND_SECONDS
        due_revision = max(
            (
                revision
                for changed_at, revision in fleet.store.confirmed_revisions
                if changed_at <= now - bound
            ),
            default=0,
        )
        for ip, daemon in fleet.daemons.items():
            fault_free_seconds = now - max(
                daemon.last_fault_at, self.last_restored_at
            )
            if fault_free_seconds >= site_fleet_case.FAULT_FREE_SECONDS:
                self.check_items(daemon, due_revision, f"{ip} at {now:.2f}")

    def write_version(self, fleet):
        self.version += 1
        routes = [documents.make_route_resource("r", f"/v{self.version}/")]
        document = documents.make_configuration(self.version, routes)
        fleet.store.write(CONFIGURATION_KEY, json.dumps(document).encode())

    async def restore(self, fleet):
        """Loses what was written in a random time, some of it in series."""
        draw = fleet.random_source
        revision = fleet.store.revision
        for number in range(draw.randrange(1, 30)):
            fleet.store.write(f"servers/lost-{number}", b"{}")
            if draw.random() < 0.2:
                self.write_version(fleet)
            await asyncio.sleep(draw.uniform(0.0, 0.15))
        for daemon in fleet.daemons.values():
            daemon.store_silent = True
            daemon.silence_count += 1
        await asyncio.sleep(draw.uniform(0.1, 1.5))
        fleet.store.restore(revision)
        for daemon in fleet.daemons.values():
            daemon.store_silent = False
        self.last_restored_at = boot_clock.now()
        # The operator writes the newest version again.
        self.version -= 1
        self.write_version(fleet)

    async def run_seed(self, seed, era):
        fleet = self.start_fleet(seed)
        fleet.store.era = era
        self.version = 0
        self.last_restored_at = 0.0
        self.write_version(fleet)
        await asyncio.sleep(5.0)
        for _ in range(4):
            await self.restore(fleet)
            killed = fleet.random_source.choice(sorted(fleet.daemons))
            if fleet.random_source.random() < 0.5:
                fleet.kill(killed)
                fleet.start(killed)
            for _ in range(3):
                self.write_version(fleet)
                await self.check_bound_for(
                    fleet, fleet.random_source.uniform(0.05, 2.0)
                )
        calls_before = fleet.store.call_count
        await self.check_bound_for(fleet, 6.0)
        for ip, daemon in fleet.daemons.items():
            state = daemon.platform_state
            self.assertEqual(
                state.catalogue.configuration_version, self.version, ip
            )
            self.assertEqual(
                positions.revision_of(state.replica.revision),
                fleet.store.revision,
                ip,
            )
            if era is not None:
                self.assertEqual(
                    positions.stated_era(state.replica.revision),
                    fleet.store.era,
                )
        self.assertLess(fleet.store.call_count - calls_before, 60)

    def test_changes_after_a_restoration_are_in_force_in_time(self):
        for seed in range(1, 9):
            for era in (1, None):
                with self.subTest(seed=seed, era=era):
                    site_fleet_case.run_in_virtual_time(
                        functools.partial(self.run_seed, seed, era)
                    )

    # A daemon that started before the operator had written the newest version
    # again took the older one of the copy, although its peers had the newer.
    def test_daemon_that_starts_before_the_version_is_written_again(self):
        for seed in range(1, 6):
            for era in (1, None):
                with self.subTest(seed=seed, era=era):
                    site_fleet_case.run_in_virtual_time(
                        functools.partial(self.run_start, seed, era)
                    )

    async def run_start(self, seed, era):
        fleet = self.start_fleet(seed)
        fleet.store.era = era
        self.version = 0
        self.write_version(fleet)
        await asyncio.sleep(5.0)
        revision = fleet.store.revision
        self.write_version(fleet)
        await asyncio.sleep(3.0)
        for daemon in fleet.daemons.values():
            daemon.store_silent = True
            daemon.silence_count += 1
        await asyncio.sleep(1.0)
        fleet.store.restore(revision)
        for daemon in fleet.daemons.values():
            daemon.store_silent = False
        await asyncio.sleep(2.0)
        started = fleet.random_source.sample(sorted(fleet.daemons), 6)
        for ip in started:
            fleet.kill(ip)
            fleet.start(ip)
        await asyncio.sleep(site_fleet_case.FAULT_FREE_SECONDS)
        for ip, daemon in fleet.daemons.items():
            state = daemon.platform_state
            self.assertEqual(state.catalogue.configuration_version, 2, ip)
        # One that starts later has only daemons as peers that have started.
        for ip in set(fleet.daemons) - set(started):
            fleet.kill(ip)
            fleet.start(ip)
        await asyncio.sleep(site_fleet_case.FAULT_FREE_SECONDS)
        for ip, daemon in fleet.daemons.items():
            state = daemon.platform_state
            self.assertEqual(state.catalogue.configuration_version, 2, ip)
            self.assertEqual(state.kept_version, 2, ip)
        self.write_version(fleet)
        await asyncio.sleep(site_fleet_case.CHANGE_BOUND_SECONDS)
        for ip, daemon in fleet.daemons.items():
            state = daemon.platform_state
            self.assertEqual(state.catalogue.configuration_version, 3, ip)
            self.assertEqual(state.kept_version, 0, ip)

    # Without eras, a watch from a revision that was given out again looks right
    # although the changes before it were missed.
    def test_changes_hidden_by_repeated_revisions_are_found(self):
        async def main():
            fleet = self.start_fleet()
            await asyncio.sleep(5.0)
            revision = fleet.store.revision
            for number in range(10):
                fleet.store.write(f"servers/lost-{number}", b"{}")
            await asyncio.sleep(1.0)
            fleet.store.restore(revision)
            fleet.store.dropped_revision = 0
            for number in range(20):
                fleet.store.write(f"op/evacuate/new-{number}", b"{}")
            await asyncio.sleep(60.0)
            self.last_restored_at = 0.0
            self.check_bound(fleet)
            for daemon in fleet.daemons.values():
                self.assertEqual(
                    set(daemon.platform_state.replica.items),
                    set(self.last_changes(fleet.store)),
                )

        site_fleet_case.run_in_virtual_time(main)

    # A daemon had lost an item of the replica, which nothing repaired.
    def test_missed_change_is_pulled_from_a_reader(self):
        async def main():
            fleet = self.start_fleet()
            fleet.store.write("op/evacuate/a", b"{}")
            await asyncio.sleep(5.0)
            readers = set(fleet.readers())
            for ip, daemon in fleet.daemons.items():
                if ip not in readers:
                    daemon.platform_state.replica._drop("op/evacuate/a")
            await asyncio.sleep(8.0)
            for ip, daemon in fleet.daemons.items():
                replica = daemon.platform_state.replica
                self.assertIn("op/evacuate/a", replica.items, ip)

        site_fleet_case.run_in_virtual_time(main)


class RestoredStoreTest(site_gateway_case.GatewayTestCase):
    RUNS_ALONE = True  # real sockets and times

    async def lose_versions(self):
        catalogue = self.daemon._platform_state.catalogue
        copied = self.store.copy()
        for number in range(40):
            await self.store.put(f"other/{number}", {})
        for version in (2, 3, 5):
            await self.configure(version, self.routes)
        await self.wait_until(lambda: catalogue.configuration_version == 5)
        await self.store.restore(copied)
        await self.configure(5, self.routes)
        for stand_in in self.servers:
            entry = documents.make_server_entry(stand_in.address, sequence=2)
            await self.store.put(f"servers/{stand_in.options.server_id}", entry)

    # Requests on the route were answered 404 until the end of the day.
    async def check_added_route_is_served(self):
        await self.lose_versions()
        added = documents.make_route_resource("added", "/added/")
        await self.configure(7, [*self.routes, added])
        await asyncio.sleep(1.5)
        calls_before = self.store.call_count
        self.assertEqual((await self.call("/added/a"))[0], 200)
        await asyncio.sleep(1.0)
        self.assertLess(self.store.call_count - calls_before, 10)

    async def test_route_added_after_a_restoration_is_served(self):
        await self.check_added_route_is_served()

    async def test_route_added_after_a_restoration_with_eras_is_served(self):
        self.store.era = 4
        await asyncio.sleep(1.2)
        await self.check_added_route_is_served()
        state = self.daemon._platform_state
        self.assertEqual(positions.stated_era(state.replica.revision), 5)
        self.assertIn(b"gateway_era 5.0", self.daemon._metrics.render())

    # The copy holds an older version, which must not come back in force.
    async def test_older_version_of_the_copy_is_not_in_force(self):
        await self.configure(2, self.routes)
        catalogue = self.daemon._platform_state.catalogue
        copied = self.store.copy()
        added = documents.make_route_resource("added", "/added/")
        await self.configure(3, [*self.routes, added])
        await self.wait_until(lambda: catalogue.configuration_version == 3)
        await self.store.restore(copied)
        await asyncio.sleep(1.5)
        self.assertEqual(catalogue.configuration_version, 3)
        self.assertEqual((await self.call("/added/a"))[0], 200)
