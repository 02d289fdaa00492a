"""Reads the requests of a caller off a stream of bytes."""

import httptools

from hyssopwind.core import outcomes
from hyssopwind.core.routing import tables
from hyssopwind.daemon.gateway import requests
from hyssopwind.transport import clock
from hyssopwind.transport import heads


class BadRequestError(Exception):
    """Bytes that are no request within the limits."""

    def __init__(self, reason: outcomes.Reason, detail: str):
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


class RequestReader:
    r"""Reads requests; the parser calls it back.

    Examples:
        >>> reader = RequestReader()
        >>> limits = tables.CallerLimits()
        >>> head = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
        >>> [r.target for r in reader.feed(head + head[:9], limits)]
        ['/a']
        >>> reader.is_between
        False
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._whole: list[requests.CallerRequest] = []
        self._failure: BadRequestError | None = None
        self._limits = tables.CallerLimits()
        self._reads_head = False
        self._reads_body = False
        self._head_bytes = 0
        self._start()

    @property
    def is_between(self) -> bool:
        """Whether no request has begun."""
        return not self._reads_head and not self._reads_body

    @property
    def reads_head(self) -> bool:
        """Whether a head has begun and is not complete."""
        return self._reads_head

    @property
    def wants_continue(self) -> bool:
        """Whether the caller waits for leave to send its body."""
        return (
            self._reads_body
            and not self._body
            and self._fields.get("Expect", "").lower() == "100-continue"
        )

    @property
    def failure(self) -> BadRequestError | None:
        """Why the bytes behind the last whole request are no request."""
        return self._failure

    def feed(
        self, data: bytes, limits: tables.CallerLimits
    ) -> list[requests.CallerRequest]:
        """Takes bytes in and returns the requests that are whole now.

        Bytes that are no request within the limits set `failure`.
        """
        self._limits = limits
        if self._reads_head:
            self._head_bytes += len(data)
        try:
            self._feed(data)
        except httptools.HttpParserError as error:
            self._failure = _explain(error)
        if self._reads_head and self._head_bytes > limits.header_bytes:
            self._failure = self._too_long()
        whole, self._whole = self._whole, []
        return whole

    def on_message_begin(self) -> None:
        """Begins a head."""
        self._start()
        self._reads_head = True

    def on_url(self, url: bytes) -> None:
        """Takes a piece of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header field."""
        self._seen_bytes += len(name) + len(value) + 4
        if self._seen_bytes + len(self._url) > self._limits.header_bytes:
            raise self._too_long()
        heads.add_field(self._fields, name, value)

    def on_headers_complete(self) -> None:
        """Ends the head."""
        self._reads_head = False
        self._reads_body = True
        self._method = self._parser.get_method().decode(heads.CHARSET)
        major, _, minor = self._parser.get_http_version().partition(".")
        self._version = (int(major), int(minor or 0))
        self._keeps = self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body."""
        if len(self._body) + len(data) > self._limits.body_bytes:
            raise BadRequestError(
                outcomes.Reason.REQUEST_TOO_LARGE,
                f"the body is over {self._limits.body_bytes} bytes",
            )
        self._body += data

    def on_message_complete(self) -> None:
        """Ends a request."""
        self._reads_body = False
        self._whole.append(
            requests.CallerRequest(
                method=self._method,
                target=self._url.decode(heads.CHARSET),
                fields=self._fields,
                body=bytes(self._body),
                arrived=clock.now(),
                version=self._version,
                closes=not self._keeps,
            )
        )

    def _feed(self, data: bytes) -> None:
        while data:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                # Upgrades are not served; what follows is another request.
                data = data[upgrade.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
                continue
            return

    def _start(self) -> None:
        self._url = b""
        self._fields = heads.new_fields()
        self._body = bytearray()
        self._head_bytes = 0
        self._seen_bytes = 0
        self._method = ""
        self._version = (1, 1)
        self._keeps = True

    def _too_long(self) -> BadRequestError:
        return BadRequestError(
            outcomes.Reason.HEADER_TOO_LARGE,
            f"the head is over {self._limits.header_bytes} bytes",
        )


def _explain(error: httptools.HttpParserError) -> BadRequestError:
    """Returns what the parser or one of the callbacks found."""
    if isinstance(error.__context__, BadRequestError):
        return error.__context__
    return BadRequestError(outcomes.Reason.MALFORMED, str(error))
