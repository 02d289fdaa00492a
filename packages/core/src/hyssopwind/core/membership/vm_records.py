"""Records of the VM list that the platform publishes."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import TypeAlias

import msgspec

from hyssopwind.core import decoding
from hyssopwind.core import findings
from hyssopwind.core import ids
from hyssopwind.core import left_out


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

_DECODER = decoding.JsonDecoder[VmRecord](VmRecord)


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


class VmListBuilder:
    """Builds the list of VMs from listings and changes of its records.

    A record whose bytes are unchanged is not decoded again.

    Args:
        left_out_parts: where records that cannot be decoded are recorded.
    """

    def __init__(self, left_out_parts: left_out.LeftOutParts):
        self._left_out_parts = left_out_parts
        self._revision = -1
        self._values: dict[str, bytes] = {}
        self._records: dict[str, VmRecord | findings.Finding] = {}
        self._new_findings: list[findings.Finding] = []

    def pop_new_findings(self) -> list[findings.Finding]:
        """Removes and returns the findings that are to be reported."""
        new_findings, self._new_findings = self._new_findings, []
        return new_findings

    def apply_listing(
        self, values: Mapping[str, bytes], revision: int
    ) -> VmList:
        """Returns the list; a listing older than the last one is ignored."""
        if revision < self._revision:
            return self._build()
        self._revision = revision
        for name in self._values.keys() - values.keys():
            self._remove(name)
        for name, value in values.items():
            self._put(name, value)
        return self._build()

    def apply_change(
        self, name: str, value: bytes | None, revision: int
    ) -> VmList:
        """Returns the list after one change; an older change is ignored.

        Args:
            name: name of the VM.
            value: its record; `None` if it was removed.
            revision: revision of the change.
        """
        if revision < self._revision:
            return self._build()
        self._revision = revision
        if value is None:
            self._remove(name)
        else:
            self._put(name, value)
        return self._build()

    def _put(self, name: str, value: bytes) -> None:
        if self._values.get(name) == value:
            return
        self._values[name] = value
        try:
            self._records[name] = _decode_record(value)
        except decoding.DecodeError as error:
            finding = findings.Finding(name, 0, "", str(error))
            self._records[name] = finding
            if self._left_out_parts.record(
                left_out.Source.VM_RECORD, name, [str(error)]
            ):
                self._new_findings.append(finding)
            return
        self._left_out_parts.clear(left_out.Source.VM_RECORD, name)

    def _remove(self, name: str) -> None:
        if self._values.pop(name, None) is None:
            return
        del self._records[name]
        self._left_out_parts.clear(left_out.Source.VM_RECORD, name)

    def _build(self) -> VmList:
        servers = {}
        entries = {}
        found = []
        for name, record in self._records.items():
            if isinstance(record, ServerVmRecord):
                servers[ids.ServerId(name)] = record
            elif isinstance(record, EntryVmRecord):
                entries[ids.DaemonId(name)] = record
            else:
                found.append(record)
        return VmList(self._revision, servers, entries, tuple(sorted(found)))


def parse_vm_list(values: Mapping[str, bytes], revision: int) -> VmList:
    """Decodes the records of a listing; an invalid one becomes a finding.

    Examples:
        >>> listing = parse_vm_list({"a": b"{}"}, 3)
        >>> [str(finding) for finding in listing.record_findings]
        ['a:0: Object missing required field `kind`']
    """
    builder = VmListBuilder(left_out.LeftOutParts())
    return builder.apply_listing(values, revision)


def _decode_record(value: bytes) -> VmRecord:
    """Returns a record.

    Raises:
        DecodeError: the value is no record, or has an address that no VM has.
    """
    record = _DECODER.decode(value)
    if isinstance(record, ServerVmRecord):
        decoding.split_address(record.address)
        return record
    decoding.split_address(record.peers)
    decoding.split_address(record.callers)
    return record
