"""Reads the answer to one request off a stream of bytes."""

import dataclasses

import httptools
import multidict

from hyssopwind.transport import heads

MAX_HEAD_BYTES = 65_536  # bytes; heads of servers have a few hundred
MAX_ANSWER_BYTES = 67_108_864  # bytes; as much as one daemon may hold
_HEAD_END = b"\r\n\r\n"


class BadAnswerError(Exception):
    """Bytes that are no answer; the text says why."""


class AnswerTooLargeError(Exception):
    """The body is over `MAX_ANSWER_BYTES`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.

    Attributes:
        status: the status code.
        fields: header fields.
        body: the whole body.
        keeps: whether the connection may be used again.
    """

    status: int
    fields: "multidict.CIMultiDict[str]"
    body: bytes
    keeps: bool


class AnswerReader:
    r"""Reads one answer; bytes beyond it stay in `rest`.

    Examples:
        >>> reader = AnswerReader("GET")
        >>> reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
        >>> reader.answer is None
        True
        >>> reader.feed(b"okextra")
        >>> reader.answer.body, bytes(reader.rest)
        (b'ok', b'extra')
    """

    def __init__(self, method: str):
        self.rest = bytearray()
        self.answer: Answer | None = None
        self._method = method
        self._body = bytearray()
        self._head: _Head | None = None

    def feed(self, data: bytes) -> None:
        """Takes bytes in.

        Raises:
            BadAnswerError: the bytes are no answer.
            AnswerTooLargeError: the body is too large.
        """
        self.rest += data
        while self._head is None:
            if not self._read_head():
                return
        if self.answer is None:
            self._read_body(self._head)

    def feed_end(self) -> None:
        """Notes that the stream has ended in order.

        It completes an answer that has neither a length nor chunks.
        """
        head = self._head
        if head is None or self.answer is not None or not head.until_end:
            return
        self._finish(head, keeps=False)

    def _read_head(self) -> bool:
        end = self.rest.find(_HEAD_END)
        if end < 0:
            if len(self.rest) > MAX_HEAD_BYTES:
                raise BadAnswerError("the head is too long")
            return False
        head = _Head(self._method)
        head.feed(bytes(self.rest[: end + len(_HEAD_END)]))
        del self.rest[: end + len(_HEAD_END)]
        if not head.is_complete:
            raise BadAnswerError("the head is not complete")
        if not 100 <= head.status < 200:
            self._head = head
        return True

    def _read_body(self, head: "_Head") -> None:
        if head.chunked:
            self._read_chunks(head)
            return
        wanted = len(self.rest)
        if head.length is not None:
            wanted = head.length - len(self._body)
        self._body += self.rest[:wanted]
        del self.rest[:wanted]
        if len(self._body) > MAX_ANSWER_BYTES:
            raise AnswerTooLargeError
        if head.length is not None and len(self._body) >= head.length:
            self._finish(head, keeps=head.keeps)

    def _read_chunks(self, head: "_Head") -> None:
        data = bytes(self.rest)
        self.rest.clear()
        is_clean = True
        try:
            head.feed(data)
        except BadAnswerError:
            # Bytes after the last chunk fail too; the answer is whole then.
            if not head.is_body_complete:
                raise
            is_clean = False
        self._body = head.body
        if len(self._body) > MAX_ANSWER_BYTES:
            raise AnswerTooLargeError
        if head.is_body_complete:
            keeps = head.keeps and is_clean and not head.has_more
            self._finish(head, keeps=keeps)

    def _finish(self, head: "_Head", *, keeps: bool) -> None:
        self.answer = Answer(head.status, head.fields, bytes(self._body), keeps)


class _Head:
    """One head, and the chunks behind it; called back by the parser."""

    def __init__(self, method: str):
        self.fields = heads.new_fields()
        self.body = bytearray()
        self.status = 0
        self.keeps = False
        self.chunked = False
        self.length: int | None = None
        self.until_end = False
        self.is_complete = False
        self.is_body_complete = False
        self.has_more = False
        self._method = method
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Gives bytes to the parser.

        Raises:
            BadAnswerError: they are no part of an answer.
        """
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as bad:
            raise BadAnswerError(repr(bad)) from bad

    def on_message_begin(self) -> None:
        """Notes a second answer behind the first."""
        self.has_more = self.is_body_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header field."""
        if not self.is_complete:
            heads.add_field(self.fields, name, value)

    def on_headers_complete(self) -> None:
        """Decides how the body is framed."""
        if self.is_complete:
            return
        self.is_complete = True
        self.status = self._parser.get_status_code()
        self.keeps = self._parser.should_keep_alive()
        length = self.fields.get("Content-Length", "")
        if self._method == "HEAD" or self.status in (204, 304):
            self.length = 0
        elif "chunked" in self.fields.get("Transfer-Encoding", "").lower():
            self.chunked = True
        elif length.isdigit():
            self.length = int(length)
        else:
            self.until_end = True

    def on_body(self, data: bytes) -> None:
        """Takes a piece of a chunked body."""
        if not self.is_body_complete:
            self.body += data

    def on_message_complete(self) -> None:
        """Notes the end of a chunked body."""
        if self.chunked:
            self.is_body_complete = True
