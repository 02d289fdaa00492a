"""Benchmarks of the control work by the size of fleet and settings."""

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
from hyssopwind.core.membership import vm_records
from hyssopwind.core.node import node
from hyssopwind.core.node import timestamp
from hyssopwind.core.ownership import key_records
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import parsing
from hyssopwind.standins.bench import decisions

ROUNDS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """One measured figure at one size.

    Attributes:
        name: what was measured.
        size: the size that was varied, as text.
        value: the measured value.
        unit: unit of the value.
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


def measure_settings() -> list[Measurement]:
    """Measures the parsing of a settings document by its size."""
    points = []
    for service_count, padding_bytes in (
        (4, 0),
        (60, 0),
        (240, 0),
        (240, 900_000),
    ):
        text = decisions.render_team_settings(service_count, 6, padding_bytes)
        size = f"{service_count} services, {len(text) // 1000} KB"
        value = _median_ms(functools.partial(parsing.parse_team, text, "t"))
        points.append(Measurement("read settings", size, value, "ms"))
    return points


def measure_listings() -> list[Measurement]:
    """Measures the parsing and applying of a list of VMs by its size."""
    points = []
    for service_count, server_count in ((4, 30), (240, 2800)):
        built = decisions.build_node(service_count, 6, server_count)
        listing = decisions.make_machine_list(service_count, 6, server_count)
        observed_at = timestamp.Timestamps(101.0, 1e9)
        value = _median_ms(
            functools.partial(built.apply_machines, listing, observed_at)
        )
        size = f"{service_count} services, {server_count} servers"
        points.append(Measurement("take a list of VMs", size, value, "ms"))
        encoded_records = {
            str(name): _encode_record(record)
            for name, record in listing.servers.items()
        }
        value = _median_ms(
            functools.partial(vm_records.parse_vm_list, encoded_records, 1)
        )
        points.append(Measurement("read a list of VMs", size, value, "ms"))
    return points


def _encode_record(record: vm_records.ServerVmRecord) -> bytes:
    return msgspec.json.encode(record)


def _add_peers(built: node.Node, count: int) -> None:
    observed_at = timestamp.Timestamps(101.0, 1e9)
    for number in range(count):
        sender = messages.Sender(
            ids.DaemonId(f"peer{number}"), ids.StartId("1")
        )
        heartbeat = messages.Heartbeat(
            phase=messages.Phase.SERVING,
            data_centre=ids.DataCentreId(f"dc{number % 6 + 1}"),
            peers_address=f"127.0.0.1:{number}",
            callers_address=f"127.0.0.1:{number}",
            revisions={"team": 1},
        )
        built.membership.record_heartbeat(sender, heartbeat, observed_at.now)


def measure_ticks() -> list[Measurement]:
    """Measures one second of ticks without calls by daemons and pools."""
    points = []
    for service_count, server_count, peer_count in (
        (4, 30, 15),
        (4, 30, 60),
        (4, 30, 199),
        (240, 2800, 15),
        (240, 2800, 199),
    ):
        built = decisions.build_node(service_count, 6, server_count)
        _add_peers(built, peer_count)
        built.pools.update_owners(101.0)
        value = _measure_tick_cost(built, peer_count)
        size = (
            f"{service_count} services, {server_count} servers, "
            f"{peer_count + 1} daemons"
        )
        points.append(
            Measurement("a second of ticks", size, value.busy_ms, "ms")
        )
        points.append(
            Measurement("control sent", size, value.sent_kilobytes, "KB/s")
        )
        points.append(
            Measurement("messages sent", size, float(value.message_count), "/s")
        )
    return points


@dataclasses.dataclass(frozen=True, slots=True)
class _TickCost:
    """Cost of one second of ticks.

    Attributes:
        busy_ms: median processor time.
        sent_kilobytes: size of the messages of the last second.
        message_count: number of the messages of the last second.
    """

    busy_ms: float
    sent_kilobytes: float
    message_count: int


def _measure_tick_cost(built: node.Node, peer_count: int) -> _TickCost:
    now = 102.0
    busy_ms = []
    for _ in range(3):
        _refresh_peers(built, peer_count, now)
        started = time.process_time()
        sent = []
        for _ in range(100):
            now += 0.01
            built.tick(timestamp.Timestamps(now, 1e9 + now))
            sent += built.pop_outgoing()
        busy_ms.append((time.process_time() - started) * 1000)
    size = sum(
        len(
            messages.encode_envelope(
                messages.Envelope(built.sender, outgoing.body)
            )
        )
        for outgoing in sent
    )
    return _TickCost(statistics.median(busy_ms), size / 1000, len(sent))


def _refresh_peers(built: node.Node, peer_count: int, now: float) -> None:
    for peer in list(built.membership.live_peers(now))[:peer_count]:
        built.membership.record_heartbeat(peer.sender, peer.heartbeat, now)


def measure_memory() -> list[Measurement]:
    """Measures the memory of a node by servers and services."""
    points = []
    for service_count, server_count, peer_count in (
        (4, 30, 15),
        (240, 2800, 199),
    ):
        tracemalloc.start()
        built = decisions.build_node(service_count, 6, server_count)
        _add_peers(built, peer_count)
        for service in range(service_count):
            for data_centre_number in range(1, 7):
                pool = ids.pool_id(
                    ids.ServiceId(f"team/s{service}"),
                    ids.DataCentreId(f"dc{data_centre_number}"),
                )
                built.pools.client_for_pool(pool, 101.0)
        used_megabytes = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        size = (
            f"{service_count} services, {server_count} servers, "
            f"{peer_count + 1} daemons"
        )
        points.append(
            Measurement("memory of control", size, used_megabytes, "MB")
        )
    return points


def measure_records() -> list[Measurement]:
    """Measures the memory of one key record."""
    settings = documents.KeySettings(signing_keys=["0" * 16])
    tracemalloc.start()
    record_store = key_records.KeyRecordStore(
        settings, invariants.InvariantMonitor()
    )
    for number in range(10_000):
        key = f"k:01890a5d-ac96-774b-bcce-{number:012d}"
        record_store.claim(key, ids.Fingerprint(f"{number:032d}"), 0.0)
        answer = outcomes.Answered(200, (("A", "b"),), bytes(200))
        record_store.complete(key, answer, 0.0)
    bytes_per_key = tracemalloc.get_traced_memory()[0] / 10_000
    tracemalloc.stop()
    return [
        Measurement("memory of a key", "200-byte answer", bytes_per_key, "B")
    ]


def measure_configuration() -> list[Measurement]:
    """Measures how long a node takes to apply one changed document."""
    points = []
    for service_count, server_count in ((4, 30), (240, 2800)):
        built = decisions.build_node(service_count, 6, server_count)
        text = decisions.render_team_settings(service_count, 6)
        revision = [1]

        def apply_change(
            built: node.Node = built,
            text: str = text,
            revision: list[int] = revision,
        ) -> None:
            revision[0] += 1
            document = store.TeamDocument(ids.TeamId("team"), revision[0], text)
            built.apply_settings_document(
                document, timestamp.Timestamps(101.0, 1e9)
            )

        size = f"{service_count} services, {server_count} servers"
        points.append(
            Measurement(
                "a change in force", size, _median_ms(apply_change), "ms"
            )
        )
    return points
