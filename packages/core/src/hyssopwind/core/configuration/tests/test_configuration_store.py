import unittest

import hypothesis
from hypothesis import strategies

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core.configuration import configuration_store

VALID = "[data_centres.chicago]\n[services]\n"
INVALID = "[data_centres.chicago]\ncolour = 1\n[services]\n"
STUDIO = ids.TeamId("studio")
OFFICE = ids.TeamId("office")
OFFERS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 12),
        strategies.sampled_from([VALID, INVALID, None]),
    )
)


def make_document(team, revision, text=VALID):
    return configuration_store.TeamDocument(team, revision, text)


class ConfigurationStoreTest(unittest.TestCase):
    def setUp(self):
        self.monitor = invariants.InvariantMonitor()
        self.store = configuration_store.ConfigurationStore(self.monitor)

    def test_invalid_document_of_one_team_does_not_affect_others(self):
        self.store.offer(make_document(STUDIO, 1))
        self.store.offer(make_document(OFFICE, 2))
        result = self.store.offer(make_document(STUDIO, 3, INVALID))
        self.assertIs(result, configuration_store.OfferResult.REJECTED)
        self.assertEqual(self.store.teams[STUDIO].in_force.revision, 1)
        self.assertEqual(len(self.store.teams[STUDIO].findings), 1)
        self.assertEqual(self.store.teams[OFFICE].in_force.revision, 2)

    def test_stale_listing_changes_nothing(self):
        self.store.offer(make_document(STUDIO, 9))
        self.store.offer_listing([make_document(STUDIO, 4)], revision=5)
        self.store.offer_listing([], revision=5)
        self.assertEqual(self.store.teams[STUDIO].in_force.revision, 9)

    def test_newer_listing_without_a_team_deletes_its_settings(self):
        self.store.offer(make_document(STUDIO, 9))
        self.store.offer_listing([], revision=10)
        self.assertIsNone(self.store.teams[STUDIO].settings)

    # It counted as deleted, and its settings were no longer in force.
    def test_team_whose_entry_cannot_be_read_stays_in_force(self):
        self.store.offer(make_document(STUDIO, 9))
        self.store.offer_listing([], 10, {STUDIO})
        self.assertIsNotNone(self.store.teams[STUDIO].settings)

    def test_valid_document_older_than_a_rejected_one_comes_into_force(self):
        self.store.offer(make_document(STUDIO, 7, INVALID))
        self.store.offer(make_document(STUDIO, 5))
        self.assertEqual(self.store.teams[STUDIO].in_force.revision, 5)
        self.assertEqual(self.store.teams[STUDIO].latest.revision, 7)

    def test_documents_newer_than_returns_those_in_force_and_rejected(self):
        self.store.offer(make_document(STUDIO, 5))
        self.store.offer(make_document(STUDIO, 7, INVALID))
        revisions = [d.revision for d in self.store.documents_newer_than({})]
        self.assertEqual(revisions, [5, 7])
        self.assertEqual(self.store.documents_newer_than({"studio": 7}), [])

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(OFFERS)
    def test_result_does_not_depend_on_the_order_of_offers(self, offers):
        by_revision = dict(offers)
        offers = list(by_revision.items())
        ascending = configuration_store.ConfigurationStore(self.monitor)
        descending = configuration_store.ConfigurationStore(self.monitor)
        for revision, text in sorted(offers):
            ascending.offer(make_document(STUDIO, revision, text))
        for revision, text in sorted(offers, reverse=True):
            descending.offer(make_document(STUDIO, revision, text))
        self.assertEqual(ascending.teams, descending.teams)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(OFFERS)
    def test_revision_in_force_never_decreases(self, offers):
        team_store = configuration_store.ConfigurationStore(self.monitor)
        previous = 0
        for revision, text in offers:
            team_store.offer(make_document(STUDIO, revision, text))
            state = team_store.teams[STUDIO]
            current = state.in_force.revision if state.in_force else 0
            self.assertGreaterEqual(current, previous)
            previous = current


if __name__ == "__main__":
    unittest.main()
