"""Connections to servers, and the sending of one attempt.

An idle connection for non-idempotent requests is closed after a short time,
so that a request is not sent on a connection that has silently failed. When
an attempt times out, all open connections to the server are retired, because
one network fault may have broken them all; whether the server itself failed
is judged elsewhere.
"""

import asyncio
import dataclasses
import time

import aiohttp
import multidict
import yarl

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.pools import server_load
from hyssopwind.core.requests import classification
from hyssopwind.daemon import headers

CONNECT_TIMEOUT_SECONDS = 0.5
IDEMPOTENT_KEEPALIVE_SECONDS = 15.0
# Short, because a connection that is idle for longer may fail silently.
NON_IDEMPOTENT_KEEPALIVE_SECONDS = 0.5
MAX_CONNECTIONS_PER_SERVER = 200  # of one daemon
PROBE_TIMEOUT_SECONDS = 0.5


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
    """The HTTP sessions of one daemon with all servers."""

    def __init__(self) -> None:
        self._sessions: dict[tuple[str, bool], aiohttp.ClientSession] = {}
        self._closing_tasks: set[asyncio.Task[None]] = set()

    async def attempt(
        self, attempt_request: AttemptRequest
    ) -> attempt_results.AttemptResult:
        """Sends a request to a server and reads its whole answer."""
        now = time.monotonic()
        timeout_seconds = attempt_request.deadline - now
        if timeout_seconds <= 0.0:
            return attempt_results.Failed(attempt_results.FailureKind.WITHHELD)
        session = self._session(
            attempt_request.address, attempt_request.is_idempotent
        )
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._send(session, attempt_request, now)
        except TimeoutError:
            self._retire(attempt_request.address)
            return attempt_results.Failed(attempt_results.FailureKind.TIMED_OUT)
        except aiohttp.ConnectionTimeoutError:
            return attempt_results.Failed(
                attempt_results.FailureKind.NOT_CONNECTED
            )
        except aiohttp.ClientConnectorError:
            return attempt_results.Failed(
                attempt_results.FailureKind.NOT_CONNECTED
            )
        except (aiohttp.ClientError, OSError):
            return attempt_results.Failed(attempt_results.FailureKind.BROKEN)

    async def probe(self, address: str) -> server_load.LoadReport | None:
        """Returns the load report of a server, or `None` if it sends none."""
        session = self._session(address, True)
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS)
        try:
            async with session.get(
                f"http://{address}/load", timeout=timeout
            ) as response:
                report = await response.json()
            return server_load.LoadReport(
                start_id=str(report["start"]),
                is_cold=bool(report["cold"]),
                is_draining=bool(report["draining"]),
                age_seconds=float(report.get("age_ms", 0)) / 1000,
            )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        except (ValueError, KeyError, TypeError):
            return None

    def retain(self, addresses: set[str]) -> None:
        """Retires the sessions with servers at other addresses."""
        for address, _ in list(self._sessions):
            if address not in addresses:
                self._retire(address)

    async def close(self) -> None:
        """Closes all sessions."""
        for session in self._sessions.values():
            await session.close()
        self._sessions.clear()
        for task in list(self._closing_tasks):
            task.cancel()

    async def _send(
        self,
        session: aiohttp.ClientSession,
        attempt_request: AttemptRequest,
        started_at: float,
    ) -> attempt_results.AttemptResult:
        url = yarl.URL(
            f"http://{attempt_request.address}{attempt_request.request.target}",
            encoded=True,
        )
        async with session.request(
            attempt_request.request.method,
            url,
            headers=attempt_request.fields,
            data=attempt_request.request.body or None,
            allow_redirects=False,
        ) as response:
            body = await _read_body(response, attempt_request.max_answer_bytes)
            if body is None:
                return attempt_results.Failed(
                    attempt_results.FailureKind.TOO_LARGE
                )
            return _read_answer(response, body, time.monotonic() - started_at)

    def _session(
        self, address: str, is_idempotent: bool
    ) -> aiohttp.ClientSession:
        key = (address, is_idempotent)
        session = self._sessions.get(key)
        if session is None:
            session = _open_session(is_idempotent)
            self._sessions[key] = session
        return session

    def _retire(self, address: str) -> None:
        for is_idempotent in (True, False):
            session = self._sessions.pop((address, is_idempotent), None)
            if session is None:
                continue
            task = asyncio.create_task(_close_after_longest_request(session))
            self._closing_tasks.add(task)
            task.add_done_callback(self._closing_tasks.discard)


def _open_session(is_idempotent: bool) -> aiohttp.ClientSession:
    keepalive_seconds = (
        IDEMPOTENT_KEEPALIVE_SECONDS
        if is_idempotent
        else NON_IDEMPOTENT_KEEPALIVE_SECONDS
    )
    connector = aiohttp.TCPConnector(
        limit=MAX_CONNECTIONS_PER_SERVER,
        keepalive_timeout=keepalive_seconds,
        use_dns_cache=False,
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
        ),
        skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
    )


async def _close_after_longest_request(session: aiohttp.ClientSession) -> None:
    """Closes a retired session after the time of the longest request."""
    try:
        await asyncio.sleep(60.0)
    finally:
        await session.close()


async def _read_body(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes | None:
    """Returns the whole body, or `None` if it is over the limit."""
    length = response.content_length
    if length is not None and length > max_bytes and response.method != "HEAD":
        response.close()
        return None
    if length is not None and length <= max_bytes:
        return await response.read()
    chunks = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            response.close()
            return None
        chunks.append(chunk)
    return b"".join(chunks)


def _read_answer(
    response: aiohttp.ClientResponse, body: bytes, latency_seconds: float
) -> attempt_results.AttemptResult:
    start_id = response.headers.get(attempt_results.START_HEADER, "")
    if (
        response.status == 503
        and attempt_results.SHED_HEADER in response.headers
    ):
        retry_after = response.headers.get("Retry-After", "")
        return attempt_results.Shed(start_id, _read_seconds(retry_after))
    fields = headers.end_to_end(response.headers)
    if response.method == "HEAD" and "Content-Length" in response.headers:
        fields["Content-Length"] = response.headers["Content-Length"]
    answer = outcomes.Answered(response.status, headers.to_pairs(fields), body)
    return attempt_results.WholeAnswer(answer, start_id, latency_seconds)


def _read_seconds(text: str) -> float:
    """Returns a number of seconds; 0 if the text is none in range."""
    if not text.isascii() or not text.isdigit():
        return 0.0
    if len(text) > classification.MAX_TIMEOUT_DIGITS:
        return 0.0
    return float(text)
