"""Crowds of callers that hold the memory and the descriptors of hyssopwindd.

Without an account of what callers make the daemon hold, the crowds took up to
299 MB of 100 MB and 1,127 of 1,000 descriptors; the cases that passed all the
same, each at a daemon of its own, are marked.

One daemon meets all crowds of a class, so that memory that it does not return
counts in the later cases. `HYSSOPWIND_TEST_FIGURES=1` prints the figures.
"""

import asyncio
import functools
import pathlib
import tempfile

import aiohttp

from hyssopwind.standins import process_fleet
from hyssopwind.standins import processes
from hyssopwind.standins import server
from hyssopwind.standins.tests import caller_crowd_case

RUNS_ALONE = True  # real processes, sockets and times

DAEMON = "entry-chicago-1"
GET_TARGET = "/team/ledger/a"
POST_TARGET = "/team/ledger/search"
NO_ROUTE = "/none/a"
CALLERS = 0  # index of the port
ADMIN = 1
LOAD_SECONDS = 1.5
PIECES_PER_TURN = 64  # so that all pieces are sent in this time
DECLARED_BYTES = 80_000_000
SENT_BYTES = 3_000_000
PIPELINED_GETS = 3_000
PIPELINED_POSTS = 60
POST_BYTES = 60_000
PIPELINED_HEADS = 20
SILENT_CONNECTIONS = 1_100
PLAN = process_fleet.FleetPlan(
    ("chicago",),
    (
        process_fleet.ServicePlan(
            "team",
            "ledger",
            slots=64,
            extra_settings='idempotent_routes = ["/search"]',
        ),
    ),
    daemons_per_data_centre=1,
    balancer_delay_ms=100,
    stop_grace_ms=10_000,
    extra_daemon_settings=(
        "[limits]\n"
        f'memory = "{caller_crowd_case.MEMORY_MB}MB"\n'
        f"descriptors = {caller_crowd_case.MAX_FDS}"
    ),
)

make_head = caller_crowd_case.make_head


class DaemonCrowdTestCase(caller_crowd_case.CrowdTestCase):
    """Starts the platform, two servers and one daemon for all tests."""

    load_seconds = LOAD_SECONDS
    pieces_per_turn = PIECES_PER_TURN
    get_target = GET_TARGET
    post_target = POST_TARGET

    @classmethod
    def setUpClass(cls):
        caller_crowd_case.raise_descriptor_limit()
        directory = pathlib.Path(
            cls.enterClassContext(tempfile.TemporaryDirectory())
        )
        cls.group = cls.enterClassContext(processes.process_group(directory))
        asyncio.run(cls.start_fleet(directory))

    @classmethod
    async def start_fleet(cls, directory):
        async with aiohttp.ClientSession() as session:
            fleet = process_fleet.Fleet(PLAN, cls.group, directory, session)
            await fleet.start()
        daemon = fleet.daemons[DAEMON]
        cls.settings_path = daemon.settings_path
        cls.ports = [
            int(address.rpartition(":")[2])
            for address in (daemon.callers_address, daemon.admin_address)
        ]

    def setUp(self):
        # Starts the peak resident memory anew, see proc(5).
        pathlib.Path(f"/proc/{self.pid}/clear_refs").write_text("5")

    @property
    def pid(self):
        return self.group.pid(DAEMON)

    @property
    def has_ended(self):
        return self.group.has_ended(DAEMON)

    async def check_crowd(self, pieces, port_index=CALLERS, count=None):
        port = self.ports[port_index]
        await self.run_crowd(
            lambda: self.send_unread(port, pieces),
            count or caller_crowd_case.CALLER_COUNT,
        )
        await self.check_served()


class CrowdTest(DaemonCrowdTestCase):
    async def check_short_bodies(self, way, target, port_index=CALLERS):
        pieces = caller_crowd_case.make_body_pieces(way, target)
        await self.check_crowd(pieces, port_index)

    async def test_short_bodies_in_one_piece(self):
        await self.check_short_bodies("one piece", POST_TARGET)

    # Passes without the account.
    async def test_short_bodies_in_one_piece_without_a_route(self):
        await self.check_short_bodies("one piece", NO_ROUTE)

    # Passes without the account.
    async def test_short_bodies_in_one_piece_at_the_admin_address(self):
        await self.check_short_bodies("one piece", "/ready", ADMIN)

    async def test_short_bodies_in_pieces(self):
        await self.check_short_bodies("pieces", POST_TARGET)

    # Passes without the account.
    async def test_short_bodies_in_pieces_without_a_route(self):
        await self.check_short_bodies("pieces", NO_ROUTE)

    # Passes without the account.
    async def test_short_bodies_in_pieces_at_the_admin_address(self):
        await self.check_short_bodies("pieces", "/ready", ADMIN)

    async def test_short_bodies_in_chunks(self):
        await self.check_short_bodies("chunks", POST_TARGET)

    # Passes without the account.
    async def test_short_bodies_in_chunks_without_a_route(self):
        await self.check_short_bodies("chunks", NO_ROUTE)

    async def test_short_bodies_in_chunks_at_the_admin_address(self):
        await self.check_short_bodies("chunks", "/ready", ADMIN)

    async def check_large_bodies(self, target, port_index=CALLERS):
        head = make_head(target, "POST", Content_Length=str(DECLARED_BYTES))
        await self.check_crowd([head, b"x" * SENT_BYTES], port_index)

    # Passes without the account.
    async def test_bodies_far_over_the_limit(self):
        await self.check_large_bodies(POST_TARGET)

    # Passes without the account.
    async def test_bodies_far_over_the_limit_at_the_admin_address(self):
        await self.check_large_bodies("/ready", ADMIN)

    # A limit on the memory of all callers must not refuse a single one. Passes
    # without the account.
    async def test_single_body_of_full_size_is_served(self):
        size = caller_crowd_case.MAX_BODY_BYTES
        head = make_head(POST_TARGET, "POST", Content_Length=str(size))
        status = await self.status(head + b"x" * size, self.ports[CALLERS])
        self.assertEqual(status, 200)
        await self.check_served()

    # Passes without the account.
    async def test_pipelined_requests_whose_answers_are_not_read(self):
        await self.check_crowd([make_head(GET_TARGET) * PIPELINED_GETS])

    async def test_pipelined_posts(self):
        head = make_head(POST_TARGET, "POST", Content_Length=str(POST_BYTES))
        await self.check_crowd([(head + b"x" * POST_BYTES) * PIPELINED_POSTS])

    async def check_fields(self, field_count):
        fields = b"a:b\r\n" * field_count
        head = make_head(GET_TARGET)[:-2] + fields + b"\r\n"
        await self.check_crowd([head * PIPELINED_HEADS])

    # Passes without the account.
    async def test_heads_of_more_fields_than_aiohttp_takes(self):
        await self.check_fields(2_200)

    # Passes without the account.
    async def test_heads_of_many_short_fields(self):
        await self.check_fields(120)

    async def test_silent_connections(self):
        await self.check_crowd([], count=SILENT_CONNECTIONS)

    async def test_silent_connections_at_the_admin_address(self):
        await self.check_crowd([], ADMIN, SILENT_CONNECTIONS)

    async def test_lower_limits_are_in_force_after_a_reload(self):
        text = self.settings_path.read_text()
        self.addCleanup(self.reload, text)
        pieces = caller_crowd_case.make_body_pieces("one piece", POST_TARGET)
        crowd = asyncio.create_task(self.check_crowd(pieces))
        await asyncio.sleep(LOAD_SECONDS / 2)
        self.reload(text.replace("descriptors = 1000", "descriptors = 200"))
        await crowd
        self.max_fds_seen = 0
        await self.check_crowd([], count=400)
        self.assertLess(self.max_fds_seen, 200)

    def reload(self, text):
        self.settings_path.write_text(text)
        self.group.hang_up(DAEMON)


class StopTest(DaemonCrowdTestCase):
    # A request at a server must not lose its answer to the crowd. Passes
    # without the account.
    async def test_running_request_is_answered_in_a_stop(self):
        pieces = caller_crowd_case.make_body_pieces("one piece", POST_TARGET)
        send = functools.partial(self.send_unread, self.ports[CALLERS], pieces)
        crowd = asyncio.create_task(self.run_crowd(send))
        await asyncio.sleep(LOAD_SECONDS / 2)
        fields = {server.WORK_SECONDS_HEADER: "1.0"}
        answer = asyncio.create_task(
            self.status(make_head(GET_TARGET, **fields), self.ports[CALLERS])
        )
        await asyncio.sleep(0.3)
        self.group.terminate(DAEMON)
        self.assertEqual(await answer, 200)
        self.assertEqual(await asyncio.to_thread(self.group.wait, DAEMON), 0)
        await crowd
