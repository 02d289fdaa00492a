"""Results of a request for a part of a tenant's allowance."""

import dataclasses
import enum
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core.tenants import tenant_table


class DenialCause(enum.Enum):
    """Reason for which a request gets no part of the allowance."""

    # The tenant has used its allowance.
    EXHAUSTED = "exhausted"
    # This daemon cannot determine what is left of the allowance.
    UNDETERMINED = "undetermined"


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The request may be sent.

    Attributes:
        tenant: the tenant whose allowance was charged; `None` if none was.
        asked_at: monotonic time at which its part was asked for.
        owner: the daemon that issued its token; `None` if none did.
        request_number: number of the request for the token.
    """

    tenant: ids.TenantId | None = None
    asked_at: float = 0.0
    owner: ids.DaemonId | None = None
    request_number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """The request must not be sent.

    Attributes:
        retry_after_seconds: seconds after which a retry may be granted.
        cause: why it was denied.
    """

    retry_after_seconds: float
    cause: DenialCause = DenialCause.EXHAUSTED


Result: TypeAlias = Granted | Denied

# Requests one request's worth of the allowance of a tenant.
Acquire: TypeAlias = Callable[[tenant_table.Tenant], Awaitable[Result]]
# Returns the part of the allowance of a request that reached no server.
Release: TypeAlias = Callable[[Granted], None]


async def grant_all(tenant: tenant_table.Tenant) -> Result:
    """Grants every request, for daemons without a check of allowances."""
    return Granted()


def keep_released(granted: Granted) -> None:
    """Ignores a returned part, for daemons without a check of allowances."""
