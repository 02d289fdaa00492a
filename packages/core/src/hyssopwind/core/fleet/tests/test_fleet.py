import unittest

from hyssopwind.core import ids
from hyssopwind.core.fleet import messages
from hyssopwind.core.fleet import reading
from hyssopwind.core.fleet import roster

NORTH = ids.DataCentreId("north")
SOUTH = ids.DataCentreId("south")


def make_beat(name, centre=NORTH, **changes):
    values = {
        "revision": 1,
        "age_ms": 0,
        "reads": True,
        "leaving": False,
        "roster": 0,
        **changes,
    }
    return messages.Beat(name, f"10.0.0.{ord(name)}", centre, **values)


def make_fleet(own, others, now=0.0):
    fleet = roster.FleetRoster(ids.DaemonId(own), "10.0.0.1", NORTH, now)
    for name in others:
        fleet.take_beat(make_beat(name), now)
    return fleet


class RosterTest(unittest.TestCase):
    def test_all_daemons_agree_on_the_leader(self):
        names = "abcdef"
        leaders = set()
        for own in names:
            fleet = make_fleet(own, names.replace(own, ""))
            leaders.add(fleet.ranked(NORTH)[0].name)
        self.assertEqual(len(leaders), 1)

    def test_silent_leader_is_passed_over(self):
        first, second = self.first_two("abc")
        fleet = make_fleet(second, "abc".replace(second, ""))
        self.assertFalse(fleet.is_leader(0.5))
        self.assertTrue(fleet.is_leader(roster.SUSPECT_AFTER + 0.1))

    def test_leaving_daemon_leads_no_more(self):
        first, second = self.first_two("abc")
        fleet = make_fleet(second, "abc".replace(second, ""))
        fleet.take_beat(make_beat(first, leaving=True), 0.1)
        self.assertTrue(fleet.is_leader(0.1))

    def test_size_remembers_daemons_that_are_out_of_reach(self):
        """A cut-off part may go on spending its part of the budget."""
        fleet = make_fleet("a", "bcd")
        fleet.expire(roster.NEAR_LIFE + 1.0)
        self.assertEqual(list(fleet.peers()), [])
        self.assertEqual(fleet.size(), 4)

    def test_roster_of_others_is_taken_with_its_ages(self):
        fleet = make_fleet("a", "")
        members = [
            messages.Member("b", "10.0.0.2", NORTH, 500),
            messages.Member("c", "10.0.0.3", NORTH, 60_000),
            messages.Member("a", "10.0.0.1", NORTH, 0),
        ]
        fleet.take_roster(messages.Roster("b", members), 1.0)
        self.assertEqual([p.name for p in fleet.peers()], ["b"])

    def test_cold_servers_of_an_empty_data_centre_are_for_all(self):
        fleet = make_fleet("a", "b")
        self.assertEqual(set(fleet.daemons(SOUTH)), {"a", "b"})

    def first_two(self, names):
        fleet = make_fleet(names[0], names[1:])
        return [peer.name for peer in fleet.ranked(NORTH)][:2]


class DigestTest(unittest.TestCase):
    """The leader's heartbeat stands for a list of all daemons."""

    def setUp(self):
        fleet = make_fleet("a", "bc")
        first, own, other = [peer.name for peer in fleet.ranked(NORTH)]
        self.first, self.other = first, other
        self.fleet = make_fleet(own, [first, other])

    def beat(self, name, now, digest):
        self.fleet.take_beat(make_beat(name, roster=digest), now)
        self.fleet.expire(now)

    def known(self):
        return {peer.name for peer in self.fleet.peers()}

    def test_equal_digest_of_the_leader_confirms_all_daemons(self):
        for step in range(1, 21):
            self.beat(self.first, 0.5 * step, self.fleet.digest())
        self.assertEqual(self.known(), {self.first, self.other})

    def test_other_digest_confirms_nothing(self):
        for step in range(1, 21):
            self.beat(self.first, 0.5 * step, 7)
        self.assertEqual(self.known(), {self.first})

    def test_daemon_that_does_not_lead_confirms_nothing(self):
        for step in range(1, 21):
            digest = self.fleet.digest()
            self.beat(self.first, 0.5 * step, 7)
            self.beat(self.other, 0.5 * step, digest)
        self.fleet.take_beat(make_beat("z"), 10.0)
        for step in range(21, 41):
            digest = self.fleet.digest()
            self.beat(self.first, 0.5 * step, 7)
            self.beat(self.other, 0.5 * step, digest)
        self.assertEqual(self.known(), {self.first, self.other})

    def test_order_of_arrival_does_not_matter(self):
        one = make_fleet("a", "bcd")
        other = make_fleet("a", "dcb")
        self.assertEqual(one.digest(), other.digest())
        other.take_beat(make_beat("d", leaving=True), 0.1)
        self.assertNotEqual(one.digest(), other.digest())

    def test_members_with_another_digest_are_listed(self):
        fleet = make_fleet("a", "bc")
        fleet.take_beat(make_beat("b", roster=fleet.digest()), 0.1)
        self.assertEqual([p.name for p in fleet.differing()], ["c"])


class ReadingTest(unittest.TestCase):
    def setUp(self):
        fleet = make_fleet("a", "bcdef")
        self.ranked = [peer.name for peer in fleet.ranked(NORTH)]

    def reads(self, name, now, age, fleet=None):
        if fleet is None:
            fleet = make_fleet(name, "abcdef".replace(name, ""))
            for peer in fleet.near():
                peer.direct_at = now
        state = reading.ReadingState(name, NORTH, age)
        return reading.should_read(state, fleet, now)

    def test_only_the_leader_reads_on_a_calm_day(self):
        readers = [n for n in self.ranked if self.reads(n, 20.0, 0.8)]
        self.assertEqual(readers, self.ranked[:1])

    def test_next_in_rank_takes_over_from_a_silent_leader(self):
        name = self.ranked[1]
        fleet = make_fleet(name, "abcdef".replace(name, ""))
        for peer in fleet.near():
            peer.direct_at = 20.0
        leader = [p for p in fleet.near() if p.name == self.ranked[0]][0]
        leader.direct_at = 20.0 - roster.SUSPECT_AFTER - 0.1
        self.assertTrue(self.reads(name, 20.0, 0.8, fleet))

    def test_next_in_rank_takes_over_when_the_leader_is_turned_away(self):
        name = self.ranked[1]
        fleet = make_fleet(name, "abcdef".replace(name, ""))
        for peer in fleet.near():
            peer.direct_at = 20.0
            peer.reads = peer.name != self.ranked[0]
        self.assertTrue(self.reads(name, 20.0, 0.8, fleet))

    def test_everybody_reads_within_the_bounds_when_all_is_silent(self):
        """Two seconds are allowed for draining and configuration."""
        for name in self.ranked:
            with self.subTest(name=name):
                old = reading.READ_AGE + reading.LONGEST_RANK_DELAY + 0.01
                self.assertTrue(self.reads(name, 20.0, old))

    def test_tighter_bounds_are_read_for_sooner(self):
        name = self.ranked[-1]
        fleet = make_fleet(name, "abcdef".replace(name, ""))
        for peer in fleet.near():
            peer.direct_at = 20.0
        delay = reading.LONGEST_RANK_DELAY
        state = reading.ReadingState(name, NORTH, 0.9 + delay, bound=1.0)
        self.assertTrue(reading.should_read(state, fleet, 20.0))

    def test_restarted_daemon_reads_at_once(self):
        fleet = roster.FleetRoster(ids.DaemonId("a"), "10.0.0.1", NORTH, 0.0)
        state = reading.ReadingState(
            ids.DaemonId("a"), NORTH, float("inf"), first_start=False
        )
        self.assertTrue(reading.should_read(state, fleet, 0.0))
