"""Tagged outcomes: how each request ended, and what the caller is told."""

import dataclasses
import enum
from typing import TypeAlias


class Reason(enum.Enum):
    """Why the system itself answered a request; the value goes to the caller.

    Each value is the last part of the problem type and the HTTP status.
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
        """Returns the reason of a problem type.

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
    """A server answered, and its whole answer goes to the caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    tag = "answered"


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """No server ran the request, and none will run it.

    Attributes:
        reason: why it was not run.
        detail: a sentence for the caller.
        retry_after: seconds after which the caller may come back, or `None`
            where coming back does not help.
    """

    reason: Reason
    detail: str
    retry_after: float | None = None

    tag = "not-run"


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """A server may have run the request; no answer is known.

    Attributes:
        reason: why the outcome is unknown.
        detail: a sentence for the caller.
        retry_after: seconds after which the caller may ask again with the
            same key, or `None` where nothing more will be known.
    """

    reason: Reason
    detail: str
    retry_after: float | None = None

    tag = "unknown"


Outcome: TypeAlias = Answered | NotRun | Unknown
Failure: TypeAlias = NotRun | Unknown
