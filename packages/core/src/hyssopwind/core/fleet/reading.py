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
# Seconds after a failed call until the next one of a leader, which doubles up
# to the longest: the platform must be met soon on its return.
FIRST_RETRY = 0.1
LONGEST_RETRY = 0.8
# Seconds for each place in rank that a retry waits at least. Calls are billed
# also when they fail, and one daemon that succeeds tells all others.
RETRY_RANK_STEP = 0.5


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
    before = _before(state, fleet)
    passed_over = 0
    for peer in before:
        is_silent = now - peer.direct_at > roster.SUSPECT_AFTER
        if not peer.reads or (is_silent and running > roster.SUSPECT_AFTER):
            passed_over += 1
    if passed_over == len(before):
        return True
    delay = min(LONGEST_RANK_DELAY, RANK_STEP * len(before))
    limit = min(READ_AGE, READ_SHARE * state.bound)
    return min(state.age, running) > limit + delay


def retry_delay(
    state: ReadingState, fleet: roster.FleetRoster, failures: int, draw: float
) -> float:
    """Returns the seconds until a daemon calls again after failed calls.

    In an outage all daemons of a data centre read, so those further down in
    rank wait longer, and their calls together grow less than their number.

    Args:
        state: the daemon.
        fleet: those that it knows.
        failures: its failed calls in a row.
        draw: a random number from 0 to 1.

    Examples:
        >>> here = ids.DataCentreId("north")
        >>> name = ids.DaemonId("a")
        >>> fleet = roster.FleetRoster(name, "127.0.0.1", here, now=0.0)
        >>> state = ReadingState(name, here, 5.0)
        >>> [retry_delay(state, fleet, n, draw=1.0) for n in (1, 2, 9)]
        [0.1, 0.2, 0.8]
    """
    delay = min(LONGEST_RETRY, FIRST_RETRY * 2.0 ** (failures - 1))
    place = len(_before(state, fleet))
    return max(delay, RETRY_RANK_STEP * place) * (0.5 + 0.5 * draw)


def _before(
    state: ReadingState, fleet: roster.FleetRoster
) -> list[roster.Peer]:
    """Returns the peers that are before a daemon in rank."""
    before = []
    for peer in fleet.ranked(state.data_centre):
        if peer.name == state.name:
            break
        before.append(peer)
    return before
