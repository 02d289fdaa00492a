"""Which daemons read the platform themselves.

The leader of each data centre reads. The next in rank takes over at once when
those before it have fallen silent or say that the platform turns them away.
Whatever the reason, a daemon whose copy has grown too old reads for itself,
the higher in rank the sooner, so that an outage is not met by all at once.
"""

import dataclasses
import math

from hyssopwind.core import ids
from hyssopwind.core.fleet import roster

# Seconds after the start of the whole fleet in which peers may answer before
# the first read. A daemon that starts again reads at once: callers wait.
START_WAIT = 0.35
# Age in seconds at which a daemon reads for itself. A leader's copy is
# confirmed every second, and its heartbeat comes every half.
READ_AGE = 1.7
# The same as a share of the time that changes may take, where that is less.
READ_SHARE = 0.85
# More seconds for each place in rank, and their largest sum: the bounds on
# changes leave no more.
RANK_STEP = 0.1
LONGEST_RANK_DELAY = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class ReadingState:
    """What decides whether a daemon reads.

    Attributes:
        name: the daemon.
        data_centre: where it runs.
        age: age of its copy in seconds; infinite before the first read.
        first_start: whether the whole fleet starts for the first time.
        bound: seconds within which changes are to be acted on.
    """

    name: ids.DaemonId
    data_centre: ids.DataCentreId
    age: float
    first_start: bool = True
    bound: float = 2.0


def should_read(
    state: ReadingState, fleet: roster.FleetRoster, now: float
) -> bool:
    """Whether a daemon reads the platform now.

    Examples:
        >>> here = ids.DataCentreId("north")
        >>> name = ids.DaemonId("a")
        >>> fleet = roster.FleetRoster(name, "127.0.0.1", here, now=0.0)
        >>> state = ReadingState(name, here, float("inf"))
        >>> should_read(state, fleet, now=0.1)
        False
        >>> should_read(state, fleet, now=1.0)
        True
    """
    running = now - fleet.started
    if math.isinf(state.age) and not state.first_start:
        return True
    if running < START_WAIT:
        return False
    position = 0
    passed_over = 0
    for peer in fleet.ranked(state.data_centre):
        if peer.name == state.name:
            break
        position += 1
        is_silent = now - peer.direct_at > roster.SUSPECT_AFTER
        if not peer.reads or (is_silent and running > roster.SUSPECT_AFTER):
            passed_over += 1
    if passed_over == position:
        return True
    delay = min(LONGEST_RANK_DELAY, RANK_STEP * position)
    limit = min(READ_AGE, READ_SHARE * state.bound)
    return min(state.age, running) > limit + delay
