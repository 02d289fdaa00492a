"""Times of a planned stop, and which requests it still takes."""

import dataclasses

# Shares of the grace period. What follows the drain is for handing over the
# last answers, for the end of the process, and for a signal that a busy process
# handled late.
DRAIN_SHARE = 7 / 8
HANDOVER_SHARE = 15 / 16
# Time after the signal in which the balancer still sends connections: two
# readiness checks, one a second, and their timeouts.
BALANCER_DELAY_SECONDS = 3.0
# Time after the signal in which requests are taken whose callers would wait
# beyond the drain. It ends before the balancer delay does, because the signal
# may be handled late.
ADMISSION_SECONDS = 2.5
# Time from the last answers of servers to the end of the drain.
MAX_ANSWER_MARGIN_SECONDS = 0.25
ANSWER_MARGIN_SHARE = 1 / 32
# A request that is not idempotent is only taken with this many times its
# latency target left, since a server that ends it early leaves its outcome
# unknown.
MIN_TARGETS_LEFT = 2.0
# Other daemons serve at once; a caller needs no longer pause.
RETRY_AFTER_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class StopPlan:
    """The times of one planned stop.

    Attributes:
        requested_at: monotonic time at which the signal was handled.
        grace_seconds: seconds from the signal to the kill by the platform.

    Examples:
        >>> plan = StopPlan(requested_at=100.0, grace_seconds=6.0)
        >>> plan.deadline, plan.handover_deadline
        (105.25, 105.625)
        >>> plan.may_start(now=101.0, request_deadline=111.0)
        True
        >>> plan.limit_deadline(111.0)
        105.0625
        >>> plan.may_start(now=103.0, request_deadline=111.0)
        False
        >>> plan.may_start(now=103.0, request_deadline=105.0)
        True
    """

    requested_at: float
    grace_seconds: float

    @property
    def admission_end(self) -> float:
        """End of the time in which any request is taken."""
        longest = self.grace_seconds * DRAIN_SHARE / 2
        return self.requested_at + min(ADMISSION_SECONDS, longest)

    @property
    def idle_close_at(self) -> float:
        """Time from which idle connections are closed."""
        return min(self.requested_at + BALANCER_DELAY_SECONDS, self.deadline)

    @property
    def deadline(self) -> float:
        """Time at which requests in progress are ended."""
        return self.requested_at + self.grace_seconds * DRAIN_SHARE

    @property
    def last_answer_at(self) -> float:
        """Time by which servers have to answer what is sent after the signal.

        A request that is sent after the signal could otherwise run beyond the
        drain, and its answer would be lost.
        """
        margin = min(
            MAX_ANSWER_MARGIN_SECONDS, self.grace_seconds * ANSWER_MARGIN_SHARE
        )
        return self.deadline - margin

    @property
    def handover_deadline(self) -> float:
        """Time at which the process ends although answers are not delivered."""
        return self.requested_at + self.grace_seconds * HANDOVER_SHARE

    def takes_followers(self, now: float) -> bool:
        """Returns whether requests behind unanswered ones are taken.

        Later a connection takes none, since the connection of a caller who
        always has a request under way would otherwise never close.
        """
        return now < self.admission_end

    def limit_deadline(self, request_deadline: float) -> float:
        """Returns the deadline of a request that is sent after the signal."""
        return min(request_deadline, self.last_answer_at)

    def may_start(
        self,
        now: float,
        request_deadline: float,
        *,
        latency_target_seconds: float = 0.0,
        is_idempotent: bool = True,
    ) -> bool:
        """Returns whether a request may be passed on to a server.

        Args:
            now: monotonic time.
            request_deadline: monotonic time at which the caller or the route
                times out.
            latency_target_seconds: latency target of its route.
            is_idempotent: whether it may run more than once.
        """
        if request_deadline <= self.deadline:
            return True
        if now >= self.admission_end:
            return False
        needed_seconds = MIN_TARGETS_LEFT * latency_target_seconds
        return is_idempotent or now + needed_seconds <= self.last_answer_at
