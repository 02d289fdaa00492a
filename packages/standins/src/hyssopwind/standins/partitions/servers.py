"""Servers in virtual time, and the byte streams that daemons have to them."""

import asyncio
import collections
import errno
import json
import math
import random
import typing
from collections.abc import Callable

from hyssopwind.core.routing import tables
from hyssopwind.daemon.gateway import caller_parsing
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.platform import field_names
from hyssopwind.standins.partitions import judging
from hyssopwind.standins.partitions import scenarios
from hyssopwind.standins.site import documents
from hyssopwind.transport import boot_clock
from hyssopwind.transport import connection
from hyssopwind.transport import connection_pools
from hyssopwind.transport import heads

ONE_WAY_SECONDS = 0.001
# Time from the end of a cut to the next transmission of what it held back.
RETRANSMISSION_SECONDS = 0.2
SLOTS = 2
MAX_QUEUED = 2 * SLOTS
MEDIAN_WORK_SECONDS = 0.2
WORK_SPREAD = 0.3  # standard deviation of the logarithm
# Ratio of the requests that a server goes on running if the connection ends.
CONTINUES_RATIO = 0.3
# Time after which a server closes an idle connection.
IDLE_TIMEOUT_SECONDS = 2
# Ratio of the answers after which a server closes the connection.
CLOSING_RATIO = 0.05
_LIMITS = tables.CallerLimits()


class Link:
    """The way of one daemon to all servers, or to one peer.

    Attributes:
        cut: what happens to connections now; `None` while nothing does.
        streams: open byte streams, in the order of their opening.
    """

    def __init__(self) -> None:
        self.cut: scenarios.CutKind | None = None
        self.streams: dict[VirtualStream, None] = {}
        self._held: list[Callable[[], None]] = []

    def start_cut(self, kind: scenarios.CutKind) -> None:
        """Cuts the link."""
        self.cut = kind
        if kind is scenarios.CutKind.RESET:
            for stream in list(self.streams):
                stream.reset()

    def end_cut(self) -> None:
        """Heals the link; what was held back arrives a little later."""
        self.cut = None
        held, self._held = self._held, []
        for deliver in held:
            asyncio.get_running_loop().call_later(
                RETRANSMISSION_SECONDS, self.deliver, deliver
            )

    def deliver(self, arrive: Callable[[], None]) -> None:
        """Delivers bytes after the delay of the network, or holds them."""
        if self.cut is scenarios.CutKind.HANG:
            self._held.append(arrive)
            return
        asyncio.get_running_loop().call_later(ONE_WAY_SECONDS, arrive)


class Endpoint(typing.Protocol):
    """The remote end of a stream."""

    def handle_request(
        self, request: caller_requests.CallerRequest, stream: "VirtualStream"
    ) -> None:
        """Handles a whole request."""

    def handle_close(self, stream: "VirtualStream") -> None:
        """Handles the end of the stream."""


class VirtualStream(asyncio.Transport):
    """A TCP connection of a daemon to an endpoint.

    Attributes:
        daemon_name: name of the daemon that opened it.
        was_held: whether bytes of the daemon were held back by a cut.
    """

    def __init__(
        self,
        link: Link,
        protocol: connection.ClientConnection,
        endpoint: Endpoint,
        daemon_name: str,
    ):
        super().__init__()
        self.daemon_name = daemon_name
        self.was_held = False
        self._link = link
        self._protocol = protocol
        self._endpoint = endpoint
        self._is_aborted = False
        self._is_ended = False
        self._last_used_at = asyncio.get_running_loop().time()
        self._reader = caller_parsing.RequestReader()
        link.streams[self] = None

    def is_closing(self) -> bool:
        """Whether the daemon can send no more."""
        return self._is_aborted

    def get_write_buffer_size(self) -> int:
        """Returns whether bytes of the daemon are held back, as 0 or 1."""
        return int(self.was_held)

    def write(self, data: typing.Any) -> None:
        """Sends bytes to the endpoint."""
        self.was_held = self._link.cut is scenarios.CutKind.HANG
        if self.was_held:
            asyncio.get_running_loop().call_later(
                connection_pools.TCP_USER_TIMEOUT_MS / 1000,
                self._check_acknowledged,
            )
        self._link.deliver(lambda: self._receive(bytes(data)))

    def abort(self) -> None:
        """Closes the stream at the daemon's end; unsent bytes are dropped."""
        if self._is_aborted:
            return
        self._is_aborted = True
        self._link.streams.pop(self, None)
        asyncio.get_running_loop().call_soon(
            self._protocol.connection_lost, None
        )
        self._link.deliver(self._end)

    def reset(self) -> None:
        """Closes the stream at both ends."""
        self._break(errno.ECONNRESET)
        self._end()

    def answer(self, data: bytes) -> None:
        """Sends bytes to the daemon."""
        self._last_used_at = asyncio.get_running_loop().time()
        self._link.deliver(lambda: self._receive_answer(data))

    def close_if_idle(self, seconds: float) -> None:
        """Closes the stream at the remote end if it has been idle so long."""
        if self._is_ended:
            return
        event_loop = asyncio.get_running_loop()
        idle_seconds = max(0.0, event_loop.time() - self._last_used_at)
        if idle_seconds < seconds:
            event_loop.call_later(
                seconds - idle_seconds + 0.001, self.close_if_idle, seconds
            )
            return
        self._end()
        self._link.deliver(lambda: self._break(errno.EPIPE))

    def _receive(self, data: bytes) -> None:
        if self._is_aborted or self._is_ended:
            return
        # A request counts as use until its answer is sent.
        self._last_used_at = math.inf
        for read_request in self._reader.feed(data, _LIMITS):
            self._endpoint.handle_request(read_request.request, self)

    def _receive_answer(self, data: bytes) -> None:
        if not self._is_aborted:
            self._protocol.data_received(data)

    def _check_acknowledged(self) -> None:
        if self._link.cut is scenarios.CutKind.HANG:
            self._break(errno.ETIMEDOUT)

    def _break(self, error_number: int) -> None:
        if self._is_aborted:
            return
        self._is_aborted = True
        self._link.streams.pop(self, None)
        self._protocol.connection_lost(OSError(error_number, "link"))

    def _end(self) -> None:
        if self._is_ended:
            return
        self._is_ended = True
        self._endpoint.handle_close(self)


class VirtualServer:
    """A server with slots, a queue and a load report.

    Attributes:
        id: its id.
        service: its service.
        address: its address.
        data_centre: its data centre.
        is_listening: whether it runs.
        is_hanging: whether it ignores all requests but probes.
    """

    def __init__(
        self,
        number: int,
        service_number: int,
        scenario: scenarios.Scenario,
        evidence: judging.Evidence,
        random_source: random.Random,
    ):
        self.id = f"i-{number}"
        self.service = f"s{service_number}"
        self.data_centre = f"dc-{number % 3}"
        self.address = f"10.{number % 3}.64.{number}:80"
        self.is_listening = True
        self.is_hanging = False
        self._scenario = scenario
        self._evidence = evidence
        self._random = random_source
        self._running_count = 0
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._streams: dict[VirtualStream, None] = {}
        self._runs: dict[VirtualStream, asyncio.Task[None]] = {}
        # Streams with an ignored request, on which nothing is answered.
        self._hung_streams: set[VirtualStream] = set()

    def entry(self) -> bytes:
        """Returns its entry in the store."""
        document = documents.make_server_entry(
            self.address,
            zone=self.data_centre,
            service=self.service,
            slots=SLOTS,
        )
        return json.dumps(document).encode()

    def accept(self, stream: VirtualStream) -> None:
        """Accepts a connection."""
        self._streams[stream] = None
        stream.close_if_idle(IDLE_TIMEOUT_SECONDS)

    def stop(self) -> None:
        """Ends without an answer to the requests that it has."""
        self.is_listening = False
        for run in list(self._runs.values()):
            run.cancel()
        for stream in list(self._streams):
            stream.reset()

    def handle_request(
        self, request: caller_requests.CallerRequest, stream: VirtualStream
    ) -> None:
        """Answers a probe, or runs a request."""
        if not self.is_listening or stream in self._hung_streams:
            return
        if request.path == "/health":
            stream.answer(_encode(200, self._common_fields()))
            return
        run = asyncio.get_running_loop().create_task(self._run(request, stream))
        self._runs[stream] = run
        run.add_done_callback(lambda _: self._runs.pop(stream, None))

    def handle_close(self, stream: VirtualStream) -> None:
        """Drops, mostly, the request of a connection that ended."""
        self._streams.pop(stream, None)
        self._hung_streams.discard(stream)
        run = self._runs.get(stream)
        if run is not None and self._random.random() >= CONTINUES_RATIO:
            run.cancel()

    async def _run(
        self, request: caller_requests.CallerRequest, stream: VirtualStream
    ) -> None:
        now = boot_clock.now()
        request_id = request.fields[field_names.REQUEST_ID]
        seconds = float(request.fields[field_names.DEADLINE]) / 1000
        arrival = judging.Arrival(
            now,
            self.id,
            stream.daemon_name,
            request_id,
            deadline=now + seconds,
            was_held=stream.was_held,
        )
        self._evidence.arrivals.append(arrival)
        fields = {field_names.REQUEST_ID: request_id}
        if request.fields.get(field_names.EXPECTED_SERVER) != self.id:
            fields[field_names.SERVER_ID] = self.id
            stream.answer(_encode(421, fields))
            return
        if self.is_hanging:
            self._ignore(arrival, stream)
            return
        if not await self._acquire_slot(arrival.deadline):
            if self._scenario.hangs_when_full and now == boot_clock.now():
                self._ignore(arrival, stream)
                return
            fields[field_names.NOT_RUN] = "1"
            stream.answer(_encode(503, fields))
            return
        arrival.has_run = True
        work_seconds = MEDIAN_WORK_SECONDS * self._random.lognormvariate(
            0.0, WORK_SPREAD
        )
        left_seconds = max(0.0, arrival.deadline - boot_clock.now())
        try:
            await asyncio.sleep(min(work_seconds, left_seconds))
        finally:
            self._release_slot()
        fields[field_names.SERVER_STAMP] = "s"
        status = 504 if work_seconds > left_seconds else 200
        stream.answer(_encode(status, {**fields, **self._common_fields()}))

    def _ignore(self, arrival: judging.Arrival, stream: VirtualStream) -> None:
        arrival.has_hung = True
        self._hung_streams.add(stream)

    async def _acquire_slot(self, deadline: float) -> bool:
        if self._running_count < SLOTS:
            self._running_count += 1
            return True
        if len(self._waiting) >= MAX_QUEUED:
            return False
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            async with asyncio.timeout(max(0.0, deadline - boot_clock.now())):
                await turn
        except (TimeoutError, asyncio.CancelledError) as error:
            if turn.done() and not turn.cancelled():
                self._release_slot()
            elif turn in self._waiting:
                self._waiting.remove(turn)
            if isinstance(error, asyncio.CancelledError):
                raise
            return False
        return True

    def _release_slot(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._running_count -= 1

    def _common_fields(self) -> dict[str, str]:
        fields = {
            field_names.SERVER_ID: self.id,
            "Keep-Alive": f"timeout={IDLE_TIMEOUT_SECONDS}",
        }
        if self._random.random() < CLOSING_RATIO:
            fields["Connection"] = "close"
        if self._scenario.reports_load:
            load = f"{self._running_count},{len(self._waiting)},{SLOTS},100"
            fields[field_names.LOAD] = load
        return fields


def _encode(status: int, fields: dict[str, str]) -> bytes:
    answer_fields = heads.new_fields()
    answer_fields.update({**fields, "Content-Length": "1"})
    return heads.encode_head(f"HTTP/1.1 {status} Status", answer_fields) + b"x"
