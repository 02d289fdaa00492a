"""Time and bytes until a large configuration is known to a whole fleet."""

import asyncio
import json
import random

from hyssopwind.standins.site import documents
from hyssopwind.standins.tests import site_fleet_case
from hyssopwind.transport import boot_clock

NARROW_LINK_BYTES_PER_SECOND = 625e3  # 5 Mbit/s
# Ratio of the link that requests and answers of callers leave.
FREE_LINK_RATIO = 0.8
CONFIGURATION_BOUND_SECONDS = 2.0
INITIAL_ROUTES = 65
ADDED_ROUTES = 1_400
SECONDS = 5.0  # of each check after a change
# Bytes of one change of five routes in 1,465 to each of 15 daemons, before.
WHOLE_CONFIGURATION_BYTES = 339_000


def make_routes(random_source, count):
    return [
        documents.make_route_resource(
            f"route-{random_source.getrandbits(40):010x}",
            f"/{random_source.getrandbits(40):010x}/",
        )
        for _ in range(count)
    ]


def encode_configuration(version, routes):
    document = documents.make_configuration(version, routes)
    return json.dumps(document).encode()


class ConfigurationSizeTest(site_fleet_case.FleetCase):
    def start_narrow_fleet(self, seed, **plan):
        return self.start_fleet(
            seed,
            link_bytes_per_second=FREE_LINK_RATIO
            * NARROW_LINK_BYTES_PER_SECOND,
            max_link_queue_bytes=64e3,
            **plan,
        )

    async def write_servers(self, fleet):
        """Writes entries of servers, one twice a second, as in a release."""
        number = 0
        while True:
            number += 1
            entry = documents.make_server_entry(
                "10.1.64.17:8446", sequence=number
            )
            fleet.store.write(
                f"servers/i-{number % 150:010x}", json.dumps(entry).encode()
            )
            await asyncio.sleep(0.5)

    async def measure_change(self, fleet, version, routes):
        """Publishes a configuration; returns when daemons had it in force."""
        fleet.store.write("op/config", encode_configuration(version, routes))
        written_at = boot_clock.now()
        in_force_after = {}
        while boot_clock.now() < written_at + SECONDS:
            for ip, daemon in fleet.daemons.items():
                known = daemon.platform_state.catalogue.configuration_version
                if known >= version and ip not in in_force_after:
                    in_force_after[ip] = boot_clock.now() - written_at
            await asyncio.sleep(0.02)
        return [in_force_after.get(ip, SECONDS) for ip in fleet.daemons]

    async def add_routes(self, seed, **plan):
        random_source = random.Random(seed)
        fleet = self.start_narrow_fleet(seed, **plan)
        routes = make_routes(random_source, INITIAL_ROUTES)
        fleet.store.write("op/config", encode_configuration(3, routes))
        await asyncio.sleep(6.0)
        writer = asyncio.create_task(self.write_servers(fleet))
        await asyncio.sleep(1.0)
        routes += make_routes(random_source, ADDED_ROUTES)
        delays = await self.measure_change(fleet, 6, routes)
        return fleet, routes, delays, writer

    # Daemons routed by an old configuration, or answered 404 for routes that
    # had been added, when a leader on a narrow link sent all of a large
    # configuration to each daemon of its data centre at the same time.
    def test_1400_added_routes_are_in_force_in_time_on_narrow_links(self):
        async def main():
            _, _, delays, _ = await self.add_routes(
                1, data_centre_count=4, daemons_per_data_centre=25
            )
            return delays

        delays = site_fleet_case.run_in_virtual_time(main)
        self.assertLessEqual(max(delays), CONFIGURATION_BOUND_SECONDS)

    # The next leader read all of the change from the store again, although the
    # leaders of other data centres had it.
    def test_change_is_in_force_in_time_if_a_leader_is_killed_reading_it(self):
        async def main():
            random_source = random.Random(1)
            fleet = self.start_narrow_fleet(
                4, data_centre_count=3, daemons_per_data_centre=12
            )
            routes = make_routes(random_source, INITIAL_ROUTES)
            fleet.store.write("op/config", encode_configuration(3, routes))
            await asyncio.sleep(6.0)
            routes += make_routes(random_source, ADDED_ROUTES)

            async def kill_leader():
                await asyncio.sleep(0.5)
                ip = self.leaders(fleet)[0]
                fleet.daemons[ip].gossip.transfers.stop()
                fleet.kill(ip)

            killing = asyncio.create_task(kill_leader())
            delays = await self.measure_change(fleet, 4, routes)
            await killing
            return delays

        delays = site_fleet_case.run_in_virtual_time(main)
        self.assertLessEqual(max(delays), CONFIGURATION_BOUND_SECONDS)

    # The changes of the store repeat the whole configuration for each version,
    # and the leaders received all of them.
    def test_last_of_four_versions_in_a_second_is_in_force_in_time(self):
        async def main():
            fleet, routes, _, _ = await self.add_routes(
                1, data_centre_count=2, daemons_per_data_centre=12
            )
            for version in range(7, 10):
                fleet.store.write(
                    "op/config", encode_configuration(version, routes)
                )
                await asyncio.sleep(0.3)
            return await self.measure_change(fleet, 10, routes)

        delays = site_fleet_case.run_in_virtual_time(main)
        self.assertLessEqual(max(delays), CONFIGURATION_BOUND_SECONDS)

    # The leader paused for further changes after it had received the first
    # version for a second, while the next one was due.
    def test_version_soon_after_a_large_one_is_in_force_in_time(self):
        async def main():
            fleet, routes, _, _ = await self.add_routes(
                9, data_centre_count=3, daemons_per_data_centre=12
            )
            fleet.store.write("op/config", encode_configuration(7, routes))
            await asyncio.sleep(0.3)
            return await self.measure_change(fleet, 8, routes)

        delays = site_fleet_case.run_in_virtual_time(main)
        self.assertLessEqual(max(delays), CONFIGURATION_BOUND_SECONDS)

    # Each change moved the whole configuration over each link.
    def test_small_change_moves_at_most_a_quarter_of_the_configuration(self):
        async def main():
            fleet, routes, _, writer = await self.add_routes(
                1, data_centre_count=3, daemons_per_data_centre=5
            )
            writer.cancel()
            await asyncio.sleep(5.0)
            fleet.links.carried_bytes.clear()
            for route in routes[100:105]:
                route["spec"]["timeout_s"] = 1.5
            delays = await self.measure_change(fleet, 7, routes)
            carried = sorted(fleet.links.carried_bytes.values())
            return max(delays), carried

        delay, carried_bytes = site_fleet_case.run_in_virtual_time(main)
        self.assertLessEqual(delay, CONFIGURATION_BOUND_SECONDS)
        # All but the three daemons that read the store.
        median = carried_bytes[len(carried_bytes) // 2]
        self.assertLessEqual(median, WHOLE_CONFIGURATION_BYTES / 4)
