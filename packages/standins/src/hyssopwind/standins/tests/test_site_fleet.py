"""Random runs of daemons that share what they read, with the bounds kept."""

import asyncio
import functools

from hyssopwind.core import ids
from hyssopwind.core.fleet import roster
from hyssopwind.standins.tests import site_fleet_case
from hyssopwind.transport import clock


class CalmTest(site_fleet_case.FleetCase):
    def test_one_daemon_of_each_data_centre_reads(self):
        async def main():
            fleet = self.start()
            await asyncio.sleep(5.0)
            before = fleet.store.calls
            await self.watch(fleet, 10.0)
            return len(list(fleet.readers())), fleet.store.calls - before

        readers, calls = site_fleet_case.virtual_run(main)
        self.assertEqual(readers, 3)
        # One call a second for each reader, waiting for changes.
        self.assertLessEqual(calls, 3 * 10 + 3)

    def test_all_daemons_know_all_others(self):
        async def main():
            fleet = self.start()
            await asyncio.sleep(8.0)
            return {d.roster.size() for d in fleet.daemons.values()}

        self.assertEqual(site_fleet_case.virtual_run(main), {15})

    def test_lost_and_new_daemons_are_known_to_all(self):
        async def main():
            fleet = self.start(daemons=12)
            await asyncio.sleep(8.0)
            for ip in ("10.0.0.3", "10.1.0.7", "10.2.0.12"):
                fleet.kill(ip)
            await asyncio.sleep(3 * roster.NEAR_LIFE)
            lost = self.near_known(fleet)
            fleet.start("10.1.0.7")
            await asyncio.sleep(roster.NEAR_LIFE)
            return lost, self.near_known(fleet)

        lost, found = site_fleet_case.virtual_run(main)
        self.assertEqual(lost, {11})
        self.assertEqual(found, {11, 12})

    def near_known(self, fleet):
        return {1 + len(d.roster.near()) for d in fleet.daemons.values()}

    def test_notice_of_a_crash_reaches_every_daemon_once(self):
        async def main():
            fleet = self.start()
            await asyncio.sleep(8.0)
            sender = fleet.daemons["10.0.0.2"]
            sender.exchange.spread_crash(ids.Fingerprint("f"), 1)
            await asyncio.sleep(2.0)
            return [
                len(d.notices)
                for d in fleet.daemons.values()
                if d is not sender
            ]

        self.assertEqual(site_fleet_case.virtual_run(main), [1] * 14)


class DisturbedTest(site_fleet_case.FleetCase):
    """Troubles one by one; changes go on all the while."""

    def run_with(self, disturb, seconds=12.0, seed=1):
        async def main():
            fleet = self.start(seed)
            await asyncio.sleep(5.0)
            disturb(fleet)
            await self.change_for(fleet, seconds)

        site_fleet_case.virtual_run(main)

    def test_killed_leaders(self):
        def disturb(fleet):
            for ip in self.leaders(fleet):
                fleet.kill(ip)

        self.run_with(disturb)

    def test_store_turns_a_third_of_the_daemons_away(self):
        def disturb(fleet):
            chosen = fleet.random.sample(sorted(fleet.daemons), 5)
            for ip in {*chosen, *self.leaders(fleet)}:
                fleet.daemons[ip].store_refuses = True

        self.run_with(disturb)

    def test_leaders_lose_the_store_silently(self):
        def disturb(fleet):
            for ip in self.leaders(fleet):
                fleet.daemons[ip].store_silent = True
                fleet.daemons[ip].silences += 1

        self.run_with(disturb)

    def test_data_centre_without_the_store_hears_it_from_others(self):
        def disturb(fleet):
            for ip, daemon in fleet.daemons.items():
                if ip.startswith("10.1."):
                    daemon.store_refuses = True

        self.run_with(disturb)

    def test_data_centre_cut_off_from_the_others(self):
        def disturb(fleet):
            for one in fleet.daemons:
                for other in fleet.daemons:
                    if one.startswith("10.1.") != other.startswith("10.1."):
                        fleet.cut.add(frozenset((one, other)))

        self.run_with(disturb)

    def test_history_is_dropped_while_a_watch_waits(self):
        def disturb(fleet):
            for number in range(20):
                fleet.store.write(f"op/evacuate/y{number}", b"{}")
            fleet.store.drop_history()

        self.run_with(disturb)

    def test_seeds_are_lost_while_a_daemon_starts_again(self):
        def disturb(fleet):
            for number in range(3):
                fleet.kill(f"10.{number}.0.1")
            fleet.kill("10.0.0.4")
            fleet.start("10.0.0.4")

        self.run_with(disturb)

    def test_rolling_restart_while_servers_leave(self):
        """Leaders that started lately can't know what left before."""

        async def main(seed):
            fleet = self.start(seed)
            await asyncio.sleep(5.0)
            keys = [f"op/evacuate/s{number}" for number in range(60)]
            for key in keys:
                fleet.store.write(key, b"{}")
            await self.watch(fleet, 3.0)
            for ip in sorted(
                fleet.daemons, key=lambda _: fleet.random.random()
            ):
                fleet.kill(ip)
                await self.watch(fleet, 0.3)
                fleet.store.write(keys.pop(), None)
                await asyncio.sleep(0.05)
                # Readers merge changes, so this one is not known elsewhere.
                fleet.store.write(keys.pop(), None)
                fleet.start(ip)
                await self.watch(fleet, 0.1)
            await self.watch(fleet, 4.0)

        for seed in range(1, 9):
            with self.subTest(seed=seed):
                site_fleet_case.virtual_run(functools.partial(main, seed))


class RandomTest(site_fleet_case.FleetCase):
    """Overlapping troubles, drawn anew every second."""

    async def play(self, seed):
        fleet = self.start(seed)
        await asyncio.sleep(5.0)
        healing = []
        for _ in range(25):
            healing.append(self.disturb(fleet))
            if len(healing) > 3:
                healing.pop(0)()
            await self.change_for(fleet, 1.0)
        for heal in healing:
            heal()
        await self.change_for(
            fleet, site_fleet_case.CONTACT + site_fleet_case.BOUND
        )

    def disturb(self, fleet):
        kind = fleet.random.choice(
            [self.kill, self.refuse, self.silence, self.cut, self.drop]
        )
        return kind(fleet)

    def pick(self, fleet, share=0.3):
        known = sorted(fleet.daemons)
        count = max(1, int(len(known) * share))
        return fleet.random.sample(known, count)

    def kill(self, fleet):
        chosen = self.pick(fleet)
        for ip in chosen:
            fleet.kill(ip)

        def heal():
            for ip in chosen:
                if ip not in fleet.daemons:
                    fleet.start(ip)

        return heal

    def refuse(self, fleet):
        return self.set_flag(fleet, "store_refuses")

    def silence(self, fleet):
        return self.set_flag(fleet, "store_silent")

    def set_flag(self, fleet, name):
        chosen = [fleet.daemons[ip] for ip in self.pick(fleet)]
        for daemon in chosen:
            setattr(daemon, name, True)
            daemon.silences += 1
            daemon.disturbed_at = float("inf")

        def heal():
            for daemon in chosen:
                setattr(daemon, name, False)
                others = daemon.store_refuses or daemon.store_silent
                if not others:
                    daemon.disturbed_at = clock.now()

        return heal

    def cut(self, fleet):
        """Parts the fleet; the store stays within reach of all."""
        part = set(self.pick(fleet, 0.4))
        pairs = {
            frozenset((one, other))
            for one in part
            for other in fleet.daemons
            if other not in part
        }
        fleet.cut |= pairs

        def heal():
            fleet.cut -= pairs

        return heal

    def drop(self, fleet):
        fleet.store.drop_history()
        return lambda: None

    def test_bound_holds_for_daemons_in_touch(self):
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                site_fleet_case.virtual_run(functools.partial(self.play, seed))
