"""What surrounds the gateways of a run: store, operator and servers."""

import asyncio
import time
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from typing import Any

from hyssopwind.core import registry
from hyssopwind.standins.site import documents
from hyssopwind.standins.site import store
from hyssopwind.standins.stops import plans
from hyssopwind.standins.stops import records
from hyssopwind.standins.stops import servers

RESTORATION_SECONDS = 0.5  # between a restoration and the next write
ODD_KEY = "servers/0-odd"
_DEPTH = 1_500
ODD_ENTRIES: tuple[bytes, ...] = (
    b'{"address":' * _DEPTH,
    b"[" * _DEPTH + b"]" * _DEPTH,
    b'{"address":"127.0.0.1:70000","info":{"service":"s0","zone":"north",'
    b'"slots":4},"status":{"state":"ready"}}',
    b'{"address":"127.0.0.1:1","info":{"service":"s0","zone":"north",'
    b'"slots":1' + b"0" * 5_000 + b'},"status":{"state":"ready"}}',
    b'{"address":"","info":{"service":["s0"],"zone":null,"slots":4}}',
    b"\xff\xfe\x00",
    b"",
)

_Kind = plans.WorldActionKind
_Act = Callable[["World", int], Coroutine[Any, Any, None]]
_ACTIONS: registry.Registry[plans.WorldActionKind, _Act] = registry.Registry(
    "action"
)


class World:
    """The surroundings of the gateways.

    Attributes:
        timeline: what was done.
    """

    def __init__(
        self,
        platform_store: store.StandInStore,
        recording_servers: Sequence[servers.RecordingServer],
        service_count: int,
    ):
        self.timeline = records.WorldTimeline()
        self._store = platform_store
        self._servers = recording_servers
        self._service_count = service_count
        self._version = 0
        self._copy = platform_store.copy()
        self._draining: set[int] = set()
        self._sequence = 0

    async def start(self) -> None:
        """Writes the entries of all servers and the first version."""
        for number in range(len(self._servers)):
            await self._write_server(number)
        await self._configure(0)

    async def run(
        self, actions: Sequence[plans.WorldAction], traffic_start: float
    ) -> None:
        """Does all actions at their times."""
        for action in actions:
            delay_seconds = traffic_start + action.at - time.monotonic()
            await asyncio.sleep(max(0.0, delay_seconds))
            await _ACTIONS.find(action.kind)(self, action.target)

    @_ACTIONS.register(_Kind.CONFIGURE)
    async def _configure(self, target: int) -> None:
        """Writes the next version, which uses the next service."""
        del target
        self._version += 1
        await self._write_configuration()
        service = self._version % self._service_count
        self.timeline.confirmed.append((time.monotonic(), service))

    async def _write_configuration(self) -> None:
        service = self._version % self._service_count
        await self._store.put(
            "op/config",
            _make_configuration(self._version, service, self._service_count),
        )

    async def _write_server(self, number: int) -> None:
        server = self._servers[number]
        self._sequence += 1
        await self._store.put(
            f"servers/{server.server_id}",
            documents.make_server_entry(
                server.address,
                service=f"s{number % self._service_count}",
                slots=servers.SLOTS,
                state="draining" if number in self._draining else "ready",
                sequence=self._sequence,
            ),
        )

    def _begin_disturbance(self) -> None:
        if self.timeline.disturbed and self._is_disturbed():
            return
        self.timeline.disturbed.append((time.monotonic(), float("inf")))

    def _end_disturbance(self) -> None:
        if self.timeline.disturbed and self._is_disturbed():
            start, _ = self.timeline.disturbed[-1]
            self.timeline.disturbed[-1] = (start, time.monotonic())

    def _is_disturbed(self) -> bool:
        return self.timeline.disturbed[-1][1] == float("inf")

    @_ACTIONS.register(_Kind.SILENCE)
    async def _silence(self, target: int) -> None:
        del target
        self._begin_disturbance()
        self._store.mode = store.StoreMode.SILENT

    @_ACTIONS.register(_Kind.TURN_AWAY)
    async def _turn_away(self, target: int) -> None:
        del target
        self._begin_disturbance()
        self._store.mode = store.StoreMode.BUSY

    @_ACTIONS.register(_Kind.SERVE)
    async def _serve(self, target: int) -> None:
        del target
        self._store.mode = store.StoreMode.SERVING
        self._end_disturbance()

    @_ACTIONS.register(_Kind.COPY)
    async def _make_copy(self, target: int) -> None:
        del target
        self._copy = self._store.copy()

    @_ACTIONS.register(_Kind.RESTORE)
    async def _restore(self, target: int) -> None:
        del target
        self._begin_disturbance()
        await self._store.restore(self._copy)
        await asyncio.sleep(RESTORATION_SECONDS)
        for number in range(len(self._servers)):
            await self._write_server(number)
        await self._write_configuration()
        if self._store.mode is store.StoreMode.SERVING:
            self._end_disturbance()

    @_ACTIONS.register(_Kind.DROP_HISTORY)
    async def _drop_history(self, target: int) -> None:
        del target
        self._store.drop_history()

    @_ACTIONS.register(_Kind.PUT_ODD)
    async def _put_odd(self, target: int) -> None:
        entry = ODD_ENTRIES[target % len(ODD_ENTRIES)]
        await self._store.put(ODD_KEY, entry)

    @_ACTIONS.register(_Kind.REMOVE_ODD)
    async def _remove_odd(self, target: int) -> None:
        del target
        await self._store.remove(ODD_KEY)

    @_ACTIONS.register(_Kind.CRASH)
    async def _crash(self, target: int) -> None:
        await self._servers[target].crash()

    @_ACTIONS.register(_Kind.RECOVER)
    async def _recover(self, target: int) -> None:
        await self._servers[target].recover()

    @_ACTIONS.register(_Kind.DRAIN)
    async def _drain(self, target: int) -> None:
        self._draining.add(target)
        await self._write_server(target)

    @_ACTIONS.register(_Kind.UNDRAIN)
    async def _undrain(self, target: int) -> None:
        self._draining.discard(target)
        await self._write_server(target)


def _make_configuration(
    version: int, service: int, service_count: int
) -> dict[str, Any]:
    routes = [
        documents.make_route_resource(
            kind.name,
            f"/{kind.name}/",
            kind="safe" if kind.is_safe else "unsafe",
            timeout_s=kind.timeout_seconds,
            target_latency_s=kind.target_latency_seconds,
            service=f"s{service}",
        )
        for kind in plans.KINDS
    ]
    return documents.make_configuration(
        version,
        routes,
        [f"s{number}" for number in range(service_count)],
        max_body_bytes=1_000_000,
        header_timeout_s=4.0,
        idle_timeout_s=10.0,
    )
