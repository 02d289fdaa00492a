"""Scripted sessions of daemons on the platform, recorded in golden files.

Each session consists of a few daemons, a store and a script. It records when
each daemon applies a change and whether the daemon reads the store. Times are
virtual, so that a session always records the same events.
"""

import asyncio
import dataclasses
import json
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeAlias
from unittest import mock

from hyssopwind.core import ids
from hyssopwind.core import registry
from hyssopwind.standins.site import documents
from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import site_fleet
from hyssopwind.transport import boot_clock

START_SECONDS = 100.0  # clock reading at the start of a session
# Until all daemons have each other in their member lists.
SETTLING_SECONDS = 5.0
SERVICE = ids.ServiceId("s")
PLAN = site_fleet.FleetPlan(
    data_centre_count=2, daemons_per_data_centre=2, seed=5
)

Script: TypeAlias = Callable[["Session"], Coroutine[Any, Any, None]]

SESSIONS: "registry.Registry[str, Script]" = registry.Registry("session")


@dataclasses.dataclass(slots=True)
class Session:
    """A fleet and the record of its events.

    Attributes:
        fleet: the daemons and the store.
        lines: events as JSON, in order.
    """

    fleet: site_fleet.VirtualFleet
    lines: list[str]
    _last_states: dict[str, tuple[object, ...]] = dataclasses.field(
        default_factory=dict
    )

    def record_event(self, event: str, **details: object) -> None:
        """Records an event with its details."""
        time = round(boot_clock.now() - START_SECONDS, 2)
        self.lines.append(json.dumps({"time": time, "event": event, **details}))

    async def record_changes(self, seconds: float) -> None:
        """Records the changes that daemons apply in the next seconds."""
        end = boot_clock.now() + seconds
        while boot_clock.now() < end - 1e-6:
            for ip in sorted(self.fleet.daemons):
                self._record_change(ip)
            await asyncio.sleep(0.01)

    def _record_change(self, ip: str) -> None:
        daemon = self.fleet.daemons[ip]
        catalogue = daemon.platform_state.catalogue
        servers = [
            listed_server.entry.id
            for listed_server in catalogue.usable_servers(
                SERVICE, boot_clock.now()
            )
        ]
        state = (
            catalogue.configuration_version,
            sorted(catalogue.evacuated_data_centres),
            sorted(servers),
        )
        if self._last_states.get(ip) == state:
            return
        self._last_states[ip] = state
        self.record_event(
            "daemon knows",
            daemon=daemon.options.name,
            version=catalogue.configuration_version,
            evacuated=state[1],
            servers=state[2],
            reads=daemon._should_read(),
        )

    def publish(self, version: int) -> None:
        """Writes a configuration to the store."""
        routes = [documents.make_route_resource("r", "/r/")]
        self._write("op/config", documents.make_configuration(version, routes))

    def register(self, name: str, zone: str, state: str = "ready") -> None:
        """Writes the entry of a server to the store."""
        entry = documents.make_server_entry(
            "10.1.1.1:80", zone=zone, state=state
        )
        self._write(f"servers/{name}", entry)

    def evacuate(self, zone: str) -> None:
        """Requests the evacuation of a data centre."""
        self._write(f"op/evacuate/{zone}", {})

    def remove(self, key: str) -> None:
        """Removes an item from the store."""
        self.fleet.store.write(key, None)
        self.record_event("store", removes=key)

    def _write(self, key: str, document: dict[str, Any]) -> None:
        self.fleet.store.write(key, json.dumps(document).encode())
        self.record_event("store", writes=key)


def render(name: str) -> str:
    """Runs a session and returns its events, one per line."""

    async def run() -> str:
        event_loop = asyncio.get_running_loop()
        with mock.patch.object(
            boot_clock, "now", lambda: START_SECONDS + event_loop.time()
        ):
            session = Session(site_fleet.VirtualFleet(PLAN), [])
            session.publish(1)
            session.register("i-0", "dc-0")
            session.register("i-1", "dc-1")
            session.fleet.start_all()
            await session.record_changes(SETTLING_SECONDS)
            await SESSIONS.find(name)(session)
        return "\n".join(session.lines) + "\n"

    return loop.run_virtual(run())


@SESSIONS.register("site-turned-away")
async def run_refused_leader(session: Session) -> None:
    """The store refuses a leader's calls while the configuration changes."""
    leader_ip = sorted(session.fleet.readers())[0]
    session.fleet.daemons[leader_ip].store_refuses = True
    session.record_event("store turns away", daemon=leader_ip)
    await session.record_changes(0.5)
    session.publish(3)
    await session.record_changes(1.0)
    session.register("i-1", "dc-1", "draining")
    await session.record_changes(2.0)
    session.fleet.daemons[leader_ip].store_refuses = False
    session.record_event("store serves again", daemon=leader_ip)
    session.publish(8)
    await session.record_changes(2.0)


@SESSIONS.register("site-rolling-restart")
async def run_rolling_restart(session: Session) -> None:
    """All daemons restart in turn while the configuration changes."""
    version = 1
    for ip in sorted(session.fleet.daemons):
        session.fleet.daemons[ip].gossip.announce_stop()
        session.record_event("daemon leaves", daemon=ip)
        await session.record_changes(0.5)
        session.fleet.kill(ip)
        version += 2
        session.publish(version)
        await session.record_changes(0.5)
        session.fleet.start(ip)
        session.record_event("daemon starts", daemon=ip)
        await session.record_changes(1.0)


@SESSIONS.register("site-evacuation")
async def run_evacuation(session: Session) -> None:
    """A data centre is evacuated, a server replaced, the evacuation ended."""
    session.evacuate("dc-1")
    await session.record_changes(1.0)
    session.remove("servers/i-1")
    session.register("i-2", "dc-1")
    await session.record_changes(1.0)
    session.remove("op/evacuate/dc-1")
    await session.record_changes(1.0)
