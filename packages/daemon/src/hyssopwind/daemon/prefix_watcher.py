"""Watches a key prefix of the configuration service or of the list of VMs.

The services implement the JSON gateway of etcd v3. A watcher lists the prefix
once and then watches it. It renews the watch after a bounded time, so that a
connection that has silently failed is replaced. The renewed watch starts at
the next revision, so that no change is repeated.

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

WATCH_DURATION_SECONDS = 10.0
CALL_TIMEOUT_SECONDS = 3.0
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
MAX_LINE_BYTES = 4_000_000

_FAILURES = (
    aiohttp.ClientError,
    OSError,
    TimeoutError,
    # These are raised for an answer that does not follow the protocol.
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)

_log = logbook.Logger("watching")


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A value and the revision of its last change."""

    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All keys below the prefix, without the prefix, at one revision."""

    entries: Mapping[str, Entry]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A changed key; `value` is `None` for a deletion."""

    key: str
    value: bytes | None
    revision: int


class PrefixWatcher:
    """Publishes the listings and changes of one prefix as observables."""

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
        """Whole listings: the first one, and one after each failure."""
        return self._listings

    @property
    def changes(self) -> reactivex.Observable[Change]:
        """Single changes since the last listing."""
        return self._changes

    async def run(self) -> None:
        """Lists and watches until it is cancelled."""
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        while True:
            try:
                revision = await self._list()
                backoff_seconds = INITIAL_BACKOFF_SECONDS
                while True:
                    revision = await self._watch(revision)
            except _FAILURES as error:
                self._counters.platform_calls.labels(self._name, "failed").inc()
                _log.warn(
                    "call to a platform service failed",
                    extra={"service": self._name, "error": repr(error)},
                )
            await asyncio.sleep(backoff_seconds * random.uniform(0.5, 1.0))
            backoff_seconds = min(MAX_BACKOFF_SECONDS, backoff_seconds * 2)

    async def _list(self) -> int:
        body = {**_prefix_range(self._prefix)}
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        async with self._session.post(
            f"{self._url}/v3/kv/range", json=body, timeout=timeout
        ) as response:
            response.raise_for_status()
            answer = await response.json()
        self._counters.platform_calls.labels(self._name, "listed").inc()
        revision = int(answer["header"]["revision"])
        entries = {}
        for key_value in answer.get("kvs", []):
            key = _decode(key_value["key"]).decode()
            entries[key.removeprefix(self._prefix)] = Entry(
                _decode(key_value.get("value", "")),
                int(key_value["mod_revision"]),
            )
        self._listings.on_next(Listing(entries, revision))
        return revision

    async def _watch(self, revision: int) -> int:
        """Watches for a bounded time and returns the last revision received."""
        create_request = {
            **_prefix_range(self._prefix),
            "start_revision": str(revision + 1),
        }
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CALL_TIMEOUT_SECONDS
        )
        try:
            async with (
                asyncio.timeout(WATCH_DURATION_SECONDS),
                self._session.post(
                    f"{self._url}/v3/watch",
                    json={"create_request": create_request},
                    timeout=timeout,
                ) as response,
            ):
                response.raise_for_status()
                self._counters.platform_calls.labels(
                    self._name, "watched"
                ).inc()
                async for line in _read_lines(response):
                    revision = self._handle_line(line, revision)
        except TimeoutError:
            return revision
        raise ValueError("the watch ended early")

    def _handle_line(self, line: bytes, revision: int) -> int:
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
        key_value = event["kv"]
        key = _decode(key_value["key"]).decode().removeprefix(self._prefix)
        value = None
        if event.get("type", "PUT") != "DELETE":
            value = _decode(key_value.get("value", ""))
        return Change(key, value, int(key_value["mod_revision"]))


async def _read_lines(response: aiohttp.ClientResponse) -> Any:
    """Yields whole lines, which may be longer than the reader's buffer."""
    buffer = b""
    async for chunk in response.content.iter_any():
        buffer += chunk
        if len(buffer) > MAX_LINE_BYTES:
            raise ValueError("a line of the watch is too long")
        while b"\n" in buffer:
            line, _, buffer = buffer.partition(b"\n")
            yield line


def _prefix_range(prefix: str) -> dict[str, str]:
    """Returns the range of all keys with a prefix, encoded for the service."""
    end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
    return {
        "key": base64.b64encode(prefix.encode()).decode(),
        "range_end": base64.b64encode(end.encode()).decode(),
    }


def _decode(text: str) -> bytes:
    return base64.b64decode(text)
