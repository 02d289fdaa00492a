"""Connections to servers, and one attempt at a server.

Connections for non-idempotent requests are kept only for a short time
without use, so that none of them has gone silent before it is used. When an
attempt times out, all kept connections to the server are replaced, because
they may have gone silent together; the server itself is judged apart.
"""

import asyncio
import dataclasses
import time

import aiohttp
import multidict
import yarl

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import judgement
from hyssopwind.core.pools import server_load
from hyssopwind.core.requests import classification
from hyssopwind.daemon import headers

CONNECT_TIMEOUT = 0.5  # seconds
KEPT_IDEMPOTENT = 15.0  # seconds without use
KEPT_NON_IDEMPOTENT = 0.5  # seconds without use
MAX_CONNECTIONS = 200  # to one server from one daemon
PROBE_TIMEOUT = 0.5  # seconds


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptOrder:
    """What an attempt sends.

    Attributes:
        server: the server.
        address: its IP address and port.
        request: the request.
        fields: header fields for the server.
        deadline: monotonic time in seconds by which the answer must be whole.
        max_answer: largest body of an answer in bytes.
        may_repeat: whether the request is idempotent.
    """

    server: ids.ServerId
    address: str
    request: classification.Request
    fields: "multidict.CIMultiDict[str]"
    deadline: float
    max_answer: int
    may_repeat: bool


class Upstream:
    """The sessions of one daemon with all servers."""

    def __init__(self) -> None:
        self._sessions: dict[tuple[str, bool], aiohttp.ClientSession] = {}
        self._retired: set[asyncio.Task[None]] = set()

    async def attempt(self, order: AttemptOrder) -> judgement.AttemptResult:
        """Sends a request to a server and reads its whole answer."""
        now = time.monotonic()
        patience = order.deadline - now
        if patience <= 0.0:
            return judgement.Failed(judgement.FailureKind.WITHHELD)
        session = self._session(order.address, order.may_repeat)
        try:
            async with asyncio.timeout(patience):
                return await self._exchange(session, order, now)
        except TimeoutError:
            self._replace(order.address)
            return judgement.Failed(judgement.FailureKind.TIMED_OUT)
        except aiohttp.ConnectionTimeoutError:
            return judgement.Failed(judgement.FailureKind.NOT_CONNECTED)
        except aiohttp.ClientConnectorError:
            return judgement.Failed(judgement.FailureKind.NOT_CONNECTED)
        except (aiohttp.ClientError, OSError):
            return judgement.Failed(judgement.FailureKind.BROKEN)

    async def probe(self, address: str) -> server_load.LoadReport | None:
        """Asks a server for its load; `None` where no report came."""
        session = self._session(address, True)
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT)
        try:
            async with session.get(
                f"http://{address}/load", timeout=timeout
            ) as response:
                report = await response.json()
            return server_load.LoadReport(
                start=str(report["start"]),
                cold=bool(report["cold"]),
                draining=bool(report["draining"]),
                age=float(report.get("age_ms", 0)) / 1000,
            )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        except (ValueError, KeyError, TypeError):
            return None

    def keep_only(self, addresses: set[str]) -> None:
        """Ends the sessions with servers that are no longer listed."""
        for address, _ in list(self._sessions):
            if address not in addresses:
                self._replace(address)

    async def close(self) -> None:
        """Ends all sessions."""
        for session in self._sessions.values():
            await session.close()
        self._sessions.clear()
        for task in list(self._retired):
            task.cancel()

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        order: AttemptOrder,
        started: float,
    ) -> judgement.AttemptResult:
        url = yarl.URL(
            f"http://{order.address}{order.request.target}", encoded=True
        )
        async with session.request(
            order.request.method,
            url,
            headers=order.fields,
            data=order.request.body or None,
            allow_redirects=False,
        ) as response:
            body = await _read_body(response, order.max_answer)
            if body is None:
                return judgement.Failed(judgement.FailureKind.TOO_LARGE)
            return _read_answer(response, body, time.monotonic() - started)

    def _session(self, address: str, may_repeat: bool) -> aiohttp.ClientSession:
        key = (address, may_repeat)
        session = self._sessions.get(key)
        if session is None:
            session = _open_session(may_repeat)
            self._sessions[key] = session
        return session

    def _replace(self, address: str) -> None:
        for may_repeat in (True, False):
            session = self._sessions.pop((address, may_repeat), None)
            if session is None:
                continue
            task = asyncio.create_task(_close_when_idle(session))
            self._retired.add(task)
            task.add_done_callback(self._retired.discard)


def _open_session(may_repeat: bool) -> aiohttp.ClientSession:
    kept = KEPT_IDEMPOTENT if may_repeat else KEPT_NON_IDEMPOTENT
    connector = aiohttp.TCPConnector(
        limit=MAX_CONNECTIONS,
        keepalive_timeout=kept,
        use_dns_cache=False,
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT),
        skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
    )


async def _close_when_idle(session: aiohttp.ClientSession) -> None:
    """Closes a replaced session after the time of the longest request."""
    try:
        await asyncio.sleep(60.0)
    finally:
        await session.close()


async def _read_body(
    response: aiohttp.ClientResponse, limit: int
) -> bytes | None:
    """Returns the whole body, or `None` where it is over the limit."""
    length = response.content_length
    if length is not None and length > limit and response.method != "HEAD":
        response.close()
        return None
    if length is not None and length <= limit:
        return await response.read()
    chunks = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > limit:
            response.close()
            return None
        chunks.append(chunk)
    return b"".join(chunks)


def _read_answer(
    response: aiohttp.ClientResponse, body: bytes, latency: float
) -> judgement.AttemptResult:
    start = response.headers.get(judgement.START_HEADER, "")
    if response.status == 503 and judgement.SHED_HEADER in response.headers:
        retry_after = response.headers.get("Retry-After", "")
        seconds = float(retry_after) if retry_after.isdigit() else 0.0
        return judgement.Shed(start, seconds)
    fields = headers.end_to_end(response.headers)
    if response.method == "HEAD" and "Content-Length" in response.headers:
        fields["Content-Length"] = response.headers["Content-Length"]
    answer = outcomes.Answered(response.status, headers.to_pairs(fields), body)
    return judgement.WholeAnswer(answer, start, latency)
