"""What a node tells the input and output around it."""

import dataclasses
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A request for a slot was granted."""

    pool: ids.PoolId
    ask: int
    server: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A request for a slot was refused."""

    pool: ids.PoolId
    ask: int
    cause: messages.RefusalCause
    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """A request with a key ended."""

    key: str
    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings are in force."""

    revisions: tuple[tuple[str, int], ...]


Event: TypeAlias = Granted | Refused | Settled | SettingsChanged
