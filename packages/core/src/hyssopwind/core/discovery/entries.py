"""Entries under which servers register on the platform."""

import dataclasses

from hyssopwind.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEntry:
    """One registered server.

    Attributes:
        id: identifier of the server; a server with another one may use the
            same address later.
        service: the service that the server belongs to.
        address: IP address and port.
        data_centre: the data centre in which it runs.
        slots: maximum number of requests that it runs concurrently.
        is_draining: whether it has announced that it will stop.
        warmup_left_seconds: seconds for which it stays cold, counted from the
            report.
        started_at_ms: Unix time of its start in milliseconds; 0 where unknown.
        sequence: number of the report, counted from the start of the server.
        instance: identifies this start of the server.
    """

    id: ids.ServerId
    service: ids.ServiceId
    address: str
    data_centre: ids.DataCentreId
    slots: int
    is_draining: bool
    warmup_left_seconds: float
    started_at_ms: int
    sequence: int = 0
    instance: ids.InstanceId = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        instance = ids.instance_id(self.id, self.started_at_ms)
        object.__setattr__(self, "instance", instance)
