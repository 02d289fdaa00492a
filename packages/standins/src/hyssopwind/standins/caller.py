"""Stand-in for a caller that verifies the content of each answer."""

import asyncio
import dataclasses
import enum
import json
import secrets
import time
import uuid
from collections.abc import Sequence

import aiohttp

OUTCOME_HEADER = "Hyssopwind-Outcome"
KEY_HEADER = "Idempotency-Key"
TICKET_HEADER = "Hyssopwind-Ticket"
RETRY_DELAY_SECONDS = 0.1


class Verdict(enum.Enum):
    """Result of one call as the caller sees it.

    `WRONG` is an answer with incomplete content, with the content of another
    request, or without a known outcome header; `NO_ANSWER` is a failed
    connection or a timeout.
    """

    WHOLE = "whole"
    WRONG = "wrong"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    NO_ANSWER = "no answer"


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of one call.

    Attributes:
        verdict: how the call ended.
        elapsed_seconds: seconds until the answer or the failure.
        server_port: port of the server that answered.
        reason: last part of the problem type of a failure.
        retry_after_seconds: seconds after which the caller may retry.
        ticket: ticket from the answer's header.
    """

    verdict: Verdict
    elapsed_seconds: float
    server_port: str = ""
    reason: str = ""
    retry_after_seconds: float | None = None
    ticket: str = ""


def make_key() -> str:
    """Returns a new idempotency key, a UUID of version 7."""
    unix_ms = time.time_ns() // 1_000_000
    # Bits 76 to 79 hold the version, bits 62 and 63 the variant.
    value = unix_ms << 80 | 7 << 76 | 2 << 62
    value |= secrets.randbits(12) << 64 | secrets.randbits(62)
    return str(uuid.UUID(int=value))


class Caller:
    """Sends calls to daemons and classifies the answers."""

    def __init__(
        self, session: aiohttp.ClientSession, timeout_seconds: float = 5.0
    ):
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)

    async def call(
        self,
        address: str,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Result:
        """Sends one request and returns its classified result."""
        echo = secrets.token_hex(8)
        request_headers = {"X-Echo": echo, **(headers or {})}
        started = time.monotonic()
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                data=body or None,
                headers=request_headers,
                timeout=self._timeout,
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError):
            elapsed_seconds = time.monotonic() - started
            return Result(Verdict.NO_ANSWER, elapsed_seconds)
        elapsed_seconds = time.monotonic() - started
        expected = f"{method} {path} {len(body)} ".encode()
        # A retry with the same key gets the stored answer to the first request,
        # which has the echo token of that request.
        is_own = content == expected + echo.encode() + body
        is_replay = method != "GET" and content.startswith(expected)
        is_correct = is_own or (is_replay and content.endswith(body))
        return _classify(response, content, is_correct, elapsed_seconds)

    async def post_until_final(
        self,
        addresses: Sequence[str],
        path: str,
        body: bytes,
        headers: dict[str, str],
        max_attempts: int = 8,
    ) -> list[Result]:
        """Retries a request at the next address until its result is final.

        A whole or wrong answer is final, and so is an unknown outcome without a
        time after which to retry. Returns the results of all attempts.
        """
        results = []
        for attempt in range(max_attempts):
            address = addresses[attempt % len(addresses)]
            result = await self.call(
                address, path, method="POST", body=body, headers=headers
            )
            results.append(result)
            if result.verdict in (Verdict.WHOLE, Verdict.WRONG):
                return results
            if (
                result.verdict is Verdict.UNKNOWN
                and not result.retry_after_seconds
            ):
                return results
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        return results


def _classify(
    response: aiohttp.ClientResponse,
    content: bytes,
    is_correct: bool,
    elapsed_seconds: float,
) -> Result:
    ticket = response.headers.get(TICKET_HEADER, "")
    tag = response.headers.get(OUTCOME_HEADER, "")
    if tag == "answered":
        verdict = Verdict.WHOLE if is_correct else Verdict.WRONG
        served_by = response.headers.get("X-Served-By", "")
        return Result(verdict, elapsed_seconds, served_by, ticket=ticket)
    verdicts = {"not-run": Verdict.NOT_RUN, "unknown": Verdict.UNKNOWN}
    verdict = verdicts.get(tag, Verdict.WRONG)
    try:
        problem = json.loads(content)
    except ValueError:
        return Result(Verdict.WRONG, elapsed_seconds)
    return Result(
        verdict,
        elapsed_seconds,
        reason=problem["type"].rpartition(":")[2],
        retry_after_seconds=problem.get("retry_after"),
        ticket=ticket,
    )
