import collections
import random
import unittest

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.discovery import entries
from hyssopwind.core.dispatch import sampling


def listed(number):
    entry = entries.ServerEntry(
        id=ids.ServerId(f"i-{number}"),
        service=ids.ServiceId("s"),
        address="127.0.0.1:80",
        data_centre=ids.DataCentreId("north"),
        slots=4,
        draining=False,
        warmup_left=0.0,
        started=0,
    )
    return catalogue.Listed(entry, 0.0, 0.0)


class LargeFleetTest(unittest.TestCase):
    """A hundred daemons with two requests a second, fifteen servers near."""

    def setUp(self):
        self.servers = [listed(number) for number in range(15)]
        self.daemons = [ids.DaemonId(f"d-{number}") for number in range(100)]

    def test_daemon_asks_the_same_servers_first(self):
        for daemon in self.daemons:
            first = sampling.usual(daemon, self.servers, 6)
            again = sampling.usual(daemon, self.servers[::-1], 6)
            self.assertEqual(len(first), 6)
            self.assertCountEqual(first, again)

    def test_daemons_differ_so_that_all_servers_are_asked(self):
        asked = collections.Counter()
        for daemon in self.daemons:
            for server in sampling.usual(daemon, self.servers, 6):
                asked[server.entry.id] += 1
        # 40 daemons for each server on average.
        self.assertEqual(len(asked), 15)
        self.assertGreater(min(asked.values()), 20)
        self.assertLess(max(asked.values()), 60)

    def test_one_server_that_leaves_changes_one_place(self):
        for daemon in self.daemons:
            before = sampling.usual(daemon, self.servers, 6)
            after = sampling.usual(daemon, self.servers[1:], 6)
            kept = [server for server in before if server in after]
            self.assertGreaterEqual(len(kept), 5)

    def test_few_servers_are_all_asked(self):
        few = self.servers[:3]
        self.assertEqual(sampling.usual(self.daemons[0], few, 6), few)
        self.assertEqual(sampling.draw(random.Random(1), few, 6), few)
