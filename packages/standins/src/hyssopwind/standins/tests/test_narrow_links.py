"""Gateways as processes behind narrow and cut links."""

import asyncio
import contextlib
import dataclasses
import pathlib
import tempfile
import time
import unittest

from hyssopwind.standins.links import judging
from hyssopwind.standins.links import launcher
from hyssopwind.standins.links import link
from hyssopwind.standins.links import rig
from hyssopwind.standins.stops import rig as stop_rig

RUNS_ALONE = True  # real sockets and times

SEED = 1
GATEWAYS = 8
NARROW_MBPS = 5.0
CONFIGURATION_BOUND_SECONDS = 2.0
FAILURES = ("not_in_bound", "late_404", "late_old")


class EchoProtocol(asyncio.Protocol):
    """Returns all bytes."""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.transport.write(data)


class RecordingProtocol(asyncio.Protocol):
    """Records all bytes and how the connection ended."""

    def __init__(self):
        self.received = bytearray()
        self.lost = asyncio.get_running_loop().create_future()

    def data_received(self, data):
        self.received += data

    def connection_lost(self, exc):
        self.lost.set_result(exc)

    async def wait_for(self, size):
        async with asyncio.timeout(5.0):
            while len(self.received) < size:
                await asyncio.sleep(0.002)


def run_on_link(main, mbps=1_000.0):
    loop = launcher.LinkEventLoop(link.LinkSettings(mbps=mbps))
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(main(loop))


class LinkTest(unittest.TestCase):
    """A link that carries all, or a cut that cuts nothing, proves nothing."""

    async def open_echo(self, loop):
        server = await loop.create_server(EchoProtocol, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        _, protocol = await loop.create_connection(
            RecordingProtocol, "127.0.0.1", port
        )
        return port, protocol

    # Each connection had the width of the link for itself.
    def test_connections_share_the_width_of_the_link(self):
        async def main(loop):
            port, _ = await self.open_echo(loop)
            opened = [
                await loop.create_connection(
                    RecordingProtocol, "127.0.0.1", port
                )
                for _ in range(4)
            ]
            started_at = time.monotonic()
            for transport, _ in opened:
                transport.write(bytes(25_000))
            for _, protocol in opened:
                await protocol.wait_for(25_000)
            return time.monotonic() - started_at

        # 100 kB to the server and back over one link of 4 Mbit/s.
        seconds = run_on_link(main, mbps=4.0)
        self.assertGreater(seconds, 0.39)
        self.assertLess(seconds, 0.8)

    # A writer could fill the memory, and a peer that does not read cost none.
    def test_window_bounds_what_is_read_for_a_connection(self):
        async def main(loop):
            port, _ = await self.open_echo(loop)
            transport, _ = await loop.create_connection(
                RecordingProtocol, "127.0.0.1", port
            )
            transport.write(bytes(2_000_000))
            await asyncio.sleep(0.3)
            return loop._link.counters()

        counters = run_on_link(main, mbps=4.0)
        for name in ("sent", "received"):
            # One connection, both ends of which have a window.
            self.assertLessEqual(
                counters[name]["max_queued_bytes"], 2 * 65_536 + 4_000
            )

    async def cut(self, loop, port, kind):
        loop._link.apply(
            link.Control(1, kind, frozenset({f"127.0.0.1:{port}"}))
        )

    async def is_connecting_hung(self, loop, port):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.1):
                await loop.create_connection(
                    RecordingProtocol, "127.0.0.1", port
                )
                return False
        return True

    # Bytes of a hanging connection passed, or were lost when the cut healed.
    def test_hanging_connection_delivers_after_the_cut(self):
        async def main(loop):
            port, protocol = await self.open_echo(loop)
            (linked,) = (
                each
                for each in loop._link._connections
                if each.label.endswith(f":{port}")
            )
            await self.cut(loop, port, link.CutKind.HANG)
            linked.write(b"a" * 100_000)
            self.assertTrue(await self.is_connecting_hung(loop, port))
            self.assertEqual(protocol.received, b"")
            await self.cut(loop, port, link.CutKind.NONE)
            await protocol.wait_for(100_000)
            self.assertFalse(await self.is_connecting_hung(loop, port))

        run_on_link(main)

    # A reset let new connections through.
    def test_reset_ends_connections_and_new_ones_hang(self):
        async def main(loop):
            port, protocol = await self.open_echo(loop)
            await self.cut(loop, port, link.CutKind.RESET)
            self.assertIsInstance(await protocol.lost, ConnectionResetError)
            self.assertTrue(await self.is_connecting_hung(loop, port))

        run_on_link(main)

    # Open connections ended together with the refusal of new ones.
    def test_refusal_leaves_open_connections(self):
        async def main(loop):
            port, protocol = await self.open_echo(loop)
            (linked,) = (
                each
                for each in loop._link._connections
                if each.label.endswith(f":{port}")
            )
            await self.cut(loop, port, link.CutKind.REFUSE)
            with self.assertRaises(ConnectionRefusedError):
                await loop.create_connection(
                    RecordingProtocol, "127.0.0.1", port
                )
            linked.write(b"a" * 1_000)
            await protocol.wait_for(1_000)

        run_on_link(main)


class JudgingTest(unittest.TestCase):
    """An oracle that reports nothing, or everything, would prove nothing."""

    def make_evidence(self, *probes):
        publications = (
            judging.Publication(1, 0.0, 0),
            judging.Publication(2, 10.0, 0),
        )
        return judging.Evidence(publications, probes, {}, 2.0)

    def make_probe(self, kind, sent_at, **changes):
        probe = judging.Probe("p", 0, kind, 2, sent_at, sent_at + 0.1, 200)
        return dataclasses.replace(probe, **changes)

    def test_404_counts_only_after_the_bound(self):
        early, late = (
            self.make_probe(judging.ProbeKind.ADDED, sent_at, status=404)
            for sent_at in (11.9, 12.1)
        )
        evidence = self.make_evidence(early, late)
        self.assertEqual(judging.find_late_404s(evidence), [late])

    def test_request_by_the_old_version_counts_only_after_the_bound(self):
        early, late, proper = (
            self.make_probe(judging.ProbeKind.MOVED, sent_at, service=service)
            for sent_at, service in ((11.9, "s1"), (12.1, "s1"), (12.2, "s2"))
        )
        evidence = self.make_evidence(early, late, proper)
        self.assertEqual(judging.find_late_by_old_version(evidence), [late])

    def test_version_is_in_force_when_both_routes_are(self):
        evidence = self.make_evidence(
            self.make_probe(judging.ProbeKind.ADDED, 10.1, handled_at=10.5),
            self.make_probe(
                judging.ProbeKind.MOVED, 10.2, handled_at=10.75, service="s2"
            ),
        )
        self.assertEqual(judging.seconds_until_in_force(evidence, 0), 0.75)


class NarrowLinkTest(unittest.TestCase):
    """Real gateways whose links are too narrow for many whole copies."""

    @classmethod
    def setUpClass(cls):
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.figures = asyncio.run(cls.run_all(pathlib.Path(directory.name)))

    @classmethod
    async def run_all(cls, directory):
        await stop_rig.build(directory / "build")
        run_settings = rig.RunSettings(
            gateways=GATEWAYS,
            mbps=NARROW_MBPS,
            seed=SEED,
            bound_seconds=CONFIGURATION_BOUND_SECONDS,
            max_seconds=4.0,
        )
        lines = []
        await rig.run_phases(
            run_settings,
            ["grow", "small"],
            directory / "build",
            directory,
            lines.append,
        )
        return {line["phase"]: line for line in lines}

    def check(self, phase):
        figures = self.figures[phase]
        counts = {name: figures[name] for name in FAILURES}
        message = (
            f"the last of {GATEWAYS} gateways had the version in force after"
            f" {figures['in_force_last']} s; {figures['store_readers']} read"
            f" the store, the busiest link sent {figures['sent_kb_max']} kB"
            f" and the latest timer was {figures['max_lag_ms']} ms late"
        )
        self.assertEqual(counts, dict.fromkeys(FAILURES, 0), message)

    # Each gateway pulled the whole configuration from one gateway at the same
    # time, gave up after 0.5 s and began anew, until it read the store itself.
    def test_1400_added_routes_are_in_force_in_time(self):
        self.check("grow")

    # A change of five routes took as long as one of all routes.
    def test_five_changed_routes_are_in_force_in_time(self):
        self.check("small")

    # A change of five routes moved the whole configuration over each link.
    def test_five_changed_routes_move_at_most_a_quarter_of_all(self):
        figures = self.figures["small"]
        self.assertLessEqual(
            figures["received_kb_median"],
            figures["configuration_bytes"] / 1e3 / 4,
        )
