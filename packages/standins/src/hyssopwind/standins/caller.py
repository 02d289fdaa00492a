"""Stand-in of a caller: checks that each answer is whole and its own."""

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
RESEND_PAUSE = 0.1  # seconds


class Verdict(enum.Enum):
    """What a caller got."""

    WHOLE = "whole"
    WRONG = "wrong"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    NO_ANSWER = "no answer"


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The end of one call.

    Attributes:
        verdict: what the caller got.
        seconds: time until the answer.
        served_by: the server that says it answered.
        reason: the problem type of a failure.
        retry_after: seconds after which the caller may come back.
        ticket: ticket of the answer.
    """

    verdict: Verdict
    seconds: float
    served_by: str = ""
    reason: str = ""
    retry_after: float | None = None
    ticket: str = ""


def new_key() -> str:
    """Returns a new key: a UUID of version 7."""
    milliseconds = time.time_ns() // 1_000_000
    value = milliseconds << 80 | 7 << 76 | 2 << 62
    value |= secrets.randbits(12) << 64 | secrets.randbits(62)
    return str(uuid.UUID(int=value))


class Caller:
    """Sends calls to daemons."""

    def __init__(self, session: aiohttp.ClientSession, patience: float = 5.0):
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=patience)

    async def call(
        self,
        address: str,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Result:
        """Sends one request and judges the answer."""
        echo = secrets.token_hex(8)
        fields = {"X-Echo": echo, **(headers or {})}
        started = time.monotonic()
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                data=body or None,
                headers=fields,
                timeout=self._timeout,
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError):
            elapsed = time.monotonic() - started
            return Result(Verdict.NO_ANSWER, elapsed)
        elapsed = time.monotonic() - started
        expected = f"{method} {path} {len(body)} ".encode()
        # A resend of the same key gets the answer to the first sending.
        own = content == expected + echo.encode() + body
        is_replay = method != "GET" and content.startswith(expected)
        is_right = own or (is_replay and content.endswith(body))
        return _judge(response, content, is_right, elapsed)

    async def post_until_final(
        self,
        addresses: Sequence[str],
        path: str,
        body: bytes,
        headers: dict[str, str],
        attempts: int = 8,
    ) -> list[Result]:
        """Sends a request again, to the next address, until it is final."""
        results = []
        for attempt in range(attempts):
            address = addresses[attempt % len(addresses)]
            result = await self.call(
                address, path, method="POST", body=body, headers=headers
            )
            results.append(result)
            if result.verdict in (Verdict.WHOLE, Verdict.WRONG):
                return results
            if result.verdict is Verdict.UNKNOWN and not result.retry_after:
                return results
            await asyncio.sleep(RESEND_PAUSE)
        return results


def _judge(
    response: aiohttp.ClientResponse,
    content: bytes,
    is_right: bool,
    elapsed: float,
) -> Result:
    ticket = response.headers.get(TICKET_HEADER, "")
    tag = response.headers.get(OUTCOME_HEADER, "")
    if tag == "answered":
        verdict = Verdict.WHOLE if is_right else Verdict.WRONG
        served_by = response.headers.get("X-Served-By", "")
        return Result(verdict, elapsed, served_by, ticket=ticket)
    verdicts = {"not-run": Verdict.NOT_RUN, "unknown": Verdict.UNKNOWN}
    verdict = verdicts.get(tag, Verdict.WRONG)
    try:
        problem = json.loads(content)
    except ValueError:
        return Result(Verdict.WRONG, elapsed)
    return Result(
        verdict,
        elapsed,
        reason=problem["type"].rpartition(":")[2],
        retry_after=problem.get("retry_after"),
        ticket=ticket,
    )
