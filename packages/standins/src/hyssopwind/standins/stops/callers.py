"""Callers that use connections in different ways and record what they see."""

import asyncio
import collections
import contextlib
import itertools
import math
import random
import socket
import time
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from hyssopwind.core import registry
from hyssopwind.platform import field_names
from hyssopwind.standins.site import documents
from hyssopwind.standins.stops import plans
from hyssopwind.standins.stops import records

CONNECT_TIMEOUT_SECONDS = 1.0
RECONNECT_INTERVAL_SECONDS = 0.05
READ_BYTES = 65_536
# A caller that reads slowly reads a part of a second's bytes at a time.
SLOW_READ_INTERVAL_SECONDS = 0.05
SLOW_RECEIVE_BUFFER_BYTES = 131_072
BODY_PART_COUNT = 10
WORK_SIGMA = 0.4  # of the logarithm of the work of paced requests
RETRY_SUFFIX = "-retry"
# Time after the last request in which outstanding answers still count.
FINISH_SECONDS = 7.0

SelectGateway = Callable[[plans.CallerPlan], int | None]


class Connection:
    """One connection of a caller; it reads answers from the start.

    Attributes:
        gateway: index of the gateway.
        is_usable: whether further requests may be sent.
        retryable: requests without an answer that may be sent again.
    """

    def __init__(
        self,
        plan: plans.CallerPlan,
        gateway: int,
        number: int,
        connected_socket: socket.socket,
        log: list[records.CallerRecord],
    ):
        self.gateway = gateway
        self.is_usable = True
        self.retryable: list[records.CallerRecord] = []
        self._plan = plan
        self._number = number
        self._socket = connected_socket
        self._log = log
        self._pending: collections.deque[records.CallerRecord] = (
            collections.deque()
        )
        self._buffer = bytearray()
        self._body_left = -1
        self._is_closing = False
        self._changed = asyncio.Event()
        self._may_send_body = asyncio.Event()
        self._reader_task = asyncio.create_task(self._read())

    @property
    def unanswered_count(self) -> int:
        """The number of requests that have not ended."""
        return len(self._pending)

    async def send(
        self, request_id: str, kind: plans.RequestKind, work_seconds: float
    ) -> None:
        """Sends one request."""
        await self.send_all([(request_id, kind, work_seconds)])

    async def send_all(
        self, requests: list[tuple[str, plans.RequestKind, float]]
    ) -> None:
        """Sends requests, their heads in one write."""
        data = b""
        sent = []
        for request_id, kind, work_seconds in requests:
            record = records.CallerRecord(
                request_id,
                kind,
                self.gateway,
                self._number,
                len(self._pending),
                time.monotonic(),
            )
            self._log.append(record)
            self._pending.append(record)
            sent.append(record)
            data += self._encode_head(request_id, kind, work_seconds)
        try:
            await asyncio.get_running_loop().sock_sendall(self._socket, data)
            await self._send_body()
        except OSError:
            self.is_usable = False
            return
        for record in sent:
            if record.ending is records.Ending.OPEN:
                record.sent_last_at = time.monotonic()

    async def wait_for_change(self, timeout: float) -> None:
        """Waits until a request or the connection has ended."""
        self._changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._changed.wait()

    async def wait_for_answers(self) -> None:
        """Waits until all requests have ended, for a limited time."""
        give_up_at = time.monotonic() + FINISH_SECONDS
        while self._pending and time.monotonic() < give_up_at:
            await self.wait_for_change(give_up_at - time.monotonic())

    async def close(self) -> None:
        """Closes the connection; requests without an end stay open.

        Raises:
            ValueError: bytes that came are no answer to the next request.
        """
        self.is_usable = False
        self._reader_task.cancel()
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await self._reader_task
        finally:
            self._socket.close()

    def _encode_head(
        self, request_id: str, kind: plans.RequestKind, work_seconds: float
    ) -> bytes:
        plan = self._plan
        lines = [
            f"{kind.method} /{kind.name}/a?work_ms={round(work_seconds * 1000)}"
            f"&answer_bytes={plan.answer_bytes} HTTP/1.1",
            f"Host: {documents.HOST}",
            f"{field_names.REQUEST_ID}: {request_id}",
            f"{field_names.DEADLINE}: {round(kind.deadline_seconds * 1000)}",
        ]
        if plan.asks_to_close:
            lines.append("Connection: close")
        if not kind.is_safe:
            lines.append(f"Content-Length: {plan.body_bytes}")
        if plan.expects_continue:
            lines.append("Expect: 100-continue")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def _send_body(self) -> None:
        plan = self._plan
        if plan.kind.is_safe or not plan.body_bytes:
            return
        if plan.expects_continue:
            # A caller may send the body without the interim answer.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    await self._may_send_body.wait()
            self._may_send_body.clear()
        part = b"b" * (plan.body_bytes // BODY_PART_COUNT)
        loop = asyncio.get_running_loop()
        for _ in range(BODY_PART_COUNT - 1):
            await loop.sock_sendall(self._socket, part)
            await asyncio.sleep(plan.body_seconds / BODY_PART_COUNT)
        last_bytes = plan.body_bytes - (BODY_PART_COUNT - 1) * len(part)
        await loop.sock_sendall(self._socket, b"b" * last_bytes)

    async def _read(self) -> None:
        rate = self._plan.read_bytes_per_second
        read_bytes = READ_BYTES
        if rate < math.inf:
            read_bytes = max(1, int(rate * SLOW_READ_INTERVAL_SECONDS))
        loop = asyncio.get_running_loop()
        due_at = time.monotonic()
        while True:
            try:
                data = await loop.sock_recv(self._socket, read_bytes)
            except OSError:
                self._end_pending(records.Ending.RESET)
                return
            if not data:
                self._end_pending(records.Ending.CLOSED)
                return
            self._buffer += data
            self._parse()
            if self._is_closing:
                # Requests behind a closing answer count as not read.
                self._end_pending(records.Ending.CLOSED)
                return
            # Time without bytes to read does not count for later bytes.
            due_at = max(due_at, time.monotonic() - SLOW_READ_INTERVAL_SECONDS)
            due_at += len(data) / rate
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))

    def _parse(self) -> None:
        while self._pending and not self._is_closing:
            record = self._pending[0]
            if self._body_left < 0:
                head, separator, rest = self._buffer.partition(b"\r\n\r\n")
                if not separator:
                    return
                self._buffer = rest
                if not self._parse_head(head.decode(), record):
                    continue
            part = min(self._body_left, len(self._buffer))
            del self._buffer[:part]
            record.bytes_received += part
            self._body_left -= part
            if self._body_left:
                return
            self._body_left = -1
            if (
                record.is_stamped
                and record.bytes_received != self._plan.answer_bytes
            ):
                raise ValueError(f"{record} has another body than sent")
            self._pending.popleft()
            self._is_closing = not self.is_usable
            self._end(record, records.Ending.WHOLE)

    def _parse_head(self, head: str, record: records.CallerRecord) -> bool:
        """Reads the head of an answer; returns whether it is a final one.

        Raises:
            ValueError: it is no head.
        """
        lines = head.split("\r\n")
        status = int(lines[0].split()[1])
        if status == 100:
            self._may_send_body.set()
            return False
        fields = dict(line.lower().split(": ", 1) for line in lines[1:])
        answered_id = fields.get(field_names.REQUEST_ID.lower())
        if answered_id not in (None, record.request_id):
            record.foreign_id = answered_id
        record.status = status
        record.is_stamped = field_names.SERVER_STAMP.lower() in fields
        self._body_left = int(fields.get("content-length", "0"))
        if fields.get("connection") == "close":
            self.is_usable = False
        return True

    def _end(
        self, record: records.CallerRecord, ending: records.Ending
    ) -> None:
        record.ended_at = time.monotonic()
        record.ending = ending
        self._changed.set()

    def _end_pending(self, ending: records.Ending) -> None:
        self.is_usable = False
        while self._pending:
            record = self._pending.popleft()
            self._end(record, ending)
            # Behind a closing answer no request counts as read.
            if record.kind.is_safe or self._is_closing:
                self.retryable.append(record)
        self._changed.set()


class Caller:
    """Runs the habit of one caller.

    Attributes:
        plan: what it does.
    """

    _connection_numbers = itertools.count(1)

    def __init__(
        self,
        plan: plans.CallerPlan,
        number: int,
        addresses: list[tuple[str, int]],
        select_gateway: SelectGateway,
        log: list[records.CallerRecord],
        random_source: random.Random,
    ):
        self.plan = plan
        self.random = random_source
        self._number = number
        self._addresses = addresses
        self._select_gateway = select_gateway
        self._log = log
        self._request_numbers = itertools.count(1)
        self._stops_at = math.inf

    @property
    def is_active(self) -> bool:
        """Whether it still sends requests."""
        return time.monotonic() < self._stops_at

    async def run(self, traffic_start: float) -> None:
        """Sends requests until its plan ends."""
        self._stops_at = traffic_start + self.plan.stops_at
        retries: list[records.CallerRecord] = []
        delay_seconds = traffic_start + self.plan.starts_at - time.monotonic()
        await asyncio.sleep(max(0.0, delay_seconds))
        while self.is_active:
            connection = await self._connect()
            if connection is None:
                await asyncio.sleep(RECONNECT_INTERVAL_SECONDS)
                continue
            try:
                for record in retries:
                    if connection.is_usable:
                        await connection.send(*self._make_retry(record))
                await HABITS.find(self.plan.habit)(self, connection)
                await connection.wait_for_answers()
            finally:
                await connection.close()
            retries = [
                each
                for each in connection.retryable
                if not each.request_id.endswith(RETRY_SUFFIX)
            ]

    def next_request(
        self,
        kind: plans.RequestKind | None = None,
        work_seconds: float | None = None,
    ) -> tuple[str, plans.RequestKind, float]:
        """Returns id, kind and work of a new request."""
        kind = kind or self.plan.kind
        if work_seconds is None:
            work_seconds = self.plan.work_seconds
        if work_seconds < 0.0:
            work_seconds = kind.work_seconds
        request_id = f"c{self._number}-{next(self._request_numbers)}"
        return request_id, kind, work_seconds

    def _make_retry(
        self, record: records.CallerRecord
    ) -> tuple[str, plans.RequestKind, float]:
        """Returns id, kind and work of the only retry of a request."""
        _, kind, work_seconds = self.next_request(record.kind)
        return record.request_id + RETRY_SUFFIX, kind, work_seconds

    async def _connect(self) -> Connection | None:
        gateway = self._select_gateway(self.plan)
        if gateway is None:
            return None
        new_socket = socket.socket()
        new_socket.setblocking(False)
        new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.plan.read_bytes_per_second < math.inf:
            new_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES
            )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await asyncio.get_running_loop().sock_connect(
                    new_socket, self._addresses[gateway]
                )
        except (OSError, TimeoutError):
            new_socket.close()
            return None
        number = next(self._connection_numbers)
        return Connection(self.plan, gateway, number, new_socket, self._log)


HABITS: registry.Registry[
    plans.Habit, Callable[[Caller, Connection], Coroutine[Any, Any, None]]
] = registry.Registry("habit")


@HABITS.register(plans.Habit.KEPT)
async def send_one_by_one(caller: Caller, connection: Connection) -> None:
    """Sends each request after the answer to the one before it."""
    while caller.is_active and connection.is_usable:
        await connection.send(*caller.next_request())
        await connection.wait_for_answers()
        await asyncio.sleep(caller.plan.pause_seconds)


@HABITS.register(plans.Habit.CONTINUOUS)
async def send_continuously(caller: Caller, connection: Connection) -> None:
    """Keeps `depth` requests under way, each in its own write."""
    while caller.is_active and connection.is_usable:
        while (
            caller.is_active
            and connection.is_usable
            and connection.unanswered_count < caller.plan.depth
        ):
            await connection.send(*caller.next_request())
            # Spreads the requests, so that their answers do not come at once.
            await asyncio.sleep(
                caller.random.uniform(0.2, 0.6)
                * caller.plan.kind.work_seconds
                / caller.plan.depth
            )
        if connection.unanswered_count >= caller.plan.depth:
            await connection.wait_for_change(1.0)


@HABITS.register(plans.Habit.BATCHES)
async def send_batches(caller: Caller, connection: Connection) -> None:
    """Sends several requests in one write and waits for all answers."""
    while caller.is_active and connection.is_usable:
        await connection.send_all(
            [caller.next_request() for _ in range(caller.plan.depth)]
        )
        await connection.wait_for_answers()
        await asyncio.sleep(caller.plan.pause_seconds)


@HABITS.register(plans.Habit.BEHIND_SLOW)
async def send_behind_slow(caller: Caller, connection: Connection) -> None:
    """Sends a request while a fast one waits for the answer to a slow one."""
    while caller.is_active and connection.is_usable:
        await connection.send(*caller.next_request(plans.VENUE))
        await connection.send(*caller.next_request(plans.BROWSE))
        await asyncio.sleep(
            (plans.BROWSE.work_seconds + plans.VENUE.work_seconds) / 2
        )
        if connection.is_usable:
            await connection.send(*caller.next_request(plans.ROSTER))
        await connection.wait_for_answers()
        await asyncio.sleep(caller.plan.pause_seconds)


@HABITS.register(plans.Habit.UNREAD)
async def send_while_unread(caller: Caller, connection: Connection) -> None:
    """Sends requests at a fixed rate, whatever has been answered."""
    while caller.is_active and connection.is_usable:
        if connection.unanswered_count < caller.plan.depth:
            await connection.send(*caller.next_request())
        await asyncio.sleep(max(0.05, caller.plan.pause_seconds))


@HABITS.register(plans.Habit.NEW)
async def send_once(caller: Caller, connection: Connection) -> None:
    """Sends one request on a connection."""
    await connection.send(*caller.next_request())
    await connection.wait_for_answers()
    await asyncio.sleep(caller.plan.pause_seconds)


@HABITS.register(plans.Habit.PACED)
async def send_paced(caller: Caller, connection: Connection) -> None:
    """Sends requests as independent users of one connection would."""
    while caller.is_active and connection.is_usable:
        await asyncio.sleep(
            caller.random.expovariate(1.0 / caller.plan.pause_seconds)
        )
        if not connection.is_usable:
            return
        if connection.unanswered_count >= caller.plan.depth:
            continue
        factor = caller.random.lognormvariate(0.0, WORK_SIGMA)
        work_seconds = caller.plan.kind.work_seconds * factor
        await connection.send(*caller.next_request(work_seconds=work_seconds))
