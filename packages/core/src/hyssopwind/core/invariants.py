"""Invariants that are checked at run time.

A breach is counted and reported, and the code that checks does not perform the
action that would cause it. Tests assert that no breach was counted.
"""

import collections
import enum
from collections.abc import Callable


class Invariant(enum.Enum):
    """The properties that must hold at all times.

    The names of the members are metric labels in lower case.
    """

    RUN_ONCE = "a non-idempotent request runs at most once"
    COLD_LIMIT = "a cold server gets no more work than its cold limit"
    PROBE_BUDGET = "load probes stay within their budget"
    REVISION_FORWARD = "a revision in force is never replaced by an older one"


BreachListener = Callable[[Invariant, str], None]


class InvariantMonitor:
    """Counts the breaches of each invariant.

    Examples:
        >>> monitor = InvariantMonitor()
        >>> monitor.check(Invariant.RUN_ONCE, True, "key a")
        True
        >>> monitor.check(Invariant.RUN_ONCE, False, "key a")
        False
        >>> monitor.breaches
        {<Invariant.RUN_ONCE: 'a non-idempotent request runs at most once'>: 1}
    """

    def __init__(self, listener: BreachListener | None = None):
        self._listener = listener
        self._breaches: collections.Counter[Invariant] = collections.Counter()

    @property
    def breaches(self) -> dict[Invariant, int]:
        """The number of breaches of each invariant that has any."""
        return dict(self._breaches)

    def check(
        self, invariant: Invariant, condition: bool, subject: str
    ) -> bool:
        """Returns `condition`; records a breach if it is false.

        Args:
            invariant: the invariant.
            condition: whether the invariant holds.
            subject: the key, server or other entity that is checked.
        """
        if condition:
            return True
        self._breaches[invariant] += 1
        if self._listener is not None:
            self._listener(invariant, subject)
        return False
