import unittest

from hyssopwind.core.discovery import items
from hyssopwind.core.discovery import positions


def make_delta(revision, era=None, *, is_complete=False):
    item = items.Item("a", b"1", revision)
    return items.Delta((item,), revision, is_complete, era=era)


class PositionTest(unittest.TestCase):
    def setUp(self):
        era = positions.era_of_platform(3)
        self.position = positions.make_position(era, 900)

    def test_changes_of_the_same_era_get_its_positions(self):
        for era in (3, None):
            located = positions.locate_changes(
                self.position, make_delta(901, era)
            )
            self.assertEqual(located.revision, self.position + 1)
            self.assertEqual(located.items[0].revision, self.position + 1)

    def test_changes_of_a_later_era_need_a_listing(self):
        with self.assertRaises(positions.PlatformRestoredError):
            positions.locate_changes(self.position, make_delta(901, 4))

    def test_changes_before_the_position_need_a_listing(self):
        with self.assertRaises(positions.PlatformRestoredError):
            positions.locate_changes(self.position, make_delta(899))

    def test_answer_of_an_earlier_era_is_rejected(self):
        for locate in (positions.locate_changes, positions.locate_listing):
            with self.assertRaises(positions.EarlierEraError):
                locate(self.position, make_delta(950, 2))

    def test_listing_of_a_later_era_is_after_the_position(self):
        located = positions.locate_listing(self.position, make_delta(10, 4))
        self.assertGreater(located.revision, self.position)
        self.assertEqual(positions.stated_era(located.revision), 4)

    def test_listing_with_an_earlier_revision_begins_an_era(self):
        located = positions.locate_listing(self.position, make_delta(10))
        self.assertGreater(located.revision, self.position)
        self.assertEqual(positions.stated_era(located.revision), 3)
        self.assertEqual(positions.revision_of(located.revision), 10)
        later = positions.locate_listing(located.revision, make_delta(12))
        self.assertEqual(later.revision, located.revision + 2)

    def test_platform_without_eras_keeps_its_revisions(self):
        delta = make_delta(7)
        self.assertEqual(positions.locate_listing(5, delta), delta)


class MissedItemTest(unittest.TestCase):
    def setUp(self):
        self.replica = items.ItemReplica()
        self.replica.apply(items.Delta((items.Item("a", b"1", 2),), 9, True))

    # An item that a listing had was taken for one that had been removed.
    def test_listing_restores_an_item_that_was_missed(self):
        missed = items.Item("b", b"2", 4)
        listing = items.Delta((items.Item("a", b"1", 2), missed), 9, True)
        self.assertEqual(items.missed_keys(self.replica, listing), ["b"])
        self.assertEqual(self.replica.apply(listing), [missed])

    def test_older_listing_restores_nothing(self):
        missed = items.Item("b", b"2", 4)
        listing = items.Delta((items.Item("a", b"1", 2), missed), 8, True)
        self.assertEqual(items.missed_keys(self.replica, listing), [])
        self.assertEqual(self.replica.apply(listing), [])

    def test_digest_depends_on_the_items_and_not_on_their_order(self):
        other = items.ItemReplica()
        for key, revision in (("a", 1), ("a", 2), ("b", 3)):
            item = items.Item(key, b"x", revision)
            other.apply(items.Delta((item,), revision, False))
        self.assertNotEqual(other.digest, self.replica.digest)
        other.apply(items.Delta((items.Item("b", None, 4),), 9, False))
        self.assertEqual(other.digest, self.replica.digest)


if __name__ == "__main__":
    unittest.main()
