"""Problem documents, sent to callers when no server answered.

References:
    RFC 9457, Problem Details for HTTP APIs.
"""

import http

from hyssopwind.core import outcomes

PROBLEM_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:hyssopwind:problem:"


def problem_document(
    failure: outcomes.Failure, status: int
) -> dict[str, str | int | float]:
    """Returns the fields of the problem document of a failure."""
    problem: dict[str, str | int | float] = {
        "type": TYPE_PREFIX + failure.reason.slug,
        "title": http.HTTPStatus(status).phrase,
        "status": status,
        "detail": failure.detail,
        "outcome": failure.tag,
    }
    if failure.retry_after_seconds is not None:
        problem["retry_after"] = round(failure.retry_after_seconds, 3)
    return problem
