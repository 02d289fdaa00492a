import functools
import statistics
import unittest

from hyssopwind.standins.virtual import comparison

SEEDS = (1, 2, 3)
SECONDS = comparison.MEASURED_SECONDS
MAX_P99_RATIO = 0.75  # of the p99 with own counts
MAX_WAITED_RATIO = 0.1  # of the selections, at light load


@functools.cache
def measure(size, load_ratio, seed, policy):
    plan = comparison.ComparisonPlan(size, load_ratio, SECONDS, seed)
    return comparison.measure(plan, comparison.CLIENT_FACTORIES[policy])


class ComparisonTest(unittest.TestCase):
    """Compares pool owners with own counts; one server at a time is slow."""

    def assert_lower_tail(self, size, load_ratio):
        ratios = []
        for seed in SEEDS:
            own_counts = measure(size, load_ratio, seed, "own counts")
            pool_owner = measure(size, load_ratio, seed, "pool owner")
            self.assertEqual(pool_owner.answered_count, pool_owner.call_count)
            ratios.append(pool_owner.p99_seconds / own_counts.p99_seconds)
        self.assertLessEqual(statistics.median(ratios), MAX_P99_RATIO)

    def assert_few_selections_wait(self, size):
        waited = [
            measure(size, 0.15, seed, "pool owner").admission_request_ratio
            for seed in SEEDS
        ]
        self.assertLessEqual(statistics.median(waited), MAX_WAITED_RATIO)

    def test_tail_is_lower_for_marchetti_at_70_percent_load(self):
        self.assert_lower_tail(comparison.MARCHETTI, 0.7)

    def test_tail_is_lower_for_marchetti_at_60_percent_load(self):
        self.assert_lower_tail(comparison.MARCHETTI, 0.6)

    def test_tail_is_lower_for_chimborazo_at_70_percent_load(self):
        self.assert_lower_tail(comparison.CHIMBORAZO, 0.7)

    def test_tail_is_lower_for_chimborazo_at_60_percent_load(self):
        self.assert_lower_tail(comparison.CHIMBORAZO, 0.6)

    def test_few_selections_wait_at_light_load(self):
        for size in (comparison.MARCHETTI, comparison.CHIMBORAZO):
            with self.subTest(size=size.name):
                self.assert_few_selections_wait(size)


if __name__ == "__main__":
    unittest.main()
