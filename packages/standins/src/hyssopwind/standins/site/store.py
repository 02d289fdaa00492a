"""Stand-in of the platform's store: listings, watches, and its troubles."""

import asyncio
import base64
import enum
import json

from aiohttp import web

PAGE_SIZE = 50  # items


class StoreMood(enum.Enum):
    """How the store treats its callers."""

    SERVING = "serving"
    BUSY = "busy"
    SILENT = "silent"


class StandInStore:
    """Holds items by key; every change has a revision."""

    def __init__(self) -> None:
        self._items: dict[str, tuple[bytes, int]] = {}
        self._history: list[tuple[str, bytes | None, int]] = []
        self._first = 0
        self._revision = 1
        self._changed = asyncio.Condition()
        self._runner: web.ServerRunner | None = None
        self.mood = StoreMood.SERVING
        self.calls = 0
        self.address = ""

    async def start(self) -> None:
        """Listens on a free port of the loopback address."""
        self._runner = web.ServerRunner(web.Server(self._answer))
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Ends the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def put(self, key: str, value: object) -> int:
        """Writes a value as JSON, or raw bytes; returns the revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return await self._write(key, data)

    async def remove(self, key: str) -> int:
        """Removes an item; returns the revision."""
        return await self._write(key, None)

    def drop_history(self) -> None:
        """Forgets all changes so far; watches behind them get 410."""
        self._history.clear()
        self._first = self._revision

    async def _write(self, key: str, value: bytes | None) -> int:
        async with self._changed:
            self._revision += 1
            if value is None:
                self._items.pop(key, None)
            else:
                self._items[key] = (value, self._revision)
            self._history.append((key, value, self._revision))
            self._changed.notify_all()
        return self._revision

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls += 1
        if self.mood is StoreMood.BUSY:
            return web.Response(status=503)
        if self.mood is StoreMood.SILENT:
            await asyncio.sleep(60.0)
        if request.path == "/kv-range":
            return self._range(request)
        if request.path == "/kv-watch":
            return await self._watch(request)
        return web.Response(status=404)

    def _range(self, request: web.BaseRequest) -> web.Response:
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        page = [_encode(key, *self._items[key]) for key in keys[:PAGE_SIZE]]
        return web.json_response(
            {
                "items": page,
                "truncated": len(keys) > PAGE_SIZE,
                "current_rev": self._revision,
            }
        )

    async def _watch(self, request: web.BaseRequest) -> web.Response:
        after = int(request.query["after"])
        if after < self._first:
            return web.Response(status=410)
        prefix = request.query["prefix"]
        wait = int(request.query["wait_ms"]) / 1000
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(
                    lambda: bool(self._events(prefix, after))
                )
        except TimeoutError:
            pass  # An empty answer says that nothing has changed.
        return web.json_response(
            {
                "events": self._events(prefix, after),
                "current_rev": self._revision,
            }
        )

    def _events(self, prefix: str, after: int) -> list[dict[str, object]]:
        return [
            _encode(key, value, revision)
            for key, value, revision in self._history
            if revision > after and key.startswith(prefix)
        ]


def _encode(key: str, value: bytes | None, revision: int) -> dict[str, object]:
    if value is None:
        return {"key": key, "revision": revision, "removed": True}
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "revision": revision}
