import unittest

import hypothesis
from hypothesis import strategies

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core.configuration import store

GOOD = "[data_centres.chicago]\n[services]\n"
BAD = "[data_centres.chicago]\ncolour = 1\n[services]\n"
STUDIO = ids.TeamId("studio")
OFFICE = ids.TeamId("office")
OFFERS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 12),
        strategies.sampled_from([GOOD, BAD, None]),
    )
)


def document(team, revision, text=GOOD):
    return store.TeamDocument(team, revision, text)


class ConfigurationStoreTest(unittest.TestCase):
    def setUp(self):
        self.monitor = invariants.InvariantMonitor()
        self.store = store.ConfigurationStore(self.monitor)

    def test_mistake_of_one_team_leaves_the_others_alone(self):
        self.store.offer(document(STUDIO, 1))
        self.store.offer(document(OFFICE, 2))
        verdict = self.store.offer(document(STUDIO, 3, BAD))
        self.assertIs(verdict, store.Verdict.REJECTED)
        self.assertEqual(self.store.teams[STUDIO].in_force.revision, 1)
        self.assertEqual(len(self.store.teams[STUDIO].findings), 1)
        self.assertEqual(self.store.teams[OFFICE].in_force.revision, 2)

    def test_stale_listing_changes_nothing(self):
        self.store.offer(document(STUDIO, 9))
        self.store.offer_listing([document(STUDIO, 4)], revision=5)
        self.store.offer_listing([], revision=5)
        self.assertEqual(self.store.teams[STUDIO].in_force.revision, 9)

    def test_newer_listing_without_a_team_deletes_it(self):
        self.store.offer(document(STUDIO, 9))
        self.store.offer_listing([], revision=10)
        self.assertIsNone(self.store.teams[STUDIO].settings)

    def test_good_document_below_a_rejected_one_comes_into_force(self):
        self.store.offer(document(STUDIO, 7, BAD))
        self.store.offer(document(STUDIO, 5))
        self.assertEqual(self.store.teams[STUDIO].in_force.revision, 5)
        self.assertEqual(self.store.teams[STUDIO].latest.revision, 7)

    def test_newer_than_gives_the_rejected_and_the_one_in_force(self):
        self.store.offer(document(STUDIO, 5))
        self.store.offer(document(STUDIO, 7, BAD))
        revisions = [d.revision for d in self.store.newer_than({})]
        self.assertEqual(revisions, [5, 7])
        self.assertEqual(self.store.newer_than({"studio": 7}), [])

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(OFFERS)
    def test_order_of_arrival_does_not_matter(self, offers):
        by_revision = dict(offers)
        offers = list(by_revision.items())
        one = store.ConfigurationStore(self.monitor)
        other = store.ConfigurationStore(self.monitor)
        for revision, text in sorted(offers):
            one.offer(document(STUDIO, revision, text))
        for revision, text in sorted(offers, reverse=True):
            other.offer(document(STUDIO, revision, text))
        self.assertEqual(one.teams, other.teams)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(OFFERS)
    def test_revision_in_force_never_goes_back(self, offers):
        kept = store.ConfigurationStore(self.monitor)
        last = 0
        for revision, text in offers:
            kept.offer(document(STUDIO, revision, text))
            state = kept.teams[STUDIO]
            present = state.in_force.revision if state.in_force else 0
            self.assertGreaterEqual(present, last)
            last = present


if __name__ == "__main__":
    unittest.main()
