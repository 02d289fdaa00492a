"""Stand-in of the platform's configuration service and list of VMs.

It answers the part of the etcd v3 JSON gateway that a reader uses, range and
watch, and has a control interface of its own for tests and tools.

References:
    https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/
"""

import argparse
import asyncio
import base64
import dataclasses
import enum
import json
from typing import Any

from aiohttp import web


class Mode(enum.Enum):
    """How the service behaves."""

    UP = "up"
    DOWN = "down"
    STALE = "stale"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A value with the revision of its last change."""

    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change of one key; `value` is `None` for a deletion."""

    key: str
    value: bytes | None
    revision: int


class KeyValueStore:
    """Keys with revisions, and the history of changes."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._history: list[Event] = []
        self._frozen: tuple[dict[str, Entry], int] | None = None
        self._changed = asyncio.Event()
        self._mode = Mode.UP
        self.calls = 0

    @property
    def revision(self) -> int:
        """The revision that readers see."""
        if self._frozen is not None:
            return self._frozen[1]
        return len(self._history) + 1

    @property
    def mode(self) -> Mode:
        """How the service behaves now."""
        return self._mode

    def set_mode(self, mode: Mode) -> None:
        """Changes the behaviour; `STALE` goes on showing today's values."""
        if mode is Mode.STALE and self._frozen is None:
            self._frozen = (dict(self._entries), self.revision)
        if mode is Mode.UP:
            self._frozen = None
        self._mode = mode
        self._wake()

    def put(self, key: str, value: bytes | None) -> int:
        """Writes or deletes a key and returns the new revision."""
        revision = len(self._history) + 2
        self._history.append(Event(key, value, revision))
        if value is None:
            self._entries.pop(key, None)
        else:
            self._entries[key] = Entry(value, revision)
        self._wake()
        return revision

    def read(self, prefix: str) -> dict[str, Entry]:
        """Returns the entries below a prefix."""
        entries = self._frozen[0] if self._frozen else self._entries
        return {k: e for k, e in entries.items() if k.startswith(prefix)}

    def events_since(self, prefix: str, revision: int) -> list[Event]:
        """Returns the changes below a prefix from `revision` on."""
        last = self.revision
        return [
            event
            for event in self._history[max(0, revision - 2) :]
            if event.key.startswith(prefix) and event.revision <= last
        ]

    async def wait(self) -> None:
        """Waits for a change of values or of the mode."""
        await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


class Gateway:
    """HTTP interface of the store."""

    def __init__(self, store: KeyValueStore):
        self._store = store

    def application(self) -> web.Application:
        """Returns the web application."""
        app = web.Application(client_max_size=4_000_000)
        app.router.add_post("/v3/kv/range", self._range)
        app.router.add_post("/v3/watch", self._watch)
        app.router.add_post("/control/put", self._put)
        app.router.add_post("/control/mode", self._set_mode)
        app.router.add_get("/control/calls", self._calls)
        return app

    async def _range(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        await self._admit()
        prefix = _decode(body["key"])
        pairs = [
            {
                "key": _encode(key.encode()),
                "value": _encode(entry.value),
                "mod_revision": str(entry.revision),
            }
            for key, entry in self._store.read(prefix).items()
        ]
        header = {"revision": str(self._store.revision)}
        return web.json_response({"header": header, "kvs": pairs})

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        body = (await request.json())["create_request"]
        await self._admit()
        prefix = _decode(body["key"])
        revision = int(body.get("start_revision", self._store.revision + 1))
        response = web.StreamResponse()
        await response.prepare(request)
        await self._send(response, {"created": True})
        while True:
            await self._admit()
            events = self._store.events_since(prefix, revision)
            if events:
                revision = events[-1].revision + 1
                await self._send(response, {"events": _render(events)})
                continue
            await self._store.wait()

    async def _send(
        self, response: web.StreamResponse, result: dict[str, Any]
    ) -> None:
        header = {"revision": str(self._store.revision)}
        line = json.dumps({"result": {"header": header, **result}})
        await response.write(line.encode() + b"\n")

    async def _admit(self) -> None:
        self._store.calls += 1
        while self._store.mode is Mode.SILENT:
            await self._store.wait()
        if self._store.mode is Mode.DOWN:
            raise web.HTTPServiceUnavailable()

    async def _put(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        value = body["value"]
        data = None if value is None else value.encode()
        return web.json_response(
            {"revision": self._store.put(body["key"], data)}
        )

    async def _set_mode(self, request: web.Request) -> web.StreamResponse:
        self._store.set_mode(Mode((await request.json())["mode"]))
        return web.json_response({})

    async def _calls(self, request: web.Request) -> web.StreamResponse:
        return web.json_response({"calls": self._store.calls})


def _render(events: list[Event]) -> list[dict[str, Any]]:
    rendered = []
    for event in events:
        pair = {
            "key": _encode(event.key.encode()),
            "mod_revision": str(event.revision),
        }
        if event.value is None:
            rendered.append({"type": "DELETE", "kv": pair})
            continue
        rendered.append({"kv": {**pair, "value": _encode(event.value)}})
    return rendered


def main() -> None:
    """Runs the service until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    asyncio.run(_serve(arguments.port))


async def _serve(port: int) -> None:
    gateway = Gateway(KeyValueStore())
    runner = web.AppRunner(gateway.application(), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    main()
