"""Decides which daemons read the platform themselves.

The leader of each data centre reads. The next in rank takes over at once when
all daemons before it have stopped sending heartbeats or report that their
calls to the platform fail. In any case a daemon whose replica is too old reads
the platform itself, sooner if its rank is higher, so that not all daemons call
the platform at once in an outage.
"""

import dataclasses
import math

from hyssopwind.core import ids
from hyssopwind.core.fleet import fleet_members

# Time for which a daemon waits for messages of peers before its first read when
# the whole fleet starts. A restarted daemon reads at once because callers
# wait for it.
START_WAIT_SECONDS = 0.35
# Age of the replica above which a daemon reads the platform itself. A leader
# confirms its replica every second and sends a heartbeat every half second.
MAX_REPLICA_AGE_SECONDS = 1.7
# The same as a ratio of the time that changes may take, if that is less.
MAX_REPLICA_AGE_RATIO = 0.85
# Time added to this age for each daemon before it in rank, and the limit of the
# sum: a longer delay would exceed the time that changes may take.
RANK_DELAY_SECONDS = 0.1
# Time added while a daemon before it in rank receives an answer of the
# platform, which takes about a second for 500 KB on a link of 5 Mbit/s.
RECEIVING_DELAY_SECONDS = 1.5
MAX_RANK_DELAY_SECONDS = 0.6
# Delay after a failed call of a leader, which doubles with each failure up to
# the limit. The limit is short so that the end of an outage is detected soon.
INITIAL_RETRY_DELAY_SECONDS = 0.1
MAX_RETRY_DELAY_SECONDS = 0.8
MAX_DOUBLINGS = 16  # a power of a larger number could overflow
# Minimum delay of a retry for each daemon before it in rank. Failed calls are
# billed too, and one daemon that succeeds updates all others.
RETRY_RANK_DELAY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ReaderState:
    """State of a daemon that decides whether it reads.

    Attributes:
        name: name of the daemon.
        data_centre: data centre in which it runs.
        replica_age_seconds: age of its replica; infinite before the first
            read.
        first_start: whether the whole fleet starts for the first time.
        change_bound_seconds: seconds within which changes must take effect.
    """

    name: ids.DaemonId
    data_centre: ids.DataCentreId
    replica_age_seconds: float
    first_start: bool = True
    change_bound_seconds: float = 2.0


def should_read(
    state: ReaderState, member_list: fleet_members.MemberList, now: float
) -> bool:
    """Whether a daemon should read the platform now.

    Examples:
        >>> north = ids.DataCentreId("north")
        >>> name = ids.DaemonId("a")
        >>> ip = "127.0.0.1"
        >>> member_list = fleet_members.MemberList(name, ip, north, now=0.0)
        >>> state = ReaderState(name, north, float("inf"))
        >>> should_read(state, member_list, now=0.1)
        False
        >>> should_read(state, member_list, now=1.0)
        True
    """
    uptime = now - member_list.started_at
    if math.isinf(state.replica_age_seconds) and not state.first_start:
        return True
    if uptime < START_WAIT_SECONDS:
        return False
    higher_ranked = _higher_ranked(state, member_list)
    unavailable_count = 0
    is_receiving = False
    for peer in higher_ranked:
        is_suspect = (
            now - peer.last_heartbeat_at > fleet_members.SUSPECT_AFTER_SECONDS
        )
        if not peer.has_store_access or (
            is_suspect and uptime > fleet_members.SUSPECT_AFTER_SECONDS
        ):
            unavailable_count += 1
        elif peer.is_receiving and not is_suspect:
            is_receiving = True
    if unavailable_count == len(higher_ranked):
        return True
    delay = min(MAX_RANK_DELAY_SECONDS, RANK_DELAY_SECONDS * len(higher_ranked))
    if is_receiving:
        delay += RECEIVING_DELAY_SECONDS
    age_limit = min(
        MAX_REPLICA_AGE_SECONDS,
        MAX_REPLICA_AGE_RATIO * state.change_bound_seconds,
    )
    return min(state.replica_age_seconds, uptime) > age_limit + delay


def retry_delay_seconds(
    state: ReaderState,
    member_list: fleet_members.MemberList,
    failure_count: int,
    random_draw: float,
) -> float:
    """Returns the seconds until a daemon repeats a failed call.

    In an outage all daemons of a data centre read. Daemons of lower rank wait
    longer, so that the total number of calls grows more slowly than the number
    of daemons.

    Args:
        state: state of the daemon.
        member_list: its member list.
        failure_count: number of its consecutive failed calls.
        random_draw: a random number from 0 to 1.

    Examples:
        >>> north = ids.DataCentreId("north")
        >>> name = ids.DaemonId("a")
        >>> ip = "127.0.0.1"
        >>> member_list = fleet_members.MemberList(name, ip, north, now=0.0)
        >>> state = ReaderState(name, north, 5.0)
        >>> [retry_delay_seconds(state, member_list, n, 1) for n in (1, 2, 9)]
        [0.1, 0.2, 0.8]
    """
    delay = min(
        MAX_RETRY_DELAY_SECONDS,
        INITIAL_RETRY_DELAY_SECONDS
        * 2.0 ** min(failure_count - 1, MAX_DOUBLINGS),
    )
    rank_index = len(_higher_ranked(state, member_list))
    return max(delay, RETRY_RANK_DELAY_SECONDS * rank_index) * (
        0.5 + 0.5 * random_draw
    )


def _higher_ranked(
    state: ReaderState, member_list: fleet_members.MemberList
) -> list[fleet_members.Peer]:
    """Returns the peers before a daemon in rank."""
    higher_ranked = []
    for peer in member_list.ranked_daemons(state.data_centre):
        if peer.name == state.name:
            break
        higher_ranked.append(peer)
    return higher_ranked
