"""Store calls and messages of fleets of about a hundred or more daemons."""

import asyncio
import unittest

from hyssopwind.standins.tests import site_fleet_case


class LargeFleetTest(site_fleet_case.FleetCase):
    def test_hundred_daemons_make_one_call_per_second_and_data_centre(self):
        async def main():
            fleet = self.start_fleet(
                data_centre_count=4, daemons_per_data_centre=25
            )
            await asyncio.sleep(5.0)
            calls_before = fleet.store.call_count
            await self.check_bound_for(fleet, 5.0)
            return fleet.store.call_count - calls_before

        self.assertLessEqual(
            site_fleet_case.run_in_virtual_time(main), 4 * 5 + 4
        )

    def test_control_messages_stay_small_with_198_daemons(self):
        """198 daemons in six data centres, the size expected in two years."""

        async def main():
            fleet = self.start_fleet(
                data_centre_count=6, daemons_per_data_centre=33
            )
            await asyncio.sleep(12.0)
            fleet.sent_bytes.clear()
            await self.change_and_check_for(fleet, 10.0, step=1.0)
            return max(fleet.sent_bytes.values()) / 10.0

        # Bytes per second that a daemon may send to other daemons.
        self.assertLessEqual(site_fleet_case.run_in_virtual_time(main), 20_000)

    def test_narrow_links_drop_no_daemon_from_member_lists(self):
        """Member lists of a hundred daemons overflow a link of 10 Mbit/s."""

        async def main():
            fleet = self.start_fleet(
                data_centre_count=4,
                daemons_per_data_centre=24,
                link_bytes_per_second=1.25e6,
                max_link_queue_bytes=32e3,
            )
            await asyncio.sleep(10.0)
            fleet_sizes = set()
            for _ in range(15):
                await asyncio.sleep(1.0)
                for daemon in fleet.daemons.values():
                    fleet_sizes.add(1 + len(list(daemon.member_list.peers())))
            return fleet_sizes

        self.assertEqual(site_fleet_case.run_in_virtual_time(main), {96})

    def test_store_outage_does_not_make_the_whole_fleet_call(self):
        """Only leaders retry often, since failed calls are billed too."""

        async def main():
            fleet = self.start_fleet(
                data_centre_count=3, daemons_per_data_centre=33
            )
            await asyncio.sleep(5.0)
            for daemon in fleet.daemons.values():
                daemon.store_refuses = True
            calls_before = fleet.store.call_count
            await asyncio.sleep(10.0)
            calls = fleet.store.call_count - calls_before
            for daemon in fleet.daemons.values():
                daemon.store_refuses = False
            fleet.store.write("op/evacuate/after", b"{}")
            await asyncio.sleep(site_fleet_case.CHANGE_BOUND_SECONDS)
            return calls, {
                daemon.platform_state.replica.revision
                for daemon in fleet.daemons.values()
            }

        calls, revisions = site_fleet_case.run_in_virtual_time(main)
        # Calls may cost at most a twentieth of a day's worth, which is 1,470
        # calls for a fleet of this size; a day without an outage makes 500.
        self.assertLessEqual(calls, 970)
        self.assertEqual(len(revisions), 1)

    def test_one_daemon_replaces_each_leader_that_store_refuses(self):
        """The other daemons of the data centre don't read the store."""

        async def main():
            fleet = self.start_fleet(
                data_centre_count=4, daemons_per_data_centre=24
            )
            await asyncio.sleep(5.0)
            for ip in self.leaders(fleet):
                fleet.daemons[ip].store_refuses = True
            await self.change_and_check_for(fleet, 3.0)
            calls_before = fleet.store.call_count
            await self.change_and_check_for(fleet, 10.0, step=1.0)
            return fleet.store.call_count - calls_before

        # Two readers per data centre, including the leader that retries, with
        # two calls for each of ten changes.
        self.assertLessEqual(
            site_fleet_case.run_in_virtual_time(main), 4 * 2 * 2 * 10
        )

    def test_only_leaders_read_the_store_after_changes(self):
        """Leaders pass changes on, so that no other daemon has to read."""

        async def main():
            fleet = self.start_fleet(
                data_centre_count=4, daemons_per_data_centre=24
            )
            await asyncio.sleep(5.0)
            calls_before = fleet.store.call_count
            await self.change_and_check_for(fleet, 20.0, step=2.23)
            return fleet.store.call_count - calls_before

        # Four leaders make at most two calls per second each.
        self.assertLessEqual(
            site_fleet_case.run_in_virtual_time(main), 4 * 2 * 20
        )


if __name__ == "__main__":
    unittest.main()
