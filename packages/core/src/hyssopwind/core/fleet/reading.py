"""Decides which daemons read the platform themselves.

The leader of each data centre reads. The next in rank takes over at once when
all daemons before it have stopped sending heartbeats or report that their
calls to the platform fail. In any case a daemon whose replica is too old reads
for itself, the higher in rank the sooner, so that not all daemons call the
platform at once in an outage.
"""

import dataclasses
import math

from hyssopwind.core import ids
from hyssopwind.core.fleet import roster

# Seconds for which a daemon waits for messages of peers before its first read
# when the whole fleet starts. A restarted daemon reads at once because callers
# wait for it.
START_WAIT = 0.35
# Age of the replica in seconds above which a daemon reads for itself. A leader
# confirms its replica every second and sends a heartbeat every half second.
READ_AGE = 1.7
# The same as a ratio of the time that changes may take, if that is less.
READ_SHARE = 0.85
# Seconds added for each daemon before it in rank, and the limit of their sum:
# a longer delay would exceed the time that changes may take.
RANK_STEP = 0.1
LONGEST_RANK_DELAY = 0.6
# Delay in seconds after a failed call of a leader, which doubles with each
# failure up to the limit. The limit is short so that the end of an outage is
# noticed soon.
FIRST_RETRY = 0.1
LONGEST_RETRY = 0.8
# Least delay of a retry in seconds for each daemon before it in rank. Failed
# calls are billed too, and one daemon that succeeds updates all others.
RETRY_RANK_STEP = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ReadingState:
    """State of a daemon that decides whether it reads.

    Attributes:
        name: name of the daemon.
        data_centre: data centre in which it runs.
        age: age of its replica in seconds; infinite before the first read.
        first_start: whether the whole fleet starts for the first time.
        bound: seconds within which changes must take effect.
    """

    name: ids.DaemonId
    data_centre: ids.DataCentreId
    age: float
    first_start: bool = True
    bound: float = 2.0


def should_read(
    state: ReadingState, member_list: roster.FleetRoster, now: float
) -> bool:
    """Whether a daemon should read the platform now.

    Examples:
        >>> here = ids.DataCentreId("north")
        >>> name = ids.DaemonId("a")
        >>> member_list = roster.FleetRoster(name, "127.0.0.1", here, now=0.0)
        >>> state = ReadingState(name, here, float("inf"))
        >>> should_read(state, member_list, now=0.1)
        False
        >>> should_read(state, member_list, now=1.0)
        True
    """
    uptime = now - member_list.started
    if math.isinf(state.age) and not state.first_start:
        return True
    if uptime < START_WAIT:
        return False
    higher_ranked = _higher_ranked(state, member_list)
    unavailable_count = 0
    for peer in higher_ranked:
        is_suspect = now - peer.direct_at > roster.SUSPECT_AFTER
        if not peer.reads or (is_suspect and uptime > roster.SUSPECT_AFTER):
            unavailable_count += 1
    if unavailable_count == len(higher_ranked):
        return True
    delay = min(LONGEST_RANK_DELAY, RANK_STEP * len(higher_ranked))
    age_limit = min(READ_AGE, READ_SHARE * state.bound)
    return min(state.age, uptime) > age_limit + delay


def retry_delay(
    state: ReadingState,
    member_list: roster.FleetRoster,
    failure_count: int,
    random_draw: float,
) -> float:
    """Returns the seconds until a daemon repeats a failed call.

    In an outage all daemons of a data centre read. Daemons of lower rank wait
    longer, so that the total number of calls grows less than the number of
    daemons.

    Args:
        state: state of the daemon.
        member_list: its member list.
        failure_count: number of its consecutive failed calls.
        random_draw: a random number from 0 to 1.

    Examples:
        >>> here = ids.DataCentreId("north")
        >>> name = ids.DaemonId("a")
        >>> member_list = roster.FleetRoster(name, "127.0.0.1", here, now=0.0)
        >>> state = ReadingState(name, here, 5.0)
        >>> [retry_delay(state, member_list, n, 1.0) for n in (1, 2, 9)]
        [0.1, 0.2, 0.8]
    """
    delay = min(LONGEST_RETRY, FIRST_RETRY * 2.0 ** (failure_count - 1))
    rank_index = len(_higher_ranked(state, member_list))
    return max(delay, RETRY_RANK_STEP * rank_index) * (0.5 + 0.5 * random_draw)


def _higher_ranked(
    state: ReadingState, member_list: roster.FleetRoster
) -> list[roster.Peer]:
    """Returns the peers before a daemon in rank."""
    higher_ranked = []
    for peer in member_list.ranked(state.data_centre):
        if peer.name == state.name:
            break
        higher_ranked.append(peer)
    return higher_ranked
