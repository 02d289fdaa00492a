"""Watches a path of the configuration service or of the list of VMs.

The services answer the JSON gateway of etcd v3. A watcher lists the path
once, then keeps one watch that it renews after a bounded time, so that a
connection that has gone silent is noticed. The renewed watch starts at the
next revision and repeats nothing.

References:
    https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/
"""

import asyncio
import base64
import dataclasses
import json
import random
from collections.abc import Mapping
from typing import Any

import aiohttp
import logbook
import reactivex
from reactivex import subject

from hyssopwind.daemon import metrics

WATCH_DURATION = 10.0  # seconds after which a watch is renewed
CALL_TIMEOUT = 3.0  # seconds
FIRST_BACKOFF = 0.1  # seconds
LONGEST_BACKOFF = 2.0  # seconds
MAX_LINE_BYTES = 4_000_000

_FAILURES = (
    aiohttp.ClientError,
    OSError,
    TimeoutError,
    # An answer of another shape than the protocol gives one of these.
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)

_log = logbook.Logger("watching")


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A value with the revision of its last change."""

    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The whole path at one revision; the keys are without the path."""

    entries: Mapping[str, Entry]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A changed key; `value` is `None` for a deletion."""

    key: str
    value: bytes | None
    revision: int


class PrefixWatcher:
    """Gives the listings and changes of one path as observables."""

    def __init__(
        self,
        name: str,
        url: str,
        prefix: str,
        session: aiohttp.ClientSession,
        counters: metrics.Metrics,
    ):
        self._name = name
        self._url = url.rstrip("/")
        self._prefix = prefix
        self._session = session
        self._counters = counters
        self._listings: subject.Subject[Listing] = subject.Subject()
        self._changes: subject.Subject[Change] = subject.Subject()

    @property
    def listings(self) -> reactivex.Observable[Listing]:
        """Whole listings, one after each new connection to the service."""
        return self._listings

    @property
    def changes(self) -> reactivex.Observable[Change]:
        """Single changes after a listing."""
        return self._changes

    async def run(self) -> None:
        """Lists and watches until it is cancelled."""
        backoff = FIRST_BACKOFF
        while True:
            try:
                revision = await self._list()
                backoff = FIRST_BACKOFF
                while True:
                    revision = await self._watch(revision)
            except _FAILURES as error:
                self._counters.platform_calls.labels(self._name, "failed").inc()
                _log.warn(
                    "platform service failed",
                    extra={"service": self._name, "error": repr(error)},
                )
            await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
            backoff = min(LONGEST_BACKOFF, backoff * 2)

    async def _list(self) -> int:
        body = {**_range(self._prefix)}
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT)
        async with self._session.post(
            f"{self._url}/v3/kv/range", json=body, timeout=timeout
        ) as response:
            response.raise_for_status()
            answer = await response.json()
        self._counters.platform_calls.labels(self._name, "listed").inc()
        revision = int(answer["header"]["revision"])
        entries = {}
        for pair in answer.get("kvs", []):
            key = _decode(pair["key"]).decode()
            entries[key.removeprefix(self._prefix)] = Entry(
                _decode(pair.get("value", "")), int(pair["mod_revision"])
            )
        self._listings.on_next(Listing(entries, revision))
        return revision

    async def _watch(self, revision: int) -> int:
        """Watches for a bounded time; returns the last revision seen."""
        create = {**_range(self._prefix), "start_revision": str(revision + 1)}
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CALL_TIMEOUT)
        try:
            async with (
                asyncio.timeout(WATCH_DURATION),
                self._session.post(
                    f"{self._url}/v3/watch",
                    json={"create_request": create},
                    timeout=timeout,
                ) as response,
            ):
                response.raise_for_status()
                self._counters.platform_calls.labels(
                    self._name, "watched"
                ).inc()
                async for line in _lines(response):
                    revision = self._take_line(line, revision)
        except TimeoutError:
            return revision
        raise ValueError("the watch ended early")

    def _take_line(self, line: bytes, revision: int) -> int:
        message = json.loads(line)
        if "result" not in message:
            raise ValueError(f"the watch failed: {message!r}")
        result = message["result"]
        if result.get("canceled"):
            raise ValueError("the watch was cancelled by the service")
        for event in result.get("events", []):
            change = self._read_event(event)
            revision = max(revision, change.revision)
            self._changes.on_next(change)
        return revision

    def _read_event(self, event: Mapping[str, Any]) -> Change:
        pair = event["kv"]
        key = _decode(pair["key"]).decode().removeprefix(self._prefix)
        value = None
        if event.get("type", "PUT") != "DELETE":
            value = _decode(pair.get("value", ""))
        return Change(key, value, int(pair["mod_revision"]))


async def _lines(response: aiohttp.ClientResponse) -> Any:
    """Yields whole lines; one may be longer than the reader's buffer."""
    rest = b""
    async for chunk in response.content.iter_any():
        rest += chunk
        if len(rest) > MAX_LINE_BYTES:
            raise ValueError("a line of the watch is too long")
        while b"\n" in rest:
            line, _, rest = rest.partition(b"\n")
            yield line


def _range(prefix: str) -> dict[str, str]:
    end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
    return {
        "key": base64.b64encode(prefix.encode()).decode(),
        "range_end": base64.b64encode(end.encode()).decode(),
    }


def _decode(text: str) -> bytes:
    return base64.b64decode(text)
