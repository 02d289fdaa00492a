"""What a run does, drawn from a scenario and a seed.

All times are seconds since the start of the traffic.
"""

import dataclasses
import enum
import math


class ActionKind(enum.Enum):
    """What is done to a gateway process.

    Attributes:
        TERMINATE: SIGTERM; the first one is followed by SIGKILL after the grace
            period.
        RELOAD: SIGHUP.
        FREEZE: SIGSTOP.
        THAW: SIGCONT.
        KILL: SIGKILL, as an unplanned fault.
        START: the process starts again as soon as its predecessor has ended.
    """

    TERMINATE = "terminate"
    RELOAD = "reload"
    FREEZE = "freeze"
    THAW = "thaw"
    KILL = "kill"
    START = "start"


class Habit(enum.Enum):
    """How a caller uses its connections.

    Attributes:
        KEPT: one request after the other on a kept connection.
        CONTINUOUS: always `depth` requests under way on one connection.
        BATCHES: `depth` requests in one write, the next after all answers.
        BEHIND_SLOW: a slow request, a fast one behind it, and another one that
            is sent when the fast one has ended at the server.
        UNREAD: sends further requests while an answer is still unread.
        NEW: a new connection for each request.
        PACED: at random intervals, with work of random length, whether or not
            answers have come; `depth` limits the requests under way.
    """

    KEPT = "kept"
    CONTINUOUS = "continuous"
    BATCHES = "batches"
    BEHIND_SLOW = "behind-slow"
    UNREAD = "unread"
    NEW = "new"
    PACED = "paced"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """Requests of one route.

    Attributes:
        name: name and path prefix of the route.
        method: HTTP method; POST requests are not idempotent.
        work_seconds: seconds of work at a server.
        timeout_seconds: timeout of the route.
        deadline_seconds: how long the caller waits.
        target_latency_seconds: latency target of the route.
    """

    name: str
    method: str
    work_seconds: float
    timeout_seconds: float
    deadline_seconds: float
    target_latency_seconds: float

    @property
    def is_safe(self) -> bool:
        """Whether the request may run more than once."""
        return self.method == "GET"


BROWSE = RequestKind("browse", "GET", 0.22, 1.2, 2.5, 0.6)
BOOK = RequestKind("book", "POST", 0.29, 1.5, 3.0, 0.8)
ROSTER = RequestKind("roster", "GET", 0.55, 3.0, 6.0, 1.5)
VENUE = RequestKind("venue", "GET", 0.88, 5.0, 10.0, 2.0)
KINDS = (BROWSE, BOOK, ROSTER, VENUE)


class WorldActionKind(enum.Enum):
    """What is done to the store, the operator or the servers.

    Attributes:
        CONFIGURE: the operator writes the next version, which moves all routes
            to the other service.
        SILENCE: the store answers nothing.
        TURN_AWAY: the store answers 503.
        SERVE: the store answers normally again.
        COPY: a copy of the store is made.
        RESTORE: the store comes back from the last copy; the operator and the
            servers write again what it lost.
        DROP_HISTORY: the store drops its history.
        PUT_ODD: another writer leaves an odd entry; `target` selects it.
        REMOVE_ODD: the odd entry is removed.
        CRASH: the server `target` resets its connections and listens no more.
        RECOVER: the server `target` listens again.
        DRAIN: the server `target` reports that it is draining.
        UNDRAIN: the server `target` reports that it is ready.
    """

    CONFIGURE = "configure"
    SILENCE = "silence"
    TURN_AWAY = "turn-away"
    SERVE = "serve"
    COPY = "copy"
    RESTORE = "restore"
    DROP_HISTORY = "drop-history"
    PUT_ODD = "put-odd"
    REMOVE_ODD = "remove-odd"
    CRASH = "crash"
    RECOVER = "recover"
    DRAIN = "drain"
    UNDRAIN = "undrain"


@dataclasses.dataclass(frozen=True, slots=True)
class WorldAction:
    """Something that is done to the store, the operator or a server.

    Attributes:
        at: when it is done.
        kind: what is done.
        target: index of the server or of the odd entry.
    """

    at: float
    kind: WorldActionKind
    target: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """Something that is done to a gateway.

    Attributes:
        at: when it is done.
        gateway: index of the gateway.
        kind: what is done.
        waits_for_listener: whether it also waits until the process accepts
            connections, which it does before it has imported the rest.
    """

    at: float
    gateway: int
    kind: ActionKind
    waits_for_listener: bool = False


class Listener(enum.Enum):
    """The listeners of a gateway; the values are its settings' names."""

    CALLERS = "front"
    READY = "ready"
    PEERS = "control"
    METRICS = "metrics"


class CrowdKind(enum.Enum):
    """What the callers of a crowd do, without reading or closing.

    Attributes:
        SHORT_BODIES: send bodies that stop 3 bytes short.
        UNREAD_PIPELINES: send many requests at once.
        SILENT: send nothing.
    """

    SHORT_BODIES = "short-bodies"
    UNREAD_PIPELINES = "unread-pipelines"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Crowd:
    """Misbehaving callers that connect to one listener at the same time.

    Attributes:
        at: when they connect.
        seconds: time for which they stay connected.
        gateway: index of the gateway.
        listener: the listener.
        kind: what they do.
        caller_count: number of connections.
    """

    at: float
    seconds: float
    gateway: int
    listener: Listener
    kind: CrowdKind
    caller_count: int = 40


@dataclasses.dataclass(frozen=True, slots=True)
class CallerPlan:
    """One caller.

    Attributes:
        habit: how it uses its connections.
        kind: its requests.
        gateway: index of the gateway that it connects to first.
        starts_at: when it sends its first request.
        stops_at: when it sends no more requests.
        depth: requests under way at the same time.
        pause_seconds: pause after each answer; the mean interval if paced.
        work_seconds: work of each request at the server; that of the kind if
            negative.
        answer_bytes: length of the body of an answer.
        read_bytes_per_second: rate at which it reads.
        body_bytes: length of the body of a request.
        body_seconds: time that it takes to send the body.
        expects_continue: whether it waits for `100 Continue` before the body.
        asks_to_close: whether it sends `Connection: close`.
        heeds_rotation: whether it opens connections only to gateways that the
            balancer uses, and otherwise as long as the process accepts them.
    """

    habit: Habit
    kind: RequestKind
    gateway: int = 0
    starts_at: float = 0.0
    stops_at: float = 7.6
    depth: int = 1
    pause_seconds: float = 0.0
    work_seconds: float = -1.0
    answer_bytes: int = 200
    read_bytes_per_second: float = math.inf
    body_bytes: int = 0
    body_seconds: float = 0.0
    expects_continue: bool = False
    asks_to_close: bool = False
    heeds_rotation: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One run, wholly determined by its scenario and seed.

    Attributes:
        scenario: name of the scenario.
        seed: seed that the plan was drawn from.
        gateway_count: number of gateways; each has the next one as its seed.
        callers: the callers.
        actions: what is done to the gateways, in the order of time.
        starts_ready: whether all gateways serve before the traffic; otherwise
            they are started by actions.
        busy_processes: processes that compete for the processor.
        shares_core: whether gateways and busy processes run on one core.
        grace_seconds: time between SIGTERM and SIGKILL.
        world_actions: what is done to the store, the operator and the servers,
            in the order of time.
        service_count: number of services, which share the servers.
        crowds: misbehaving callers, beside the others.
    """

    scenario: str
    seed: int
    gateway_count: int
    callers: tuple[CallerPlan, ...]
    actions: tuple[Action, ...]
    starts_ready: bool = True
    busy_processes: int = 0
    shares_core: bool = False
    grace_seconds: float = 6.0
    world_actions: tuple[WorldAction, ...] = ()
    service_count: int = 1
    crowds: tuple[Crowd, ...] = ()

    def describe(self) -> str:
        """Returns the plan as text, one line for each action and caller."""
        lines = [
            f"scenario {self.scenario} seed {self.seed}:"
            f" {self.gateway_count} gateways,"
            f" {self.busy_processes} busy processes"
            f"{', all on one core' if self.shares_core else ''}"
        ]
        for action in self.actions:
            lines.append(
                f"  {action.at:7.3f} gateway {action.gateway}"
                f" {action.kind.value}"
                f"{' once it listens' if action.waits_for_listener else ''}"
            )
        for change in self.world_actions:
            lines.append(
                f"  {change.at:7.3f} {change.kind.value} {change.target}"
            )
        lines += [f"  {crowd}" for crowd in self.crowds]
        lines += [
            f"  caller {number}: {caller}"
            for number, caller in enumerate(self.callers)
        ]
        return "\n".join(lines)
