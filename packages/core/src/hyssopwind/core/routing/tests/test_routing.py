import random
import unittest

from hyssopwind.core import ids
from hyssopwind.core.routing import matching
from hyssopwind.core.routing import splitting
from hyssopwind.core.routing import tables


def make_route(name, prefix, host="a.example"):
    part = tables.WeightedService(ids.ServiceId("s"), 1.0)
    return tables.Route(name, host, prefix, True, 1.0, 0.5, 0, 2, (part,))


class MatchingTest(unittest.TestCase):
    def setUp(self):
        self.index = matching.RouteIndex(
            (
                make_route("short", "/a/"),
                make_route("long", "/a/b/"),
                make_route("other", "/a/", host="b.example"),
            )
        )

    def test_longest_prefix_is_found(self):
        self.assertEqual(self.index.find("a.example", "/a/b/c").name, "long")
        self.assertEqual(self.index.find("a.example", "/a/c").name, "short")

    def test_prefix_matches_only_whole_segments(self):
        self.assertIsNone(self.index.find("a.example", "/ab/c"))
        self.assertEqual(self.index.find("a.example", "/a/bc").name, "short")

    def test_host_is_compared_without_case_and_port(self):
        self.assertEqual(self.index.find("B.Example:80", "/a/x").name, "other")

    def test_unknown_host_has_no_route(self):
        self.assertIsNone(self.index.find("c.example", "/a/b/c"))


class SplittingTest(unittest.TestCase):
    def test_few_requests_of_many_daemons_keep_the_shares(self):
        """Fifteen daemons get twenty requests each of a 90 to 10 split."""
        parts = (
            tables.WeightedService(ids.ServiceId("a"), 90),
            tables.WeightedService(ids.ServiceId("b"), 10),
        )
        random_source = random.Random(7)
        chosen = []
        for _ in range(15):
            splitter = splitting.Splitter(random_source)
            chosen += [splitter.choose("r", parts) for _ in range(20)]
        share = chosen.count(ids.ServiceId("b")) / len(chosen)
        self.assertAlmostEqual(share, 0.1, delta=0.05)

    def test_changed_parts_reset_credits(self):
        splitter = splitting.Splitter(random.Random(1))
        first = tables.WeightedService(ids.ServiceId("a"), 1)
        second = tables.WeightedService(ids.ServiceId("b"), 1)
        third = tables.WeightedService(ids.ServiceId("c"), 1)
        splitter.choose("r", (first, second))
        chosen = {splitter.choose("r", (second, third)) for _ in range(4)}
        self.assertEqual(chosen, {"b", "c"})

    def test_part_without_weight_gets_no_requests(self):
        splitter = splitting.Splitter(random.Random(1))
        parts = (
            tables.WeightedService(ids.ServiceId("a"), 1),
            tables.WeightedService(ids.ServiceId("b"), 0),
        )
        chosen = [splitter.choose("r", parts) for _ in range(50)]
        self.assertNotIn("b", chosen)
