"""Positions: revisions of the platform that stay ordered when it is restored.

The platform may come back from a copy. Its revisions then go back and are given
out again, so a revision alone does not order its states. A position is a number
that holds the era in its upper bits and the revision in the lower ones. The era
consists of the one that the platform states and of a count of restorations that
it did not state but that its revisions showed. Replicas and messages between
daemons compare positions; only calls to the platform use plain revisions.

Examples:
    >>> before = make_position(era_of_platform(1), 900)
    >>> after = make_position(era_of_platform(2), 300)
    >>> after > before
    True
    >>> stated_era(after), revision_of(after)
    (2, 300)
"""

import dataclasses

from hyssopwind.core.discovery import items

_REVISION_BITS = 40
_RESET_BITS = 10
MAX_REVISION = (1 << _REVISION_BITS) - 1
MAX_STATED_ERA = (1 << 12) - 1  # positions fit in 63 bits


class PlatformRestoredError(Exception):
    """The platform is not the one of the position; it must be listed."""


class EarlierEraError(Exception):
    """The answer comes from before a restoration that is already known."""


def era_of_platform(stated: int) -> int:
    """Returns the era that begins with an era stated by the platform."""
    return stated << _RESET_BITS


def make_position(era: int, revision: int) -> int:
    """Returns the position of a revision in an era."""
    return era << _REVISION_BITS | revision


def era_of(position: int) -> int:
    """Returns the era of a position."""
    return position >> _REVISION_BITS


def stated_era(position: int) -> int:
    """Returns the era that the platform states at a position."""
    return era_of(position) >> _RESET_BITS


def revision_of(position: int) -> int:
    """Returns the revision of the platform at a position."""
    return position & MAX_REVISION


def locate_changes(position: int, delta: items.Delta) -> items.Delta:
    """Returns the changes after a position with positions for revisions.

    Args:
        position: position after which the platform was asked for changes.
        delta: its answer, with the era that it states.

    Raises:
        PlatformRestoredError: the answer is not one to this position.
        EarlierEraError: the answer is of an earlier era.
    """
    answered_era = _answered_era(position, delta)
    if answered_era > stated_era(position):
        raise PlatformRestoredError(
            f"era {answered_era} after {stated_era(position)}"
        )
    if delta.revision < revision_of(position):
        raise PlatformRestoredError(
            f"revision {delta.revision} after {revision_of(position)}"
        )
    return _locate(era_of(position), delta)


def locate_listing(position: int, delta: items.Delta) -> items.Delta:
    """Returns a listing with positions for revisions.

    Args:
        position: position that was known when the platform was asked. A later
            state of the same platform cannot have an earlier revision.
        delta: the listing, with the era that the platform states.

    Raises:
        EarlierEraError: the listing is of an earlier era.
    """
    answered_era = _answered_era(position, delta)
    if answered_era > stated_era(position):
        return _locate(era_of_platform(answered_era), delta)
    era = era_of(position)
    if delta.revision < revision_of(position):
        era += 1
    return _locate(era, delta)


def without_eras(delta: items.Delta) -> items.Delta:
    """Returns changes with plain revisions, for daemons without positions."""
    return dataclasses.replace(
        delta,
        items=tuple(
            dataclasses.replace(item, revision=revision_of(item.revision))
            for item in delta.items
        ),
        revision=revision_of(delta.revision),
    )


def _answered_era(position: int, delta: items.Delta) -> int:
    """Returns the era of an answer; that of the position if it states none.

    Raises:
        EarlierEraError: it is earlier than that of the position.
    """
    known_era = stated_era(position)
    if delta.era is None:
        return known_era
    if delta.era < known_era:
        raise EarlierEraError(f"era {delta.era} after {known_era}")
    return delta.era


def _locate(era: int, delta: items.Delta) -> items.Delta:
    if not era:
        return delta
    return dataclasses.replace(
        delta,
        items=tuple(
            dataclasses.replace(
                item, revision=make_position(era, item.revision)
            )
            for item in delta.items
        ),
        revision=make_position(era, delta.revision),
    )
