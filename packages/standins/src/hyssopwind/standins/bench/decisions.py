"""Benchmark of the processor time of one decision.

A decision classifies a request, selects a server and judges its answer.
"""

import random
import statistics
import time

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.configuration import configuration_store
from hyssopwind.core.membership import vm_records
from hyssopwind.core.node import node
from hyssopwind.core.node import timestamp
from hyssopwind.core.placement import data_centres
from hyssopwind.core.pools import clients
from hyssopwind.core.requests import classification
from hyssopwind.core.settings import parsing

DAEMON_SETTINGS_TEXT = """
name = "one"
data_centre = "dc1"
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
admin = "127.0.0.1:3"
[platform]
configuration = "http://127.0.0.1:4"
virtual_machines = "http://127.0.0.1:5"
[cluster]
entry_vms = 1
[keys]
signing_keys = ["a-signing-key-for-benchmarks"]
"""
ROUNDS = 5
DECISIONS_PER_ROUND = 4_000
_ANSWER = attempt_results.WholeAnswer(
    outcomes.Answered(200, (), b""), "1", 0.01
)


def render_team_settings(
    service_count: int, data_centre_count: int, padding_bytes: int = 0
) -> str:
    """Returns a team's settings document.

    Args:
        service_count: number of services.
        data_centre_count: number of data centres.
        padding_bytes: size of a comment that makes the document longer.
    """
    lines = ["#" + "x" * padding_bytes] if padding_bytes else []
    for number in range(1, data_centre_count + 1):
        lines.append(f"[data_centres.dc{number}]")
    for number in range(service_count):
        lines.append(f"[services.s{number}]")
        lines.append(f'route = "/s{number}"')
        lines.append(f"[services.s{number}.load]")
        for data_centre_number in range(1, data_centre_count + 1):
            lines.append(f'dc{data_centre_number} = "100000/s"')
    return "\n".join(lines) + "\n"


def make_vm_list(
    service_count: int, data_centre_count: int, server_count: int
) -> vm_records.VmList:
    """Returns a list of VMs that are spread evenly over all pools."""
    records = {}
    for number in range(server_count):
        service = number % service_count
        data_centre_number = number // service_count % data_centre_count + 1
        records[ids.ServerId(f"v{number}")] = vm_records.ServerVmRecord(
            service=f"team/s{service}",
            data_centre=f"dc{data_centre_number}",
            address=f"127.0.0.1:{10_000 + number}",
        )
    return vm_records.VmList(1, records, {})


def build_node(
    service_count: int, data_centre_count: int, server_count: int
) -> node.Node:
    """Returns a serving node that has settings and a list of servers."""
    settings = parsing.parse_daemon(DAEMON_SETTINGS_TEXT, "bench").value
    assert settings is not None
    identity = messages.DaemonIdentity(ids.DaemonId("one"), ids.StartId("1"))
    bench_node = node.Node(
        identity,
        settings,
        random.Random(1),
        invariants.InvariantMonitor(),
        0.0,
    )
    started_at = timestamp.Timestamps(100.0, 1e9)
    document = configuration_store.TeamDocument(
        ids.TeamId("team"),
        1,
        render_team_settings(service_count, data_centre_count),
    )
    bench_node.apply_settings_listing([document], 1, started_at)
    bench_node.apply_vm_list(
        make_vm_list(service_count, data_centre_count, server_count),
        started_at,
    )
    bench_node.set_phase(messages.Phase.SERVING, started_at)
    bench_node.tick(started_at)
    return bench_node


def _open_pool(bench_node: node.Node, pool: ids.PoolId, now: float) -> None:
    """Reports a pool as open to its client by a summary."""
    client = bench_node.pools.client_for_pool(pool, now)
    entries = [
        messages.ServerSummary(server, 5, 0, 5, True, "1", 0)
        for server in sorted(client.live_servers)
    ]
    summary = messages.Summary(pool=pool, is_open=True, servers=entries)
    client.handle_summary(bench_node.identity, summary, now)


def decide(bench_node: node.Node, service_number: int, now: float) -> None:
    """Classifies a request, selects a server and judges its answer."""
    path = f"/team/s{service_number}/item"
    request = classification.Request("GET", path, path, {}, b"")
    settings = bench_node.configuration.document_store.snapshot
    classified = classification.classify(request, settings, now)
    assert isinstance(classified, classification.ClassifiedRequest)
    data_centre_order = data_centres.order_data_centres(
        classified.service,
        bench_node.membership.data_centre,
        bench_node.recovery_ramps,
        bench_node.pools.expected_waits(classified.service, now),
        bench_node.random_source,
        now,
    )
    client = bench_node.pools.client_for_pool(
        ids.pool_id(classified.service.id, data_centre_order[0]), now
    )
    plan = client.plan(
        now, classified.deadline, classified.priority, False, frozenset()
    )
    assert isinstance(plan, clients.SendDirect)
    client.begin(plan.server, is_direct=True)
    attempt_results.classify_execution(_ANSWER)
    client.finish_completed(plan.server, "1", 0.01, now)


def measure_decision_microseconds(
    service_count: int, data_centre_count: int, server_count: int
) -> float:
    """Returns the median microseconds of one decision."""
    bench_node = build_node(service_count, data_centre_count, server_count)
    now = 100.0
    for service_number in range(service_count):
        pool = ids.pool_id(
            ids.ServiceId(f"team/s{service_number}"), ids.DataCentreId("dc1")
        )
        _open_pool(bench_node, pool, now)
    decision_microseconds = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for number in range(DECISIONS_PER_ROUND):
            decide(bench_node, number % service_count, now)
        elapsed = time.process_time() - started
        decision_microseconds.append(elapsed / DECISIONS_PER_ROUND * 1e6)
    return statistics.median(decision_microseconds)
