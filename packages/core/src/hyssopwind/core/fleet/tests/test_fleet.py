import unittest

from hyssopwind.core import ids
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.fleet import gossip_messages
from hyssopwind.core.fleet import reader_selection

NORTH = ids.DataCentreId("north")
SOUTH = ids.DataCentreId("south")


def make_heartbeat(name, data_centre=NORTH, **changes):
    values = {
        "revision": 1,
        "age_ms": 0,
        "has_store_access": True,
        "is_leaving": False,
        "member_digest": 0,
        **changes,
    }
    return gossip_messages.Heartbeat(
        name, f"10.0.0.{ord(name)}", data_centre, **values
    )


def make_member_list(own, others, now=0.0):
    member_list = fleet_members.MemberList(
        ids.DaemonId(own), "10.0.0.1", NORTH, now
    )
    for name in others:
        member_list.handle_heartbeat(make_heartbeat(name), now)
    return member_list


class MemberListTest(unittest.TestCase):
    def test_all_daemons_agree_on_the_leader(self):
        names = "abcdef"
        leaders = set()
        for own in names:
            member_list = make_member_list(own, names.replace(own, ""))
            leaders.add(member_list.ranked_daemons(NORTH)[0].name)
        self.assertEqual(len(leaders), 1)

    # A daemon on a link of 10 Mbit/s read and passed on a large configuration
    # while others of its data centre had 200 Mbit/s.
    def test_daemon_with_the_widest_link_leads(self):
        for own in "abcd":
            member_list = make_member_list(own, "")
            for name in "abcd":
                link_mbps = 200 if name == "c" else 10
                member_list.handle_heartbeat(
                    make_heartbeat(name, link_mbps=link_mbps), 0.0
                )
            if own == "c":
                continue
            ranked = [p.name for p in member_list.ranked_daemons(NORTH)]
            self.assertEqual(ranked[0], "c")

    # The leaders of other data centres sent their heartbeats to a killed leader
    # for 12 s and not to its successor.
    def test_remote_leader_that_is_silent_is_replaced(self):
        member_list = make_member_list("a", "")
        for name, link_mbps in (("b", 10), ("c", 200)):
            heartbeat = make_heartbeat(name, SOUTH, link_mbps=link_mbps)
            member_list.handle_heartbeat(heartbeat, 0.0)
        member_list.handle_heartbeat(
            make_heartbeat("b", SOUTH, link_mbps=10), 3.0
        )
        for now, expected in ((1.0, "c"), (3.0, "b"), (9.0, "c")):
            leaders = [p.name for p in member_list.remote_leaders(now)]
            self.assertEqual(leaders, [expected])

    def test_pages_carry_the_widths_of_links(self):
        sender = make_member_list("a", "")
        sender.handle_heartbeat(make_heartbeat("b", link_mbps=100), 0.0)
        members = sender.list_members(0.0, local_only=True)
        page = gossip_messages.MemberListPage(
            "a", members, sender.link_widths(members)
        )
        receiver = make_member_list("c", "")
        receiver.handle_member_list_page(page, 0.0)
        self.assertEqual(receiver.find(ids.DaemonId("b")).link_mbps, 100)

    def test_next_in_rank_leads_after_the_leader_stops_sending_heartbeats(self):
        first, second = self.first_two_in_rank("abc")
        member_list = make_member_list(second, "abc".replace(second, ""))
        self.assertFalse(member_list.is_leader(0.5))
        self.assertTrue(
            member_list.is_leader(fleet_members.SUSPECT_AFTER_SECONDS + 0.1)
        )

    def test_leaving_leader_is_replaced_at_once(self):
        first, second = self.first_two_in_rank("abc")
        member_list = make_member_list(second, "abc".replace(second, ""))
        member_list.handle_heartbeat(
            make_heartbeat(first, is_leaving=True), 0.1
        )
        self.assertTrue(member_list.is_leader(0.1))

    def test_fleet_size_includes_recently_removed_daemons(self):
        """Daemons that are cut off may still send their share of probes."""
        member_list = make_member_list("a", "bcd")
        member_list.remove_expired(fleet_members.LOCAL_EXPIRY_SECONDS + 1.0)
        self.assertEqual(list(member_list.peers()), [])
        self.assertEqual(member_list.fleet_size(), 4)

    def test_only_recent_members_of_a_received_page_are_added(self):
        member_list = make_member_list("a", "")
        members = [
            gossip_messages.Member("b", "10.0.0.2", NORTH, 500),
            gossip_messages.Member("c", "10.0.0.3", NORTH, 60_000),
            gossip_messages.Member("a", "10.0.0.1", NORTH, 0),
        ]
        member_list.handle_member_list_page(
            gossip_messages.MemberListPage("b", members), 1.0
        )
        self.assertEqual([p.name for p in member_list.peers()], ["b"])

    def test_daemon_ids_of_a_data_centre_without_daemons_are_all_ids(self):
        member_list = make_member_list("a", "b")
        self.assertEqual(set(member_list.daemon_ids(SOUTH)), {"a", "b"})

    def first_two_in_rank(self, names):
        member_list = make_member_list(names[0], names[1:])
        return [peer.name for peer in member_list.ranked_daemons(NORTH)][:2]


class DigestTest(unittest.TestCase):
    """A heartbeat of the leader confirms all daemons by their digest."""

    def setUp(self):
        member_list = make_member_list("a", "bc")
        leader, own, other = [
            peer.name for peer in member_list.ranked_daemons(NORTH)
        ]
        self.leader, self.other = leader, other
        self.member_list = make_member_list(own, [leader, other])

    def receive_heartbeat(self, name, now, digest):
        self.member_list.handle_heartbeat(
            make_heartbeat(name, member_digest=digest), now
        )
        self.member_list.remove_expired(now)

    def peer_names(self):
        return {peer.name for peer in self.member_list.peers()}

    def test_equal_digest_of_the_leader_confirms_all_daemons(self):
        for step in range(1, 21):
            self.receive_heartbeat(
                self.leader, 0.5 * step, self.member_list.digest()
            )
        self.assertEqual(self.peer_names(), {self.leader, self.other})

    def test_different_digest_of_the_leader_confirms_no_other_daemon(self):
        for step in range(1, 21):
            self.receive_heartbeat(self.leader, 0.5 * step, 7)
        self.assertEqual(self.peer_names(), {self.leader})

    def test_equal_digest_of_another_daemon_confirms_no_other_daemon(self):
        for step in range(1, 21):
            digest = self.member_list.digest()
            self.receive_heartbeat(self.leader, 0.5 * step, 7)
            self.receive_heartbeat(self.other, 0.5 * step, digest)
        self.member_list.handle_heartbeat(make_heartbeat("z"), 10.0)
        for step in range(21, 41):
            digest = self.member_list.digest()
            self.receive_heartbeat(self.leader, 0.5 * step, 7)
            self.receive_heartbeat(self.other, 0.5 * step, digest)
        self.assertEqual(self.peer_names(), {self.leader, self.other})

    def test_digest_does_not_depend_on_the_order_of_heartbeats(self):
        ascending = make_member_list("a", "bcd")
        descending = make_member_list("a", "dcb")
        self.assertEqual(ascending.digest(), descending.digest())
        descending.handle_heartbeat(make_heartbeat("d", is_leaving=True), 0.1)
        self.assertNotEqual(ascending.digest(), descending.digest())

    def test_peers_with_other_digest_excludes_peers_with_an_equal_one(self):
        member_list = make_member_list("a", "bc")
        member_list.handle_heartbeat(
            make_heartbeat("b", member_digest=member_list.digest()), 0.1
        )
        self.assertEqual(
            [p.name for p in member_list.peers_with_other_digest()], ["c"]
        )


class ReaderSelectionTest(unittest.TestCase):
    def setUp(self):
        member_list = make_member_list("a", "bcdef")
        self.ranked = [peer.name for peer in member_list.ranked_daemons(NORTH)]

    def should_read(self, name, now, age, member_list=None):
        if member_list is None:
            member_list = make_member_list(name, "abcdef".replace(name, ""))
            for peer in member_list.local_peers():
                peer.last_heartbeat_at = now
        state = reader_selection.ReaderState(name, NORTH, age)
        return reader_selection.should_read(state, member_list, now)

    def test_only_the_leader_reads_in_normal_operation(self):
        readers = [n for n in self.ranked if self.should_read(n, 20.0, 0.8)]
        self.assertEqual(readers, self.ranked[:1])

    def test_next_in_rank_reads_when_the_leader_sends_no_heartbeats(self):
        name = self.ranked[1]
        member_list = make_member_list(name, "abcdef".replace(name, ""))
        for peer in member_list.local_peers():
            peer.last_heartbeat_at = 20.0
        leader = [
            p for p in member_list.local_peers() if p.name == self.ranked[0]
        ][0]
        leader.last_heartbeat_at = (
            20.0 - fleet_members.SUSPECT_AFTER_SECONDS - 0.1
        )
        self.assertTrue(self.should_read(name, 20.0, 0.8, member_list))

    def test_next_in_rank_reads_when_calls_of_the_leader_fail(self):
        name = self.ranked[1]
        member_list = make_member_list(name, "abcdef".replace(name, ""))
        for peer in member_list.local_peers():
            peer.last_heartbeat_at = 20.0
            peer.has_store_access = peer.name != self.ranked[0]
        self.assertTrue(self.should_read(name, 20.0, 0.8, member_list))

    def test_every_daemon_reads_in_time_when_no_replica_is_confirmed(self):
        """Draining and configuration must take effect within two seconds."""
        for name in self.ranked:
            with self.subTest(name=name):
                age = (
                    reader_selection.MAX_REPLICA_AGE_SECONDS
                    + reader_selection.MAX_RANK_DELAY_SECONDS
                    + 0.01
                )
                self.assertTrue(self.should_read(name, 20.0, age))

    def test_daemons_read_sooner_when_changes_must_take_effect_sooner(self):
        name = self.ranked[-1]
        member_list = make_member_list(name, "abcdef".replace(name, ""))
        for peer in member_list.local_peers():
            peer.last_heartbeat_at = 20.0
        delay = reader_selection.MAX_RANK_DELAY_SECONDS
        state = reader_selection.ReaderState(
            name, NORTH, 0.9 + delay, change_bound_seconds=1.0
        )
        self.assertTrue(reader_selection.should_read(state, member_list, 20.0))

    def test_restarted_daemon_reads_at_once(self):
        member_list = fleet_members.MemberList(
            ids.DaemonId("a"), "10.0.0.1", NORTH, 0.0
        )
        state = reader_selection.ReaderState(
            ids.DaemonId("a"), NORTH, float("inf"), first_start=False
        )
        self.assertTrue(reader_selection.should_read(state, member_list, 0.0))
