"""Stand-in for the platform's configuration service and list of VMs.

The server implements the part of the etcd v3 JSON gateway that readers use,
range and watch, and a control interface for tests and tools.

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
    """How the service behaves.

    Attributes:
        UP: it answers with current values.
        DOWN: it answers 503.
        STALE: it answers with the values as of the change to this mode.
        SILENT: it accepts requests and does not answer.
    """

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
    """Keys with revisions, and the history of changes.

    Attributes:
        call_count: number of calls so far, plus one for each check of a watch
            for new events.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._history: list[Event] = []
        self._frozen_state: tuple[dict[str, Entry], int] | None = None
        self._changed = asyncio.Event()
        self._mode = Mode.UP
        self.call_count = 0

    @property
    def revision(self) -> int:
        """The revision that readers get."""
        if self._frozen_state is not None:
            return self._frozen_state[1]
        return len(self._history) + 1

    @property
    def mode(self) -> Mode:
        """The current mode."""
        return self._mode

    def set_mode(self, mode: Mode) -> None:
        """Changes the mode; `STALE` freezes the values that readers get."""
        if mode is Mode.STALE and self._frozen_state is None:
            self._frozen_state = (dict(self._entries), self.revision)
        if mode is Mode.UP:
            self._frozen_state = None
        self._mode = mode
        self._notify_waiters()

    def put(self, key: str, value: bytes | None) -> int:
        """Writes or deletes a key and returns the new revision."""
        revision = len(self._history) + 2  # The first change has revision 2.
        self._history.append(Event(key, value, revision))
        if value is None:
            self._entries.pop(key, None)
        else:
            self._entries[key] = Entry(value, revision)
        self._notify_waiters()
        return revision

    def read(self, prefix: str) -> dict[str, Entry]:
        """Returns the entries below a prefix."""
        entries = self._frozen_state[0] if self._frozen_state else self._entries
        return {k: e for k, e in entries.items() if k.startswith(prefix)}

    def events_since(self, prefix: str, revision: int) -> list[Event]:
        """Returns the changes below a prefix since `revision`, inclusive."""
        last_revision = self.revision
        return [
            event
            for event in self._history[max(0, revision - 2) :]
            if event.key.startswith(prefix) and event.revision <= last_revision
        ]

    async def wait_for_change(self) -> None:
        """Waits until a value or the mode changes."""
        await self._changed.wait()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _encode_base64(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _decode_base64(text: str) -> str:
    return base64.b64decode(text).decode()


class JsonGateway:
    """HTTP interface of the store."""

    def __init__(self, store: KeyValueStore):
        self._store = store

    def make_application(self) -> web.Application:
        """Returns the web application."""
        app = web.Application(client_max_size=4_000_000)
        app.router.add_post("/v3/kv/range", self._handle_range)
        app.router.add_post("/v3/watch", self._handle_watch)
        app.router.add_post("/control/put", self._handle_put)
        app.router.add_post("/control/mode", self._handle_set_mode)
        app.router.add_get("/control/calls", self._handle_call_count)
        return app

    async def _handle_range(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        await self._apply_mode()
        prefix = _decode_base64(body["key"])
        pairs = [
            {
                "key": _encode_base64(key.encode()),
                "value": _encode_base64(entry.value),
                "mod_revision": str(entry.revision),
            }
            for key, entry in self._store.read(prefix).items()
        ]
        header = {"revision": str(self._store.revision)}
        return web.json_response({"header": header, "kvs": pairs})

    async def _handle_watch(self, request: web.Request) -> web.StreamResponse:
        body = (await request.json())["create_request"]
        await self._apply_mode()
        prefix = _decode_base64(body["key"])
        revision = int(body.get("start_revision", self._store.revision + 1))
        response = web.StreamResponse()
        await response.prepare(request)
        await self._send(response, {"created": True})
        while True:
            await self._apply_mode()
            events = self._store.events_since(prefix, revision)
            if events:
                revision = events[-1].revision + 1
                await self._send(response, {"events": _encode_events(events)})
                continue
            await self._store.wait_for_change()

    async def _send(
        self, response: web.StreamResponse, result: dict[str, Any]
    ) -> None:
        header = {"revision": str(self._store.revision)}
        line = json.dumps({"result": {"header": header, **result}})
        await response.write(line.encode() + b"\n")

    async def _apply_mode(self) -> None:
        self._store.call_count += 1
        while self._store.mode is Mode.SILENT:
            await self._store.wait_for_change()
        if self._store.mode is Mode.DOWN:
            raise web.HTTPServiceUnavailable()

    async def _handle_put(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        value = body["value"]
        data = None if value is None else value.encode()
        return web.json_response(
            {"revision": self._store.put(body["key"], data)}
        )

    async def _handle_set_mode(
        self, request: web.Request
    ) -> web.StreamResponse:
        self._store.set_mode(Mode((await request.json())["mode"]))
        return web.json_response({})

    async def _handle_call_count(
        self, request: web.Request
    ) -> web.StreamResponse:
        return web.json_response({"calls": self._store.call_count})


def _encode_events(events: list[Event]) -> list[dict[str, Any]]:
    encoded = []
    for event in events:
        pair = {
            "key": _encode_base64(event.key.encode()),
            "mod_revision": str(event.revision),
        }
        if event.value is None:
            encoded.append({"type": "DELETE", "kv": pair})
            continue
        encoded.append({"kv": {**pair, "value": _encode_base64(event.value)}})
    return encoded


def main() -> None:
    """Runs the service until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    asyncio.run(_serve(arguments.port))


async def _serve(port: int) -> None:
    gateway = JsonGateway(KeyValueStore())
    runner = web.AppRunner(gateway.make_application(), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    main()
