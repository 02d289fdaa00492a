"""Removal of servers from the replicated state, with and without an outage."""

import json
import unittest
from unittest import mock

from hyssopwind.core.discovery import items
from hyssopwind.daemon.gateway import replicated_state
from hyssopwind.standins.site import documents
from hyssopwind.transport import boot_clock

KEY = "servers/i-1"


class RemovedServerTest(unittest.IsolatedAsyncioTestCase):
    """A server is removed from the store, on purpose or by an outage."""

    def setUp(self):
        self.now = 100.0
        patch = mock.patch.object(boot_clock, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)

    async def asyncSetUp(self):
        self.platform_state = replicated_state.PlatformState()
        entry = documents.make_server_entry("127.0.0.1:80")
        item = items.Item(KEY, json.dumps(entry).encode(), 5)
        self.platform_state.apply_delta(
            items.Delta((item,), 5, True), self.now, "store"
        )

    def remove_after(self, seconds):
        self.now += seconds
        removal = items.Item(KEY, None, 6)
        self.platform_state.apply_delta(
            items.Delta((removal,), 6, False), self.now, "store"
        )
        return [
            listed_server.entry.id
            for listed_server in self.platform_state.catalogue.usable_servers(
                "s", self.now
            )
        ]

    async def test_removed_server_is_dropped_at_once_without_an_outage(self):
        """A replica may be up to two seconds old without an outage."""
        self.assertEqual(self.remove_after(1.9), [])

    async def test_removed_server_is_kept_for_some_time_after_an_outage(self):
        self.assertEqual(self.remove_after(4.5), ["i-1"])
        self.now += 2.6
        self.platform_state.expire()
        self.assertEqual(self.platform_state.catalogue.server_count, 0)
