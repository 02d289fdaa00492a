"""Parses the answer to one request from a stream of bytes."""

import dataclasses
import re
from collections.abc import Callable
from typing import TypeAlias

import httptools
import multidict

from hyssopwind.transport import heads

MAX_HEAD_BYTES = 65_536  # heads of servers have a few hundred bytes
MAX_ANSWER_BYTES = 67_108_864  # the most that one daemon may hold
# Bytes of chunk sizes, extensions and trailers: at least this many, and up to
# this ratio of the body, as a chunk of one byte takes six.
MAX_CHUNK_OVERHEAD_BYTES = 65_536
MAX_CHUNK_OVERHEAD_RATIO = 8
MAX_INTERIM_ANSWERS = 16  # heads with a status of 100 to 199
_HEAD_END = b"\r\n\r\n"
_HEAD_START = b"HTTP/1."
_START_LINE = re.compile(rb"HTTP/\d\.\d +\d{3}")
_MAX_START_LINE_BYTES = 64

# Returns why the head of an answer cannot be right; empty if it can.
HeadCheck: TypeAlias = Callable[[int, "multidict.CIMultiDict[str]"], str]


class BadAnswerError(Exception):
    """The bytes are not a valid answer; the message says why."""


class AnswerTooLargeError(Exception):
    """The answer is larger than it may be."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.

    Attributes:
        status: the status code.
        fields: header fields.
        body: the whole body.
        may_reuse_connection: whether the connection may be reused.
    """

    status: int
    fields: "multidict.CIMultiDict[str]"
    body: bytes
    may_reuse_connection: bool


def accept_head(status: int, fields: "multidict.CIMultiDict[str]") -> str:
    """Finds no fault in any head."""
    del status, fields
    return ""


class AnswerReader:
    r"""Parses one answer; bytes beyond it remain in `remaining`.

    An answer that was cut continues with the bytes of the next one, and the two
    then look like one answer. Such answers are rejected.

    Args:
        method: the method of the request.
        check_head: finds faults in heads beyond those of the framing.

    Examples:
        >>> reader = AnswerReader("GET")
        >>> reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
        >>> reader.answer is None
        True
        >>> reader.feed(b"okextra")
        >>> reader.answer.body, bytes(reader.remaining)
        (b'ok', b'extra')
    """

    def __init__(self, method: str, check_head: HeadCheck = accept_head):
        self.remaining = bytearray()
        self.answer: Answer | None = None
        self._method = method
        self._check_head = check_head
        self._body = bytearray()
        self._head: _Head | None = None
        # The end of the chunks that the parser has got.
        self._last_bytes = b""
        self._searched_bytes = 0
        self._interim_count = 0
        self._chunked_bytes = 0

    @property
    def held_bytes(self) -> int:
        """The bytes that the reader holds."""
        return len(self.remaining) + len(self._body)

    @property
    def known_bytes(self) -> int:
        """The length of the body as far as it is known."""
        if self._head is None:
            return 0
        return max(self._head.body_length or 0, len(self._body))

    def feed(self, data: bytes) -> None:
        """Parses further bytes of the stream.

        Raises:
            BadAnswerError: the bytes are not a valid answer.
            AnswerTooLargeError: the body is larger than `MAX_ANSWER_BYTES`.
        """
        self.remaining += data
        while self._head is None:
            if not self._read_head():
                return
            if self._interim_count > MAX_INTERIM_ANSWERS:
                raise BadAnswerError("too many interim answers")
        if self.answer is None:
            self._read_body(self._head)

    def feed_end(self) -> None:
        """Handles the orderly end of the stream.

        It completes an answer that has neither a length nor chunks.
        """
        head = self._head
        if (
            head is None
            or self.answer is not None
            or not head.ends_with_connection
        ):
            return
        self._finish(head, may_reuse=False)

    def _read_head(self) -> bool:
        # The end of the head may have begun in the bytes searched before.
        start = max(0, self._searched_bytes - len(_HEAD_END) + 1)
        end = self.remaining.find(_HEAD_END, start)
        if end < 0:
            if len(self.remaining) > MAX_HEAD_BYTES:
                raise BadAnswerError("the head is too long")
            self._searched_bytes = len(self.remaining)
            return False
        self._searched_bytes = 0
        data = bytes(self.remaining[: end + len(_HEAD_END)])
        _check_start_lines(data)
        head = _Head(self._method)
        head.feed(data)
        del self.remaining[: len(data)]
        if not head.is_complete:
            raise BadAnswerError("the head is not complete")
        fault = head.find_fault() or self._check_head(head.status, head.fields)
        if fault:
            raise BadAnswerError(fault)
        if 100 <= head.status < 200:
            self._interim_count += 1
        else:
            self._head = head
        return True

    def _read_body(self, head: "_Head") -> None:
        if head.is_chunked:
            self._read_chunks(head)
            return
        byte_count = len(self.remaining)
        if head.body_length is not None:
            byte_count = head.body_length - len(self._body)
        self._body += self.remaining[:byte_count]
        del self.remaining[:byte_count]
        if len(self._body) > MAX_ANSWER_BYTES:
            raise AnswerTooLargeError
        if head.body_length is not None and len(self._body) >= head.body_length:
            self._finish(head, may_reuse=head.may_reuse)

    def _read_chunks(self, head: "_Head") -> None:
        # The parser does not tell where the answer ends, so it gets the bytes
        # up to each possible end. Those that follow may be another answer.
        while self.remaining and not head.is_body_complete:
            piece = bytes(self.remaining[: self._possible_end()])
            del self.remaining[: len(piece)]
            self._chunked_bytes += len(piece)
            self._last_bytes = (self._last_bytes + piece)[-len(_HEAD_END) :]
            head.feed(piece)
        self._body = head.body
        if len(self._body) > MAX_ANSWER_BYTES:
            raise AnswerTooLargeError
        overhead = self._chunked_bytes - len(self._body)
        if overhead > MAX_CHUNK_OVERHEAD_BYTES + (
            MAX_CHUNK_OVERHEAD_RATIO * len(self._body)
        ):
            raise BadAnswerError("the chunks have too much overhead")
        if head.is_body_complete:
            self._finish(head, may_reuse=head.may_reuse)

    def _possible_end(self) -> int:
        """Returns the number of bytes up to where chunks may end.

        The last chunk and its trailers end with an empty line, which may have
        begun in the bytes fed before.
        """
        for fed_count in range(len(_HEAD_END) - 1, 0, -1):
            count = len(_HEAD_END) - fed_count
            if (
                self._last_bytes.endswith(_HEAD_END[:fed_count])
                and self.remaining[:count] == _HEAD_END[fed_count:]
            ):
                return count
        position = self.remaining.find(_HEAD_END)
        if position < 0:
            return len(self.remaining)
        return position + len(_HEAD_END)

    def _finish(self, head: "_Head", *, may_reuse: bool) -> None:
        """Completes the answer.

        Raises:
            BadAnswerError: the body ends within another answer.
        """
        if self.remaining:
            data = bytes(self._body + self.remaining[:_MAX_START_LINE_BYTES])
            match = _START_LINE.search(data)
            if match and match.start() < len(self._body):
                raise BadAnswerError("the body holds a part of another answer")
        self.answer = Answer(
            head.status, head.fields, bytes(self._body), may_reuse
        )


def _check_start_lines(data: bytes) -> None:
    """Raises `BadAnswerError` unless a head has one start line, in front."""
    if not data.startswith(_HEAD_START):
        raise BadAnswerError("the head does not begin with a start line")
    if _START_LINE.search(data, len(_HEAD_START)):
        raise BadAnswerError("the head holds the start line of another answer")


class _Head:
    """Parser callbacks that collect one head and its chunked body."""

    def __init__(self, method: str):
        self.fields = heads.new_fields()
        self.body = bytearray()
        self.status = 0
        self.may_reuse = False
        self.is_chunked = False
        self.body_length: int | None = None
        self.ends_with_connection = False
        self.is_complete = False
        self.is_body_complete = False
        self._method = method
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Passes bytes to the parser.

        Raises:
            BadAnswerError: they are not part of a valid answer.
        """
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise BadAnswerError(repr(error)) from error

    def find_fault(self) -> str:
        """Returns why the complete head is not valid; empty if it is."""
        if not 100 <= self.status < 600:
            return f"the status is {self.status}, expected 100 to 599"
        codings = self.fields.getall("Transfer-Encoding", ())
        if codings and [each.lower() for each in codings] != ["chunked"]:
            return f'the body is encoded as {list(codings)}, expected "chunked"'
        return ""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field."""
        if not self.is_complete:
            heads.add_field(self.fields, name, value)

    def on_headers_complete(self) -> None:
        """Determines the status and how the body is framed."""
        if self.is_complete:
            return
        self.is_complete = True
        self.status = self._parser.get_status_code()
        self.may_reuse = self._parser.should_keep_alive()
        length = self.fields.get("Content-Length", "")
        if self._method == "HEAD" or self.status in (204, 304):
            self.body_length = 0
        elif "chunked" in self.fields.get("Transfer-Encoding", "").lower():
            self.is_chunked = True
        elif length.isascii() and length.isdigit():
            self.body_length = int(length)
        else:
            self.ends_with_connection = True

    def on_body(self, data: bytes) -> None:
        """Adds a part of a chunked body."""
        if not self.is_body_complete:
            self.body += data

    def on_message_complete(self) -> None:
        """Records the end of a chunked body."""
        if self.is_chunked:
            self.is_body_complete = True
