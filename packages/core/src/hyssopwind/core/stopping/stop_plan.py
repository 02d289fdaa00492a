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
# Time after the signal in which requests are taken that may outlast the drain.
# It ends before the balancer delay does, because the signal may be handled
# late.
ADMISSION_SECONDS = 2.5
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
    def handover_deadline(self) -> float:
        """Time at which the process ends although answers are not delivered."""
        return self.requested_at + self.grace_seconds * HANDOVER_SHARE

    def takes_followers(self, now: float) -> bool:
        """Returns whether requests behind unanswered ones are taken.

        Later a connection takes none, since the connection of a caller who
        always has a request under way would otherwise never close.
        """
        return now < self.admission_end

    def may_start(self, now: float, request_deadline: float) -> bool:
        """Returns whether a request may be passed on to a server.

        Args:
            now: monotonic time.
            request_deadline: monotonic time at which the request is answered at
                the latest.
        """
        return now < self.admission_end or request_deadline <= self.deadline
