"""Parses the requests of a caller from a stream of bytes."""

import httptools

from hyssopwind.core import outcomes
from hyssopwind.core.routing import tables
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.platform import field_names
from hyssopwind.transport import boot_clock
from hyssopwind.transport import heads

# A request that repeats one of these could be read in two ways.
_SINGLE_FIELDS = ("Host", field_names.REQUEST_ID, field_names.DEADLINE)


class BadRequestError(Exception):
    """Bytes are not a valid HTTP request, or the request exceeds a limit."""

    def __init__(self, reason: outcomes.Reason, detail: str):
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


class RequestReader:
    r"""Parses requests; httptools calls its `on_` methods.

    Examples:
        >>> reader = RequestReader()
        >>> limits = tables.CallerLimits()
        >>> head = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
        >>> [r.target for r in reader.feed(head + head[:9], limits)]
        ['/a']
        >>> reader.is_between_requests
        False
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._completed_requests: list[caller_requests.CallerRequest] = []
        self._failure: BadRequestError | None = None
        self._limits = tables.CallerLimits()
        self._is_reading_head = False
        self._is_reading_body = False
        self._received_head_bytes = 0
        self._reset()

    @property
    def is_between_requests(self) -> bool:
        """Whether no request is partly read."""
        return not self._is_reading_head and not self._is_reading_body

    @property
    def is_reading_head(self) -> bool:
        """Whether the head of a request is partly read."""
        return self._is_reading_head

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for `100 Continue` to send its body."""
        return (
            self._is_reading_body
            and not self._body
            and self._fields.get("Expect", "").lower() == "100-continue"
        )

    @property
    def failure(self) -> BadRequestError | None:
        """The error in the bytes after the last complete request, if any."""
        return self._failure

    def feed(
        self, data: bytes, limits: tables.CallerLimits
    ) -> list[caller_requests.CallerRequest]:
        """Parses bytes and returns the requests that they complete.

        Sets `failure` if the bytes are invalid or exceed the limits.
        """
        self._limits = limits
        if self._is_reading_head:
            self._received_head_bytes += len(data)
        try:
            self._feed(data)
        except httptools.HttpParserError as error:
            self._failure = _request_error(error)
        if (
            self._is_reading_head
            and self._received_head_bytes > limits.max_header_bytes
        ):
            self._failure = self._head_too_large_error()
        completed, self._completed_requests = self._completed_requests, []
        return completed

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self._reset()
        self._is_reading_head = True

    def on_url(self, url: bytes) -> None:
        """Appends a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field."""
        # The colon, the space and the line end take 4 bytes.
        self._parsed_head_bytes += len(name) + len(value) + 4
        if (
            self._parsed_head_bytes + len(self._url)
            > self._limits.max_header_bytes
        ):
            raise self._head_too_large_error()
        heads.add_field(self._fields, name, value)

    def on_headers_complete(self) -> None:
        """Records the method, the version and whether to stay connected."""
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

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body."""
        if len(self._body) + len(data) > self._limits.max_body_bytes:
            raise BadRequestError(
                outcomes.Reason.REQUEST_TOO_LARGE,
                f"the body is over {self._limits.max_body_bytes} bytes",
            )
        self._body += data

    def on_message_complete(self) -> None:
        """Adds the complete request to the result of `feed`."""
        self._is_reading_body = False
        self._completed_requests.append(
            caller_requests.CallerRequest(
                method=self._method,
                target=self._url.decode(heads.CHARSET),
                fields=self._fields,
                body=bytes(self._body),
                arrived_at=boot_clock.now(),
                version=self._version,
                closes_connection=not self._keeps_alive,
            )
        )

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
        self._method = ""
        self._version = (1, 1)
        self._keeps_alive = True

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
