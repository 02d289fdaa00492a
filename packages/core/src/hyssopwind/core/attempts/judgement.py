"""Results of attempts, and whether a retry may follow."""

import dataclasses
import enum
from typing import TypeAlias

from hyssopwind.core import outcomes

SHED_HEADER = "Server-Shed"
START_HEADER = "Server-Start"


class FailureKind(enum.Enum):
    """Reason for which an attempt ended without an answer."""

    NOT_CONNECTED = "no connection was made"
    BROKEN = "the connection broke after the request was sent"
    GARBLED = "the server sent bytes that are no answer to the request"
    TIMED_OUT = "no whole answer came in time"
    TOO_LARGE = "the answer is over the limit"
    WITHHELD = "the request was not sent"


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """The server answered in full.

    Attributes:
        answer: the answer.
        start: start identifier of the server; empty if it sends none.
        latency: seconds from the first byte sent to the last byte received.
    """

    answer: outcomes.Answered
    start: str
    latency: float


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The server refused the request without running it.

    Attributes:
        start: start identifier of the server; empty if it sends none.
        retry_after: seconds after which the server accepts a retry.
    """

    start: str
    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The attempt ended without a whole answer."""

    kind: FailureKind


AttemptResult: TypeAlias = WholeAnswer | Shed | Failed


class Execution(enum.Enum):
    """Whether the server ran the request."""

    RAN = "ran"
    NEVER = "never"
    POSSIBLE = "possible"


def judge_execution(result: AttemptResult) -> Execution:
    """Returns whether the server ran the request of an attempt.

    Examples:
        >>> judge_execution(Failed(FailureKind.NOT_CONNECTED))
        <Execution.NEVER: 'never'>
        >>> judge_execution(Failed(FailureKind.BROKEN))
        <Execution.POSSIBLE: 'possible'>
    """
    if isinstance(result, WholeAnswer):
        return Execution.RAN
    if isinstance(result, Shed):
        return Execution.NEVER
    if result.kind in (FailureKind.NOT_CONNECTED, FailureKind.WITHHELD):
        return Execution.NEVER
    if result.kind is FailureKind.TOO_LARGE:
        return Execution.RAN
    return Execution.POSSIBLE


def may_try_again(result: AttemptResult, *, may_repeat: bool) -> bool:
    """Returns whether a retry is safe after this result."""
    if isinstance(result, WholeAnswer):
        return False
    execution = judge_execution(result)
    if execution is Execution.NEVER:
        return True
    return may_repeat and execution is Execution.POSSIBLE


def is_crash(result: AttemptResult) -> bool:
    """Returns whether the server may have crashed on the request."""
    return isinstance(result, Failed) and result.kind is FailureKind.BROKEN


def failure_outcome(
    result: Shed | Failed, *, may_repeat: bool, retry_after: float
) -> outcomes.Failure:
    """Returns the outcome for the caller when no attempt gave an answer.

    Args:
        result: the result of the last attempt.
        may_repeat: whether the request is idempotent.
        retry_after: seconds after which the caller may retry.
    """
    execution = judge_execution(result)
    if isinstance(result, Shed):
        return outcomes.NotRun(
            outcomes.Reason.OVERLOADED,
            "the servers refused the request for lack of room",
            max(retry_after, result.retry_after),
        )
    reason = _FAILURE_REASONS[result.kind]
    if execution is Execution.NEVER:
        return outcomes.NotRun(reason, result.kind.value, retry_after)
    if not may_repeat:
        return outcomes.Unknown(reason, result.kind.value)
    return outcomes.Unknown(reason, result.kind.value, retry_after)


_FAILURE_REASONS = {
    FailureKind.NOT_CONNECTED: outcomes.Reason.NO_SERVER,
    FailureKind.BROKEN: outcomes.Reason.SERVER_FAILED,
    FailureKind.GARBLED: outcomes.Reason.SERVER_FAILED,
    FailureKind.TIMED_OUT: outcomes.Reason.DEADLINE,
    FailureKind.TOO_LARGE: outcomes.Reason.ANSWER_TOO_LARGE,
    FailureKind.WITHHELD: outcomes.Reason.NO_SERVER,
}
