"""Rendezvous hashing: which of several candidates owns a resource.

References:
    D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase
    hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

Candidate = TypeVar("Candidate", bound=str)


def choose_by_hash(
    resource: str, candidates: Iterable[Candidate]
) -> Candidate | None:
    """Returns the candidate with the highest hash, or `None` without any.

    When a candidate goes, only the resources that it owned move.

    Examples:
        >>> choose_by_hash("k/1", []) is None
        True
        >>> before = choose_by_hash("k/1", ["a", "b", "c"])
        >>> rest = [name for name in ["a", "b", "c"] if name != before]
        >>> before == choose_by_hash("k/1", [before, rest[0]])
        True
    """
    best = None
    best_rank: tuple[int, str] = (-1, "")
    for candidate in candidates:
        rank = (
            xxhash.xxh3_64_intdigest(f"{resource}\0{candidate}".encode()),
            candidate,
        )
        if rank <= best_rank:
            continue
        best, best_rank = candidate, rank
    return best
