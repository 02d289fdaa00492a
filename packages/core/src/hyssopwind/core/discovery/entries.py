"""Entries under which servers register on the platform."""

import dataclasses

from hyssopwind.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEntry:
    """One registered server.

    Attributes:
        id: name of this start of the server; a server with another id may
            use the same address later.
        service: the service that the server belongs to.
        address: IP address and port.
        data_centre: the data centre in which it runs.
        slots: maximum number of requests that it runs concurrently.
        draining: whether it has announced that it will stop.
        warmup_left: seconds for which it stays cold, counted from the report.
        started: Unix time of its start in milliseconds; 0 where unknown.
    """

    id: ids.ServerId
    service: ids.ServiceId
    address: str
    data_centre: ids.DataCentreId
    slots: int
    draining: bool
    warmup_left: float
    started: int
