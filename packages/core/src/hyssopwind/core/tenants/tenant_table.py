"""Tenants of a configuration, found by their API keys.

The table holds digests of the keys only, so that no key can reach a log line, a
metric or a message to a peer through it.
"""

import dataclasses
import hashlib
import math
from collections.abc import Iterable
from collections.abc import Mapping

from hyssopwind.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A customer whose callers identify it by API keys.

    Attributes:
        id: its name.
        priority: priority of its requests, which takes precedence over that of
            the route; `None` for that of the route.
        requests_per_second: rate of requests that it may send to all daemons
            together; 0 for no limit.
        burst: requests that it may send at once beyond the rate.
    """

    id: ids.TenantId
    priority: int | None = None
    requests_per_second: float = 0.0
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TenantKeys:
    """A tenant with the digests of its keys."""

    tenant: Tenant
    digests: frozenset[ids.KeyDigest]


def make_tenant(
    name: str,
    priority: int | None,
    requests_per_second: float,
    burst: float,
) -> tuple[Tenant, list[str]]:
    """Returns a tenant, and what is odd about its values.

    Raises:
        ValueError: a value is out of range.

    Examples:
        >>> tenant, oddities = make_tenant("a", None, 4.0, 0.0)
        >>> tenant.burst, oddities
        (4.0, ['rate without burst; the burst is that of one second, 4'])
        >>> make_tenant("a", None, 0.0, 5.0)[1]
        ['burst without rate; there is no limit']
    """
    # The name is the value of a header field.
    if not name or name != name.strip() or not name.isprintable():
        raise ValueError("expected a name of printable characters")
    if priority is not None and priority < 0:
        raise ValueError(f"priority is {priority}, expected 0 or more")
    for key, value in (("rate", requests_per_second), ("burst", burst)):
        if not (math.isfinite(value) and value >= 0.0):
            raise ValueError(f"{key} is {value}, expected 0 or more")
    oddities = []
    if burst and not requests_per_second:
        oddities.append("burst without rate; there is no limit")
        burst = 0.0
    if requests_per_second and not burst:
        burst = requests_per_second
        oddities.append(
            f"rate without burst; the burst is that of one second, {burst:g}"
        )
    tenant = Tenant(ids.TenantId(name), priority, requests_per_second, burst)
    return tenant, oddities


def digest_key(key: str | bytes) -> ids.KeyDigest:
    """Returns the digest of a key; text is encoded as UTF-8.

    Examples:
        >>> digest_key("abc")[:16]
        'ba7816bf8f01cfea'
    """
    if isinstance(key, str):
        key = key.encode("utf-8", "surrogatepass")
    return ids.KeyDigest(hashlib.sha256(key).hexdigest())


class TenantTable:
    """The tenants of one configuration.

    A key that several tenants have identifies none of them.

    Args:
        entries: the tenants that can be read, with their keys.
        unreadable_count: number of resources that are or may be tenants and
            cannot be read.

    Examples:
        >>> def entry(name, *keys):
        ...     digests = frozenset(digest_key(key) for key in keys)
        ...     return TenantKeys(Tenant(ids.TenantId(name)), digests)
        >>> table = TenantTable((entry("a", "1", "2"), entry("b", "2", "3")))
        >>> table.find("1").id, table.find("2"), table.find("3").id
        ('a', None, 'b')
        >>> table.conflicts
        (('a', 'b'),)
        >>> TenantTable().requires_keys
        False
    """

    def __init__(
        self, entries: Iterable[TenantKeys] = (), unreadable_count: int = 0
    ):
        self._unreadable_count = unreadable_count
        self._tenants: dict[ids.TenantId, Tenant] = {}
        self._by_digest: dict[ids.KeyDigest, Tenant] = {}
        # Names of the tenants that have one key, in the order of their entries.
        self._shared: dict[ids.KeyDigest, tuple[ids.TenantId, ...]] = {}
        for entry in entries:
            self._add(entry)

    @property
    def requires_keys(self) -> bool:
        """Whether requests need a key, as the configuration has tenants."""
        return bool(self._tenants) or self._unreadable_count > 0

    @property
    def has_unreadable(self) -> bool:
        """Whether an unknown key may be that of an unreadable tenant."""
        return self._unreadable_count > 0

    @property
    def has_priorities(self) -> bool:
        """Whether any tenant has a priority."""
        return any(
            tenant.priority is not None for tenant in self._tenants.values()
        )

    @property
    def tenants(self) -> Mapping[ids.TenantId, Tenant]:
        """The tenants by name."""
        return self._tenants

    @property
    def conflicts(self) -> tuple[tuple[ids.TenantId, ...], ...]:
        """Groups of tenants that have a key in common."""
        return tuple(dict.fromkeys(self._shared.values()))

    def find(self, key: str | bytes) -> Tenant | None:
        """Returns the only tenant that has a key, if there is one."""
        return self.find_digest(digest_key(key))

    def find_digest(self, digest: ids.KeyDigest) -> Tenant | None:
        """Returns the only tenant that has the key of a digest, if any."""
        return self._by_digest.get(digest)

    def sharing_tenants(
        self, digest: ids.KeyDigest
    ) -> tuple[ids.TenantId, ...]:
        """Returns the tenants that share the key of a digest, if several do."""
        return self._shared.get(digest, ())

    def _add(self, entry: TenantKeys) -> None:
        tenant = entry.tenant
        self._tenants[tenant.id] = tenant
        for digest in entry.digests:
            if digest in self._shared:
                self._shared[digest] = (*self._shared[digest], tenant.id)
                continue
            other = self._by_digest.pop(digest, None)
            if other is None:
                self._by_digest[digest] = tenant
            else:
                self._shared[digest] = (other.id, tenant.id)
