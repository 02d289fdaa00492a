"""The places where data of others is decoded, each with valid samples.

Each place reads data as the programs do. It may raise `DecodeError`; any other
exception is a defect.
"""

import dataclasses
import json
import random
from collections.abc import Callable
from typing import Any

import msgspec
import multidict
from hypothesis import strategies

from hyssopwind.core import decoding
from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import left_out
from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core import registry
from hyssopwind.core.configuration import configuration_store
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.discovery import items
from hyssopwind.core.discovery import records
from hyssopwind.core.fleet import change_encoding
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.fleet import gossip_messages
from hyssopwind.core.fleet import handovers
from hyssopwind.core.membership import vm_records
from hyssopwind.core.node import node
from hyssopwind.core.node import timestamp
from hyssopwind.core.ownership import codec
from hyssopwind.core.ownership import tickets
from hyssopwind.core.requests import classification
from hyssopwind.core.settings import parsing
from hyssopwind.platform import answer_notices
from hyssopwind.platform import boot
from hyssopwind.platform import items as platform_items
from hyssopwind.platform import probe_answers
from hyssopwind.platform import store
from hyssopwind.standins.bench import decisions
from hyssopwind.standins.fuzzing import mutations
from hyssopwind.standins.site import documents as site_documents

SIGNING_KEY = "a-signing-key-of-the-fuzzer"
NOW = 1_000.0
_DAEMON_SETTINGS = """
name = "one"
data_centre = "chicago"
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
admin = "127.0.0.1:3"
[platform]
configuration = "http://127.0.0.1:4"
virtual_machines = "http://127.0.0.1:5"
[cluster]
entry_vms = 2
[keys]
signing_keys = ["a-signing-key-of-the-fuzzer"]
"""
_TUNING = '[choosing]\nnear_sample = 3\n[reading]\nwatch_wait = "1s"\n'


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A place where data of others is decoded.

    Attributes:
        name: what is decoded.
        inputs: strategy of the data, valid and mutated.
        read: reads the data as the programs do.
    """

    name: str
    inputs: strategies.SearchStrategy[Any]
    read: Callable[[Any], object]


PLACES: registry.Registry[str, Place] = registry.Registry("place")


def place(
    name: str, inputs: strategies.SearchStrategy[Any]
) -> Callable[[Callable[[Any], object]], Callable[[Any], object]]:
    """Registers a function that reads data."""

    def register(read: Callable[[Any], object]) -> Callable[[Any], object]:
        PLACES.register(name)(Place(name, inputs, read))
        return read

    return register


def _mutate_all_json(*samples: Any) -> strategies.SearchStrategy[bytes]:
    return strategies.one_of([mutations.mutate_json(s) for s in samples])


def _mutate_all_messages(*samples: bytes) -> strategies.SearchStrategy[bytes]:
    return strategies.one_of(
        [mutations.mutate_message_pack(s) for s in samples]
    )


def _make_node() -> node.Node:
    settings = parsing.parse_daemon(_DAEMON_SETTINGS, "fuzzer").value
    assert settings is not None
    return node.Node(
        messages.DaemonIdentity(ids.DaemonId("one"), ids.StartId("1")),
        settings,
        random.Random(1),
        invariants.InvariantMonitor(),
        0.0,
    )


_TEAM_SETTINGS = decisions.render_team_settings(2, 2)
_VM_RECORDS = (
    {
        "kind": "server",
        "service": "team/service1",
        "data_centre": "dc1",
        "address": "127.0.0.1:80",
        "state": "live",
    },
    {
        "kind": "entry",
        "data_centre": "dc1",
        "peers": "127.0.0.1:81",
        "callers": "127.0.0.1:82",
        "state": "leaving",
    },
)
_SENDER = messages.DaemonIdentity(ids.DaemonId("two"), ids.StartId("2"))
_POOL = ids.pool_id(ids.ServiceId("team/service1"), ids.DataCentreId("dc1"))
_SERVER = ids.ServerId("server")
_OUTCOME = codec.encode_outcome(
    outcomes.Answered(200, (("Content-Type", "text/plain"),), b"body")
)
_LOAD_UPDATE = messages.LoadUpdate(
    pool=_POOL,
    last_grant_number=1,
    direct_request_count=2,
    servers=[
        messages.ServerLoadUpdate(_SERVER, 1, 2, 3, 4, "start", 0.5),
    ],
)
_PEER_MESSAGES: tuple[messages.AnyMessage, ...] = (
    messages.Heartbeat(
        phase=messages.Phase.SERVING,
        data_centre=ids.DataCentreId("dc1"),
        peers_address="127.0.0.1:1",
        callers_address="127.0.0.1:2",
        revisions={"team": 3},
    ),
    messages.Documents(
        documents=[
            messages.PublishedDocument(ids.TeamId("team"), 7, _TEAM_SETTINGS)
        ]
    ),
    messages.LeaseRequest(round=1, resources=["keys/1"]),
    messages.LeaseReply(
        round=1,
        granted=["keys/1"],
        previous_holders={"keys/1": "three/3"},
        refused_holders={"keys/2": "two/2"},
    ),
    messages.LeaseRelease(resources=["keys/1"]),
    messages.TransferRequest(nonce=1, resource="keys/1"),
    messages.Transfer(
        nonce=1,
        resource="keys/1",
        complete_since=1e9,
        records=[
            messages.TransferredRecord(
                "c/key", ids.Fingerprint("f"), _OUTCOME, 1.0
            )
        ],
    ),
    messages.KeyCompleted(
        key="c/key", fingerprint=ids.Fingerprint("f"), encoded_outcome=_OUTCOME
    ),
    _LOAD_UPDATE,
    messages.AdmissionRequest(
        load_update=_LOAD_UPDATE,
        admission_id=1,
        priority_rank=1,
        timeout_seconds=1.0,
        is_remote=False,
        tried_servers=[_SERVER],
    ),
    messages.Grant(
        pool=_POOL,
        admission_id=1,
        server=_SERVER,
        grant_number=1,
        queued_seconds=0.1,
    ),
    messages.Refusal(
        pool=_POOL,
        admission_id=1,
        cause=messages.RefusalCause.OVERLOADED,
        retry_after_seconds=0.5,
    ),
    messages.Cancellation(pool=_POOL, admission_id=1),
    messages.Summary(
        pool=_POOL,
        is_open=True,
        servers=[messages.ServerSummary(_SERVER, 4, 1, 2, True, "start", 0)],
    ),
    messages.CrashNotice(fingerprint=ids.Fingerprint("f"), crash_count=1),
)


@place("VM list", _mutate_all_json(*_VM_RECORDS))
def _read_vm_list(data: bytes) -> object:
    valid = json.dumps(_VM_RECORDS[0]).encode()
    vm_list = vm_records.parse_vm_list({"odd": data, "valid": valid}, 3)
    assert "valid" in vm_list.servers
    daemon_node = _make_node()
    timestamps = timestamp.Timestamps(NOW, 1e9)
    daemon_node.apply_vm_list(vm_list, timestamps)
    daemon_node.tick(timestamps)
    return [str(finding) for finding in vm_list.record_findings]


@place("settings of a team", mutations.mutate_toml(_TEAM_SETTINGS))
def _read_team_settings(text: str) -> object:
    daemon_node = _make_node()
    timestamps = timestamp.Timestamps(NOW, 1e9)
    document = configuration_store.TeamDocument(ids.TeamId("team"), 3, text)
    daemon_node.apply_settings_listing([document], 3, timestamps)
    daemon_node.tick(timestamps)
    snapshot = daemon_node.configuration.document_store.snapshot
    for service in snapshot.services.values():
        request = classification.Request(
            "GET",
            f"/{service.id}",
            f"/{service.id}",
            multidict.CIMultiDictProxy(multidict.CIMultiDict()),
            b"",
        )
        classification.classify(request, snapshot, NOW)
    return parsing.parse_team(text, "fuzzer").findings


@place("settings of a daemon", mutations.mutate_toml(_DAEMON_SETTINGS))
def _read_daemon_settings(text: str) -> object:
    return parsing.parse_daemon(text, "fuzzer").findings


@place("tuning file", mutations.mutate_toml(_TUNING))
def _read_tuning(text: str) -> object:
    return parsing.parse_tuning(text, "fuzzer").findings


@place(
    "settings file of the platform",
    mutations.mutate_toml(
        site_documents.render_settings(
            store_address="127.0.0.1:9", ports=[1, 2, 3, 4], name="front-1"
        )
    ),
)
def _read_boot_settings(text: str) -> object:
    try:
        return boot.parse_settings(text, "fuzzer")
    except boot.BootError as error:
        return str(error)


@place(
    "messages of peers",
    _mutate_all_messages(
        *(
            messages.encode_envelope(messages.Envelope(_SENDER, body))
            for body in _PEER_MESSAGES
        )
    ),
)
def _read_peer_message(data: bytes) -> object:
    envelope = messages.read_envelope(data)
    messages.check_addresses(envelope)
    daemon_node = _make_node()
    timestamps = timestamp.Timestamps(NOW, 1e9)
    document = configuration_store.TeamDocument(
        ids.TeamId("team"), 3, _TEAM_SETTINGS
    )
    daemon_node.apply_settings_listing([document], 3, timestamps)
    daemon_node.set_phase(messages.Phase.SERVING, timestamps)
    daemon_node.receive(envelope, timestamps)
    daemon_node.receive(envelope, timestamps)
    for delay_seconds in (0.02, 1.0):
        daemon_node.tick(
            timestamp.Timestamps(NOW + delay_seconds, 1e9 + delay_seconds)
        )
    return [
        messages.encode_envelope(
            messages.Envelope(daemon_node.identity, outgoing.body)
        )
        for outgoing in daemon_node.pop_outgoing()
    ]


@place(
    "datagrams of gateways",
    _mutate_all_messages(
        *(
            gossip_messages.encode(message)
            for message in (
                gossip_messages.Heartbeat(
                    "a", "127.0.0.1", "north", 7, 20, True, False, 1
                ),
                gossip_messages.MemberListPage(
                    "a", [gossip_messages.Member("b", "127.0.0.2", "north", 5)]
                ),
                gossip_messages.LeavingNotice("a", ids.InstanceId("i-1@2")),
                gossip_messages.HangNotice("a", "i-1"),
                gossip_messages.HangSuspicion("a", "i-1"),
            )
        ),
        gossip_messages.encode_deflated(
            gossip_messages.MemberListPage(
                "a", [gossip_messages.Member("b", "127.0.0.2", "north", 5)]
            )
        ),
    ),
)
def _read_datagram(data: bytes) -> object:
    message = gossip_messages.decode(data)
    members = fleet_members.MemberList(
        ids.DaemonId("one"), "127.0.0.9", ids.DataCentreId("north"), NOW
    )
    if isinstance(message, gossip_messages.Heartbeat):
        members.handle_heartbeat(message, NOW)
    elif isinstance(message, gossip_messages.MemberListPage):
        members.handle_member_list_page(message, NOW)
    return members.list_members(NOW, local_only=False)


def _make_replica() -> items.ItemReplica:
    replica = items.ItemReplica()
    replica.apply(
        items.Delta((items.Item("op/config", b"{}" * 3_000, 5),), 5, True)
    )
    return replica


@place(
    "changes that a gateway pulls",
    _mutate_all_messages(
        change_encoding.ChangeEncoder(_make_replica()).encode(0, [], 20)
    ),
)
def _read_changes(data: bytes) -> object:
    delta, _ = change_encoding.decode(data, items.ItemReplica())
    return _make_replica().apply(delta)


def _tenants_of(record: records.Record) -> object:
    if not isinstance(record, records.ConfigurationRecord):
        return type(record)
    return vars(record.configuration.tenants)


@place(
    "items of the platform",
    _mutate_all_json(
        site_documents.make_server_entry("127.0.0.1:80"),
        site_documents.make_configuration(3, []),
        site_documents.make_configuration(
            3,
            [
                site_documents.make_tenant_resource("a", ["k"], priority=1),
                site_documents.make_tenant_resource("b", ["k"], rate_per_s=2),
            ],
        ),
    ),
)
def _read_item(data: bytes) -> object:
    listed = catalogue.Catalogue()
    for key in ("servers/i-1", "op/config", "op/evacuate/north"):
        published = items.Item(key, data, 3)
        replicated = platform_items.hide_keys(published)
        if platform_items.hide_keys(replicated) is not replicated:
            raise AssertionError("keys are hidden twice")
        record = platform_items.decode_item(replicated)
        if _tenants_of(record) != _tenants_of(
            platform_items.decode_item(published)
        ):
            raise AssertionError("the replica has other tenants")
        listed.apply_record(record, NOW)
    return list(listed.usable_servers(ids.ServiceId("s"), NOW))


@place(
    "answers of the platform's store",
    _mutate_all_json(
        {
            "items": [
                {"key": "a", "revision": 3, "value": "YQ=="},
                {"key": "b", "revision": 4, "value": "YQ=="},
            ],
            "current_rev": 5,
        },
    ),
)
def _read_store_page(data: bytes) -> object:
    parts = left_out.LeftOutParts()
    try:
        return store.decode_page(data, parts).listed
    except store.StoreError as error:
        return str(error)


@place(
    "terms and results of handovers",
    _mutate_all_json(
        msgspec.to_builtins(
            handovers.Terms("a", 1, 1_000, 0, True, False, 2, ["s"])
        ),
        msgspec.to_builtins(
            handovers.Terms(
                *("a", 1, 1_000, 0, True, False, 2, ["s"], False),
                tenant="t",
                key_digest="d",
                configuration_version=3,
            )
        ),
        msgspec.to_builtins(
            handovers.Result(7, "not-run", "overloaded", "no room", 0.5)
        ),
    ),
)
def _read_handover(data: bytes) -> object:
    text = data.decode("latin-1")
    try:
        return handovers.decode_terms(text)
    except decoding.DecodeError:
        return handovers.read_failure(handovers.decode_result(text))


@place("tickets", strategies.text(max_size=300))
def _read_odd_ticket(text: str) -> object:
    return tickets.read_ticket(text, [SIGNING_KEY])


@place(
    "mutated tickets",
    mutations.mutate_bytes(
        tickets.encode_ticket(
            tickets.Ticket(_SENDER, 7, 60.0), SIGNING_KEY
        ).encode()
    ),
)
def _read_ticket(data: bytes) -> object:
    return tickets.read_ticket(data.decode("latin-1"), [SIGNING_KEY])


@place("transferred outcomes", _mutate_all_messages(_OUTCOME))
def _read_outcome(data: bytes) -> object:
    return codec.decode_transferred(data)


@place(
    "header fields of servers",
    strategies.dictionaries(
        strategies.sampled_from(
            (
                "Server-Load",
                "Server-Limit",
                "Retry-After",
                "Warmup-Ms",
                "Instance-Id",
                "Server-Leaving",
            )
        ),
        strategies.one_of(
            strategies.text(max_size=20),
            strategies.sampled_from(
                ("3,1,8,250", "nan", "inf", "1e999", "9" * 5_000, "-1", "²")
            ),
        ),
    ),
)
def _read_server_fields(fields: dict[str, str]) -> object:
    result = probe_answers.decode_probe_result(200, fields)
    notices = answer_notices.decode_notices(503, fields)
    return result, notices
