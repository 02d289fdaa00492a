"""Tests of the client that hands requests to peers."""

import random
import types
import unittest
from unittest import mock

import multidict

from hyssopwind.core.fleet import handovers
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.daemon.gateway import handover_client
from hyssopwind.transport import boot_clock


class HandOverTest(unittest.IsolatedAsyncioTestCase):
    async def test_key_is_checked_after_the_connection(self) -> None:
        """Guards against sending a key revoked while a peer was connected."""
        settings = mock.Mock(
            memory_bytes=1_000_000, peers_address="127.0.0.1:1"
        )
        settings.name = "d"
        client = handover_client.HandoverClient(
            settings,
            mock.Mock(),
            mock.Mock(),
            random.Random(1),
        )
        is_revoked = False

        async def connect(address: str) -> mock.Mock:
            nonlocal is_revoked
            is_revoked = True
            return peer_connection

        peer_connection = mock.Mock(
            exchange=mock.AsyncMock(side_effect=TimeoutError)
        )
        client._pool = mock.Mock(acquire=connect)
        handed = await client.hand_over(
            types.SimpleNamespace(name="p", ip="127.0.0.1"),
            caller_requests.CallerRequest(
                "GET", "/", multidict.CIMultiDict(), b"", 0.0, (1, 1), False
            ),
            handovers.Terms("d", 7, 100, 5, True, False, 2),
            boot_clock.now() + 1.0,
            lambda: not is_revoked,
        )
        self.assertIs(handed.result, handovers.HandoverResult.WITHHELD)
        peer_connection.exchange.assert_not_called()
        client._pool.release.assert_called_once_with(peer_connection)
