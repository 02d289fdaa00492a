"""Records of the VM list that the platform publishes."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import TypeAlias

import msgspec

from hyssopwind.core import findings
from hyssopwind.core import ids


class VmState(enum.Enum):
    """Whether a VM is in service or is about to stop."""

    LIVE = "live"
    LEAVING = "leaving"


class ServerVmRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag="server", tag_field="kind"
):
    """A VM that runs a server of a service.

    Attributes:
        service: identifier of the service, which includes its team.
        data_centre: data centre of the VM.
        address: IP address and port of the server.
        state: whether the VM is about to stop.
    """

    service: str
    data_centre: str
    address: str
    state: VmState = VmState.LIVE

    @property
    def pool(self) -> ids.PoolId:
        """The pool that the server belongs to."""
        return ids.pool_id(
            ids.ServiceId(self.service), ids.DataCentreId(self.data_centre)
        )


class EntryVmRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag="entry", tag_field="kind"
):
    """A VM that runs a daemon.

    Attributes:
        data_centre: data centre of the VM.
        peers: IP address and port for other daemons.
        callers: IP address and port for callers.
        state: whether the VM is about to stop.
    """

    data_centre: str
    peers: str
    callers: str
    state: VmState = VmState.LIVE


VmRecord: TypeAlias = ServerVmRecord | EntryVmRecord

_DECODER = msgspec.json.Decoder(VmRecord)


@dataclasses.dataclass(frozen=True, slots=True)
class VmList:
    """The VM list as of one listing.

    Attributes:
        revision: revision of the listing.
        servers: records of server VMs by the identifiers of the servers.
        entry_vms: records of entry VMs by the names of their daemons.
        record_findings: findings about the records that cannot be decoded.
    """

    revision: int
    servers: Mapping[ids.ServerId, ServerVmRecord]
    entry_vms: Mapping[ids.DaemonId, EntryVmRecord]
    record_findings: tuple[findings.Finding, ...] = ()


EMPTY_VM_LIST = VmList(-1, {}, {})


def parse_vm_list(values: Mapping[str, bytes], revision: int) -> VmList:
    """Decodes the records of a listing; an invalid one becomes a finding.

    Examples:
        >>> listing = parse_vm_list({"a": b"{}"}, 3)
        >>> [str(finding) for finding in listing.record_findings]
        ['a:0: Object missing required field `kind`']
    """
    servers = {}
    entries = {}
    found = []
    for name, value in sorted(values.items()):
        try:
            record = _DECODER.decode(value)
        except msgspec.DecodeError as error:
            found.append(findings.Finding(name, 0, "", str(error)))
            continue
        if isinstance(record, ServerVmRecord):
            servers[ids.ServerId(name)] = record
            continue
        entries[ids.DaemonId(name)] = record
    return VmList(revision, servers, entries, tuple(found))
