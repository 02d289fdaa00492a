"""Connections to servers, and the sending of one attempt.

Each attempt has a token, which servers may state in their answers; a late
answer to another attempt is then recognised. Requests to servers that do not
state it, and requests that are not idempotent, get new connections, on which no
earlier answer can come. When an attempt times out, all open connections to the
server are retired, because one network fault may have broken them all; whether
the server itself failed is judged elsewhere.
"""

import asyncio
import dataclasses
import math
import secrets
import time
from typing import Any

import multidict

from hyssopwind.core import decoding
from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.pools import server_load
from hyssopwind.core.requests import classification
from hyssopwind.daemon import headers
from hyssopwind.transport import answers
from hyssopwind.transport import connection
from hyssopwind.transport import connection_pools
from hyssopwind.transport import heads

LOAD_PATH = "/load"
PROBE_TIMEOUT_SECONDS = 0.5
MAX_HELD_BYTES = 1_000_000_000  # of all answers that are received
TOKEN_BYTES = 8
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRequest:
    """One attempt: what is sent, where to, and its limits.

    Attributes:
        server: the identifier of the server.
        address: the IP address and port of the server.
        request: the request.
        fields: header fields for the server.
        deadline: monotonic time in seconds by which the answer must be
            complete.
        max_answer_bytes: largest accepted body of an answer, in bytes.
        is_idempotent: whether the request is idempotent.
    """

    server: ids.ServerId
    address: str
    request: classification.Request
    fields: "multidict.CIMultiDict[str]"
    deadline: float
    max_answer_bytes: int
    is_idempotent: bool


class UpstreamClient:
    """The connections of one daemon to all servers."""

    def __init__(self) -> None:
        self._pool = connection_pools.ConnectionPool(MAX_HELD_BYTES)
        # Addresses whose servers state which attempt they answer.
        self._stating_addresses: set[str] = set()
        self._retired_at: dict[str, float] = {}

    async def attempt(
        self, attempt_request: AttemptRequest
    ) -> attempt_results.AttemptResult:
        """Sends a request to a server and reads its whole answer."""
        now = time.monotonic()
        timeout_seconds = attempt_request.deadline - now
        if timeout_seconds <= 0.0:
            return attempt_results.Failed(attempt_results.FailureKind.WITHHELD)
        try:
            async with asyncio.timeout(timeout_seconds):
                answer = await self._send(attempt_request, now)
        except TimeoutError:
            self._retire(attempt_request.address)
            return attempt_results.Failed(attempt_results.FailureKind.TIMED_OUT)
        except connection.ExchangeError as error:
            return attempt_results.Failed(error.kind)
        return _judge_answer(
            answer, attempt_request.request.method, time.monotonic() - now
        )

    async def probe(self, address: str) -> server_load.LoadReport | None:
        """Returns the load report of a server, or `None` if it sends none."""
        try:
            answer = await self._pool.get(
                address, LOAD_PATH, PROBE_TIMEOUT_SECONDS, _is_load_report
            )
            return _read_load_report(answer.body)
        except (connection.ExchangeError, decoding.DecodeError):
            return None

    def retain(self, addresses: set[str]) -> None:
        """Closes the idle connections to servers at other addresses."""
        self._pool.retain(addresses)
        self._stating_addresses &= addresses
        for address in list(self._retired_at):
            if address not in addresses:
                del self._retired_at[address]

    async def close(self) -> None:
        """Closes all idle connections."""
        self._pool.close()

    async def _send(
        self, attempt_request: AttemptRequest, started_at: float
    ) -> answers.Answer:
        """Sends a request and returns the whole answer.

        Raises:
            ExchangeError: there is none.
        """
        address = attempt_request.address
        # On a connection that was used before, a late answer to another request
        # may come. A late refusal would let this request run twice.
        is_stating = address in self._stating_addresses
        if attempt_request.is_idempotent and is_stating:
            server_connection = await self._pool.acquire(address)
        else:
            server_connection = await self._pool.open(address)
        token = secrets.token_hex(TOKEN_BYTES)

        def is_own(answer: answers.Answer) -> bool:
            stated = answer.fields.getall(headers.ATTEMPT, ())
            if stated:
                return list(stated) == [token]
            return address not in self._stating_addresses

        def check_size(known_bytes: int) -> None:
            if known_bytes > attempt_request.max_answer_bytes:
                raise answers.AnswerTooLargeError

        answer = await server_connection.exchange(
            _encode_request(attempt_request, token),
            attempt_request.request.method,
            is_own,
            check_size,
        )
        states_attempt = headers.ATTEMPT in answer.fields
        if states_attempt:
            self._stating_addresses.add(address)
        is_retired = self._retired_at.get(address, 0.0) > started_at
        if is_retired or not states_attempt:
            server_connection.abort()
        else:
            self._pool.release(server_connection)
        return answer

    def _retire(self, address: str) -> None:
        """Reuses no connection that is open now."""
        self._pool.close_idle(address)
        self._retired_at[address] = time.monotonic()
        self._stating_addresses.discard(address)


def _encode_request(attempt_request: AttemptRequest, token: str) -> bytes:
    request = attempt_request.request
    fields = attempt_request.fields.copy()
    fields.setdefault("Host", attempt_request.address)
    fields[headers.ATTEMPT] = token
    if request.body or request.method in METHODS_WITH_BODY:
        fields["Content-Length"] = str(len(request.body))
    head = heads.encode_head(
        f"{request.method} {request.target} HTTP/1.1", fields
    )
    return head + request.body


def _is_load_report(answer: answers.Answer) -> bool:
    # An answer that states an attempt is a late one.
    return headers.ATTEMPT not in answer.fields


def _read_load_report(body: bytes) -> server_load.LoadReport:
    """Returns a load report.

    Raises:
        DecodeError: it is not valid.
    """
    return decoding.apply(_translate_load_report, decoding.decode_json(body))


def _translate_load_report(report: dict[str, Any]) -> server_load.LoadReport:
    age_ms = float(report.get("age_ms", 0))
    if not (math.isfinite(age_ms) and age_ms >= 0.0):
        raise ValueError(f"age_ms is {age_ms}, expected a number from 0")
    return server_load.LoadReport(
        start_id=str(report["start"]),
        is_cold=bool(report["cold"]),
        is_draining=bool(report["draining"]),
        age_seconds=age_ms / 1000,
    )


def _judge_answer(
    answer: answers.Answer, method: str, latency_seconds: float
) -> attempt_results.AttemptResult:
    start_id = answer.fields.get(attempt_results.START_HEADER, "")
    if answer.status == 503 and attempt_results.SHED_HEADER in answer.fields:
        retry_after = answer.fields.get("Retry-After", "")
        return attempt_results.Shed(start_id, _read_seconds(retry_after))
    fields = headers.end_to_end(answer.fields)
    if method == "HEAD" and "Content-Length" in answer.fields:
        fields["Content-Length"] = answer.fields["Content-Length"]
    answered = outcomes.Answered(
        answer.status, headers.to_pairs(fields), answer.body
    )
    return attempt_results.WholeAnswer(answered, start_id, latency_seconds)


def _read_seconds(text: str) -> float:
    """Returns a number of seconds; 0 if the text is none in range."""
    if not text.isascii() or not text.isdigit():
        return 0.0
    if len(text) > classification.MAX_TIMEOUT_DIGITS:
        return 0.0
    return float(text)
