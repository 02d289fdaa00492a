"""Refusals of requests that may have been sent before.

The outcome "not run" applies to the request and not to one copy of it. A daemon
that refuses a request with a key before it has looked up the key cannot
determine whether another copy ran, unless the caller states that there is none.
"""

from hyssopwind.core import outcomes
from hyssopwind.core.requests import classification

RETRY_AFTER_SECONDS = 1.0


def is_first_attempt(request: classification.Request) -> bool:
    """Returns whether the caller states that this is its first attempt."""
    return request.headers.get(classification.ATTEMPT_HEADER) == "1"


def has_key(request: classification.Request) -> bool:
    """Returns whether a request has a ticket or an idempotency key."""
    return (
        classification.IDEMPOTENCY_KEY_HEADER in request.headers
        or classification.TICKET_HEADER in request.headers
    )


def refuse_unclaimed(
    failure: outcomes.Failure, request: classification.Request
) -> outcomes.Failure:
    """Returns a refusal that holds for all copies of a request.

    Args:
        failure: the refusal of this copy, made before any claim of its key.
        request: the request.

    Examples:
        >>> refusal = outcomes.NotRun(outcomes.Reason.NOT_READY, "", 1.0)
        >>> headers = {"Idempotency-Key": "k", "X-Request-Attempt": "2"}
        >>> request = classification.Request("POST", "/", "/", headers, b"")
        >>> refuse_unclaimed(refusal, request).tag
        'unknown'
    """
    if not has_key(request) or is_first_attempt(request):
        return outcomes.NotRun(
            failure.reason, failure.detail, failure.retry_after_seconds
        )
    return outcomes.Unknown(
        failure.reason,
        failure.detail,
        failure.retry_after_seconds or RETRY_AFTER_SECONDS,
    )
