import asyncio
import base64
import json
import unittest

import aiohttp
from aiohttp import web

from hyssopwind.daemon import metrics
from hyssopwind.daemon import watching


def encode(text):
    return base64.b64encode(text.encode()).decode()


def pair(key, value, revision):
    return {
        "key": encode(key),
        "value": encode(value),
        "mod_revision": str(revision),
    }


def listing(revision, *pairs):
    return {"header": {"revision": str(revision)}, "kvs": list(pairs)}


def events(*items):
    return json.dumps({"result": {"events": list(items)}}) + "\n"


class FakeService:
    """Answers range and watch calls with what is next in line."""

    def __init__(self, ranges, watches):
        self.ranges = list(ranges)
        self.watches = list(watches)
        self.starts = []

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
        create = (await request.json())["create_request"]
        self.starts.append(int(create["start_revision"]))
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
        watcher = watching.PrefixWatcher(
            "test", url, "/p/", session, metrics.Metrics()
        )
        seen = []
        done = asyncio.Event()

        def take(item):
            seen.append(item)
            if len(seen) >= count:
                done.set()

        watcher.listings.subscribe(take)
        watcher.changes.subscribe(take)
        task = asyncio.create_task(watcher.run())
        waiting = asyncio.create_task(done.wait())
        await asyncio.wait(
            {task, waiting},
            timeout=10.0,
            return_when=asyncio.FIRST_COMPLETED,
        )
        waiting.cancel()
        task.cancel()
        await asyncio.gather(task, waiting, return_exceptions=True)
        self.service = service
        return seen

    async def test_listing_and_changes(self):
        put = {"kv": pair("/p/a", "2", 8)}
        delete = {"type": "DELETE", "kv": pair("/p/a", "", 9)}
        seen = await self.watch(
            [listing(7, pair("/p/a", "1", 5))], [[events(put, delete)]], 3
        )
        self.assertEqual(
            seen,
            [
                watching.Listing({"a": watching.Entry(b"1", 5)}, 7),
                watching.Change("a", b"2", 8),
                watching.Change("a", None, 9),
            ],
        )
        self.assertEqual(self.service.starts, [8])

    async def test_service_that_fails_is_asked_again(self):
        seen = await self.watch([500, 503, listing(7)], [], 1)
        self.assertEqual(seen, [watching.Listing({}, 7)])

    async def test_answers_that_make_no_sense_are_survived(self):
        wrong = [{}, {"header": 3}, [1], listing(7, {"key": "?"})]
        seen = await self.watch([*wrong, listing(7)], [], 1)
        self.assertEqual(seen, [watching.Listing({}, 7)])

    async def test_watch_that_ends_is_followed_by_a_listing(self):
        seen = await self.watch([listing(7), listing(9)], [[None]], 2)
        self.assertEqual([item.revision for item in seen], [7, 9])

    async def test_line_that_makes_no_sense_is_survived(self):
        seen = await self.watch(
            [listing(7), listing(9)], [['{"result": {"events": [{}]}}\n']], 2
        )
        self.assertEqual([item.revision for item in seen], [7, 9])


if __name__ == "__main__":
    unittest.main()
