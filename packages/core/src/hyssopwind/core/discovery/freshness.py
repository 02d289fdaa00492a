"""Age of the replica of the platform's items.

The replica equals the state of the platform at some time of the local clock.
A read by this daemon confirms the time at which the read was sent. A message
of a peer confirms the time at which the peer's replica was confirmed, computed
from its age. Messages carry ages rather than times because the clocks of VMs
differ.
"""


class Freshness:
    """Tracks the latest time for which the replica has been confirmed.

    The times that are passed in must come from a clock that also advances
    while the VM is suspended.

    Examples:
        >>> freshness = Freshness()
        >>> freshness.age_seconds(now=5.0)
        inf
        >>> freshness.confirm(4.0)
        >>> freshness.confirm(3.0)
        >>> freshness.age_seconds(now=5.0)
        1.0
    """

    def __init__(self) -> None:
        self._as_of = float("-inf")

    def confirm(self, as_of: float) -> None:
        """Confirms the replica as of a time; an earlier time has no effect."""
        self._as_of = max(self._as_of, as_of)

    def age_seconds(self, now: float) -> float:
        """Returns the seconds since the latest confirmed time."""
        return max(0.0, now - self._as_of)
