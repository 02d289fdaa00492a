"""Renders outcomes as HTTP answers to callers.

References:
    RFC 9457, Problem Details for HTTP APIs.
"""

import math

import msgspec
import multidict
from aiohttp import web

from hyssopwind.core import outcomes
from hyssopwind.daemon import headers
from hyssopwind.daemon import problems


def render_outcome(
    outcome: outcomes.Outcome, *, is_head: bool = False
) -> web.Response:
    """Returns the HTTP answer for an outcome."""
    if isinstance(outcome, outcomes.Answered):
        return _render_answer(outcome, is_head=is_head)
    return render_failure(outcome)


def _render_answer(
    outcome: outcomes.Answered, *, is_head: bool
) -> web.Response:
    fields: multidict.CIMultiDict[str] = multidict.CIMultiDict(outcome.headers)
    fields[headers.OUTCOME] = outcome.tag
    body: bytes | None = outcome.body
    if is_head or outcome.status in (204, 304):
        body = None
    else:
        fields.popall("Content-Length", None)
    return web.Response(status=outcome.status, headers=fields, body=body)


def render_failure(failure: outcomes.Failure) -> web.Response:
    """Returns the HTTP answer with the problem document of a failure."""
    problem = problems.problem_document(failure, failure.reason.status)
    fields = {headers.OUTCOME: failure.tag}
    if failure.retry_after_seconds is not None:
        fields["Retry-After"] = str(
            max(1, math.ceil(failure.retry_after_seconds))
        )
    return web.Response(
        status=failure.reason.status,
        headers=fields,
        body=msgspec.json.encode(problem),
        content_type=problems.PROBLEM_TYPE,
    )
