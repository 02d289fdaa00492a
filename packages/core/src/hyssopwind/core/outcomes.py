"""Outcomes of requests and the reasons that are sent to the caller."""

import dataclasses
import enum
from typing import TypeAlias


class Reason(enum.Enum):
    """The reason for an answer that the load balancer itself generates.

    Each value is the last part of the problem type and the HTTP status, which
    are both sent to the caller.
    """

    NO_ROUTE = ("no-route", 404)
    MALFORMED = ("malformed", 400)
    REQUEST_TOO_LARGE = ("request-too-large", 413)
    REQUEST_TOO_SLOW = ("request-too-slow", 408)
    HEADER_TOO_LARGE = ("header-too-large", 431)
    KEY_REQUIRED = ("key-required", 428)
    KEY_REUSED = ("key-reused", 422)
    KEY_IN_PROGRESS = ("key-in-progress", 409)
    KEY_EXPIRED = ("key-expired", 409)
    KEY_OWNER_GONE = ("key-owner-gone", 409)
    KEY_OWNER_UNKNOWN = ("key-owner-unknown", 503)
    KEY_MEMORY_FULL = ("key-memory-full", 503)
    NO_SERVER = ("no-server", 503)
    OVERLOADED = ("overloaded", 503)
    QUARANTINED = ("quarantined", 422)
    DEADLINE = ("deadline", 504)
    ANSWER_NOT_KEPT = ("answer-not-kept", 409)
    SERVER_FAILED = ("server-failed", 502)
    ANSWER_TOO_LARGE = ("answer-too-large", 502)
    INTERNAL = ("internal", 500)
    STOPPING = ("stopping", 503)
    NOT_READY = ("not-ready", 503)
    UNAUTHENTICATED = ("unauthenticated", 401)
    TENANT_LIMIT = ("tenant-limit", 429)

    @property
    def slug(self) -> str:
        """The last part of the problem type."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status of the answer."""
        return self.value[1]

    @classmethod
    def from_slug(cls, slug: str) -> "Reason":
        """Returns the reason whose slug is `slug`.

        Raises:
            ValueError: no reason has this slug.

        Examples:
            >>> Reason.from_slug("deadline")
            <Reason.DEADLINE: ('deadline', 504)>
        """
        for reason in cls:
            if reason.slug == slug:
                return reason
        raise ValueError(f'no reason has the slug "{slug}"')


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A server answered, and its complete answer is sent to the caller.

    Attributes:
        status: the HTTP status.
        headers: the names and values of the headers.
        body: the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    tag = "answered"


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """No server ran the request, and none will run it.

    Attributes:
        reason: why the request was not run.
        detail: an explanation for the caller.
        retry_after_seconds: seconds after which the caller may retry, or `None`
            if a retry does not help.
    """

    reason: Reason
    detail: str
    retry_after_seconds: float | None = None

    tag = "not-run"


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """A server may have run the request; no answer is available.

    Attributes:
        reason: why the outcome is unknown.
        detail: an explanation for the caller.
        retry_after_seconds: seconds after which the caller may retry with the
            same key, or `None` if the outcome will stay unknown.
    """

    reason: Reason
    detail: str
    retry_after_seconds: float | None = None

    tag = "unknown"


Outcome: TypeAlias = Answered | NotRun | Unknown
Failure: TypeAlias = NotRun | Unknown
