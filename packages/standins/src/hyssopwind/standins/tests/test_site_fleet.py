"""Tests of daemons that share items by gossip, without and with faults."""

import asyncio
import functools

from hyssopwind.core import ids
from hyssopwind.core.fleet import fleet_members
from hyssopwind.standins.tests import site_fleet_case
from hyssopwind.transport import boot_clock


class FaultFreeTest(site_fleet_case.FleetCase):
    def test_one_daemon_of_each_data_centre_reads_the_store(self):
        async def main():
            fleet = self.start_fleet()
            await asyncio.sleep(5.0)
            calls_before = fleet.store.call_count
            await self.check_bound_for(fleet, 10.0)
            return len(
                list(fleet.readers())
            ), fleet.store.call_count - calls_before

        readers, calls = site_fleet_case.run_in_virtual_time(main)
        self.assertEqual(readers, 3)
        # Each reader makes one call per second, which waits for changes.
        self.assertLessEqual(calls, 3 * 10 + 3)

    def test_member_lists_contain_all_daemons(self):
        async def main():
            fleet = self.start_fleet()
            await asyncio.sleep(8.0)
            return {d.member_list.fleet_size() for d in fleet.daemons.values()}

        self.assertEqual(site_fleet_case.run_in_virtual_time(main), {15})

    def test_local_member_lists_follow_lost_and_restarted_daemons(self):
        async def main():
            fleet = self.start_fleet(daemons_per_data_centre=12)
            await asyncio.sleep(8.0)
            for ip in ("10.0.0.3", "10.1.0.7", "10.2.0.12"):
                fleet.kill(ip)
            await asyncio.sleep(3 * fleet_members.LOCAL_EXPIRY_SECONDS)
            sizes_after_loss = self.local_fleet_sizes(fleet)
            fleet.start("10.1.0.7")
            await asyncio.sleep(fleet_members.LOCAL_EXPIRY_SECONDS)
            return sizes_after_loss, self.local_fleet_sizes(fleet)

        sizes_after_loss, sizes_after_restart = (
            site_fleet_case.run_in_virtual_time(main)
        )
        self.assertEqual(sizes_after_loss, {11})
        self.assertEqual(sizes_after_restart, {11, 12})

    def local_fleet_sizes(self, fleet):
        return {
            1 + len(d.member_list.local_peers()) for d in fleet.daemons.values()
        }

    # Peers remembered the numbers of notices by the name of the sender, and a
    # daemon that restarted counted from one again.
    def test_crash_notice_after_a_restart_reaches_every_daemon(self):
        async def main():
            fleet = self.start_fleet()
            await asyncio.sleep(5.0)
            sender = fleet.daemons["10.0.0.1"]
            sender.gossip.announce_crash(ids.Fingerprint("first"), 1)
            await asyncio.sleep(2.0)
            fleet.kill("10.0.0.1")
            fleet.start("10.0.0.1")
            await asyncio.sleep(5.0)
            sender = fleet.daemons["10.0.0.1"]
            sender.gossip.announce_crash(ids.Fingerprint("second"), 1)
            await asyncio.sleep(2.0)
            return [
                ("second", 1) in daemon.crash_notices
                for daemon in fleet.daemons.values()
                if daemon is not sender
            ]

        heard = site_fleet_case.run_in_virtual_time(main)
        self.assertEqual(heard, [True] * 14)

    def test_crash_notice_reaches_every_daemon_once(self):
        async def main():
            fleet = self.start_fleet()
            await asyncio.sleep(8.0)
            sender = fleet.daemons["10.0.0.2"]
            sender.gossip.announce_crash(ids.Fingerprint("f"), 1)
            await asyncio.sleep(2.0)
            return [
                len(d.crash_notices)
                for d in fleet.daemons.values()
                if d is not sender
            ]

        self.assertEqual(site_fleet_case.run_in_virtual_time(main), [1] * 14)


class SingleFaultTest(site_fleet_case.FleetCase):
    """Checks the bound on changes under one kind of fault at a time."""

    def check_with(self, inject_fault, seconds=12.0, seed=1):
        async def main():
            fleet = self.start_fleet(seed)
            await asyncio.sleep(5.0)
            inject_fault(fleet)
            await self.change_and_check_for(fleet, seconds)

        site_fleet_case.run_in_virtual_time(main)

    def test_bound_holds_when_leaders_are_killed(self):
        def inject_fault(fleet):
            for ip in self.leaders(fleet):
                fleet.kill(ip)

        self.check_with(inject_fault)

    def test_bound_holds_when_store_refuses_a_third_of_the_daemons(self):
        def inject_fault(fleet):
            chosen = fleet.random_source.sample(sorted(fleet.daemons), 5)
            for ip in {*chosen, *self.leaders(fleet)}:
                fleet.daemons[ip].store_refuses = True

        self.check_with(inject_fault)

    def test_bound_holds_when_store_stops_answering_leaders(self):
        def inject_fault(fleet):
            for ip in self.leaders(fleet):
                fleet.daemons[ip].store_silent = True
                fleet.daemons[ip].silence_count += 1

        self.check_with(inject_fault)

    def test_bound_holds_when_store_refuses_one_data_centre(self):
        def inject_fault(fleet):
            for ip, daemon in fleet.daemons.items():
                if ip.startswith("10.1."):
                    daemon.store_refuses = True

        self.check_with(inject_fault)

    def test_bound_holds_when_data_centre_is_cut_off_from_others(self):
        def inject_fault(fleet):
            for first in fleet.daemons:
                for second in fleet.daemons:
                    if first.startswith("10.1.") != second.startswith("10.1."):
                        fleet.cut_links.add(frozenset((first, second)))

        self.check_with(inject_fault)

    def test_bound_holds_when_history_is_dropped_during_a_watch(self):
        def inject_fault(fleet):
            for number in range(20):
                fleet.store.write(f"op/evacuate/y{number}", b"{}")
            fleet.store.drop_history()

        self.check_with(inject_fault)

    def test_bound_holds_when_seeds_die_and_a_daemon_restarts(self):
        def inject_fault(fleet):
            for number in range(3):
                fleet.kill(f"10.{number}.0.1")
            fleet.kill("10.0.0.4")
            fleet.start("10.0.0.4")

        self.check_with(inject_fault)

    def test_bound_holds_when_items_are_removed_in_a_rolling_restart(self):
        """Recently started leaders have no record of earlier removals."""

        async def main(seed):
            fleet = self.start_fleet(seed)
            await asyncio.sleep(5.0)
            keys = [f"op/evacuate/s{number}" for number in range(60)]
            for key in keys:
                fleet.store.write(key, b"{}")
            await self.check_bound_for(fleet, 3.0)
            for ip in sorted(
                fleet.daemons, key=lambda _: fleet.random_source.random()
            ):
                fleet.kill(ip)
                await self.check_bound_for(fleet, 0.3)
                fleet.store.write(keys.pop(), None)
                await asyncio.sleep(0.05)
                # Readers collect changes before they pass them on, so no other
                # daemon has this one yet.
                fleet.store.write(keys.pop(), None)
                fleet.start(ip)
                await self.check_bound_for(fleet, 0.1)
            await self.check_bound_for(fleet, 4.0)

        for seed in range(1, 9):
            with self.subTest(seed=seed):
                site_fleet_case.run_in_virtual_time(
                    functools.partial(main, seed)
                )


class RandomFaultsTest(site_fleet_case.FleetCase):
    """Checks the bound under overlapping faults, a new one every second."""

    async def run_random_faults(self, seed):
        fleet = self.start_fleet(seed)
        await asyncio.sleep(5.0)
        active_faults = []
        for _ in range(25):
            active_faults.append(self.inject_fault(fleet))
            if len(active_faults) > 3:
                active_faults.pop(0)()
            await self.change_and_check_for(fleet, 1.0)
        for end_fault in active_faults:
            end_fault()
        await self.change_and_check_for(
            fleet,
            site_fleet_case.FAULT_FREE_SECONDS
            + site_fleet_case.CHANGE_BOUND_SECONDS,
        )

    def inject_fault(self, fleet):
        inject = fleet.random_source.choice(
            [self.kill, self.refuse, self.silence, self.cut, self.drop_history]
        )
        return inject(fleet)

    def choose_addresses(self, fleet, ratio=0.3):
        addresses = sorted(fleet.daemons)
        count = max(1, int(len(addresses) * ratio))
        return fleet.random_source.sample(addresses, count)

    def kill(self, fleet):
        chosen = self.choose_addresses(fleet)
        for ip in chosen:
            fleet.kill(ip)

        def end_fault():
            for ip in chosen:
                if ip not in fleet.daemons:
                    fleet.start(ip)

        return end_fault

    def refuse(self, fleet):
        return self.set_flag(fleet, "store_refuses")

    def silence(self, fleet):
        return self.set_flag(fleet, "store_silent")

    def set_flag(self, fleet, name):
        chosen = [fleet.daemons[ip] for ip in self.choose_addresses(fleet)]
        for daemon in chosen:
            setattr(daemon, name, True)
            daemon.silence_count += 1
            daemon.last_fault_at = float("inf")

        def end_fault():
            for daemon in chosen:
                setattr(daemon, name, False)
                has_fault = daemon.store_refuses or daemon.store_silent
                if not has_fault:
                    daemon.last_fault_at = boot_clock.now()

        return end_fault

    def cut(self, fleet):
        """Partitions the daemons; all of them still reach the store."""
        group = set(self.choose_addresses(fleet, 0.4))
        pairs = {
            frozenset((inside, outside))
            for inside in group
            for outside in fleet.daemons
            if outside not in group
        }
        fleet.cut_links |= pairs

        def end_fault():
            fleet.cut_links -= pairs

        return end_fault

    def drop_history(self, fleet):
        fleet.store.drop_history()
        return lambda: None

    def test_bound_holds_for_daemons_without_faults(self):
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                site_fleet_case.run_in_virtual_time(
                    functools.partial(self.run_random_faults, seed)
                )
