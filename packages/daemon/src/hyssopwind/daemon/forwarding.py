"""Forwards a request to the daemon that owns its idempotency key."""

import asyncio
import time

import aiohttp
import msgspec
import yarl

from hyssopwind.core import decoding
from hyssopwind.core import outcomes
from hyssopwind.core.node import key_component
from hyssopwind.core.requests import classification
from hyssopwind.daemon import headers
from hyssopwind.daemon import problems
from hyssopwind.daemon import request_context

ANY_START_ID = "any"
CONNECT_TIMEOUT_SECONDS = 0.3
RETRY_AFTER_SECONDS = 1.0
ANSWER_MARGIN_SECONDS = 0.05  # beyond the deadline, for the answer of the owner


class _Problem(msgspec.Struct, frozen=True):
    type: str
    detail: str
    outcome: str
    retry_after: float | None = None


_DECODER = decoding.JsonDecoder[_Problem](_Problem)


class Forwarder:
    """Forwards requests to other daemons and returns their outcomes."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=5.0),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
            ),
            skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
        )

    async def forward(
        self,
        context: request_context.RequestContext,
        forward_to: key_component.Forward,
    ) -> outcomes.Outcome:
        """Returns the outcome of the other daemon.

        The outcome is unknown if that daemon sends no readable answer in time.
        """
        classified = context.classified
        timeout_seconds = classified.deadline - time.monotonic()
        fields = context.fields.copy()
        fields[headers.FORWARDED] = forward_to.start_id or ANY_START_ID
        fields[classification.TIMEOUT_HEADER] = str(
            max(1, int(timeout_seconds * 1000))
        )
        url = yarl.URL(
            f"http://{forward_to.callers_address}{classified.request.target}",
            encoded=True,
        )
        try:
            async with (
                asyncio.timeout(
                    max(0.0, timeout_seconds + ANSWER_MARGIN_SECONDS)
                ),
                self._session.request(
                    classified.request.method,
                    url,
                    headers=fields,
                    data=classified.request.body or None,
                    allow_redirects=False,
                ) as response,
            ):
                return _read_outcome(response, await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError):
            return outcomes.Unknown(
                outcomes.Reason.KEY_OWNER_UNKNOWN,
                "the daemon that decides about the key gave no answer",
                RETRY_AFTER_SECONDS,
            )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()


def _read_outcome(
    response: aiohttp.ClientResponse, body: bytes
) -> outcomes.Outcome:
    tag = response.headers.get(headers.OUTCOME, "")
    if tag == outcomes.Answered.tag:
        fields = headers.end_to_end(response.headers)
        fields.popall(headers.OUTCOME, None)
        return outcomes.Answered(
            response.status, headers.to_pairs(fields), body
        )
    return _read_failure(body)


def _read_failure(body: bytes) -> outcomes.Outcome:
    try:
        problem = _DECODER.decode(body)
        reason = outcomes.Reason.from_slug(
            problem.type.removeprefix(problems.TYPE_PREFIX)
        )
    except ValueError:
        return outcomes.Unknown(
            outcomes.Reason.KEY_OWNER_UNKNOWN,
            "the daemon that decides about the key gave no readable answer",
            RETRY_AFTER_SECONDS,
        )
    if problem.outcome == outcomes.NotRun.tag:
        return outcomes.NotRun(reason, problem.detail, problem.retry_after)
    return outcomes.Unknown(reason, problem.detail, problem.retry_after)
