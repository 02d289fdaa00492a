"""Results of attempts, and whether a retry may follow."""

import dataclasses
import enum
from typing import TypeAlias

from hyssopwind.core import outcomes

SHED_HEADER = "Server-Shed"
START_HEADER = "Server-Start"
# Statuses that promise the caller that a request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


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
        start_id: start identifier of the server; empty if it sends none.
        latency_seconds: seconds from the first byte sent to the last byte
            received.
    """

    answer: outcomes.Answered
    start_id: str
    latency_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The server refused the request without running it.

    Attributes:
        start_id: start identifier of the server; empty if it sends none.
        retry_after_seconds: seconds after which the server accepts a retry.
    """

    start_id: str
    retry_after_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The attempt ended without a whole answer."""

    kind: FailureKind


AttemptResult: TypeAlias = WholeAnswer | Shed | Failed


class Execution(enum.Enum):
    """Whether the server ran the request."""

    RAN = "ran"
    NEVER = "never"
    MAY_HAVE_RUN = "possible"


def classify_execution(result: AttemptResult) -> Execution:
    """Returns whether the server ran the request of an attempt.

    Examples:
        >>> classify_execution(Failed(FailureKind.NOT_CONNECTED))
        <Execution.NEVER: 'never'>
        >>> classify_execution(Failed(FailureKind.BROKEN))
        <Execution.MAY_HAVE_RUN: 'possible'>
    """
    if isinstance(result, WholeAnswer):
        return Execution.RAN
    if isinstance(result, Shed):
        return Execution.NEVER
    if result.kind in (FailureKind.NOT_CONNECTED, FailureKind.WITHHELD):
        return Execution.NEVER
    if result.kind is FailureKind.TOO_LARGE:
        return Execution.RAN
    return Execution.MAY_HAVE_RUN


def outcome_of_answer(
    answer: outcomes.Answered, *, is_idempotent: bool
) -> outcomes.Outcome:
    """Returns the outcome for the caller when a server gave an answer.

    A server that refuses a request states so in a header field. The status
    alone does not show that the request has not run, but promises it to the
    caller.

    Examples:
        >>> busy = outcomes.Answered(503, (), b"")
        >>> outcome_of_answer(busy, is_idempotent=True).status
        503
        >>> outcome_of_answer(busy, is_idempotent=False).tag
        'unknown'
    """
    if is_idempotent or answer.status not in NOT_RUN_STATUSES:
        return answer
    return outcomes.Unknown(
        outcomes.Reason.SERVER_FAILED,
        f"a server that ran the request answered {answer.status}",
    )


def may_retry(result: AttemptResult, *, is_idempotent: bool) -> bool:
    """Returns whether a retry is safe after this result."""
    if isinstance(result, WholeAnswer):
        return False
    execution = classify_execution(result)
    if execution is Execution.NEVER:
        return True
    return is_idempotent and execution is Execution.MAY_HAVE_RUN


def may_be_crash(result: AttemptResult) -> bool:
    """Returns whether the server may have crashed on the request."""
    return isinstance(result, Failed) and result.kind is FailureKind.BROKEN


def failure_outcome(
    result: Shed | Failed, *, is_idempotent: bool, retry_after_seconds: float
) -> outcomes.Failure:
    """Returns the outcome for the caller when no attempt gave an answer.

    Args:
        result: the result of the last attempt.
        is_idempotent: whether the request is idempotent.
        retry_after_seconds: seconds after which the caller may retry.
    """
    execution = classify_execution(result)
    if isinstance(result, Shed):
        return outcomes.NotRun(
            outcomes.Reason.OVERLOADED,
            "the servers refused the request for lack of room",
            max(retry_after_seconds, result.retry_after_seconds),
        )
    reason = _FAILURE_REASONS[result.kind]
    if execution is Execution.NEVER:
        return outcomes.NotRun(reason, result.kind.value, retry_after_seconds)
    if not is_idempotent:
        return outcomes.Unknown(reason, result.kind.value)
    return outcomes.Unknown(reason, result.kind.value, retry_after_seconds)


_FAILURE_REASONS = {
    FailureKind.NOT_CONNECTED: outcomes.Reason.NO_SERVER,
    FailureKind.BROKEN: outcomes.Reason.SERVER_FAILED,
    FailureKind.GARBLED: outcomes.Reason.SERVER_FAILED,
    FailureKind.TIMED_OUT: outcomes.Reason.DEADLINE,
    FailureKind.TOO_LARGE: outcomes.Reason.ANSWER_TOO_LARGE,
    FailureKind.WITHHELD: outcomes.Reason.NO_SERVER,
}
