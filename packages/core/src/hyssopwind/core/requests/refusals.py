"""What a refusal says of a request that may have been sent before.

"Not run" is about the request and not about one copy of it. A daemon that
refuses a keyed request before it has looked at the key cannot know whether
another copy ran, unless the caller says that there is none.
"""

from hyssopwind.core import outcomes
from hyssopwind.core.requests import classification

RETRY_AFTER = 1.0  # seconds


def is_first_sending(request: classification.Request) -> bool:
    """Whether the caller says that it never sent this request before."""
    return request.headers.get(classification.ATTEMPT_HEADER) == "1"


def has_key(request: classification.Request) -> bool:
    """Whether a request carries a ticket or an idempotency key."""
    return (
        classification.KEY_HEADER in request.headers
        or classification.TICKET_HEADER in request.headers
    )


def refuse_unclaimed(
    failure: outcomes.Failure, request: classification.Request
) -> outcomes.Failure:
    """Returns a refusal that is true of all copies of a request.

    Args:
        failure: why this copy is refused, before any claim of its key.
        request: the request.

    Examples:
        >>> refusal = outcomes.NotRun(outcomes.Reason.NOT_READY, "", 1.0)
        >>> fields = {"Idempotency-Key": "k", "X-Request-Attempt": "2"}
        >>> request = classification.Request("POST", "/", "/", fields, b"")
        >>> refuse_unclaimed(refusal, request).tag
        'unknown'
    """
    if not has_key(request) or is_first_sending(request):
        return outcomes.NotRun(
            failure.reason, failure.detail, failure.retry_after
        )
    return outcomes.Unknown(
        failure.reason, failure.detail, failure.retry_after or RETRY_AFTER
    )
