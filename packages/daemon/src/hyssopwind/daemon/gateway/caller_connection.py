"""One connection of a caller.

Requests that may run twice are served side by side when a caller sends
several before the first answer; answers leave in the order of the requests.
Any other request waits until all before it have been answered.
"""

import asyncio
import collections
import dataclasses
import typing
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import logbook

from hyssopwind.core import outcomes
from hyssopwind.core.routing import tables
from hyssopwind.daemon.gateway import caller_parsing
from hyssopwind.daemon.gateway import rendering
from hyssopwind.daemon.gateway import requests

MAX_PIPELINED = 64  # requests in hand on one connection
LINGER = 1.0  # seconds for which the caller may read the last answer

_log = logbook.Logger("callers")


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHandling:
    """What the connections of callers need of the daemon.

    Attributes:
        serve: serves one request.
        may_overlap: whether a request may run beside earlier ones.
        limits: the limits in force.
        is_stopping: whether connections are to be closed.
        note: logs a request that ended before it was served.
    """

    serve: Callable[
        [requests.CallerRequest], Coroutine[Any, Any, outcomes.Outcome]
    ]
    may_overlap: Callable[[requests.CallerRequest], bool]
    limits: Callable[[], tables.CallerLimits]
    is_stopping: Callable[[], bool]
    note: Callable[[outcomes.Failure], None]


class _Slot:
    """One request in the order of its connection."""

    def __init__(self, request: requests.CallerRequest | None):
        self.request = request
        self.task: asyncio.Task[None] | None = None
        self.answer: bytes | None = None
        self.closes = request is None or request.closes


class CallerConnection(asyncio.Protocol):
    """Reads requests, has them served and writes the answers in order."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handling: CallerHandling,
        connections: "set[CallerConnection]",
    ):
        self._loop = loop
        self._handling = handling
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._reader = caller_parsing.RequestReader()
        self._slots: collections.deque[_Slot] = collections.deque()
        self._timer: asyncio.TimerHandle | None = None
        self._ended = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is in hand or on its way in."""
        return not self._slots and self._reader.is_between

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to wait for the first request."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._connections.add(self)
        self._arm(self._handling.limits().idle_timeout)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the caller."""
        if self._ended:
            return
        limits = self._handling.limits()
        was_reading_head = self._reader.reads_head
        whole = self._reader.feed(data, limits)
        if self._reader.reads_head and not was_reading_head:
            self._arm(limits.header_timeout)
        elif not self._reader.reads_head:
            self._disarm()
        if self._reader.wants_continue and not self._slots:
            self._write(rendering.CONTINUE)
        for request in whole:
            self._enqueue(request)
        failure = self._reader.failure
        if failure is not None:
            self._reject(failure.reason, failure.detail)

    def eof_received(self) -> bool:
        """Takes the caller's end of the connection as its leaving."""
        return False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Gives up the requests of a caller that has left."""
        self._ended = True
        self._connections.discard(self)
        self._disarm()
        self._drop_slots()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in hand."""
        if self.is_idle:
            self._close()

    def _enqueue(self, request: requests.CallerRequest) -> None:
        if len(self._slots) >= MAX_PIPELINED:
            self._reject(outcomes.Reason.OVERLOADED, "too many requests ahead")
            return
        self._slots.append(_Slot(request))
        self._start_waiting()

    def _start_waiting(self) -> None:
        """Starts the requests that no longer wait for earlier ones."""
        for position, slot in enumerate(self._slots):
            if slot.task is not None or slot.answer is not None:
                continue
            if slot.request is None:
                return
            if position and not self._handling.may_overlap(slot.request):
                return
            slot.task = self._loop.create_task(self._serve(slot))

    async def _serve(self, slot: _Slot) -> None:
        assert slot.request is not None
        outcome: outcomes.Outcome
        try:
            outcome = await self._handling.serve(slot.request)
        except Exception:  # A defect must not leave the caller waiting.
            _log.exception("request failed by a defect")
            outcome = outcomes.Unknown(
                outcomes.Reason.INTERNAL, "the daemon has a defect"
            )
        self._answer(slot, outcome)

    def _answer(self, slot: _Slot, outcome: outcomes.Outcome) -> None:
        # A connection is closed only behind its last request, so that no
        # request that was sent on loses its answer.
        is_last = self._slots and self._slots[-1] is slot
        is_alone = is_last and self._reader.is_between
        if is_alone and self._handling.is_stopping():
            slot.closes = True
        is_head = slot.request is not None and slot.request.method == "HEAD"
        slot.answer = rendering.render(
            outcome, slot.request, closes=slot.closes, is_head=is_head
        )
        self._flush()

    def _flush(self) -> None:
        while self._slots and self._slots[0].answer is not None:
            slot = self._slots.popleft()
            if self._ended:
                return
            assert slot.answer is not None
            self._write(slot.answer)
            if slot.closes:
                self._close()
                return
        self._start_waiting()
        limits = self._handling.limits()
        if self.is_idle:
            self._arm(limits.idle_timeout)
        elif not self._slots:
            self._arm(limits.header_timeout)

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _reject(self, reason: outcomes.Reason, detail: str) -> None:
        """Answers bytes that are no request and reads nothing more."""
        failure = outcomes.NotRun(reason, detail)
        self._handling.note(failure)
        slot = _Slot(None)
        self._slots.append(slot)
        self._disarm()
        if self._transport is not None:
            self._transport.pause_reading()
        self._answer(slot, failure)

    def _close(self) -> None:
        self._ended = True
        self._disarm()
        self._drop_slots()
        transport = self._transport
        if transport is None:
            return
        if not transport.can_write_eof():
            transport.close()
            return
        # Bytes that arrive after a close would reset the connection, and
        # with it an answer that the caller has not read yet.
        transport.write_eof()
        self._loop.call_later(LINGER, transport.abort)

    def _drop_slots(self) -> None:
        for slot in self._slots:
            if slot.task is not None:
                slot.task.cancel()
        self._slots.clear()

    def _arm(self, seconds: float) -> None:
        self._disarm()
        self._timer = self._loop.call_later(seconds, self._expire)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        self._timer = None
        if self._slots or self._ended:
            return
        if not self._reader.is_between:
            self._reject(
                outcomes.Reason.REQUEST_TOO_SLOW, "the request came too slowly"
            )
            return
        self._close()
