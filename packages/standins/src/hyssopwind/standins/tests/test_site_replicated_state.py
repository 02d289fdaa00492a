"""The replicated state: pulls of peers, and servers that are removed."""

import json
import random
import unittest
from unittest import mock

from hyssopwind.core import ids
from hyssopwind.core.discovery import items
from hyssopwind.core.fleet import change_encoding
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.fleet import gossip_messages
from hyssopwind.daemon.gateway import change_transfers
from hyssopwind.daemon.gateway import replicated_state
from hyssopwind.standins.site import documents
from hyssopwind.transport import boot_clock

KEY = "servers/i-1"


class PullTest(unittest.IsolatedAsyncioTestCase):
    """A daemon answers the pulls of other daemons."""

    async def asyncSetUp(self):
        self.platform_state = replicated_state.PlatformState()
        item = items.Item(KEY, b"{}", 5)
        self.platform_state.apply_delta(
            items.Delta((item,), 5, True), boot_clock.now(), "store"
        )
        self.transfers = change_transfers.ChangeTransfers(
            "127.0.0.1",
            self.platform_state,
            fleet_members.MemberList(
                ids.DaemonId("a"), "127.0.0.1", ids.DataCentreId("north"), 0.0
            ),
            mock.AsyncMock(),
            mock.Mock(),
            random.Random(1),
        )

    async def test_daemon_of_an_earlier_release_gets_the_earlier_format(self):
        answer = await self.transfers.answer("/changes?after=0")
        delta, _ = gossip_messages.decode_delta(answer.body)
        self.assertEqual([item.key for item in delta.items], [KEY])

    async def test_malformed_pulls_are_answered_404(self):
        for target in ("/", "/changes", "/changes?after=x", "/changes?after=²"):
            answer = await self.transfers.answer(target)
            self.assertEqual(answer.status, 404, target)

    async def test_values_of_held_that_are_no_revisions_are_ignored(self):
        answer = await self.transfers.answer("/changes?after=0&held=x,,²,5")
        replica = items.ItemReplica()
        delta, _ = change_encoding.decode(answer.body, replica)
        self.assertEqual([item.key for item in delta.items], [KEY])


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
