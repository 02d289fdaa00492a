"""Decides whether the key of a request is in force, and whose key it is.

An answer 401 ends the request for its caller, who does not try again. It is
given only if no configuration that may be in force contains the key; otherwise
the request is refused in a way that lets its caller try another daemon.
"""

import dataclasses
import enum
from collections.abc import Sequence
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.tenants import tenant_table

# Time after which another daemon, or this one, may know the key.
RETRY_AFTER_SECONDS = 0.5


class Cause(enum.Enum):
    """Reason for which the key of a request is refused.

    Each value is the name of the cause in logs and metrics, the reason for the
    caller and an explanation.
    """

    MISSING = (
        "missing_key",
        outcomes.Reason.UNAUTHENTICATED,
        "the route needs a key and the request has none",
    )
    REPEATED = (
        "repeated_key",
        outcomes.Reason.UNAUTHENTICATED,
        "the request has more than one key",
    )
    UNKNOWN = (
        "unknown_key",
        outcomes.Reason.UNAUTHENTICATED,
        "no tenant has the key",
    )
    SHARED = (
        "shared_key",
        outcomes.Reason.UNAUTHENTICATED,
        "several tenants have the key",
    )
    TENANT_UNREADABLE = (
        "tenant_unreadable",
        outcomes.Reason.NOT_READY,
        "the key may be that of a tenant that cannot be read",
    )
    NEWER_CONFIGURATION = (
        "newer_configuration",
        outcomes.Reason.NOT_READY,
        "a newer configuration may have the key",
    )
    UNCONFIRMED = (
        "unconfirmed",
        outcomes.Reason.NOT_READY,
        "the configuration was not confirmed for too long",
    )
    TENANT_CHANGED = (
        "tenant_changed",
        outcomes.Reason.NOT_READY,
        "the tenant of the request changed while it waited",
    )

    @property
    def label(self) -> str:
        """Its name in logs and metrics."""
        return self.value[0]

    @property
    def reason(self) -> outcomes.Reason:
        """The reason that the caller gets."""
        return self.value[1]

    @property
    def detail(self) -> str:
        """An explanation, without the key."""
        return self.value[2]


@dataclasses.dataclass(frozen=True, slots=True)
class Credentials:
    """What a request says of its tenant.

    Attributes:
        digest: digest of its key; `None` if it has none.
        is_repeated: whether it has several keys.
    """

    digest: ids.KeyDigest | None = None
    is_repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """How far a daemon can rely on its configuration.

    Attributes:
        may_be_outdated: whether a newer configuration may be in force.
        is_behind_sender: whether the daemon that handed the request over has
            accepted it by a newer configuration.
        age_seconds: seconds since the configuration was last confirmed.
        max_age_seconds: age above which keys cannot be shown to be in force,
            so that requests are refused; `None` for no limit.
    """

    may_be_outdated: bool = False
    is_behind_sender: bool = False
    age_seconds: float = 0.0
    max_age_seconds: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The request may be served.

    Attributes:
        tenant: its tenant; `None` on a public route and without tenants.
        hides_key: whether the key is removed, and the tenant's name set, before
            the request is sent to a server or a peer.
    """

    tenant: tenant_table.Tenant | None = None
    hides_key: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request must not be served.

    Attributes:
        cause: why.
        tenants: the tenants that share its key.
    """

    cause: Cause
    tenants: tuple[ids.TenantId, ...] = ()

    @property
    def outcome(self) -> outcomes.NotRun:
        """The outcome for the caller."""
        retry_after_seconds = None
        if self.cause.reason is outcomes.Reason.NOT_READY:
            retry_after_seconds = RETRY_AFTER_SECONDS
        return outcomes.NotRun(
            self.cause.reason, self.cause.detail, retry_after_seconds
        )


Decision: TypeAlias = Accepted | Refused


def read_credentials(values: Sequence[str]) -> Credentials:
    """Returns the credentials in the values of the field with the key.

    Args:
        values: the values, each character standing for one byte.

    Examples:
        >>> read_credentials([]) == read_credentials([""]) == Credentials()
        True
        >>> read_credentials(["a", "a"]).is_repeated
        True
        >>> digest = tenant_table.digest_key("ä")
        >>> read_credentials(["ä".encode().decode("latin-1")]).digest == digest
        True
    """
    if len(values) > 1:
        return Credentials(is_repeated=True)
    if not values or not values[0]:
        return Credentials()
    key = values[0].encode("latin-1", "replace")
    return Credentials(tenant_table.digest_key(key))


def authenticate(
    table: tenant_table.TenantTable,
    credentials: Credentials,
    knowledge: Knowledge,
    *,
    is_public: bool,
) -> Decision:
    """Decides whether a request may be served, and for which tenant.

    Args:
        table: the tenants of the configuration in force.
        credentials: what the request says of its tenant.
        knowledge: how far the configuration can be relied on.
        is_public: whether its route needs no key.

    Examples:
        >>> authenticate(
        ...     tenant_table.TenantTable(),
        ...     Credentials(),
        ...     Knowledge(),
        ...     is_public=False,
        ... )
        Accepted(tenant=None, hides_key=False)
    """
    if not table.requires_keys:
        return Accepted()
    if is_public:
        return Accepted(hides_key=True)
    if (
        knowledge.max_age_seconds is not None
        and knowledge.age_seconds > knowledge.max_age_seconds
    ):
        return Refused(Cause.UNCONFIRMED)
    if credentials.is_repeated:
        return Refused(Cause.REPEATED)
    if credentials.digest is None:
        if knowledge.is_behind_sender:
            # The route may be public by that configuration.
            return Refused(Cause.NEWER_CONFIGURATION)
        return Refused(Cause.MISSING)
    tenant = table.find_digest(credentials.digest)
    if tenant is not None:
        return Accepted(tenant, hides_key=True)
    if knowledge.may_be_outdated or knowledge.is_behind_sender:
        return Refused(Cause.NEWER_CONFIGURATION)
    sharing_tenants = table.sharing_tenants(credentials.digest)
    if sharing_tenants:
        return Refused(Cause.SHARED, sharing_tenants)
    if table.has_unreadable:
        return Refused(Cause.TENANT_UNREADABLE)
    return Refused(Cause.UNKNOWN)


def confirm(earlier: Accepted, decision: Decision) -> Refused | None:
    """Returns why a request that was accepted must not be sent any more.

    Args:
        earlier: the decision when the request arrived.
        decision: the decision by the configuration in force now.
    """
    if isinstance(decision, Refused):
        return decision
    was = earlier.tenant and earlier.tenant.id
    now = decision.tenant and decision.tenant.id
    if was != now or earlier.hides_key != decision.hides_key:
        # It was prepared, and its allowance charged, for another tenant.
        return Refused(Cause.TENANT_CHANGED)
    return None
