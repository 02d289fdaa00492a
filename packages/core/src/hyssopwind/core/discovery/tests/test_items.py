import unittest

from hyssopwind.core.discovery import items


def make_item(key, revision, value=b"v"):
    return items.Item(key, value, revision)


class ItemReplicaTest(unittest.TestCase):
    def setUp(self):
        self.replica = items.ItemReplica()
        listing = items.Delta((make_item("a", 3), make_item("b", 5)), 5, True)
        self.replica.apply(listing)

    def test_event_older_than_a_removal_does_not_restore_the_item(self):
        self.replica.apply(items.Delta((items.Item("a", None, 8),), 8, False))
        self.replica.apply(items.Delta((make_item("a", 7),), 7, False))
        self.assertNotIn("a", self.replica.items)
        self.assertEqual(self.replica.revision, 8)

    def test_listing_removes_items_that_it_does_not_contain(self):
        changed = self.replica.apply(items.Delta((make_item("b", 5),), 9, True))
        self.assertEqual(changed, [items.Item("a", None, 9)])

    def test_listing_keeps_items_newer_than_itself(self):
        self.replica.apply(items.Delta((make_item("c", 12),), 12, False))
        self.replica.apply(
            items.Delta((make_item("a", 3), make_item("b", 5)), 9, True)
        )
        self.assertIn("c", self.replica.items)

    def test_delta_brings_a_peer_to_the_current_revision(self):
        peer = items.ItemReplica()
        peer.apply(self.replica.delta_since(0))
        self.replica.apply(items.Delta((items.Item("a", None, 8),), 8, False))
        self.replica.apply(items.Delta((make_item("c", 9),), 9, False))
        peer.apply(self.replica.delta_since(peer.revision))
        self.assertEqual(set(peer.items), {"b", "c"})
        self.assertEqual(peer.revision, 9)

    def test_delta_is_complete_after_tombstones_were_dropped(self):
        removed = [
            items.Item(f"k{number}", None, 10 + number)
            for number in range(items.MAX_TOMBSTONES + 1)
        ]
        self.replica.apply(items.Delta(tuple(removed), 9_999, False))
        self.assertTrue(self.replica.delta_since(5).is_complete)
        self.assertFalse(self.replica.delta_since(5_000).is_complete)


class ListingAfterRestartTest(unittest.TestCase):
    """Items are removed while a daemon that peers pull from restarts."""

    def setUp(self):
        self.peer = items.ItemReplica()
        listing = items.Delta((make_item("a", 3), make_item("b", 5)), 7, True)
        self.peer.apply(listing)
        # "a" was removed at revision 8, while the reader was not running.
        self.reader = items.ItemReplica()
        self.reader.apply(
            items.Delta((make_item("b", 5), make_item("c", 9)), 9, True)
        )

    def test_peer_removes_items_that_were_removed_before_the_listing(self):
        changed = self.peer.apply(self.reader.delta_since(7))
        self.assertEqual(set(self.peer.items), {"b", "c"})
        self.assertEqual(self.peer.revision, 9)
        self.assertIn(items.Item("a", None, 9), changed)

    def test_delta_contains_only_the_keys_of_items_that_the_peer_has(self):
        delta = self.reader.delta_since(7)
        self.assertEqual([item.key for item in delta.items], ["c"])
        self.assertEqual(delta.unchanged_keys, {"b"})

    def test_peer_without_tombstones_sends_a_complete_delta(self):
        self.peer.apply(self.reader.delta_since(7))
        third_replica = items.ItemReplica()
        listing = items.Delta((make_item("b", 5), make_item("d", 8)), 8, True)
        third_replica.apply(listing)
        # "d" was added and removed between revisions 7 and 9 of the peer.
        third_replica.apply(self.peer.delta_since(8))
        self.assertEqual(set(third_replica.items), {"b", "c"})

    def test_delta_after_single_removals_contains_only_the_removals(self):
        self.reader.apply(items.Delta((items.Item("b", None, 11),), 11, False))
        delta = self.reader.delta_since(9)
        self.assertFalse(delta.is_complete)
        self.assertEqual(delta.items, (items.Item("b", None, 11),))

    # A restarted daemon used a server that had been removed, because a delta
    # that a peer had sent earlier arrived after its own listing.
    def test_older_delta_does_not_restore_an_item_removed_before_a_listing(
        self,
    ):
        replica = items.ItemReplica()
        replica.apply(items.Delta((items.Item("b", b"1", 2),), 9, True))
        late_items = (items.Item("a", b"1", 5), items.Item("b", b"1", 2))
        changed = replica.apply(items.Delta(late_items, 8, True))
        self.assertEqual(changed, [])
        self.assertEqual(list(replica.items), ["b"])
