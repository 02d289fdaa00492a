"""Typed meaning of published items, as the platform adapter decodes them."""

import dataclasses
from typing import TypeAlias

from hyssopwind.core import findings
from hyssopwind.core import ids
from hyssopwind.core.discovery import entries
from hyssopwind.core.routing import tables


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRecord:
    """A server that may be used."""

    entry: entries.ServerEntry


@dataclasses.dataclass(frozen=True, slots=True)
class ServerGone:
    """A server whose item was removed."""

    server: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """The newest configuration."""

    configuration: tables.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationRecord:
    """Whether a data centre is to get no new work."""

    data_centre: ids.DataCentreId
    active: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableServer:
    """An entry that names no usable server, and why."""

    server: ids.ServerId
    findings: tuple[findings.Finding, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """Any other item that makes no sense, and why."""

    findings: tuple[findings.Finding, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Irrelevant:
    """An item of others."""


Record: TypeAlias = (
    ServerRecord
    | ServerGone
    | ConfigurationRecord
    | EvacuationRecord
    | UnreadableServer
    | Unreadable
    | Irrelevant
)
