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
