"""A base class for tests of daemons that share items by gossip."""

import asyncio
import unittest
from unittest import mock

from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import site_fleet
from hyssopwind.transport import boot_clock

CHANGE_BOUND_SECONDS = 2.0  # until each daemon applies a confirmed change
# Time without faults after which the bound holds for a daemon.
FAULT_FREE_SECONDS = 3.0


def run_in_virtual_time(main):
    """Runs a coroutine function in virtual time that starts at 100 s."""

    async def run():
        event_loop = asyncio.get_running_loop()
        with mock.patch.object(
            boot_clock, "now", lambda: 100.0 + event_loop.time()
        ):
            return await main()

    return loop.run_virtual(run())


class FleetCase(unittest.TestCase):
    def start_fleet(self, seed=1, **plan):
        fleet = site_fleet.VirtualFleet(site_fleet.FleetPlan(seed=seed, **plan))
        fleet.start_all()
        return fleet

    async def change_and_check_for(self, fleet, seconds, step=0.37):
        """Changes items and checks the bound for some seconds."""
        end = boot_clock.now() + seconds
        number = 0
        while boot_clock.now() < end:
            number += 1
            fleet.store.write(f"op/evacuate/z{number % 7}", b"{}")
            if number % 3 == 0:
                removed = (number - 2) % 7
                fleet.store.write(f"op/evacuate/z{removed}", None)
            await self.check_bound_for(fleet, step)

    async def check_bound_for(self, fleet, seconds):
        end = boot_clock.now() + seconds
        while boot_clock.now() < end:
            await asyncio.sleep(0.05)
            self.check_bound(fleet)

    def check_bound(self, fleet):
        """Checks that daemons without faults hold all changes that are due."""
        now = boot_clock.now()
        due_revisions = [
            changed_revision
            for changed_at, changed_revision in fleet.store.confirmed_revisions
            if changed_at <= now - CHANGE_BOUND_SECONDS
        ]
        if not due_revisions:
            return
        for ip, daemon in fleet.daemons.items():
            if now - daemon.last_fault_at < FAULT_FREE_SECONDS:
                continue
            revision = daemon.platform_state.replica.revision
            self.assertGreaterEqual(
                revision, due_revisions[-1], f"{ip} at {now:.2f}"
            )
            self.check_items(daemon, due_revisions[-1], f"{ip} at {now:.2f}")

    def check_items(self, daemon, revision, daemon_and_time):
        """Checks that items last changed up to a revision have their values."""
        replica_items = daemon.platform_state.replica.items
        for key, last_change in self.last_changes(daemon.store).items():
            if last_change.revision > revision:
                continue
            value = replica_items[key].value if key in replica_items else None
            self.assertEqual(
                value, last_change.value, f"{key} {daemon_and_time}"
            )

    def last_changes(self, store):
        return {item.key: item for item in store.history}

    def leaders(self, fleet):
        now = boot_clock.now()
        return [
            ip
            for ip, daemon in fleet.daemons.items()
            if daemon.member_list.is_leader(now)
        ]
