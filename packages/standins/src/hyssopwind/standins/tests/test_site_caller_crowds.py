"""Crowds of callers that hold the memory and the descriptors of a daemon.

Without an account of what callers make the daemon hold, most of these crowds
took several times the memory of the VM; the cases that passed all the same are
marked. `HYSSOPWIND_TEST_FIGURES=1` prints the figures of each case.
"""

import asyncio
import functools

from hyssopwind.daemon import headers
from hyssopwind.standins.tests import caller_crowd_case

RUNS_ALONE = True  # real processes, sockets and times

DECLARED_BYTES = 80_000_000
SENT_BYTES = 3_000_000
PIPELINED_GETS = 3_000
PIPELINED_POSTS = 60
POST_BYTES = 60_000
HEAD_FIELDS = 2_200
PIPELINED_HEADS = 20
UNREAD_ANSWERS = 200
ANSWER_BYTES = 1_000
SILENT_CONNECTIONS = 1_100

BODY_BYTES = caller_crowd_case.BODY_BYTES
MISSING_BYTES = caller_crowd_case.MISSING_BYTES

make_head = caller_crowd_case.make_head
make_body_pieces = caller_crowd_case.make_body_pieces


class ShortBodyTest(caller_crowd_case.CallerCrowdTestCase):
    """Bodies of legal size stop 3 bytes short on open connections."""

    async def check(self, way, target, port_index=0):
        pieces = make_body_pieces(way, target)
        port = self.ports[port_index]
        await self.run_crowd(lambda: self.send_unread(port, pieces))
        await self.check_served()

    async def test_one_piece_at_a_route(self):
        await self.check("one piece", "/unsafe/a")

    async def test_one_piece_without_a_route(self):
        await self.check("one piece", "/none/a")

    async def test_one_piece_at_the_ready_address(self):
        await self.check("one piece", "/ready", 1)

    async def test_pieces_at_a_route(self):
        await self.check("pieces", "/unsafe/a")

    async def test_pieces_without_a_route(self):
        await self.check("pieces", "/none/a")

    async def test_pieces_at_the_ready_address(self):
        await self.check("pieces", "/ready", 1)

    async def test_chunks_at_a_route(self):
        await self.check("chunks", "/unsafe/a")

    async def test_chunks_without_a_route(self):
        await self.check("chunks", "/none/a")

    async def test_chunks_at_the_ready_address(self):
        await self.check("chunks", "/ready", 1)


class LargeBodyTest(caller_crowd_case.CallerCrowdTestCase):
    async def check(self, target, port_index):
        pieces = [
            make_head(target, "POST", Content_Length=str(DECLARED_BYTES)),
            b"x" * SENT_BYTES,
        ]
        port = self.ports[port_index]
        await self.run_crowd(lambda: self.send_unread(port, pieces))
        await self.check_served()

    async def test_bodies_far_over_the_limit(self):
        await self.check("/unsafe/a", 0)

    async def test_bodies_far_over_the_limit_at_the_ready_address(self):
        await self.check("/ready", 1)

    # A limit on the memory of all callers must not refuse a single one. Passes
    # without the account.
    async def test_single_body_of_full_size_is_served(self):
        size = caller_crowd_case.MAX_BODY_BYTES
        head = make_head("/unsafe/a", "POST", Content_Length=str(size))
        status = await self.status(head + b"x" * size, self.ports[0])
        self.assertEqual(status, 200)
        await self.check_served()


class PipelineTest(caller_crowd_case.CallerCrowdTestCase):
    """Requests follow one another on connections that read no answer."""

    async def check(self, pieces, receive_bytes=None):
        port = self.ports[0]
        await self.run_crowd(
            lambda: self.send_unread(port, pieces, receive_bytes)
        )
        await self.check_served()

    async def test_requests_whose_answers_are_not_read(self):
        await self.check([make_head("/safe/a") * PIPELINED_GETS])

    async def test_posts(self):
        head = make_head("/unsafe/a", "POST", Content_Length=str(POST_BYTES))
        await self.check([(head + b"x" * POST_BYTES) * PIPELINED_POSTS])

    async def test_heads_of_many_short_fields(self):
        fields = b"a:b\r\n" * HEAD_FIELDS
        head = make_head("/safe/a")[:-2] + fields + b"\r\n"
        await self.check([head * PIPELINED_HEADS])

    async def test_answers_that_are_not_read(self):
        head = make_head("/safe/a", "POST", Content_Length=str(ANSWER_BYTES))
        request = head + b"x" * ANSWER_BYTES
        await self.check([request * UNREAD_ANSWERS], receive_bytes=4_096)


class SilentConnectionTest(caller_crowd_case.CallerCrowdTestCase):
    async def test_silent_connections(self):
        port = self.ports[0]
        await self.run_crowd(
            lambda: self.send_unread(port, []), SILENT_CONNECTIONS
        )
        await self.check_served()


class InternalListenerTest(caller_crowd_case.CallerCrowdTestCase):
    """Crowds at the listeners for peers and for metrics, in turn."""

    load_seconds = 1.2

    async def check(self, pieces, count=caller_crowd_case.CALLER_COUNT):
        for port in (self.ports[2], self.ports[4]):
            send = functools.partial(self.send_unread, port, pieces)
            await self.run_crowd(send, count)
            await self.check_served()

    # A body is read only if the request is handed over by a peer.
    async def test_short_bodies(self):
        fields = {headers.HANDOVER: "1", "Content_Length": str(BODY_BYTES)}
        head = make_head("/", "POST", **fields)
        await self.check([head + b"x" * (BODY_BYTES - MISSING_BYTES)])

    async def test_bodies_far_over_the_limit(self):
        fields = {headers.HANDOVER: "1", "Content_Length": str(DECLARED_BYTES)}
        await self.check([make_head("/", "POST", **fields), b"x" * SENT_BYTES])

    async def test_silent_connections(self):
        await self.check([], SILENT_CONNECTIONS)


class ChangeTest(caller_crowd_case.CallerCrowdTestCase):
    """The daemon stops, starts again or gets lower limits during a crowd."""

    def start_crowd(self):
        pieces = make_body_pieces("one piece", "/unsafe/a")
        port = self.ports[0]
        crowd = asyncio.create_task(
            self.run_crowd(lambda: self.send_unread(port, pieces))
        )
        self.addAsyncCleanup(asyncio.gather, crowd, return_exceptions=True)
        return crowd

    # A request at a server must not lose its answer to the crowd. Passes
    # without the account.
    async def test_running_request_is_answered_in_a_stop(self):
        crowd = self.start_crowd()
        await asyncio.sleep(2.0)
        post = make_head("/unsafe/a", "POST", Content_Length="5") + b"hello"
        answer = asyncio.create_task(self.status(post, self.ports[0]))
        await asyncio.sleep(0.005)
        await self.stop_process()
        self.assertEqual(self.process.returncode, 0)
        self.assertEqual(await answer, 200)
        await crowd

    # Passes without the account.
    async def test_daemon_that_starts_again_serves(self):
        crowd = self.start_crowd()
        await asyncio.sleep(1.0)
        self.process.kill()
        await self.process.wait()
        await self.start_process()
        await crowd
        await self.check_served()

    async def test_lower_limits_are_in_force_after_a_reload(self):
        crowd = self.start_crowd()
        await asyncio.sleep(1.0)
        text = self.settings_path.read_text()
        text = text.replace(
            f"max_fds = {caller_crowd_case.MAX_FDS}", "max_fds = 200"
        )
        self.settings_path.write_text(
            text.replace("memory_mb = 100", "memory_mb = 60")
        )
        await self.configure(2, max_body_bytes=100_000)
        await crowd
        port = self.ports[0]
        self.max_fds_seen = 0
        await self.run_crowd(lambda: self.send_unread(port, []), 400)
        self.assertLess(self.max_fds_seen, 200)
        await self.check_served()
        head = make_head("/unsafe/a", "POST", Content_Length="100001")
        self.assertEqual(await self.status(head, port), 413)
