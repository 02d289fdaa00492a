"""The replicated state: pulls of peers, and servers that are removed."""

import asyncio
import json
import random
import unittest
from unittest import mock

from hyssopwind.core import ids
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.discovery import items
from hyssopwind.core.fleet import change_encoding
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.fleet import gossip_messages
from hyssopwind.daemon.gateway import change_transfers
from hyssopwind.daemon.gateway import replicated_state
from hyssopwind.standins.site import documents
from hyssopwind.transport import answers
from hyssopwind.transport import boot_clock
from hyssopwind.transport import connection
from hyssopwind.transport import heads

RUNS_ALONE = True  # real sockets and times

KEY = "servers/i-1"


def make_configuration(content):
    """Returns a document of the configuration that contains any text."""
    return json.dumps(
        {"version": 1, "resources": [], "comment": content}
    ).encode()


class PullTest(unittest.IsolatedAsyncioTestCase):
    """A daemon answers the pulls of other daemons."""

    async def asyncSetUp(self):
        self.platform_state = replicated_state.PlatformState()
        item = items.Item(KEY, b"{}", 5)
        self.platform_state.apply_delta(
            items.Delta((item,), 5, True), boot_clock.now(), "store"
        )
        self.fetch = mock.AsyncMock()
        self.member_list = fleet_members.MemberList(
            ids.DaemonId("a"), "127.0.0.1", ids.DataCentreId("north"), 0.0
        )
        self.transfers = change_transfers.ChangeTransfers(
            "127.0.0.1",
            self.platform_state,
            self.member_list,
            self.fetch,
            mock.Mock(),
            random.Random(1),
        )

    # A daemon asked a dead peer several hundred times a second while no other
    # peer had announced the revision.
    async def test_only_peer_is_asked_again_after_a_pause(self):
        self.fetch.side_effect = connection.ExchangeError(
            attempt_results.FailureKind.TIMED_OUT, "refused"
        )
        self.transfers.handle_announcement("127.0.0.2", 7)
        await asyncio.sleep(0.3)
        self.transfers.stop()
        self.assertIn(self.fetch.call_count, range(2, 8))

    # A pull that ended with an unexpected error counted as running for ever;
    # after two of them a daemon pulled nothing any more.
    async def test_pulls_continue_after_an_unexpected_error(self):
        self.fetch.side_effect = RuntimeError
        self.transfers.handle_announcement("127.0.0.2", 7)
        await asyncio.sleep(0.3)
        self.transfers.stop()
        self.assertIn(self.fetch.call_count, range(2, 8))

    def make_answer(self, status, body):
        fields = heads.new_fields()
        fields["Content-Type"] = change_transfers.COMPACT_TYPE
        return answers.Answer(status, fields, body, may_reuse_connection=True)

    # A busy peer counted as failed, and was asked last for a second, if its
    # patch did not fit the replica any more.
    async def test_busy_peer_is_asked_again_after_a_patch_that_does_not_fit(
        self,
    ):
        text = "0" * 10_000
        held = items.Item("op/config", make_configuration(text), 6)
        self.platform_state.apply_delta(
            items.Delta((held,), 6, False), boot_clock.now(), "store"
        )
        source = items.ItemReplica()
        for revision, item_text in ((5, text[1:]), (7, text[2:])):
            value = make_configuration(item_text)
            item = items.Item("op/config", value, revision)
            source.apply(items.Delta((item,), revision, False))
        encoder = change_encoding.ChangeEncoder(source)
        self.fetch.side_effect = [
            self.make_answer(200, encoder.encode(6, [5], 0)),
            self.make_answer(503, b""),
            self.make_answer(200, encoder.encode(6, [], 0)),
        ]
        self.transfers.handle_announcement("127.0.0.2", 7)
        await asyncio.sleep(0.2)
        self.transfers.stop()
        self.assertEqual(self.transfers.counts["failed"], 0)
        self.assertEqual(self.platform_state.replica.revision, 7)

    def add_peer(self, ip, data_centre="north", *, is_leaving=False):
        heartbeat = gossip_messages.Heartbeat(
            ip, ip, data_centre, 6, 0, True, is_leaving, 0
        )
        self.member_list.handle_heartbeat(heartbeat, 0.0)
        self.transfers.handle_announcement(ip, 6)

    async def pull_large_change(self):
        """Pulls as three daemons; returns the locations of their answers."""
        value = make_configuration(random.Random(1).randbytes(20_000).hex())
        self.platform_state.apply_delta(
            items.Delta((items.Item("op/config", value, 6),), 6, False),
            boot_clock.now(),
            "store",
        )
        found = []
        for number in range(3):
            answer = await self.transfers.answer(
                f"/changes?after=0&held=&ip=127.0.1.{number}"
            )
            found.append(dict(answer.headers).get("Location"))
        return found

    async def test_waiting_daemon_is_referred_to_a_peer(self):
        self.add_peer("127.0.0.2")
        found = await self.pull_large_change()
        self.assertEqual(found[-1], "//127.0.0.2/changes")

    # Daemons that waited for a large change were referred to peers that were
    # stopping or no longer there, and to the leaders of other data centres.
    async def test_no_daemon_is_referred_to_a_peer_that_cannot_serve_it(self):
        self.add_peer("127.0.0.2", is_leaving=True)
        self.add_peer("127.0.0.3", "south")
        self.add_peer("127.0.0.4")
        self.member_list.remove_expired(60.0)
        self.transfers.drop_dead_peers()
        self.assertEqual(await self.pull_large_change(), [None] * 3)

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
