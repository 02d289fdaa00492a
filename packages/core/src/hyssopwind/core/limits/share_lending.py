"""Selects the daemon to which a daemon lends its shares of limits.

Rendezvous hashing ranks the live daemons for each service; the first one owns
the permits of the service. A daemon lends only to an owner that it has heard
from recently, and takes the next in rank while those before it are silent; the
last resort is the daemon itself, with its own share. A share that was lent
comes back only with the end of the loan.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from hyssopwind.core import ids

# Time for which a share counts as lent after a loan was sent.
LOAN_SENT_SECONDS = 1.5
# Silence after which an owner is passed over. Owners send a notice in each
# round, so several in a row are lost before.
OWNER_SILENCE_SECONDS = 2.0
# Daemons before the owner in rank that are asked in each round to answer.
CONTACTED_COUNT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class LendingPlan:
    """What a daemon does with its share of the limits of a service.

    Attributes:
        owner: the daemon that holds the share, which may be the daemon itself;
            `None` until a loan to an earlier owner has ended.
        ready_in_seconds: seconds until the share may be lent or used.
        contacts: silent daemons that would be preferred as the owner.
    """

    owner: ids.DaemonId | None
    ready_in_seconds: float
    contacts: tuple[ids.DaemonId, ...]


@dataclasses.dataclass(slots=True)
class _Loan:
    owner: ids.DaemonId
    ends_at: float


def rank_owners(
    service: ids.ServiceId, daemons: Iterable[ids.DaemonId]
) -> list[ids.DaemonId]:
    """Returns daemons in the order in which they own permits of a service.

    Examples:
        >>> daemons = [ids.DaemonId(name) for name in "abc"]
        >>> ranked = rank_owners(ids.ServiceId("s"), daemons)
        >>> ranked == rank_owners(ids.ServiceId("s"), reversed(daemons))
        True
    """
    return sorted(
        daemons,
        key=lambda daemon: xxhash.xxh3_64_intdigest(
            f"{service}\0{daemon}".encode()
        ),
    )


class ShareLender:
    """The loans of one daemon.

    Examples:
        >>> a, b, service = ids.DaemonId("a"), ids.DaemonId("b"), "s"
        >>> lender = ShareLender(b)
        >>> lender.plan(service, [a, b], now=0.0)
        LendingPlan(owner='b', ready_in_seconds=0.0, contacts=('a',))
        >>> lender.record_heard(a, now=0.0)
        >>> lender.plan(service, [a, b], now=0.1).owner
        'a'
        >>> lender.record_loan(service, a, now=0.1)
        >>> lender.plan(service, [b, a], now=0.2).owner is None
        True
    """

    def __init__(self, own_name: ids.DaemonId):
        self._own_name = own_name
        self._heard_at: dict[ids.DaemonId, float] = {}
        self._loans: dict[ids.ServiceId, _Loan] = {}

    def record_heard(self, daemon: ids.DaemonId, now: float) -> None:
        """Records a message that a daemon sends as an owner of permits."""
        self._heard_at[daemon] = now

    def record_loan(
        self, service: ids.ServiceId, owner: ids.DaemonId, now: float
    ) -> None:
        """Records that the share of a service's limits is lent."""
        self._loans[service] = _Loan(owner, now + LOAN_SENT_SECONDS)

    def has_loan(
        self, service: ids.ServiceId, owner: ids.DaemonId, now: float
    ) -> bool:
        """Whether the share is lent to a daemon and the loan has not ended."""
        loan = self._loans.get(service)
        return loan is not None and loan.owner == owner and now < loan.ends_at

    def loan_owner(
        self, service: ids.ServiceId, now: float
    ) -> ids.DaemonId | None:
        """Returns the daemon to which the share is lent, if any."""
        loan = self._loans.get(service)
        if loan is None or now >= loan.ends_at:
            return None
        return loan.owner

    def end_loan(self, service: ids.ServiceId, owner: ids.DaemonId) -> None:
        """Ends a loan that an owner returned, which is passed over now."""
        loan = self._loans.get(service)
        if loan is not None and loan.owner == owner:
            del self._loans[service]
        self._heard_at.pop(owner, None)

    def plan(
        self,
        service: ids.ServiceId,
        ranked_daemons: Iterable[ids.DaemonId],
        now: float,
    ) -> LendingPlan:
        """Returns what to do with the share of the limits of a service.

        Args:
            service: the service.
            ranked_daemons: the live daemons by `rank_owners`.
            now: monotonic time in seconds.
        """
        contacts: list[ids.DaemonId] = []
        owner = self._own_name
        for daemon in ranked_daemons:
            if daemon == self._own_name:
                break
            heard_at = self._heard_at.get(daemon, float("-inf"))
            if now - heard_at <= OWNER_SILENCE_SECONDS:
                owner = daemon
                break
            if len(contacts) < CONTACTED_COUNT:
                contacts.append(daemon)
        loan = self._loans.get(service)
        if loan is not None and loan.owner != owner and now < loan.ends_at:
            return LendingPlan(None, loan.ends_at - now, tuple(contacts))
        return LendingPlan(owner, 0.0, tuple(contacts))
