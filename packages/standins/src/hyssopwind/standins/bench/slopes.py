"""Measures what control costs against servers, services, daemons, settings."""

import dataclasses
import functools
import statistics
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core.configuration import store
from hyssopwind.core.membership import machines
from hyssopwind.core.node import moments
from hyssopwind.core.node import node
from hyssopwind.core.ownership import ledger
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import reading
from hyssopwind.standins.bench import decisions

ROUNDS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """One measured point.

    Attributes:
        name: what was measured.
        size: the size that was varied, in words.
        value: the figure.
        unit: its unit.
    """

    name: str
    size: str
    value: float
    unit: str


def _median_ms(action: Callable[[], object]) -> float:
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        action()
        times.append((time.process_time() - started) * 1000)
    return statistics.median(times)


def measure_settings() -> list[Slope]:
    """Measures reading a settings document against its size."""
    points = []
    for services, padding in ((4, 0), (60, 0), (240, 0), (240, 900_000)):
        text = decisions.render_team(services, 6, padding)
        size = f"{services} services, {len(text) // 1000} KB"
        value = _median_ms(functools.partial(reading.read_team, text, "t"))
        points.append(Slope("read settings", size, value, "ms"))
    return points


def measure_listings() -> list[Slope]:
    """Measures taking a list of VMs against the servers."""
    points = []
    for services, servers in ((4, 30), (240, 2800)):
        built = decisions.build_node(services, 6, servers)
        listing = decisions.list_servers(services, 6, servers)
        moment = moments.Moment(101.0, 1e9)
        value = _median_ms(
            functools.partial(built.take_machines, listing, moment)
        )
        size = f"{services} services, {servers} servers"
        points.append(Slope("take a list of VMs", size, value, "ms"))
        values = {
            str(name): _encode(record)
            for name, record in listing.servers.items()
        }
        value = _median_ms(
            functools.partial(machines.read_machine_list, values, 1)
        )
        points.append(Slope("read a list of VMs", size, value, "ms"))
    return points


def _encode(record: machines.ServerRecord) -> bytes:
    return msgspec.json.encode(record)


def _add_peers(built: node.Node, count: int) -> None:
    moment = moments.Moment(101.0, 1e9)
    for number in range(count):
        sender = messages.Sender(
            ids.DaemonId(f"peer{number}"), ids.StartId("1")
        )
        heartbeat = messages.Heartbeat(
            phase=messages.Phase.SERVING,
            data_centre=ids.DataCentreId(f"dc{number % 6 + 1}"),
            peers=f"127.0.0.1:{number}",
            callers=f"127.0.0.1:{number}",
            revisions={"team": 1},
        )
        built.members.observe(sender, heartbeat, moment.now)


def measure_ticks() -> list[Slope]:
    """Measures one second of ticks without calls against daemons and pools."""
    points = []
    for services, servers, peers in (
        (4, 30, 15),
        (4, 30, 60),
        (4, 30, 199),
        (240, 2800, 15),
        (240, 2800, 199),
    ):
        built = decisions.build_node(services, 6, servers)
        _add_peers(built, peers)
        built.pools.update_owners(101.0)
        value = _measure_second(built, peers)
        size = f"{services} services, {servers} servers, {peers + 1} daemons"
        points.append(Slope("a second of ticks", size, value.busy, "ms"))
        points.append(Slope("control sent", size, value.sent, "KB/s"))
        points.append(Slope("messages sent", size, float(value.messages), "/s"))
    return points


@dataclasses.dataclass(frozen=True, slots=True)
class _Second:
    busy: float
    sent: float
    messages: int


def _measure_second(built: node.Node, peers: int) -> _Second:
    now = 102.0
    busy = []
    for _ in range(3):
        _add_peers_again(built, peers, now)
        started = time.process_time()
        sent = []
        for _ in range(100):
            now += 0.01
            built.tick(moments.Moment(now, 1e9 + now))
            sent += built.take_outgoing()
        busy.append((time.process_time() - started) * 1000)
    size = sum(
        len(
            messages.encode_envelope(
                messages.Envelope(built.sender, outgoing.body)
            )
        )
        for outgoing in sent
    )
    return _Second(statistics.median(busy), size / 1000, len(sent))


def _add_peers_again(built: node.Node, peers: int, now: float) -> None:
    for peer in list(built.members.live_peers(now))[:peers]:
        built.members.observe(peer.sender, peer.heartbeat, now)


def measure_memory() -> list[Slope]:
    """Measures the memory of a node against servers and services."""
    points = []
    for services, servers, peers in ((4, 30, 15), (240, 2800, 199)):
        tracemalloc.start()
        built = decisions.build_node(services, 6, servers)
        _add_peers(built, peers)
        for service in range(services):
            for centre in range(1, 7):
                pool = ids.pool_id(
                    ids.ServiceId(f"team/s{service}"),
                    ids.DataCentreId(f"dc{centre}"),
                )
                built.pools.member_of(pool, 101.0)
        used = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        size = f"{services} services, {servers} servers, {peers + 1} daemons"
        points.append(Slope("memory of control", size, used, "MB"))
    return points


def measure_records() -> list[Slope]:
    """Measures the memory of remembered keys."""
    settings = documents.KeySettings(signing_keys=["0" * 16])
    tracemalloc.start()
    memory = ledger.KeyLedger(settings, invariants.InvariantMonitor())
    for number in range(10_000):
        key = f"k:01890a5d-ac96-774b-bcce-{number:012d}"
        memory.claim(key, ids.Fingerprint(f"{number:032d}"), 0.0)
        answer = outcomes.Answered(200, (("A", "b"),), bytes(200))
        memory.settle(key, answer, 0.0)
    used = tracemalloc.get_traced_memory()[0] / 10_000
    tracemalloc.stop()
    return [Slope("memory of a key", "200-byte answer", used, "B")]


def measure_configuration() -> list[Slope]:
    """Measures one changed document that comes into force."""
    points = []
    for services, servers in ((4, 30), (240, 2800)):
        built = decisions.build_node(services, 6, servers)
        text = decisions.render_team(services, 6)
        revision = [1]

        def change(
            built: node.Node = built,
            text: str = text,
            revision: list[int] = revision,
        ) -> None:
            revision[0] += 1
            document = store.TeamDocument(ids.TeamId("team"), revision[0], text)
            built.take_settings_document(document, moments.Moment(101.0, 1e9))

        size = f"{services} services, {servers} servers"
        points.append(
            Slope("a change in force", size, _median_ms(change), "ms")
        )
    return points
