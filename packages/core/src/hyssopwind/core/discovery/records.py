"""Records: published items as the platform adapter decodes them."""

import dataclasses
from typing import TypeAlias

from hyssopwind.core import findings
from hyssopwind.core import ids
from hyssopwind.core.discovery import entries
from hyssopwind.core.routing import tables


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRecord:
    """A registered server."""

    entry: entries.ServerEntry


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRemoved:
    """A server whose item was removed."""

    server: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """The newest configuration.

    Attributes:
        configuration: the configuration, without the parts that cannot be read.
        findings: the reasons for which parts cannot be read.
        unreadable_routes: names of the routes that cannot be read.
        is_incomplete: whether it may have further routes, for that reason.
    """

    configuration: tables.Configuration
    findings: "tuple[findings.Finding, ...]" = ()
    unreadable_routes: frozenset[str] = frozenset()
    is_incomplete: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationRecord:
    """The start or the end of the evacuation of a data centre.

    Attributes:
        data_centre: the data centre.
        is_active: whether the evacuation is in progress, so that the data
            centre receives no new requests.
    """

    data_centre: ids.DataCentreId
    is_active: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableServer:
    """A server entry that cannot be decoded, with the reasons."""

    server: ids.ServerId
    findings: tuple[findings.Finding, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableConfiguration:
    """A configuration that cannot be decoded, with the reasons."""

    findings: tuple[findings.Finding, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class IrrelevantItem:
    """An item that the load balancer does not use."""


Record: TypeAlias = (
    ServerRecord
    | ServerRemoved
    | ConfigurationRecord
    | EvacuationRecord
    | UnreadableServer
    | UnreadableConfiguration
    | IrrelevantItem
)
