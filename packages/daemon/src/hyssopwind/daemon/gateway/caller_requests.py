"""Requests of callers, as read from a connection."""

import dataclasses

import multidict

from hyssopwind.daemon import headers
from hyssopwind.transport import heads


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request.

    Attributes:
        method: the HTTP method.
        target: path and query as the caller sent them.
        fields: header fields.
        body: the whole body.
        arrived_at: monotonic time at which its last byte was read.
        version: HTTP version, such as (1, 1).
        closes_connection: whether the connection has to close after the
            answer.
    """

    method: str
    target: str
    fields: "multidict.CIMultiDict[str]"
    body: bytes
    arrived_at: float
    version: tuple[int, int]
    closes_connection: bool

    @property
    def path(self) -> str:
        """The path of the target, without the query."""
        return self.target.partition("?")[0]

    @property
    def host(self) -> str:
        """The `Host` header; empty if there is none."""
        return self.fields.get("Host", "")


def encode_request(
    request: CallerRequest, overrides: tuple[tuple[str, str], ...]
) -> bytes:
    """Returns the bytes of a request to a server.

    Args:
        request: the request of the caller.
        overrides: header fields that replace those of the caller.
    """
    fields = headers.end_to_end(request.fields)
    for name, value in overrides:
        fields[name] = value
    has_body = "Transfer-Encoding" in request.fields or request.body
    if has_body or "Content-Length" in request.fields:
        fields["Content-Length"] = str(len(request.body))
    head = heads.encode_head(
        f"{request.method} {request.target} HTTP/1.1", fields
    )
    return head + request.body
