"""Classifies a request: its service, whether it may run twice, its deadline."""

import dataclasses
import enum
from collections.abc import Mapping

import xxhash

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import snapshot

TIMEOUT_HEADER = "X-Request-Timeout-Ms"
PRIORITY_HEADER = "X-Request-Priority"
KEY_HEADER = "Idempotency-Key"
TICKET_HEADER = "Hyssopwind-Ticket"
ATTEMPT_HEADER = "X-Request-Attempt"


class Repeatability(enum.Enum):
    """Whether a second run of a request does harm."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A whole request of a caller.

    Attributes:
        method: the HTTP method.
        target: path and query, as they are sent on to the server.
        path: the path alone.
        headers: the end-to-end headers.
        body: the whole body.
    """

    method: str
    target: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Classified:
    """A request with all that decides its way.

    Attributes:
        request: the request.
        service: the service that it is for.
        repeatability: whether it may run twice.
        deadline: monotonic time, in seconds, of the latest useful answer.
        priority: its rank under load.
    """

    request: Request
    service: snapshot.Service
    repeatability: Repeatability
    deadline: float
    priority: documents.Priority

    @property
    def may_repeat(self) -> bool:
        """Whether a second run of the request does no harm."""
        return self.repeatability is Repeatability.IDEMPOTENT


def classify(
    request: Request, settings: snapshot.Snapshot, now: float
) -> Classified | outcomes.NotRun:
    """Returns the classified request, or why it is refused.

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
    timeout = _read_timeout(request, service)
    if timeout is None:
        return outcomes.NotRun(
            outcomes.Reason.MALFORMED,
            f"{TIMEOUT_HEADER} is no positive number of milliseconds",
        )
    return Classified(
        request,
        service,
        _repeatability(request, service),
        now + timeout,
        _read_priority(request, service),
    )


def _read_timeout(request: Request, service: snapshot.Service) -> float | None:
    text = request.headers.get(TIMEOUT_HEADER)
    longest = service.settings.deadline
    if text is None:
        return longest
    if not text.isascii() or not text.isdigit() or int(text) == 0:
        return None
    return min(longest, int(text) / 1000)


def _read_priority(
    request: Request, service: snapshot.Service
) -> documents.Priority:
    text = request.headers.get(PRIORITY_HEADER)
    if text is None:
        return service.settings.priority
    try:
        return documents.Priority(text)
    except ValueError:
        return service.settings.priority


def _repeatability(
    request: Request, service: snapshot.Service
) -> Repeatability:
    if request.method not in service.settings.non_idempotent_methods:
        return Repeatability.IDEMPOTENT
    for prefix in service.idempotent_prefixes:
        if request.path == prefix or request.path.startswith(prefix + "/"):
            return Repeatability.IDEMPOTENT
    return Repeatability.NON_IDEMPOTENT


def fingerprint(request: Request) -> ids.Fingerprint:
    """Returns a hash of the method, the target and the body.

    Examples:
        >>> one = Request("GET", "/a?x=1", "/a", {}, b"")
        >>> two = Request("GET", "/a?x=2", "/a", {}, b"")
        >>> fingerprint(one) == fingerprint(two)
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
