"""Parses the requests of a caller from a stream of bytes."""

import dataclasses
from collections.abc import Callable

import httptools
import multidict

from hyssopwind.core import outcomes
from hyssopwind.core.callers import caller_account
from hyssopwind.core.callers import head_decisions
from hyssopwind.core.routing import tables
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.platform import field_names
from hyssopwind.transport import boot_clock
from hyssopwind.transport import heads

# A request that repeats one of these could be read in two ways.
_SINGLE_FIELDS = ("Host", field_names.REQUEST_ID, field_names.DEADLINE)
# Bytes that are parsed at a time in a head, and in a body of chunks. Parsing
# stops between two such slices; the shortest requests have 18 bytes.
HEAD_SLICE_BYTES = 2_048
CHUNK_SLICE_BYTES = 16_384
# Bytes of chunk sizes, extensions and trailers, beside as many as a head may
# have, for each byte of a body of chunks. A chunk of one byte has 5.
MAX_CHUNK_OVERHEAD = 8
# Work for a request in units of the work for a field or a piece of a body.
_REQUEST_EVENTS = 16

JudgeHead = Callable[[caller_requests.CallerRequest], outcomes.Outcome | None]


class BadRequestError(Exception):
    """Bytes are not a valid HTTP request, or the request exceeds a limit."""

    def __init__(self, reason: outcomes.Reason, detail: str):
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequest:
    """A request that is ready to be served or answered.

    Attributes:
        request: the request; its body is empty if there is an outcome.
        cost: memory that it takes.
        outcome: its outcome, if the head decided it. The rest of the request
            may still be read and is discarded.
    """

    request: caller_requests.CallerRequest
    cost: int
    outcome: outcomes.Outcome | None = None


def accept_head(head: caller_requests.CallerRequest) -> None:
    """Judges no request by its head."""


class RequestReader:
    r"""Parses requests; httptools calls its `on_` methods.

    Args:
        judge_head: returns the outcome of a request with a body if its head
            decides it.

    Examples:
        >>> reader = RequestReader()
        >>> limits = tables.CallerLimits()
        >>> head = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
        >>> [r.request.target for r in reader.feed(head + head[:9], limits)]
        ['/a']
        >>> reader.is_between_requests
        False
    """

    def __init__(self, judge_head: JudgeHead = accept_head) -> None:
        self._judge_head = judge_head
        self._parser = httptools.HttpRequestParser(self)
        self._completed_requests: list[ReadRequest] = []
        self._event_count = 0
        self._message_count = 0
        self._failure: BadRequestError | None = None
        self._limits = tables.CallerLimits()
        self._is_reading_head = False
        self._is_reading_body = False
        self._received_head_bytes = 0
        # Length of the body; `None` for one in chunks.
        self._declared_bytes: int | None = None
        self._is_discarding = False
        self._reset()

    @property
    def is_between_requests(self) -> bool:
        """Whether no request is partly read that needs an answer."""
        return not self._is_reading_head and (
            self._is_discarding or not self._is_reading_body
        )

    @property
    def is_reading_head(self) -> bool:
        """Whether the head of a request is partly read."""
        return self._is_reading_head

    @property
    def is_reading_body(self) -> bool:
        """Whether the body of a request without an answer is partly read."""
        return self._is_reading_body and not self._is_discarding

    @property
    def is_discarding(self) -> bool:
        """Whether the rest of a request that has an outcome is read."""
        return self._is_reading_body and self._is_discarding

    @property
    def message_count(self) -> int:
        """Requests whose first byte was read."""
        return self._message_count

    @property
    def event_count(self) -> int:
        """Work so far, in units of a field or a piece of a body."""
        return self._event_count

    @property
    def slice_bytes(self) -> int:
        """Bytes to feed next, which bounds the work of one call."""
        if not self._is_reading_body:
            return HEAD_SLICE_BYTES
        if self._declared_bytes is None:
            return CHUNK_SLICE_BYTES
        return max(1, self._declared_bytes - self._body_bytes)

    @property
    def declared_bytes(self) -> int | None:
        """Length of the body, if the head states it."""
        return self._declared_bytes

    @property
    def received_body_bytes(self) -> int:
        """Bytes of the body so far."""
        return self._body_bytes

    @property
    def fields(self) -> "multidict.CIMultiDict[str]":
        """Fields of the request that is partly read."""
        return self._fields

    @property
    def held_bytes(self) -> int:
        """Memory of the request that is partly read."""
        if not self._is_reading_head and not self._is_reading_body:
            return 0
        return self._head_cost + 2 * len(self._body)

    @property
    def wanted_bytes(self) -> int:
        """Memory of that request when it is whole and being sent."""
        if not self.is_reading_body:
            return self.held_bytes
        body_bytes = self._declared_bytes
        if body_bytes is None:
            body_bytes = len(self._body)
        return self._head_cost + caller_account.BODY_COPIES * body_bytes

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for `100 Continue` to send its body."""
        return (
            self.is_reading_body
            and not self._body
            and self._fields.get("Expect", "").lower() == "100-continue"
        )

    @property
    def failure(self) -> BadRequestError | None:
        """The error in the bytes after the last complete request, if any."""
        return self._failure

    def feed(
        self, data: bytes, limits: tables.CallerLimits
    ) -> list[ReadRequest]:
        """Parses bytes and returns the requests that they complete.

        Sets `failure` if the bytes are invalid or exceed the limits.

        Args:
            data: bytes; the work is bounded if they are at most `slice_bytes`.
            limits: the limits in force.
        """
        self._limits = limits
        self._event_count += 1
        if self._is_reading_head:
            self._received_head_bytes += len(data)
        elif self._is_reading_body:
            self._received_chunk_bytes += len(data)
        try:
            self._feed(data)
        except httptools.HttpParserError as error:
            self._failure = _request_error(error)
        if (
            self._is_reading_head
            and self._received_head_bytes > limits.max_header_bytes
        ):
            self._failure = self._head_too_large_error()
        if (
            self._is_reading_body
            and self._declared_bytes is None
            and self._received_chunk_bytes
            > (1 + MAX_CHUNK_OVERHEAD) * self._body_bytes
            + limits.max_header_bytes
        ):
            self._failure = BadRequestError(
                outcomes.Reason.HEADER_TOO_LARGE,
                "the chunk sizes, extensions and trailers are over"
                f" {limits.max_header_bytes} bytes",
            )
        completed, self._completed_requests = self._completed_requests, []
        return completed

    def release(self) -> None:
        """Drops what is held of a request that is partly read."""
        self._body = bytearray()
        self._fields = heads.new_fields()
        self._url = b""
        self._head_cost = 0

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self._reset()
        self._message_count += 1
        self._is_reading_head = True

    def on_url(self, url: bytes) -> None:
        """Appends a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field."""
        self._event_count += 1
        # The colon, the space and the line end take 4 bytes.
        self._parsed_head_bytes += len(name) + len(value) + 4
        if (
            self._parsed_head_bytes + len(self._url)
            > self._limits.max_header_bytes
        ):
            raise self._head_too_large_error()
        if self._is_reading_body:
            return  # A trailer, which is not forwarded.
        self._head_cost += caller_account.field_cost(len(name) + len(value))
        heads.add_field(self._fields, name, value)

    def on_headers_complete(self) -> None:
        """Reads what the head states, and lets it be judged."""
        self._head_cost += 2 * len(self._url)
        self._is_reading_head = False
        self._is_reading_body = True
        self._method = self._parser.get_method().decode(heads.CHARSET)
        if self._method == "CONNECT":
            # Bytes behind its head would be read as another request.
            raise BadRequestError(
                outcomes.Reason.MALFORMED, "method CONNECT is not served"
            )
        for name in _SINGLE_FIELDS:
            if len(self._fields.getall(name, ())) > 1:
                raise BadRequestError(
                    outcomes.Reason.MALFORMED, f"the field {name} is repeated"
                )
        major, _, minor = self._parser.get_http_version().partition(".")
        self._version = (int(major), int(minor or 0))
        self._keeps_alive = self._parser.should_keep_alive()
        if "Transfer-Encoding" not in self._fields:
            # The parser has checked the length.
            self._declared_bytes = int(self._fields.get("Content-Length", 0))
        if self._declared_bytes == 0:
            return
        outcome = self._judge_head(self._make_request(b""))
        if outcome is not None:
            self._discard_rest(outcome)
            return
        if (
            self._declared_bytes is not None
            and self._declared_bytes > self._limits.max_body_bytes
        ):
            raise self._body_too_large_error()

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body."""
        self._event_count += 1
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.max_body_bytes:
            raise self._body_too_large_error()
        if not self._is_discarding:
            self._body += data

    def on_message_complete(self) -> None:
        """Adds the complete request to the result of `feed`."""
        self._is_reading_body = False
        if self._is_discarding:
            self._is_discarding = False
            return
        body = bytes(self._body)
        self._body = bytearray()
        cost = self._head_cost + caller_account.BODY_COPIES * len(body)
        self._add_request(self._make_request(body), cost, None)

    def _discard_rest(self, outcome: outcomes.Outcome) -> None:
        """Completes a request whose body is not needed."""
        self._is_discarding = True
        # A caller that gets a final answer instead of `100 Continue` may send
        # another request next, which would be read as the body.
        if self._fields.get("Expect", "").lower() == "100-continue":
            self._keeps_alive = False
        self._add_request(self._make_request(b""), self._head_cost, outcome)
        self._head_cost = 0

    def _make_request(self, body: bytes) -> caller_requests.CallerRequest:
        return caller_requests.CallerRequest(
            method=self._method,
            target=self._url.decode(heads.CHARSET),
            fields=self._fields,
            body=body,
            arrived_at=boot_clock.now(),
            version=self._version,
            closes_connection=not self._keeps_alive,
        )

    def _add_request(
        self,
        request: caller_requests.CallerRequest,
        cost: int,
        outcome: outcomes.Outcome | None,
    ) -> None:
        self._event_count += _REQUEST_EVENTS
        self._completed_requests.append(ReadRequest(request, cost, outcome))

    def _feed(self, data: bytes) -> None:
        while data:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                # Upgrades are not supported; the bytes left are a new request.
                data = data[upgrade.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
                continue
            return

    def _reset(self) -> None:
        self._url = b""
        self._fields = heads.new_fields()
        self._body = bytearray()
        self._received_head_bytes = 0
        self._parsed_head_bytes = 0
        self._received_chunk_bytes = 0
        self._head_cost = caller_account.REQUEST_OVERHEAD_BYTES
        self._declared_bytes = None
        self._body_bytes = 0
        self._is_discarding = False
        self._method = ""
        self._version = (1, 1)
        self._keeps_alive = True

    def _body_too_large_error(self) -> BadRequestError:
        refusal = head_decisions.body_too_large(self._limits.max_body_bytes)
        return BadRequestError(refusal.reason, refusal.detail)

    def _head_too_large_error(self) -> BadRequestError:
        return BadRequestError(
            outcomes.Reason.HEADER_TOO_LARGE,
            f"the head is over {self._limits.max_header_bytes} bytes",
        )


def _request_error(error: httptools.HttpParserError) -> BadRequestError:
    """Returns the error that the parser or one of the callbacks raised."""
    if isinstance(error.__context__, BadRequestError):
        return error.__context__
    return BadRequestError(outcomes.Reason.MALFORMED, str(error))
