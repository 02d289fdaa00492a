"""Servers as they register themselves on the platform."""

import dataclasses

from hyssopwind.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEntry:
    """One registered server.

    Attributes:
        id: name of this start of the server; an address may be used again by
            a server with another name.
        service: the service that it belongs to.
        address: IP address and port.
        data_centre: where it runs.
        slots: requests that it runs at a time.
        draining: whether it has announced that it leaves.
        warmup_left: seconds for which it stays cold, as of the report.
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
