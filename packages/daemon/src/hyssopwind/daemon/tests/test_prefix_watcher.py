import asyncio
import base64
import json
import unittest

import aiohttp
from aiohttp import web

from hyssopwind.daemon import metrics
from hyssopwind.daemon import prefix_watcher

RUNS_ALONE = True  # real sockets and times


def encode_base64(text):
    return base64.b64encode(text.encode()).decode()


def key_value(key, value, revision):
    return {
        "key": encode_base64(key),
        "value": encode_base64(value),
        "mod_revision": str(revision),
    }


def make_listing(revision, *pairs):
    return {"header": {"revision": str(revision)}, "kvs": list(pairs)}


def make_event_line(*event_items):
    return json.dumps({"result": {"events": list(event_items)}}) + "\n"


class FakeService:
    """Answers each range and watch call with the next prepared answer."""

    def __init__(self, ranges, watches):
        self.ranges = list(ranges)
        self.watches = list(watches)
        self.start_revisions = []

    async def start(self):
        app = web.Application()
        app.router.add_post("/v3/kv/range", self._range)
        app.router.add_post("/v3/watch", self._watch)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        return f"http://127.0.0.1:{port}"

    async def close(self):
        await self._runner.cleanup()

    async def _range(self, request):
        answer = self.ranges.pop(0)
        if isinstance(answer, int):
            return web.Response(status=answer)
        return web.json_response(answer)

    async def _watch(self, request):
        create_request = (await request.json())["create_request"]
        self.start_revisions.append(int(create_request["start_revision"]))
        response = web.StreamResponse()
        await response.prepare(request)
        for line in self.watches.pop(0) if self.watches else ():
            if line is None:
                return response
            await response.write(line.encode())
        await asyncio.sleep(30.0)
        return response


class PrefixWatcherTest(unittest.IsolatedAsyncioTestCase):
    async def watch(self, ranges, watches, count):
        """Returns the first `count` listings and changes."""
        service = FakeService(ranges, watches)
        url = await service.start()
        self.addAsyncCleanup(service.close)
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        watcher = prefix_watcher.PrefixWatcher(
            "test", url, "/p/", session, metrics.Metrics()
        )
        received = []
        done = asyncio.Event()

        def collect(item):
            received.append(item)
            if len(received) >= count:
                done.set()

        watcher.listings.subscribe(collect)
        watcher.changes.subscribe(collect)
        task = asyncio.create_task(watcher.run())
        waiter = asyncio.create_task(done.wait())
        await asyncio.wait(
            {task, waiter},
            timeout=10.0,
            return_when=asyncio.FIRST_COMPLETED,
        )
        waiter.cancel()
        task.cancel()
        await asyncio.gather(task, waiter, return_exceptions=True)
        self.service = service
        return received

    async def test_listing_is_followed_by_its_changes(self):
        put = {"kv": key_value("/p/a", "2", 8)}
        delete = {"type": "DELETE", "kv": key_value("/p/a", "", 9)}
        received = await self.watch(
            [make_listing(7, key_value("/p/a", "1", 5))],
            [[make_event_line(put, delete)]],
            3,
        )
        self.assertEqual(
            received,
            [
                prefix_watcher.Listing({"a": prefix_watcher.Entry(b"1", 5)}, 7),
                prefix_watcher.Change("a", b"2", 8),
                prefix_watcher.Change("a", None, 9),
            ],
        )
        self.assertEqual(self.service.start_revisions, [8])

    async def test_failed_listing_is_retried(self):
        received = await self.watch([500, 503, make_listing(7)], [], 1)
        self.assertEqual(received, [prefix_watcher.Listing({}, 7)])

    async def test_malformed_listings_are_retried(self):
        malformed = [{}, {"header": 3}, [1], make_listing(7, {"key": "?"})]
        received = await self.watch([*malformed, make_listing(7)], [], 1)
        self.assertEqual(received, [prefix_watcher.Listing({}, 7)])

    # One such entry made each listing fail, so that the list was not followed.
    async def test_entry_that_cannot_be_decoded_is_left_out_of_a_listing(self):
        no_utf8 = {"key": "//4=", "value": "", "mod_revision": "6"}
        no_revision = {"key": encode_base64("/p/b"), "value": ""}
        no_base64 = {**key_value("/p/c", "", 6), "value": "%"}
        deep = {**key_value("/p/d", "", 6), "value": [[[["a"]]]]}
        received = await self.watch(
            [
                make_listing(
                    7,
                    no_utf8,
                    no_revision,
                    no_base64,
                    deep,
                    "no entry",
                    key_value("/p/a", "1", 5),
                )
            ],
            [],
            1,
        )
        self.assertEqual(
            received,
            [
                prefix_watcher.Listing(
                    {"a": prefix_watcher.Entry(b"1", 5)},
                    7,
                    frozenset({"b", "c", "d"}),
                )
            ],
        )

    async def test_change_behind_an_odd_key_is_published(self):
        odd = {"kv": {"key": "//4=", "value": "", "mod_revision": "8"}}
        put = {"kv": key_value("/p/a", "2", 9)}
        received = await self.watch(
            [make_listing(7)], [[make_event_line(odd, put)]], 2
        )
        self.assertEqual(received[1], prefix_watcher.Change("a", b"2", 9))

    async def test_change_that_cannot_be_decoded_is_followed_by_a_listing(self):
        odd = {"kv": {**key_value("/p/a", "", 8), "value": "%"}}
        put = {"kv": key_value("/p/b", "2", 9)}
        received = await self.watch(
            [make_listing(7), make_listing(9)],
            [[make_event_line(odd, put)]],
            3,
        )
        self.assertEqual(received[1], prefix_watcher.Change("b", b"2", 9))
        self.assertEqual(received[2].revision, 9)

    async def test_revision_out_of_range_is_left_out(self):
        # It could not be sent to peers.
        received = await self.watch(
            [
                make_listing(
                    7, {**key_value("/p/a", "1", 5), "mod_revision": "9" * 30}
                )
            ],
            [],
            1,
        )
        self.assertEqual(received[0].unreadable_keys, frozenset({"a"}))

    async def test_watch_that_ends_is_followed_by_a_listing(self):
        received = await self.watch(
            [make_listing(7), make_listing(9)], [[None]], 2
        )
        self.assertEqual([item.revision for item in received], [7, 9])

    async def test_malformed_watch_line_is_followed_by_a_listing(self):
        received = await self.watch(
            [make_listing(7), make_listing(9)],
            [['{"result": {"events": [{}]}}\n']],
            2,
        )
        self.assertEqual([item.revision for item in received], [7, 9])


if __name__ == "__main__":
    unittest.main()
