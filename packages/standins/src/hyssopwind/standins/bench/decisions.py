"""Measures the processor time of one decision."""

import random
import statistics
import time

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import judgement
from hyssopwind.core.configuration import store
from hyssopwind.core.membership import machines
from hyssopwind.core.node import moments
from hyssopwind.core.node import node
from hyssopwind.core.placement import data_centres
from hyssopwind.core.pools import member
from hyssopwind.core.requests import classification
from hyssopwind.core.settings import reading

DAEMON_TEXT = """
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
DECISIONS = 4_000
_ANSWER = judgement.WholeAnswer(outcomes.Answered(200, (), b""), "1", 0.01)


def render_team(services: int, centres: int, padding: int = 0) -> str:
    """Returns settings of one team, with a comment of `padding` bytes."""
    lines = ["#" + "x" * padding] if padding else []
    for number in range(1, centres + 1):
        lines.append(f"[data_centres.dc{number}]")
    for number in range(services):
        lines.append(f"[services.s{number}]")
        lines.append(f'route = "/s{number}"')
        lines.append(f"[services.s{number}.load]")
        for centre in range(1, centres + 1):
            lines.append(f'dc{centre} = "100000/s"')
    return "\n".join(lines) + "\n"


def list_servers(
    services: int, centres: int, servers: int
) -> machines.MachineList:
    """Returns a list of `servers` VMs spread over all pools."""
    records = {}
    for number in range(servers):
        service = number % services
        centre = number // services % centres + 1
        records[ids.ServerId(f"v{number}")] = machines.ServerRecord(
            service=f"team/s{service}",
            data_centre=f"dc{centre}",
            address=f"127.0.0.1:{10_000 + number}",
        )
    return machines.MachineList(1, records, {})


def build_node(services: int, centres: int, servers: int) -> node.Node:
    """Returns a node with settings and servers, all pools open."""
    settings = reading.read_daemon(DAEMON_TEXT, "bench").value
    assert settings is not None
    sender = messages.Sender(ids.DaemonId("one"), ids.StartId("1"))
    built = node.Node(
        sender,
        settings,
        random.Random(1),
        invariants.InvariantMonitor(),
        0.0,
    )
    moment = moments.Moment(100.0, 1e9)
    document = store.TeamDocument(
        ids.TeamId("team"), 1, render_team(services, centres)
    )
    built.take_settings_listing([document], 1, moment)
    built.take_machines(list_servers(services, centres, servers), moment)
    built.set_phase(messages.Phase.SERVING, moment)
    built.tick(moment)
    return built


def _open_pool(built: node.Node, pool: ids.PoolId, now: float) -> None:
    """Tells the member of a pool that it is open."""
    pool_member = built.pools.member_of(pool, now)
    entries = [
        messages.ServerSummary(server, 5, 0, 5, True, "1", 0)
        for server in sorted(pool_member.usable)
    ]
    summary = messages.Summary(pool=pool, open=True, servers=entries)
    pool_member.take_summary(built.sender, summary, now)


def decide(built: node.Node, service: int, now: float) -> None:
    """Makes one whole decision: classify, choose, judge."""
    path = f"/team/s{service}/item"
    request = classification.Request("GET", path, path, {}, b"")
    settings = built.configuration.documents.snapshot
    item = classification.classify(request, settings, now)
    assert isinstance(item, classification.Classified)
    order = data_centres.order_data_centres(
        item.service,
        built.members.data_centre,
        built.returns,
        built.pools.expected_waits(item.service, now),
        built.generator,
        now,
    )
    pool_member = built.pools.member_of(
        ids.pool_id(item.service.id, order[0]), now
    )
    plan = pool_member.plan(
        now, item.deadline, item.priority, False, frozenset()
    )
    assert isinstance(plan, member.SendDirect)
    pool_member.begin(plan.server, direct=True)
    judgement.judge_execution(_ANSWER)
    pool_member.finish_completed(plan.server, "1", 0.01, now)


def measure(services: int, centres: int, servers: int) -> float:
    """Returns the median microseconds of one decision."""
    built = build_node(services, centres, servers)
    now = 100.0
    for service in range(services):
        pool = ids.pool_id(
            ids.ServiceId(f"team/s{service}"), ids.DataCentreId("dc1")
        )
        _open_pool(built, pool, now)
    medians = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for number in range(DECISIONS):
            decide(built, number % services, now)
        elapsed = time.process_time() - started
        medians.append(elapsed / DECISIONS * 1e6)
    return statistics.median(medians)
