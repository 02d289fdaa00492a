import collections
import random
import unittest

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.discovery import entries
from hyssopwind.core.dispatch import sampling


def make_listed_server(number):
    entry = entries.ServerEntry(
        id=ids.ServerId(f"i-{number}"),
        service=ids.ServiceId("s"),
        address="127.0.0.1:80",
        data_centre=ids.DataCentreId("north"),
        slots=4,
        is_draining=False,
        warmup_left_seconds=0.0,
        started_at_ms=0,
    )
    return catalogue.ListedServer(entry, 0.0, 0.0)


class LargeFleetTest(unittest.TestCase):
    """A hundred daemons with two requests per second, fifteen local servers."""

    def setUp(self):
        self.servers = [make_listed_server(number) for number in range(15)]
        self.daemons = [ids.DaemonId(f"d-{number}") for number in range(100)]

    def test_daemon_probes_same_servers_first(self):
        for daemon in self.daemons:
            forward = sampling.deterministic_subset(daemon, self.servers, 6)
            reverse = sampling.deterministic_subset(
                daemon, self.servers[::-1], 6
            )
            self.assertEqual(len(forward), 6)
            self.assertCountEqual(forward, reverse)

    def test_daemons_differ_so_that_all_servers_are_probed(self):
        probe_counts = collections.Counter()
        for daemon in self.daemons:
            for server in sampling.deterministic_subset(
                daemon, self.servers, 6
            ):
                probe_counts[server.entry.id] += 1
        # 40 daemons for each server on average.
        self.assertEqual(len(probe_counts), 15)
        self.assertGreater(min(probe_counts.values()), 20)
        self.assertLess(max(probe_counts.values()), 60)

    def test_removed_server_changes_one_server_of_subset(self):
        for daemon in self.daemons:
            before = sampling.deterministic_subset(daemon, self.servers, 6)
            after = sampling.deterministic_subset(daemon, self.servers[1:], 6)
            kept = [server for server in before if server in after]
            self.assertGreaterEqual(len(kept), 5)

    def test_few_servers_are_all_probed(self):
        few = self.servers[:3]
        self.assertEqual(
            sampling.deterministic_subset(self.daemons[0], few, 6), few
        )
        self.assertEqual(sampling.random_subset(random.Random(1), few, 6), few)
