"""Static shares of the server limits, used while a pool has no owner."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from hyssopwind.core import ids
from hyssopwind.core.membership import hashing


def count_shares(
    limits: Mapping[ids.ServerId, int],
    daemons: Iterable[ids.DaemonId],
    self_id: ids.DaemonId,
) -> dict[ids.ServerId, int]:
    """Returns how many requests one daemon may have in flight at each server.

    Each unit of a limit is assigned to one daemon by hash, so the shares of
    all daemons with the same limits and the same list of daemons add up to the
    limit.

    Examples:
        >>> limits = {ids.ServerId("s"): 5}
        >>> names = [ids.DaemonId("a"), ids.DaemonId("b")]
        >>> shares = [count_shares(limits, names, name) for name in names]
        >>> sum(share.get("s", 0) for share in shares)
        5
    """
    candidates = sorted(daemons)
    shares: collections.Counter[ids.ServerId] = collections.Counter()
    for server, limit in limits.items():
        for unit in range(limit):
            resource = f"{server}#{unit}"
            if hashing.choose_by_hash(resource, candidates) == self_id:
                shares[server] += 1
    return dict(shares)
