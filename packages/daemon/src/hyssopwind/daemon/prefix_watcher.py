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
import contextlib
import dataclasses
import random
from collections.abc import Mapping
from typing import Annotated
from typing import Any
from typing import TypeAlias

import aiohttp
import logbook
import msgspec
import reactivex
from reactivex import subject

from hyssopwind.core import decoding
from hyssopwind.core import left_out
from hyssopwind.daemon import metrics

WATCH_DURATION_SECONDS = 10.0
CALL_TIMEOUT_SECONDS = 3.0
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
MAX_LINE_BYTES = 4_000_000

MAX_REVISION = 2**63 - 1

_FAILURES = (
    aiohttp.ClientError,
    OSError,
    TimeoutError,
    # The answer does not follow the protocol.
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
    """All keys below the prefix, without the prefix, at one revision.

    Attributes:
        entries: the entries by their keys.
        revision: revision of the listing.
        unreadable_keys: keys that exist and whose entries cannot be decoded.
    """

    entries: Mapping[str, Entry]
    revision: int
    unreadable_keys: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A changed key; `value` is `None` for a deletion."""

    key: str
    value: bytes | None
    revision: int


# The services write integers of 64 bits as text.
_Revision: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


class _Header(msgspec.Struct):
    revision: _Revision


class _KeyValue(msgspec.Struct):
    # Key and value are Base64 text.
    key: str
    mod_revision: _Revision
    value: str = ""


class _Key(msgspec.Struct):
    """The key of an entry whose other fields cannot be decoded."""

    key: str


class _Position(msgspec.Struct):
    """The revision of an entry whose other fields cannot be decoded."""

    mod_revision: _Revision


class _Range(msgspec.Struct):
    header: _Header
    kvs: list[_KeyValue] = []


class _RawRange(msgspec.Struct):
    """A listing with entries that cannot be decoded among the others."""

    header: _Header
    kvs: list[msgspec.Raw] = []


class _Event(msgspec.Struct):
    # A `_KeyValue`, unless it cannot be decoded.
    kv: msgspec.Raw
    type: str = "PUT"


class _WatchResult(msgspec.Struct):
    # Each an `_Event`, unless it cannot be decoded.
    events: list[msgspec.Raw] = []
    canceled: bool = False


class _WatchMessage(msgspec.Struct):
    result: _WatchResult | None = None


_RANGE_DECODER = decoding.JsonDecoder[_Range](_Range, strict=False)
_RAW_RANGE_DECODER = decoding.JsonDecoder[_RawRange](_RawRange, strict=False)
_KEY_VALUE_DECODER = decoding.JsonDecoder[_KeyValue](_KeyValue, strict=False)
_KEY_DECODER = decoding.JsonDecoder[_Key](_Key)
_POSITION_DECODER = decoding.JsonDecoder[_Position](_Position, strict=False)
_EVENT_DECODER = decoding.JsonDecoder[_Event](_Event)
_WATCH_DECODER = decoding.JsonDecoder[_WatchMessage](_WatchMessage)


class PrefixWatcher:
    """Publishes the listings and changes of one prefix as observables.

    An entry that cannot be decoded is left out of its listing or change.
    """

    def __init__(
        self,
        name: str,
        url: str,
        prefix: str,
        session: aiohttp.ClientSession,
        counters: metrics.Metrics,
        left_out_parts: left_out.LeftOutParts | None = None,
        source: left_out.Source = left_out.Source.VM_LISTING,
    ):
        self._left_out_parts = left_out_parts or left_out.LeftOutParts()
        self._source = source
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
            answer = await response.read()
        listing = self._decode_listing(answer)
        self._counters.platform_calls.labels(self._name, "listed").inc()
        self._listings.on_next(listing)
        return listing.revision

    def _decode_listing(self, body: bytes) -> Listing:
        """Returns a listing of the entries that can be decoded.

        Raises:
            DecodeError: the answer is no listing.
        """
        listed: _Range | _RawRange
        try:
            listed = _RANGE_DECODER.decode(body)
        except decoding.DecodeError:
            listed = _RAW_RANGE_DECODER.decode(body)
        entries = {}
        unreadable_keys = set()
        for part in listed.kvs:
            try:
                entry, key = self._decode_entry(part)
            except decoding.DecodeError as error:
                unreadable_keys.add(self._leave_out(part, error))
                continue
            entries[key] = entry
        self._left_out_parts.keep(self._source, unreadable_keys)
        unreadable_keys.discard("")
        return Listing(
            entries, listed.header.revision, frozenset(unreadable_keys)
        )

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
        """Publishes the changes of a line; returns the last revision.

        Raises:
            ValueError: the watch has failed, or the line has a change that is
                not known, so that the prefix must be listed again.
        """
        result = _WATCH_DECODER.decode(line).result
        if result is None:
            raise ValueError(f"the watch failed: {_quote(line)}")
        if result.canceled:
            raise ValueError("the watch was cancelled by the service")
        must_list = False
        for raw in result.events:
            raw_entry = raw
            try:
                event = _EVENT_DECODER.decode(raw)
                raw_entry = event.kv
                entry, key = self._decode_entry(raw_entry)
            except decoding.DecodeError as error:
                if self._leave_out(raw_entry, error):
                    must_list = True
                    continue
                # A key that cannot be decoded names nothing that is used here.
                position = _decode_revision(raw_entry)
                must_list = must_list or position is None
                revision = max(revision, position or 0)
                continue
            self._left_out_parts.clear(self._source, key)
            revision = max(revision, entry.revision)
            value = None if event.type == "DELETE" else entry.value
            self._changes.on_next(Change(key, value, entry.revision))
        if must_list:
            raise ValueError("a change cannot be decoded")
        return revision

    def _decode_entry(self, part: _KeyValue | msgspec.Raw) -> tuple[Entry, str]:
        """Returns an entry and its key without the prefix.

        Raises:
            DecodeError: it cannot be decoded.
        """
        if isinstance(part, _KeyValue):
            key_value = part
        else:
            key_value = _KEY_VALUE_DECODER.decode(part)
        entry = Entry(
            decoding.decode_base64(key_value.value), key_value.mod_revision
        )
        return entry, self._decode_key(key_value.key)

    def _decode_key(self, text: str) -> str:
        key = decoding.decode_utf8(decoding.decode_base64(text))
        return key.removeprefix(self._prefix)

    def _leave_out(
        self, part: _KeyValue | msgspec.Raw, error: decoding.DecodeError
    ) -> str:
        """Records an entry that is left out; returns its key or no text."""
        key = ""
        with contextlib.suppress(decoding.DecodeError):
            if isinstance(part, _KeyValue):
                key = self._decode_key(part.key)
            else:
                key = self._decode_key(_KEY_DECODER.decode(part).key)
        if self._left_out_parts.record(self._source, key, [str(error)]):
            _log.warn(
                "entry of a platform service left out",
                extra={
                    "service": self._name,
                    "key": decoding.shorten(key),
                    "error": str(error),
                },
            )
        return key


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


def _decode_revision(raw: msgspec.Raw) -> int | None:
    try:
        return _POSITION_DECODER.decode(raw).mod_revision
    except decoding.DecodeError:
        return None


def _quote(line: bytes) -> str:
    return decoding.shorten(repr(line[: decoding.MAX_REASON_CHARACTERS]))
