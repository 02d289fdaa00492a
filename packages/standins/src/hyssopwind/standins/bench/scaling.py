"""Benchmarks of the background work and memory of a node by fleet size."""

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
from hyssopwind.core.configuration import configuration_store
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
    milliseconds = []
    for _ in range(ROUNDS):
        started = time.process_time()
        action()
        milliseconds.append((time.process_time() - started) * 1000)
    return statistics.median(milliseconds)


def measure_settings_parsing() -> list[Measurement]:
    """Measures the parsing of settings documents of several sizes."""
    measurements = []
    for service_count, padding_bytes in (
        (4, 0),
        (60, 0),
        (240, 0),
        (240, 900_000),
    ):
        text = decisions.render_team_settings(service_count, 6, padding_bytes)
        size = f"{service_count} services, {len(text) // 1000} KB"
        value = _median_ms(functools.partial(parsing.parse_team, text, "t"))
        measurements.append(Measurement("read settings", size, value, "ms"))
    return measurements


def measure_vm_lists() -> list[Measurement]:
    """Measures the parsing and applying of VM lists of several sizes."""
    measurements = []
    for service_count, server_count in ((4, 30), (240, 2800)):
        bench_node = decisions.build_node(service_count, 6, server_count)
        vm_list = decisions.make_vm_list(service_count, 6, server_count)
        observed_at = timestamp.Timestamps(101.0, 1e9)
        value = _median_ms(
            functools.partial(bench_node.apply_vm_list, vm_list, observed_at)
        )
        size = f"{service_count} services, {server_count} servers"
        measurements.append(
            Measurement("take a list of VMs", size, value, "ms")
        )
        encoded_records = {
            str(name): _encode_record(record)
            for name, record in vm_list.servers.items()
        }
        value = _median_ms(
            functools.partial(vm_records.parse_vm_list, encoded_records, 1)
        )
        measurements.append(
            Measurement("read a list of VMs", size, value, "ms")
        )
    return measurements


def _encode_record(record: vm_records.ServerVmRecord) -> bytes:
    return msgspec.json.encode(record)


def _add_peers(bench_node: node.Node, count: int) -> None:
    observed_at = timestamp.Timestamps(101.0, 1e9)
    for number in range(count):
        peer_identity = messages.DaemonIdentity(
            ids.DaemonId(f"peer{number}"), ids.StartId("1")
        )
        heartbeat = messages.Heartbeat(
            phase=messages.Phase.SERVING,
            data_centre=ids.DataCentreId(f"dc{number % 6 + 1}"),
            peers_address=f"127.0.0.1:{number}",
            callers_address=f"127.0.0.1:{number}",
            revisions={"team": 1},
        )
        bench_node.membership.record_heartbeat(
            peer_identity, heartbeat, observed_at.now
        )


def measure_ticks() -> list[Measurement]:
    """Measures one second of ticks without calls in fleets of several sizes."""
    measurements = []
    for service_count, server_count, peer_count in (
        (4, 30, 15),
        (4, 30, 60),
        (4, 30, 199),
        (240, 2800, 15),
        (240, 2800, 199),
    ):
        bench_node = decisions.build_node(service_count, 6, server_count)
        _add_peers(bench_node, peer_count)
        bench_node.pools.update_owners(101.0)
        cost = _measure_tick_cost(bench_node, peer_count)
        size = (
            f"{service_count} services, {server_count} servers, "
            f"{peer_count + 1} daemons"
        )
        measurements.append(
            Measurement("a second of ticks", size, cost.busy_ms, "ms")
        )
        measurements.append(
            Measurement("control sent", size, cost.sent_kilobytes, "KB/s")
        )
        measurements.append(
            Measurement("messages sent", size, float(cost.message_count), "/s")
        )
    return measurements


@dataclasses.dataclass(frozen=True, slots=True)
class _TickCost:
    """Cost of one second of ticks.

    Attributes:
        busy_ms: median processor time.
        sent_kilobytes: size of the messages sent in the last second.
        message_count: number of messages sent in the last second.
    """

    busy_ms: float
    sent_kilobytes: float
    message_count: int


def _measure_tick_cost(bench_node: node.Node, peer_count: int) -> _TickCost:
    now = 102.0
    busy_ms = []
    for _ in range(3):
        _refresh_peers(bench_node, peer_count, now)
        started = time.process_time()
        sent = []
        for _ in range(100):
            now += 0.01
            bench_node.tick(timestamp.Timestamps(now, 1e9 + now))
            sent += bench_node.pop_outgoing()
        busy_ms.append((time.process_time() - started) * 1000)
    sent_bytes = sum(
        len(
            messages.encode_envelope(
                messages.Envelope(bench_node.identity, outgoing.body)
            )
        )
        for outgoing in sent
    )
    return _TickCost(statistics.median(busy_ms), sent_bytes / 1000, len(sent))


def _refresh_peers(bench_node: node.Node, peer_count: int, now: float) -> None:
    for peer in list(bench_node.membership.live_peers(now))[:peer_count]:
        bench_node.membership.record_heartbeat(peer.sender, peer.heartbeat, now)


def measure_node_memory() -> list[Measurement]:
    """Measures the memory of a node in fleets of several sizes."""
    measurements = []
    for service_count, server_count, peer_count in (
        (4, 30, 15),
        (240, 2800, 199),
    ):
        tracemalloc.start()
        bench_node = decisions.build_node(service_count, 6, server_count)
        _add_peers(bench_node, peer_count)
        for service_number in range(service_count):
            for data_centre_number in range(1, 7):
                pool = ids.pool_id(
                    ids.ServiceId(f"team/s{service_number}"),
                    ids.DataCentreId(f"dc{data_centre_number}"),
                )
                bench_node.pools.client_for_pool(pool, 101.0)
        used_megabytes = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        size = (
            f"{service_count} services, {server_count} servers, "
            f"{peer_count + 1} daemons"
        )
        measurements.append(
            Measurement("memory of control", size, used_megabytes, "MB")
        )
    return measurements


def measure_key_record_memory() -> list[Measurement]:
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


def measure_settings_change() -> list[Measurement]:
    """Measures the time in which a node applies one changed document."""
    measurements = []
    for service_count, server_count in ((4, 30), (240, 2800)):
        bench_node = decisions.build_node(service_count, 6, server_count)
        text = decisions.render_team_settings(service_count, 6)
        revision = [1]

        def apply_change(
            bench_node: node.Node = bench_node,
            text: str = text,
            revision: list[int] = revision,
        ) -> None:
            revision[0] += 1
            document = configuration_store.TeamDocument(
                ids.TeamId("team"), revision[0], text
            )
            bench_node.apply_settings_document(
                document, timestamp.Timestamps(101.0, 1e9)
            )

        size = f"{service_count} services, {server_count} servers"
        measurements.append(
            Measurement(
                "a change in force", size, _median_ms(apply_change), "ms"
            )
        )
    return measurements
