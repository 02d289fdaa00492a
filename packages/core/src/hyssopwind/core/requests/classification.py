"""Classifies requests by service, idempotency, deadline and priority."""

import dataclasses
import enum
from collections.abc import Mapping

import xxhash

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import snapshot

TIMEOUT_HEADER = "X-Request-Timeout-Ms"
MAX_TIMEOUT_DIGITS = 12  # a longer number could overflow
PRIORITY_HEADER = "X-Request-Priority"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
TICKET_HEADER = "Hyssopwind-Ticket"
ATTEMPT_HEADER = "X-Request-Attempt"


class Idempotency(enum.Enum):
    """Whether a request may safely run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A whole request of a caller.

    Attributes:
        method: the HTTP method.
        target: path and query as they are forwarded to the server.
        path: the path without the query.
        headers: the end-to-end headers.
        body: the whole body.
    """

    method: str
    target: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClassifiedRequest:
    """A request with the properties that determine how it is handled.

    Attributes:
        request: the request.
        service: the service that it is for.
        idempotency: whether it may safely run more than once.
        deadline: monotonic time of the latest useful answer, in seconds.
        priority: its priority under overload.
    """

    request: Request
    service: snapshot.Service
    idempotency: Idempotency
    deadline: float
    priority: documents.Priority

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may safely run more than once."""
        return self.idempotency is Idempotency.IDEMPOTENT


def classify(
    request: Request, settings: snapshot.Snapshot, now: float
) -> ClassifiedRequest | outcomes.NotRun:
    """Returns the classified request, or the outcome that refuses it.

    Args:
        request: the whole request.
        settings: the settings in force.
        now: monotonic time in seconds.
    """
    service = settings.find_service(request.path)
    if service is None:
        return outcomes.NotRun(
            outcomes.Reason.NO_ROUTE,
            f'no service is declared for path "{request.path}"',
        )
    if len(request.body) > service.settings.max_request:
        return outcomes.NotRun(
            outcomes.Reason.REQUEST_TOO_LARGE,
            f"the body of {len(request.body)} bytes is over the limit of "
            f"{service.settings.max_request} bytes",
        )
    timeout_seconds = _read_timeout_seconds(request, service)
    if timeout_seconds is None:
        return outcomes.NotRun(
            outcomes.Reason.MALFORMED,
            f"{TIMEOUT_HEADER} is no positive number of milliseconds",
        )
    return ClassifiedRequest(
        request,
        service,
        _determine_idempotency(request, service),
        now + timeout_seconds,
        _read_priority(request, service),
    )


def _read_timeout_seconds(
    request: Request, service: snapshot.Service
) -> float | None:
    header = request.headers.get(TIMEOUT_HEADER)
    max_timeout_seconds = service.settings.deadline
    if header is None:
        return max_timeout_seconds
    if not header.isascii() or not header.isdigit() or not header.strip("0"):
        return None
    if len(header) > MAX_TIMEOUT_DIGITS:
        return max_timeout_seconds
    return min(max_timeout_seconds, int(header) / 1000)


def _read_priority(
    request: Request, service: snapshot.Service
) -> documents.Priority:
    header = request.headers.get(PRIORITY_HEADER)
    if header is None:
        return service.settings.priority
    try:
        return documents.Priority(header)
    except ValueError:
        return service.settings.priority


def _determine_idempotency(
    request: Request, service: snapshot.Service
) -> Idempotency:
    if request.method not in service.settings.non_idempotent_methods:
        return Idempotency.IDEMPOTENT
    for prefix in service.idempotent_prefixes:
        if request.path == prefix or request.path.startswith(prefix + "/"):
            return Idempotency.IDEMPOTENT
    return Idempotency.NON_IDEMPOTENT


def fingerprint(request: Request) -> ids.Fingerprint:
    """Returns a hash of the method, the target and the body.

    Examples:
        >>> first = Request("GET", "/a?x=1", "/a", {}, b"")
        >>> second = Request("GET", "/a?x=2", "/a", {}, b"")
        >>> fingerprint(first) == fingerprint(second)
        False
    """
    return fingerprint_parts(request.method, request.target, request.body)


def fingerprint_parts(method: str, target: str, body: bytes) -> ids.Fingerprint:
    """Returns a hash of a method, a target and a body."""
    digest = xxhash.xxh3_128()
    digest.update(method.encode())
    digest.update(b"\0")
    digest.update(target.encode("utf-8", "surrogateescape"))
    digest.update(b"\0")
    digest.update(body)
    return ids.Fingerprint(digest.hexdigest())
