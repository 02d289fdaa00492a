"""Encodes answers to callers."""

import http
import math

import msgspec

from hyssopwind.core import outcomes
from hyssopwind.daemon import headers
from hyssopwind.daemon import problems
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.platform import field_names
from hyssopwind.transport import heads

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

# A status that guarantees that the request has not run is sent only with an
# outcome that guarantees the same.
_STATUS_OVERRIDES = {
    outcomes.Reason.QUARANTINED: 503,
    outcomes.Reason.HEADER_TOO_LARGE: 431,
}


def render(
    outcome: outcomes.Outcome,
    request: caller_requests.CallerRequest | None,
    *,
    closes_connection: bool,
    is_head: bool,
) -> bytes:
    """Returns an encoded answer.

    Args:
        outcome: how the request ended.
        request: the request, or `None` if none could be read.
        closes_connection: whether the connection closes after this answer.
        is_head: whether the request was HEAD, so that the body is left out.
    """
    if isinstance(outcome, outcomes.Answered):
        status = outcome.status
        pairs = list(outcome.headers)
        body = outcome.body
    else:
        status, pairs, body = _render_failure(outcome, request)
    answer_fields = heads.new_fields()
    for name, value in pairs:
        answer_fields.add(name, value)
    has_body = status not in (204, 304)
    # The answer to HEAD states the length of the body of a GET.
    if has_body and not (is_head and "Content-Length" in answer_fields):
        answer_fields["Content-Length"] = str(len(body))
    if closes_connection:
        answer_fields["Connection"] = "close"
    elif request is not None and request.version < (1, 1):
        answer_fields["Connection"] = "keep-alive"
    head = heads.encode_head(
        f"HTTP/1.1 {status} {_reason_phrase(status)}", answer_fields
    )
    if is_head or not has_body:
        return head
    return head + body


def failure_status(failure: outcomes.Failure) -> int:
    """Returns the HTTP status of a request that no server answered.

    Examples:
        >>> failure_status(outcomes.NotRun(outcomes.Reason.NO_SERVER, ""))
        503
        >>> failure_status(outcomes.Unknown(outcomes.Reason.NO_SERVER, ""))
        502
        >>> failure_status(outcomes.Unknown(outcomes.Reason.DEADLINE, ""))
        504
    """
    status = _STATUS_OVERRIDES.get(failure.reason, failure.reason.status)
    if isinstance(failure, outcomes.Unknown):
        return status if status in (502, 504) else 502
    if status >= 500:
        return 503
    return status


def _render_failure(
    failure: outcomes.Failure, request: caller_requests.CallerRequest | None
) -> tuple[int, list[tuple[str, str]], bytes]:
    status = failure_status(failure)
    pairs = [("Content-Type", problems.PROBLEM_TYPE)]
    pairs.append((headers.OUTCOME, failure.tag))
    if request is not None and field_names.REQUEST_ID in request.fields:
        pairs.append(
            (field_names.REQUEST_ID, request.fields[field_names.REQUEST_ID])
        )
    if status == http.HTTPStatus.UNAUTHORIZED:
        # RFC 9110, section 15.5.2, requires a challenge.
        pairs.append(("WWW-Authenticate", field_names.API_KEY))
    if failure.retry_after_seconds is not None:
        seconds = math.ceil(failure.retry_after_seconds * 1000) / 1000
        pairs.append((field_names.RETRY_AFTER, f"{seconds:.3f}"))
    problem = problems.problem_document(failure, status)
    return status, pairs, msgspec.json.encode(problem)


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"
