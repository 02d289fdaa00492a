import unittest

from hyssopwind.core.discovery import items


def put(key, revision, value=b"v"):
    return items.Item(key, value, revision)


class ItemCopyTest(unittest.TestCase):
    def setUp(self):
        self.copy = items.ItemCopy()
        listing = items.Delta((put("a", 3), put("b", 5)), 5, True)
        self.copy.apply(listing)

    def test_older_event_does_not_bring_an_item_back(self):
        self.copy.apply(items.Delta((items.Item("a", None, 8),), 8, False))
        self.copy.apply(items.Delta((put("a", 7),), 7, False))
        self.assertNotIn("a", self.copy.items)
        self.assertEqual(self.copy.revision, 8)

    def test_listing_removes_what_it_lacks(self):
        changed = self.copy.apply(items.Delta((put("b", 5),), 9, True))
        self.assertEqual(changed, [items.Item("a", None, 9)])

    def test_listing_keeps_what_is_newer_than_itself(self):
        self.copy.apply(items.Delta((put("c", 12),), 12, False))
        self.copy.apply(items.Delta((put("a", 3), put("b", 5)), 9, True))
        self.assertIn("c", self.copy.items)

    def test_delta_brings_a_peer_up_to_date(self):
        peer = items.ItemCopy()
        peer.apply(self.copy.delta_since(0))
        self.copy.apply(items.Delta((items.Item("a", None, 8),), 8, False))
        self.copy.apply(items.Delta((put("c", 9),), 9, False))
        peer.apply(self.copy.delta_since(peer.revision))
        self.assertEqual(set(peer.items), {"b", "c"})
        self.assertEqual(peer.revision, 9)

    def test_forgotten_removals_make_the_delta_complete(self):
        removed = [
            items.Item(f"k{number}", None, 10 + number)
            for number in range(items.MAX_TOMBSTONES + 1)
        ]
        self.copy.apply(items.Delta(tuple(removed), 9_999, False))
        self.assertTrue(self.copy.delta_since(5).complete)
        self.assertFalse(self.copy.delta_since(5_000).complete)


class RestartedReaderTest(unittest.TestCase):
    """Servers leave while a daemon that others pull from starts anew."""

    def setUp(self):
        self.peer = items.ItemCopy()
        listing = items.Delta((put("a", 3), put("b", 5)), 7, True)
        self.peer.apply(listing)
        # "a" was removed at 8, when the reader was not running.
        self.reader = items.ItemCopy()
        self.reader.apply(items.Delta((put("b", 5), put("c", 9)), 9, True))

    def test_peer_drops_what_left_before_the_reader_listed(self):
        changed = self.peer.apply(self.reader.delta_since(7))
        self.assertEqual(set(self.peer.items), {"b", "c"})
        self.assertEqual(self.peer.revision, 9)
        self.assertIn(items.Item("a", None, 9), changed)

    def test_items_that_the_peer_has_are_named_only(self):
        delta = self.reader.delta_since(7)
        self.assertEqual([item.key for item in delta.items], ["c"])
        self.assertEqual(delta.kept, {"b"})

    def test_peer_passes_on_that_it_may_miss_removals(self):
        self.peer.apply(self.reader.delta_since(7))
        other = items.ItemCopy()
        listing = items.Delta((put("b", 5), put("d", 8)), 8, True)
        other.apply(listing)
        # "d" came and went between the two revisions of the peer.
        other.apply(self.peer.delta_since(8))
        self.assertEqual(set(other.items), {"b", "c"})

    def test_removals_seen_one_by_one_are_sent_alone(self):
        self.reader.apply(items.Delta((items.Item("b", None, 11),), 11, False))
        delta = self.reader.delta_since(9)
        self.assertFalse(delta.complete)
        self.assertEqual(delta.items, (items.Item("b", None, 11),))
