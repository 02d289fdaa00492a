"""Shapes of the settings documents: one for a team, one for a daemon."""

import enum

import msgspec

from hyssopwind.core import units


class DataCentreState(enum.Enum):
    """Whether a data centre may get new work."""

    IN = "in"
    OUT = "out"


class Priority(enum.Enum):
    """The order in which requests are served and refused under load."""

    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"


class Document(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all parts of a settings document."""


class DataCentreSettings(Document, frozen=True, kw_only=True):
    """One data centre, as a team sees it.

    Attributes:
        state: whether the data centre may get new work of this team.
        region: data centres of one region are preferred to others.
        delay: one-way delay to other data centres, by their names.
        return_ramp: time over which the load rises after `out` becomes `in`.
    """

    state: DataCentreState = DataCentreState.IN
    region: str = "default"
    delay: dict[str, units.Duration] = {}
    return_ramp: units.Duration = units.Duration(20.0)


class RetrySettings(Document, frozen=True, kw_only=True):
    """Limits of further attempts for one service.

    Attributes:
        attempts: most attempts for one request, the first included.
        ratio: further attempts as a share of the requests.
        minimum: further attempts that are always allowed.
        hedge_after: time without an answer after which a second attempt of
            an idempotent request starts; zero never starts one.
    """

    attempts: int = 3
    ratio: float = 0.1
    minimum: units.Rate = units.Rate(2.0)
    hedge_after: units.Duration = units.Duration(0.0)


class ColdStartSettings(Document, frozen=True, kw_only=True):
    """How much work a server in cold start gets.

    Attributes:
        limit: requests at a time that a cold server bears.
        step: completed requests after which the limit rises by one.
    """

    limit: int = 1
    step: int = 8


class MeasuringSettings(Document, frozen=True, kw_only=True):
    """Cost of measuring the load of one server.

    Attributes:
        budget: load probes of one server, over all daemons.
    """

    budget: units.Rate = units.Rate(1.0)


class ServiceSettings(Document, frozen=True, kw_only=True):
    """One service of a team.

    Attributes:
        route: path prefix below the path of the team.
        non_idempotent_methods: methods whose requests run at most once.
        idempotent_routes: path prefixes below `route` on which every method
            is idempotent.
        deadline: time that a caller waits, unless its request says less.
        require_key: whether a non-idempotent request without a ticket or
            an idempotency key is refused.
        priority: default priority of the requests.
        slots: requests that one server works on at a time.
        max_request: largest body of a request.
        max_answer: largest body of an answer.
        load: declared load of the service in each data centre.
        retries: limits of further attempts.
        cold_start: limits of servers in cold start.
        measuring: cost of measuring the load of a server.
    """

    route: str
    non_idempotent_methods: tuple[str, ...] = ("POST", "PATCH")
    idempotent_routes: tuple[str, ...] = ()
    require_key: bool = True
    deadline: units.Duration = units.Duration(2.0)
    priority: Priority = Priority.NORMAL
    slots: int = 4
    max_request: units.ByteSize = units.ByteSize(1_000_000)
    max_answer: units.ByteSize = units.ByteSize(8_000_000)
    load: dict[str, units.Rate]
    retries: RetrySettings = RetrySettings()
    cold_start: ColdStartSettings = ColdStartSettings()
    measuring: MeasuringSettings = MeasuringSettings()


class TeamSettings(Document, frozen=True, kw_only=True):
    """The whole subtree of one team."""

    data_centres: dict[str, DataCentreSettings]
    services: dict[str, ServiceSettings]


class PlatformSettings(Document, frozen=True, kw_only=True):
    """Where the services of the platform answer.

    Attributes:
        configuration: URL of the configuration service.
        virtual_machines: URL of the service that lists the VMs.
        settings_prefix: path of the subtrees of the teams.
        virtual_machines_prefix: path of the VM records.
    """

    configuration: str
    virtual_machines: str
    settings_prefix: str = "/hyssopwind/teams/"
    virtual_machines_prefix: str = "/vms/"


class ClusterSettings(Document, frozen=True, kw_only=True):
    """Agreement between the daemons.

    Attributes:
        entry_vms: most daemons that run at a time, the base of each quorum.
        lease: time for which a peer backs the owner of a partition.
        heartbeat: time between two heartbeats.
        suspect_after: silence after which a peer counts as gone.
        clock_error: largest difference of two wall clocks.
    """

    entry_vms: int
    lease: units.Duration = units.Duration(3.0)
    heartbeat: units.Duration = units.Duration(0.5)
    suspect_after: units.Duration = units.Duration(2.0)
    clock_error: units.Duration = units.Duration(1.0)


class KeySettings(Document, frozen=True, kw_only=True):
    """Tickets and idempotency keys.

    Attributes:
        signing_keys: keys that sign tickets; the first signs new ones.
        ticket_lifetime: time in which a ticket may be used first.
        retention: time for which an outcome is kept after the last use.
        max_records: most records held; new keys are refused beyond it.
        max_stored_answer: largest answer that is kept for a resend.
        opaque_key_window: time in which callers send a key again that shows
            no time of birth.
    """

    signing_keys: list[str]
    ticket_lifetime: units.Duration = units.Duration(600.0)
    retention: units.Duration = units.Duration(600.0)
    max_records: int = 20_000
    max_stored_answer: units.ByteSize = units.ByteSize(64_000)
    opaque_key_window: units.Duration = units.Duration(600.0)


class TraceSettings(Document, frozen=True, kw_only=True):
    """Export of spans.

    Attributes:
        sample: share of the requests that are traced, unless the caller
            decided already.
        file: path of the JSON lines; empty writes none.
    """

    sample: float = 0.0
    file: str = ""


class LogSettings(Document, frozen=True, kw_only=True):
    """Log output.

    Attributes:
        level: lowest level that is written.
        file: path of the JSON lines; empty writes to standard error.
    """

    level: str = "INFO"
    file: str = ""


class StopSettings(Document, frozen=True, kw_only=True):
    """Times of a planned stop.

    Attributes:
        balancer_delay: time between readiness off and the closed listener.
        grace: most time for running requests after that.
    """

    balancer_delay: units.Duration = units.Duration(1.0)
    grace: units.Duration = units.Duration(30.0)


class DaemonSettings(Document, frozen=True, kw_only=True):
    """Everything a daemon needs to start.

    Attributes:
        name: name of the daemon in the list of VMs.
        data_centre: data centre that the daemon runs in.
        callers: IP address and port for callers.
        peers: IP address and port for other daemons.
        admin: IP address and port for operators and metrics.
    """

    name: str
    data_centre: str
    callers: str
    peers: str
    admin: str
    platform: PlatformSettings
    cluster: ClusterSettings
    keys: KeySettings
    traces: TraceSettings = TraceSettings()
    logs: LogSettings = LogSettings()
    stop: StopSettings = StopSettings()
