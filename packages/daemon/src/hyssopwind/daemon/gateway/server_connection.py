"""One connection to a server, which carries one request at a time.

aiohttp parses heads and chunks; where an answer ends is decided here, so that
bytes beyond it never reach a caller. A connection that shows anything but one
whole answer for each request carries no further request.
"""

import asyncio
import dataclasses
import re

import multidict
from aiohttp import base_protocol
from aiohttp import http_exceptions
from aiohttp import http_parser

from hyssopwind.core.attempts import judgement
from hyssopwind.platform import fields

MAX_HEAD_BYTES = 65_536  # bytes; heads of servers have a few hundred
MAX_ANSWER_BYTES = 67_108_864  # bytes; as much as one daemon may hold
MAX_SKIPPED_ANSWERS = 4  # late extra answers on one connection
_HEAD_END = b"\r\n\r\n"
_PARSER_BUFFER = 2**27  # bytes; above the largest answer, so never paused
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)")


class ExchangeError(Exception):
    """A request got no whole answer."""

    def __init__(self, kind: judgement.FailureKind, detail: str):
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail


@dataclasses.dataclass(frozen=True, slots=True)
class ServerAnswer:
    """A whole answer of a server."""

    status: int
    fields: "multidict.CIMultiDictProxy[str]"
    body: bytes


@dataclasses.dataclass(slots=True)
class _Pending:
    future: "asyncio.Future[ServerAnswer]"
    method: str
    request_id: str


class _Body:
    """Collects one body; `done` tells whether it is whole."""

    def __init__(
        self, message: http_parser.RawResponseMessage, method: str
    ) -> None:
        self.chunked = message.chunked
        self.data = bytearray()
        self.length: int | None = None
        self.until_end = False
        length = message.headers.get("Content-Length")
        if method == "HEAD" or message.code in (204, 304):
            self.length = 0
            self.chunked = False
        elif self.chunked:
            pass
        elif length is not None and length.isdigit():
            self.length = int(length)
        else:
            self.until_end = True

    @property
    def done(self) -> bool:
        """Whether all bytes of a body with a length are here."""
        return self.length is not None and len(self.data) >= self.length


class ServerConnection(base_protocol.BaseProtocol):
    """Sends requests and reads whole answers."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: str):
        super().__init__(loop)
        self._loop = loop
        self.address = address
        self.last_used = loop.time()
        self.keep_alive: float | None = None
        self._pending: _Pending | None = None
        self._buffer = bytearray()
        self._message: http_parser.RawResponseMessage | None = None
        self._body: _Body | None = None
        self._answer_parser: http_parser.HttpResponseParser | None = None
        self._payload: object = None
        self._skipped = 0
        self._closed = False

    @property
    def usable(self) -> bool:
        """Whether a request may be sent now."""
        return (
            not self._closed
            and self._pending is None
            and not self._buffer
            and self.transport is not None
            and not self.transport.is_closing()
        )

    async def exchange(
        self, data: bytes, method: str, request_id: str
    ) -> ServerAnswer:
        """Sends a request and returns the whole answer to it.

        Args:
            data: the bytes of the request.
            method: its method, which decides whether the answer has a body.
            request_id: the id that the answer must bear; empty for none.

        Raises:
            ExchangeError: no whole answer came.
        """
        if not self.usable or self.transport is None:
            raise ExchangeError(
                judgement.FailureKind.NOT_CONNECTED, "connection has ended"
            )
        future: asyncio.Future[ServerAnswer] = self._loop.create_future()
        self._pending = _Pending(future, method, request_id)
        self.transport.write(data)
        try:
            return await future
        finally:
            self._pending = None
            if not future.done() or future.cancelled():
                self.abort()
            self.last_used = self._loop.time()

    def abort(self) -> None:
        """Ends the connection at once."""
        self._closed = True
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the server."""
        if self._closed:
            return
        self._buffer += data
        if self._pending is None:
            # Bytes that answer nothing: the connection can't be trusted.
            self.abort()
            return
        try:
            self._read()
        except http_exceptions.BadHttpMessage as error:
            self._fail(judgement.FailureKind.GARBLED, repr(error)[:200])

    def eof_received(self) -> bool:
        """Ends an answer that has no length of its own."""
        body = self._body
        if body is not None and body.until_end:
            self._finish()
        else:
            self._fail(judgement.FailureKind.BROKEN, "ended by the server")
        return False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails the pending request, if there is one."""
        super().connection_lost(exc)
        self._fail(judgement.FailureKind.BROKEN, repr(exc))

    def _read(self) -> None:
        while self._pending is not None and self._buffer:
            if self._message is None and not self._read_head():
                return
            if not self._read_body():
                return
            self._finish()

    def _read_head(self) -> bool:
        end = self._buffer.find(_HEAD_END)
        if end < 0:
            if len(self._buffer) > MAX_HEAD_BYTES:
                self._fail(judgement.FailureKind.GARBLED, "head is too long")
            return False
        head = bytes(self._buffer[: end + len(_HEAD_END)])
        del self._buffer[: end + len(_HEAD_END)]
        parser = http_parser.HttpResponseParser(
            self,
            self._loop,
            _PARSER_BUFFER,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            read_until_eof=True,
            auto_decompress=False,
        )
        messages, _, _ = parser.feed_data(head)
        if not messages:
            self._fail(judgement.FailureKind.GARBLED, "head has no answer")
            return False
        message, payload = messages[0]
        if 100 <= message.code < 200:
            return bool(self._buffer) and self._read_head()
        self._message = message
        self._answer_parser, self._payload = parser, payload
        assert self._pending is not None
        self._body = _Body(message, self._pending.method)
        return True

    def _read_body(self) -> bool:
        """Moves bytes of the body; returns whether it is whole."""
        body = self._body
        assert body is not None
        if body.chunked:
            return self._read_chunks(body)
        wanted = len(self._buffer)
        if body.length is not None:
            wanted = body.length - len(body.data)
        body.data += self._buffer[:wanted]
        del self._buffer[:wanted]
        if len(body.data) > MAX_ANSWER_BYTES:
            self._fail(judgement.FailureKind.TOO_LARGE, "answer is too large")
            return False
        return body.done

    def _read_chunks(self, body: _Body) -> bool:
        payload = self._payload
        data, self._buffer = bytes(self._buffer), bytearray()
        assert self._answer_parser is not None
        try:
            self._answer_parser.feed_data(data)
        except http_exceptions.BadHttpMessage:
            # Bytes after the last chunk raise too; the answer is whole then.
            if not payload.is_eof() or payload.exception():  # type: ignore
                raise
            self._closed = True
        body.data += payload.read_nowait()  # type: ignore[attr-defined]
        return bool(payload.is_eof())  # type: ignore[attr-defined]

    def _finish(self) -> None:
        message, body, pending = self._message, self._body, self._pending
        self._message = self._body = self._answer_parser = self._payload = None
        if message is None or body is None or pending is None:
            return
        if not _belongs(message, pending):
            self._skip()
            return
        answer = ServerAnswer(message.code, message.headers, bytes(body.data))
        self._note_keep_alive(message, body)
        self._pending = None
        if not pending.future.done():
            pending.future.set_result(answer)
        if self._closed or self._buffer:
            self.abort()

    def _skip(self) -> None:
        """Drops a late extra answer; the one that was asked for follows."""
        self._skipped += 1
        if self._skipped > MAX_SKIPPED_ANSWERS:
            self._fail(judgement.FailureKind.GARBLED, "too many extra answers")

    def _note_keep_alive(
        self, message: http_parser.RawResponseMessage, body: _Body
    ) -> None:
        if message.should_close or body.until_end or self._skipped:
            self._closed = True
        match = _KEEP_ALIVE_TIMEOUT.search(
            message.headers.get("Keep-Alive", "").lower()
        )
        if match:
            self.keep_alive = float(match[1])

    def _fail(self, kind: judgement.FailureKind, detail: str) -> None:
        pending, self._pending = self._pending, None
        if pending is not None and not pending.future.done():
            pending.future.set_exception(ExchangeError(kind, detail))
        self.abort()


def _belongs(
    message: http_parser.RawResponseMessage, pending: _Pending
) -> bool:
    """Whether an answer is to the pending request.

    Servers echo the id of the request; an answer to a health check has none.
    """
    return message.headers.get(fields.REQUEST_ID, "") in (
        "",
        pending.request_id,
    )
