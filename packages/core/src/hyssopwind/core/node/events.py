"""Events that a node emits to the input and output code around it."""

import dataclasses
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The owner of a pool granted a slot.

    Attributes:
        pool: the pool.
        admission_id: number of the admission request.
        server: the server that has the slot.
    """

    pool: ids.PoolId
    admission_id: int
    server: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The owner of a pool refused a slot.

    Attributes:
        pool: the pool.
        admission_id: number of the admission request.
        cause: why the owner refused it.
        retry_after_seconds: seconds after which a slot may be free.
    """

    pool: ids.PoolId
    admission_id: int
    cause: messages.RefusalCause
    retry_after_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class KeyCompleted:
    """The outcome of a request with a key became final.

    Attributes:
        key: the key as it is stored, with its prefix.
        outcome: the outcome.
    """

    key: str
    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The settings in force changed.

    Attributes:
        revisions: each team with its newest revision, in force or rejected.
    """

    revisions: tuple[tuple[str, int], ...]


Event: TypeAlias = Granted | Refused | KeyCompleted | SettingsChanged
