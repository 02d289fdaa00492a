"""Causes and stages of answers that callers did not get whole."""

import enum


class DeliveryStage(enum.Enum):
    """How far a request and its answer were when the connection closed.

    The values are labels of the log and of the metric.
    """

    QUEUED = "queued"  # read, waits for earlier requests
    RUNNING = "running"
    HELD = "held"  # answered, waits for the answers before it
    BUFFERED = "buffered"  # written, partly still in the process
    UNACKNOWLEDGED = "unacknowledged"  # partly still in the send queue


class CloseCause(enum.Enum):
    """What closed a connection before an answer was delivered.

    The values are labels of the log and of the metric.
    """

    CALLER = "caller"
    RESET = "reset"  # by the caller or on the way
    DAEMON = "daemon"
    PROCESS_END = "process-end"
