import json
import unittest
from unittest import mock

from hyssopwind.core.discovery import items
from hyssopwind.daemon.gateway import knowledge
from hyssopwind.standins.site import documents
from hyssopwind.transport import clock

KEY = "servers/i-1"


class LeavingServerTest(unittest.IsolatedAsyncioTestCase):
    """An entry disappears: has the server left, or could it not report?"""

    def setUp(self):
        self.now = 100.0
        patch = mock.patch.object(clock, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)

    async def asyncSetUp(self):
        self.known = knowledge.Knowledge()
        entry = documents.server_entry("127.0.0.1:80")
        item = items.Item(KEY, json.dumps(entry).encode(), 5)
        self.known.take(items.Delta((item,), 5, True), self.now, "store")

    def remove_after(self, age):
        self.now += age
        gone = items.Item(KEY, None, 6)
        self.known.take(items.Delta((gone,), 6, False), self.now, "store")
        return [e.entry.id for e in self.known.catalogue.usable("s", self.now)]

    async def test_is_gone_at_once_on_a_calm_day(self):
        """Copies are up to two seconds old while nothing changes."""
        self.assertEqual(self.remove_after(1.9), [])

    async def test_stays_for_a_while_after_an_outage(self):
        self.assertEqual(self.remove_after(4.5), ["i-1"])
        self.now += 2.6
        self.known.expire()
        self.assertEqual(self.known.catalogue.size, 0)
