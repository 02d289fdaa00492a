"""How old the copy of the platform's items is.

The copy stands for the platform as of some moment of the local clock. A read
of our own confirms the moment at which it was sent; a message of a peer
confirms the moment at which the peer's copy was confirmed, by its age. Ages
rather than times are passed on, because clocks of VMs differ.
"""


class Freshness:
    """The moment for which the copy is known to be right.

    The clock passed in must count the time in which the VM is suspended.

    Examples:
        >>> freshness = Freshness()
        >>> freshness.age(now=5.0)
        inf
        >>> freshness.confirm(4.0)
        >>> freshness.confirm(3.0)
        >>> freshness.age(now=5.0)
        1.0
    """

    def __init__(self) -> None:
        self._as_of = float("-inf")

    def confirm(self, as_of: float) -> None:
        """Notes that the copy was right at a moment; never moves back."""
        self._as_of = max(self._as_of, as_of)

    def age(self, now: float) -> float:
        """Returns the seconds since the copy was last known to be right."""
        return max(0.0, now - self._as_of)
