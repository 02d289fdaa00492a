"""What the tests of daemons that share what they read have in common."""

import asyncio
import unittest
from unittest import mock

from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import site_fleet
from hyssopwind.transport import clock

BOUND = 2.0  # seconds in which a confirmed change is to be in force
CONTACT = 3.0  # seconds of undisturbed running after which the bound holds


def virtual_run(main):
    """Runs a coroutine function in virtual time, from a time after zero."""

    async def timed():
        running = asyncio.get_running_loop()
        with mock.patch.object(clock, "now", lambda: 100.0 + running.time()):
            return await main()

    return loop.run_virtual(timed())


class FleetCase(unittest.TestCase):
    def start(self, seed=1, **plan):
        fleet = site_fleet.VirtualFleet(site_fleet.FleetPlan(seed=seed, **plan))
        fleet.start_all()
        return fleet

    async def change_for(self, fleet, seconds, step=0.37):
        """Makes changes and checks the bound until some time has passed."""
        end = clock.now() + seconds
        number = 0
        while clock.now() < end:
            number += 1
            fleet.store.write(f"op/evacuate/z{number % 7}", b"{}")
            if number % 3 == 0:
                gone = (number - 2) % 7
                fleet.store.write(f"op/evacuate/z{gone}", None)
            await self.watch(fleet, step)

    async def watch(self, fleet, seconds):
        end = clock.now() + seconds
        while clock.now() < end:
            await asyncio.sleep(0.05)
            self.check(fleet)

    def check(self, fleet):
        """Every daemon in touch holds what was confirmed a bound ago."""
        now = clock.now()
        due = [r for t, r in fleet.store.confirmed if t <= now - BOUND]
        if not due:
            return
        for ip, daemon in fleet.daemons.items():
            if now - daemon.disturbed_at < CONTACT:
                continue
            held = daemon.known.copy.revision
            self.assertGreaterEqual(held, due[-1], f"{ip} at {now:.2f}")
            self.check_items(daemon, due[-1], f"{ip} at {now:.2f}")

    def check_items(self, daemon, revision, place):
        """What last changed up to a revision is held, or known as removed."""
        held = daemon.known.copy.items
        for key, last in self.last_changes(daemon.store).items():
            if last.revision > revision:
                continue
            value = held[key].value if key in held else None
            self.assertEqual(value, last.value, f"{key} {place}")

    def last_changes(self, store):
        return {item.key: item for item in store.history}

    def leaders(self, fleet):
        now = clock.now()
        return [
            ip
            for ip, daemon in fleet.daemons.items()
            if daemon.roster.is_leader(now)
        ]
