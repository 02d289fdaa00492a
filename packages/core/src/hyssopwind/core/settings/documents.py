"""Structures of the settings documents of a team and of a daemon."""

import enum

import msgspec

from hyssopwind.core import units


class DataCentreState(enum.Enum):
    """Whether a data centre may receive new requests."""

    IN = "in"
    OUT = "out"


class Priority(enum.Enum):
    """The order in which requests are served and, if overloaded, refused."""

    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"


class SettingsSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all sections of a settings document."""


class DataCentreSettings(SettingsSection, frozen=True, kw_only=True):
    """The settings of one data centre for one team.

    Attributes:
        state: whether the data centre may receive new requests of the team.
        region: name of the region; data centres of the same region are
            preferred to others.
        delay: one-way delay to other data centres by their names.
        return_ramp: time over which the load increases after the state has
            changed from `out` to `in`.
    """

    state: DataCentreState = DataCentreState.IN
    region: str = "default"
    delay: dict[str, units.Duration] = {}
    return_ramp: units.Duration = units.Duration(20.0)


class RetrySettings(SettingsSection, frozen=True, kw_only=True):
    """Limits on the retries and hedges of one service.

    Attributes:
        attempts: most attempts for one request, including the first.
        ratio: retries and hedges allowed as a share of the requests.
        minimum: rate of retries and hedges that is always allowed.
        hedge_after: time without an answer after which a hedge of an
            idempotent request starts; zero disables hedging.
    """

    attempts: int = 3
    ratio: float = 0.1
    minimum: units.Rate = units.Rate(2.0)
    hedge_after: units.Duration = units.Duration(0.0)


class ColdStartSettings(SettingsSection, frozen=True, kw_only=True):
    """Limits on the concurrency of a cold server.

    Attributes:
        limit: requests that a cold server may handle at a time at first.
        step: completed requests after which the limit increases by one.
    """

    limit: int = 1
    step: int = 8


class ProbeSettings(SettingsSection, frozen=True, kw_only=True):
    """Limit on the load probes of one server.

    Attributes:
        budget: rate of load probes of one server by all daemons together.
    """

    budget: units.Rate = units.Rate(1.0)


class ServiceSettings(SettingsSection, frozen=True, kw_only=True):
    """The settings of one service of a team.

    Attributes:
        route: path prefix below the path of the team.
        non_idempotent_methods: methods whose requests run at most once.
        idempotent_routes: path prefixes below `route` on which every method
            is idempotent.
        deadline: time that a caller waits unless its request states less.
        require_key: whether a non-idempotent request without a ticket or
            an idempotency key is refused.
        priority: default priority of the requests.
        slots: requests that one server handles at a time.
        max_request: largest body of a request.
        max_answer: largest body of an answer.
        load: declared load of the service in each data centre.
        retries: limits on retries and hedges.
        cold_start: limits on cold servers.
        measuring: limit on load probes.
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
    measuring: ProbeSettings = ProbeSettings()


class TeamSettings(SettingsSection, frozen=True, kw_only=True):
    """The settings of one team.

    Attributes:
        data_centres: settings of the data centres by their names.
        services: settings of the services by their names.
    """

    data_centres: dict[str, DataCentreSettings]
    services: dict[str, ServiceSettings]


class PlatformSettings(SettingsSection, frozen=True, kw_only=True):
    """Addresses of the services of the platform.

    Attributes:
        configuration: URL of the configuration service.
        virtual_machines: URL of the service that lists the VMs.
        settings_prefix: path prefix of the settings of the teams.
        virtual_machines_prefix: path prefix of the VM records.
    """

    configuration: str
    virtual_machines: str
    settings_prefix: str = "/hyssopwind/teams/"
    virtual_machines_prefix: str = "/vms/"


class ClusterSettings(SettingsSection, frozen=True, kw_only=True):
    """Settings of quorums, leases and failure detection.

    Attributes:
        entry_vms: most daemons that run at a time; quorums are computed from
            it.
        lease: time for which a peer grants a lease on a resource.
        heartbeat: time between two heartbeats.
        suspect_after: time without a heartbeat after which a peer is
            considered down.
        clock_error: largest difference between two wall clocks.
    """

    entry_vms: int
    lease: units.Duration = units.Duration(3.0)
    heartbeat: units.Duration = units.Duration(0.5)
    suspect_after: units.Duration = units.Duration(2.0)
    clock_error: units.Duration = units.Duration(1.0)


class KeySettings(SettingsSection, frozen=True, kw_only=True):
    """Settings of tickets and idempotency keys.

    Attributes:
        signing_keys: keys with which tickets are verified; the first one signs
            new tickets.
        ticket_lifetime: time within which a ticket must be used first.
        retention: time for which an outcome is kept after the last use.
        max_records: most key records held; further new keys are refused.
        max_stored_answer: largest answer that is kept for a resend.
        opaque_key_window: time within which callers resend a key that does
            not contain its creation time.
    """

    signing_keys: list[str]
    ticket_lifetime: units.Duration = units.Duration(600.0)
    retention: units.Duration = units.Duration(600.0)
    max_records: int = 20_000
    max_stored_answer: units.ByteSize = units.ByteSize(64_000)
    opaque_key_window: units.Duration = units.Duration(600.0)


class TraceSettings(SettingsSection, frozen=True, kw_only=True):
    """Settings of the span export.

    Attributes:
        sample: share of the requests that are traced if the caller has not
            decided whether to trace.
        file: path of the JSON lines file; no spans are written if empty.
    """

    sample: float = 0.0
    file: str = ""


class LogSettings(SettingsSection, frozen=True, kw_only=True):
    """Settings of the log output.

    Attributes:
        level: lowest level that is written.
        file: path of the JSON lines file; standard error if empty.
    """

    level: str = "INFO"
    file: str = ""


class StopSettings(SettingsSection, frozen=True, kw_only=True):
    """Timing of a planned stop.

    Attributes:
        balancer_delay: time between the end of readiness and the closing of
            the listener, in which a load balancer in front of the daemons
            stops using this one.
        grace: most time that running requests may take after that.
    """

    balancer_delay: units.Duration = units.Duration(1.0)
    grace: units.Duration = units.Duration(30.0)


class LimitSettings(SettingsSection, frozen=True, kw_only=True):
    """What the process may use.

    Attributes:
        memory: memory of the process; a part of it may be held for callers.
        descriptors: descriptors that it may open; 0 for those that the system
            allows.
    """

    memory: units.ByteSize = units.ByteSize(300_000_000)
    descriptors: int = 0


class DaemonSettings(SettingsSection, frozen=True, kw_only=True):
    """The settings of a daemon.

    Attributes:
        name: name of the daemon in the list of VMs.
        data_centre: data centre in which the daemon runs.
        callers: IP address and port for callers.
        peers: IP address and port for other daemons.
        admin: IP address and port for operators and metrics.
        platform: addresses of the services of the platform.
        cluster: settings of quorums, leases and failure detection.
        keys: settings of tickets and idempotency keys.
        traces: settings of the span export.
        logs: settings of the log output.
        stop: timing of a planned stop.
        limits: what the process may use.
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
    limits: LimitSettings = LimitSettings()
