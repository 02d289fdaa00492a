"""The platform's metadata store: items, pages, watches, restores."""

import asyncio
import base64
import json
import time
import urllib.parse

from standins import http

PAGE_ITEMS = 500
HISTORY_SECONDS = 20.0
READS_PER_SECOND = 2000  # further calls in the same second get 429


class Store:
    """Serves `/kv-key`, `/kv-range` and `/kv-watch`.

    Attributes:
        address: IP address and port.
        era: value of the header `Store-Era`.
        calls: number of calls by path and status.
        is_away: whether it is down.
    """

    def __init__(self) -> None:
        self.address = ""
        self.era = 1
        self.calls: dict[str, int] = {}
        self.revision = 10
        self._items: dict[str, tuple[bytes, int, int]] = {}
        # Time, key, value or None, revision of each change.
        self._history: list[tuple[float, str, bytes | None, int]] = []
        # A watch after an earlier revision gets 410.
        self._history_start = self.revision
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.is_away = False
        self._second = (0, 0)

    async def start(self, ip: str) -> None:
        self._server = await asyncio.start_server(self._serve, ip, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def put(self, key: str, value: object) -> int:
        """Writes a value, as JSON unless it is bytes; returns the revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self._items[key][2] if key in self._items else self.revision + 1
        self.revision += 1
        self._items[key] = (data, self.revision, created)
        self._note(key, data)
        return self.revision

    def remove(self, key: str) -> int:
        if key in self._items:
            self.revision += 1
            del self._items[key]
            self._note(key, None)
        return self.revision

    def copy(self) -> tuple[dict[str, tuple[bytes, int, int]], int]:
        """Returns a copy of the items and the revision."""
        return dict(self._items), self.revision

    def go_away(self) -> None:
        """Ends all connections; new ones are reset until `come_back`."""
        self.is_away = True
        for writer in list(self._writers):
            http.reset(writer)

    def come_back(
        self, copy: tuple[dict[str, tuple[bytes, int, int]], int] | None
    ) -> None:
        """Serves again; from a copy, if one is given, in a new era."""
        if copy is not None:
            self._items, self.revision = dict(copy[0]), copy[1]
            self._history.clear()
            self._history_start = self.revision
            self.era += 1
        self.is_away = False

    def _note(self, key: str, value: bytes | None) -> None:
        now = time.monotonic()
        self._history.append((now, key, value, self.revision))
        while self._history[0][0] < now - HISTORY_SECONDS:
            self._history_start = self._history.pop(0)[3]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_away:
            http.reset(writer)
            return
        self._writers.add(writer)
        try:
            while True:
                request = await http.read_message(reader)
                path, _, query = request.target.partition("?")
                fields = {
                    name: values[0]
                    for name, values in urllib.parse.parse_qs(
                        query, keep_blank_values=True
                    ).items()
                }
                if self._is_over_rate():
                    status, body = 429, {}
                else:
                    status, body = await self._answer(path, fields)
                name = f"{path} {status}"
                self.calls[name] = self.calls.get(name, 0) + 1
                writer.write(
                    http.encode(
                        f"HTTP/1.1 {status} Status",
                        {
                            "Content-Type": "application/json",
                            "Store-Era": str(self.era),
                        },
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _is_over_rate(self) -> bool:
        second = int(time.monotonic())
        count = self._second[1] + 1 if self._second[0] == second else 1
        self._second = (second, count)
        return count > READS_PER_SECOND

    async def _answer(
        self, path: str, fields: dict[str, str]
    ) -> tuple[int, dict[str, object]]:
        prefix = fields.get("prefix", "")
        if path == "/kv-key":
            item = self._items.get(fields.get("key", ""))
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, _encode(fields["key"], item)
        if path == "/kv-range":
            keys = sorted(
                key
                for key in self._items
                if key.startswith(prefix) and key > fields.get("after", "")
            )
            return 200, {
                "items": [_encode(k, self._items[k]) for k in keys[:PAGE_ITEMS]],
                "truncated": len(keys) > PAGE_ITEMS,
                "current_rev": self.revision,
            }
        if path != "/kv-watch":
            return 404, {}
        after = int(fields["after"])
        ends_at = time.monotonic() + int(fields.get("wait_ms", "0")) / 1000
        while True:
            if after < self._history_start or after > self.revision:
                return 410, {"current_rev": self.revision}
            events = [
                {"key": key, "revision": revision, "removed": True}
                if value is None
                else {
                    "key": key,
                    "revision": revision,
                    "value": base64.b64encode(value).decode(),
                    "lease": 0,
                }
                for _, key, value, revision in self._history
                if revision > after and key.startswith(prefix)
            ]
            remaining = ends_at - time.monotonic()
            if events or remaining <= 0.0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                continue


def _encode(key: str, item: tuple[bytes, int, int]) -> dict[str, object]:
    value, revision, created = item
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": revision,
        "create_rev": created,
        "lease": 0,
    }
