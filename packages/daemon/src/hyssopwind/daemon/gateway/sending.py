"""One attempt of a request at a server."""

import asyncio
import dataclasses
from collections.abc import Callable

import logbook

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import judgement
from hyssopwind.core.discovery import entries
from hyssopwind.core.dispatch import choice
from hyssopwind.core.dispatch import evidence
from hyssopwind.core.routing import tables
from hyssopwind.daemon import headers
from hyssopwind.daemon.gateway import crashes
from hyssopwind.daemon.gateway import measures
from hyssopwind.daemon.gateway import requests
from hyssopwind.platform import fields
from hyssopwind.transport import answers
from hyssopwind.transport import clock
from hyssopwind.transport import connection
from hyssopwind.transport import pool

LATE_GRACE = 0.3  # seconds past the deadline for an answer on its way

_log = logbook.Logger("attempt")


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """What is sent where.

    Attributes:
        entry: the server.
        route: the route of the request.
        request: the request of the caller.
        expires: when the caller or the route gives up.
        picked: the choice of the server, with what decided it.
    """

    entry: entries.ServerEntry
    route: tables.Route
    request: requests.CallerRequest
    expires: float
    picked: choice.Send


class Sender:
    """Sends requests to servers and judges what comes back."""

    def __init__(
        self,
        connections: pool.ConnectionPool,
        seen: evidence.Evidence,
        crash_watch: crashes.CrashWatch,
        counters: measures.GatewayMetrics,
        health_path: Callable[[ids.ServiceId], str],
    ):
        self._pool = connections
        self._evidence = seen
        self._crashes = crash_watch
        self._counters = counters
        self._health_path = health_path

    async def send(self, order: SendOrder) -> judgement.AttemptResult:
        """Returns how the attempt ended."""
        server = order.entry.id
        started = clock.now()
        self._evidence.begin(server)
        try:
            result = await self._exchange(order, started)
        except asyncio.CancelledError:
            self._note_cancelled(order, started)
            raise
        finally:
            self._evidence.end(server)
        self._note(order, result, started)
        return result

    async def _exchange(
        self, order: SendOrder, started: float
    ) -> judgement.AttemptResult:
        try:
            used = await self._pool.acquire(order.entry.address)
        except connection.ExchangeError as error:
            return judgement.Failed(error.kind)
        remaining = order.expires - clock.now()
        if remaining <= 0.0:
            self._pool.release(used)
            return judgement.Failed(judgement.FailureKind.WITHHELD)
        data = requests.encode_request(
            order.request,
            (
                (fields.DEADLINE, str(max(1, int(remaining * 1000)))),
                (fields.EXPECTED_SERVER, order.entry.id),
            ),
        )
        request_id = order.request.fields.get(fields.REQUEST_ID, "")

        def belongs(answer: answers.Answer) -> bool:
            echoed = answer.fields.get(fields.REQUEST_ID, "")
            return echoed in ("", request_id)

        try:
            async with asyncio.timeout(remaining + LATE_GRACE):
                answer = await used.exchange(
                    data, order.request.method, belongs
                )
        except connection.ExchangeError as error:
            return judgement.Failed(error.kind)
        except TimeoutError:
            return judgement.Failed(judgement.FailureKind.TIMED_OUT)
        self._pool.release(used)
        return _judge(answer, order.request.method, clock.now() - started)

    def _note(
        self,
        order: SendOrder,
        result: judgement.AttemptResult,
        started: float,
    ) -> None:
        now = clock.now()
        server = order.entry.id
        detail: dict[str, object] = {}
        tag = "shed"
        if isinstance(result, judgement.WholeAnswer):
            tag = "answered"
            detail["status"] = result.answer.status
            self._crashes.note_completed(order.request, started)
            if result.answer.status >= 500:
                self._evidence.note_failure(server, now)
            else:
                self._evidence.note_success(
                    order.route,
                    server,
                    result.latency,
                    order.picked.estimate,
                    now,
                    service=order.entry.service,
                    crowded=order.picked.crowded,
                )
        elif isinstance(result, judgement.Failed):
            tag = result.kind.name.lower()
            if judgement.is_crash(result):
                path = self._health_path(order.entry.service)
                self._crashes.note_broken(
                    order.request, order.entry, path, started
                )
            if result.kind is not judgement.FailureKind.WITHHELD:
                self._evidence.note_failure(server, now)
        else:
            self._evidence.note_failure(server, now)
        self._counters.count_attempt(order.entry.service, tag)
        _log.info(
            "attempt",
            extra={
                "request": order.request.fields.get(fields.REQUEST_ID, ""),
                "server": server,
                "ms": round((now - started) * 1000),
                "result": tag,
                **detail,
                **_inputs(order.picked),
            },
        )

    def _note_cancelled(self, order: SendOrder, started: float) -> None:
        """Weighs an attempt that was dropped before its answer."""
        now = clock.now()
        took = now - started
        if took > order.picked.estimate * evidence.USUAL_RATIO:
            self._evidence.note_slow(
                order.entry.id, took / order.picked.estimate, now
            )


def _inputs(picked: choice.Send) -> dict[str, object]:
    """Returns what decided a choice, for the log."""
    inputs: dict[str, object] = {
        "estimate_ms": round(picked.estimate * 1000),
        "caller_waited_ms": round(picked.waited * 1000),
        "near": picked.near,
        "crowded": picked.crowded,
    }
    if picked.load is not None:
        load = picked.load
        inputs["running"] = load.running
        inputs["waiting"] = load.waiting
        inputs["slots"] = load.slots
        inputs["slowdown"] = load.slowdown
    return inputs


def _judge(
    answer: answers.Answer, method: str, latency: float
) -> judgement.AttemptResult:
    """Returns what an answer says of the attempt."""
    is_stamped = fields.SERVER_STAMP in answer.fields
    if answer.status == 421 or fields.NOT_RUN in answer.fields:
        return judgement.Shed("", 0.0)
    if not is_stamped:
        # Every answer that a server made bears its stamp.
        return judgement.Failed(judgement.FailureKind.GARBLED)
    kept = headers.end_to_end(answer.fields)
    if method == "HEAD" and "Content-Length" in answer.fields:
        kept["Content-Length"] = answer.fields["Content-Length"]
    pairs = headers.to_pairs(kept)
    answered = outcomes.Answered(answer.status, pairs, answer.body)
    return judgement.WholeAnswer(answered, "", latency)
