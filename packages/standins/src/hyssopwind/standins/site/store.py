"""Stand-in for the platform's store, with listings, watches and faults."""

import asyncio
import base64
import enum
import json
import math
import time

from aiohttp import web

from hyssopwind.platform import field_names

MAX_PAGE_ITEMS = 50
STOP_TIMEOUT_SECONDS = 0.1  # for calls that a silent store does not answer


class StoreMode(enum.Enum):
    """How the store answers requests.

    Attributes:
        SERVING: it answers normally.
        BUSY: it answers 503.
        SILENT: it delays each answer by a minute.
    """

    SERVING = "serving"
    BUSY = "busy"
    SILENT = "silent"


class StandInStore:
    """Holds items by key; every change has a revision.

    Attributes:
        mode: how it answers requests.
        call_count: number of requests so far.
        history_seconds: age at which a change leaves the history.
        era: era that all answers state; none if it is `None`.
        address: IP address and port, empty before `start`.
    """

    def __init__(self) -> None:
        self._items: dict[str, tuple[bytes, int]] = {}
        # Key, value, revision and monotonic time of each change.
        self._history: list[tuple[str, bytes | None, int, float]] = []
        self._history_start_revision = 0
        self._revision = 1
        self._changed = asyncio.Condition()
        self._runner: web.ServerRunner | None = None
        self.mode = StoreMode.SERVING
        self.call_count = 0
        self.history_seconds = math.inf
        self.era: int | None = None
        self.address = ""

    async def start(self) -> None:
        """Listens on a free port of the loopback address."""
        self._runner = web.ServerRunner(
            web.Server(self._handle), shutdown_timeout=STOP_TIMEOUT_SECONDS
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def put(self, key: str, value: object) -> int:
        """Writes a value, as JSON unless it is bytes; returns the revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return await self._write(key, data)

    async def remove(self, key: str) -> int:
        """Removes an item; returns the revision."""
        return await self._write(key, None)

    def copy(self) -> tuple[dict[str, tuple[bytes, int]], int]:
        """Returns a copy of the items with the revision."""
        return dict(self._items), self._revision

    async def restore(
        self, copied: tuple[dict[str, tuple[bytes, int]], int]
    ) -> None:
        """Comes back from a copy; what was written since is lost.

        A store that states eras begins a new one.
        """
        async with self._changed:
            self._items, self._revision = dict(copied[0]), copied[1]
            self.drop_history()
            if self.era is not None:
                self.era += 1
            self._changed.notify_all()

    def drop_history(self) -> None:
        """Discards the history, so that watches from before now get 410."""
        self._history.clear()
        self._history_start_revision = self._revision

    async def _write(self, key: str, value: bytes | None) -> int:
        async with self._changed:
            self._revision += 1
            if value is None:
                self._items.pop(key, None)
            else:
                self._items[key] = (value, self._revision)
            now = time.monotonic()
            self._history.append((key, value, self._revision, now))
            while self._history[0][-1] < now - self.history_seconds:
                self._history_start_revision = self._history.pop(0)[2]
            self._changed.notify_all()
        return self._revision

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        answer = await self._answer(request)
        if self.era is not None:
            answer.headers[field_names.STORE_ERA] = str(self.era)
        return answer

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self.call_count += 1
        if self.mode is StoreMode.BUSY:
            return web.Response(status=503)
        if self.mode is StoreMode.SILENT:
            await asyncio.sleep(60.0)
        if request.path == "/kv-range":
            return self._handle_range(request)
        if request.path == "/kv-watch":
            return await self._handle_watch(request)
        return web.Response(status=404)

    def _handle_range(self, request: web.BaseRequest) -> web.Response:
        prefix = request.query["prefix"]
        after_key = request.query.get("after", "")
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > after_key
        )
        page_items = [
            _encode_item(key, *self._items[key])
            for key in keys[:MAX_PAGE_ITEMS]
        ]
        return web.json_response(
            {
                "items": page_items,
                "truncated": len(keys) > MAX_PAGE_ITEMS,
                "current_rev": self._revision,
            }
        )

    async def _handle_watch(self, request: web.BaseRequest) -> web.Response:
        after_revision = int(request.query["after"])
        if not (
            self._history_start_revision <= after_revision <= self._revision
        ):
            return web.Response(status=410)
        prefix = request.query["prefix"]
        wait_seconds = int(request.query["wait_ms"]) / 1000
        try:
            async with asyncio.timeout(wait_seconds), self._changed:
                await self._changed.wait_for(
                    lambda: bool(self._events_after(prefix, after_revision))
                )
        except TimeoutError:
            pass  # An answer without events means that nothing has changed.
        return web.json_response(
            {
                "events": self._events_after(prefix, after_revision),
                "current_rev": self._revision,
            }
        )

    def _events_after(
        self, prefix: str, after_revision: int
    ) -> list[dict[str, object]]:
        return [
            _encode_item(key, value, revision)
            for key, value, revision, _ in self._history
            if revision > after_revision and key.startswith(prefix)
        ]


def _encode_item(
    key: str, value: bytes | None, revision: int
) -> dict[str, object]:
    if value is None:
        return {"key": key, "revision": revision, "removed": True}
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "revision": revision}
