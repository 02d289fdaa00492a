"""Rendezvous hashing: chooses the owner of a resource among candidates.

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

    When a candidate is removed, only the resources that it owned move.

    Examples:
        >>> choose_by_hash("k/1", []) is None
        True
        >>> owner = choose_by_hash("k/1", ["a", "b", "c"])
        >>> others = [name for name in ["a", "b", "c"] if name != owner]
        >>> owner == choose_by_hash("k/1", [owner, others[0]])
        True
    """
    best = None
    best_score: tuple[int, str] = (-1, "")
    for candidate in candidates:
        score = (
            xxhash.xxh3_64_intdigest(f"{resource}\0{candidate}".encode()),
            candidate,
        )
        if score <= best_score:
            continue
        best, best_score = candidate, score
    return best
