"""Issues permits to send to servers with limits, for the daemons of a fleet.

A limit is a bound on the requests of all daemons together. Each daemon of a
fleet of `n` holds the share `1 / n` of it and lends the share to the daemon
that owns the permits of the service. The owner issues permits at the rate of
all shares that it holds, to whichever daemon has requests. A share is lent to
one daemon at a time, so the permits of all owners together stay within the
limit even when daemons disagree about the owner.
"""

import dataclasses
from collections.abc import Mapping
from collections.abc import Sequence
from typing import TypeAlias

from hyssopwind.core import buckets
from hyssopwind.core import ids
from hyssopwind.core.limits import request_limits

# Time for which an owner counts a loan after its receipt. It ends before the
# lender may lend again, which counts from the time of sending.
LOAN_RECEIVED_SECONDS = 1.25
# Longest time that a refused caller is told to wait; by then a limit has
# often changed.
MAX_RETURN_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server for which a permit is requested.

    Attributes:
        instance: the server.
        limit: its limit, as the requesting daemon knows it.
    """

    instance: ids.InstanceId
    limit: request_limits.RateLimit


@dataclasses.dataclass(frozen=True, slots=True)
class PermitDemand:
    """A demand for one permit.

    Attributes:
        service: the service of the candidates.
        candidates: servers that would do, the best one first.
        max_wait_seconds: longest wait for the permit that is of use.
        remaining_seconds: seconds until the caller gives up.
    """

    service: ids.ServiceId
    candidates: Sequence[Candidate]
    max_wait_seconds: float
    remaining_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A permit for one request.

    Attributes:
        instance: the server.
        delay_seconds: seconds after which the request may be sent.
    """

    instance: ids.InstanceId
    delay_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """No permit is available in time.

    Attributes:
        wait_seconds: seconds until the next permit of each candidate.
        service_wait_seconds: seconds until the next permit of any server of
            the service that has a limit.
        return_after_seconds: seconds after which the caller may come back.
            Callers get different times, as many in each second as there are
            permits.
    """

    wait_seconds: Mapping[ids.InstanceId, float]
    service_wait_seconds: float
    return_after_seconds: float


PermitResult: TypeAlias = Grant | Denial
_Buckets: TypeAlias = dict[ids.InstanceId, buckets.TokenBucket]


class PermitIssuer:
    """Issues the permits of the shares that this daemon holds."""

    def __init__(self) -> None:
        self._buckets: dict[ids.ServiceId, _Buckets] = {}
        self._loans: dict[ids.ServiceId, dict[ids.DaemonId, float]] = {}
        self._next_return_at: dict[ids.ServiceId, float] = {}

    def record_loan(
        self, service: ids.ServiceId, lender: ids.DaemonId, now: float
    ) -> None:
        """Records that a daemon lends its share of a service's limits."""
        loans = self._loans.setdefault(service, {})
        loans[lender] = now + LOAN_RECEIVED_SECONDS

    def has_loan(
        self, service: ids.ServiceId, lender: ids.DaemonId, now: float
    ) -> bool:
        """Whether a daemon lends its share."""
        return self._loans.get(service, {}).get(lender, now) > now

    def lender_count(self, service: ids.ServiceId, now: float) -> int:
        """Returns the number of daemons that lend their shares."""
        loans = self._loans.get(service, {})
        return sum(lent_until > now for lent_until in loans.values())

    def issue(
        self,
        demand: PermitDemand,
        limited: Sequence[Candidate],
        share_ratio: float,
        now: float,
    ) -> PermitResult:
        """Issues a permit for the candidate whose next permit is first.

        Args:
            demand: what is needed.
            limited: all servers of the service with limits, as this daemon
                knows them; of two limits of a server, the lower one holds.
            share_ratio: ratio of the limits that this daemon holds.
            now: monotonic time in seconds.
        """
        limits = {each.instance: each.limit for each in limited}
        for candidate in demand.candidates:
            known = limits.get(candidate.instance, candidate.limit)
            limits[candidate.instance] = known.lower(candidate.limit)
        service_buckets = self._buckets.setdefault(demand.service, {})
        waits = {}
        for instance, limit in limits.items():
            rate = limit.requests_per_second * share_ratio
            bucket = service_buckets.get(instance)
            if bucket is None:
                # Empty, as another daemon may have issued permits just before.
                bucket = buckets.TokenBucket(
                    rate, limit.burst_count, now, is_full=False
                )
                service_buckets[instance] = bucket
            bucket.set_rate(rate, limit.burst_count, now)
            waits[instance] = bucket.seconds_until_token(now)
        candidate_waits = {
            each.instance: waits[each.instance] for each in demand.candidates
        }
        shortest = min(candidate_waits.values(), default=float("inf"))
        if shortest <= demand.max_wait_seconds:
            best = min(candidate_waits, key=lambda each: candidate_waits[each])
            service_buckets[best].reserve(now)
            return Grant(best, shortest)
        service_wait = min(waits.values(), default=float("inf"))
        total_rate = share_ratio * sum(
            limit.requests_per_second for limit in limits.values()
        )
        return Denial(
            candidate_waits,
            service_wait,
            self._plan_return(demand, service_wait, total_rate, now),
        )

    def retain(self, instances: set[ids.InstanceId], now: float) -> None:
        """Drops the permits of other servers and loans that have ended."""
        for service_buckets in self._buckets.values():
            for instance in list(service_buckets):
                if instance not in instances:
                    del service_buckets[instance]
        for loans in self._loans.values():
            for lender in list(loans):
                if loans[lender] <= now:
                    del loans[lender]

    def _plan_return(
        self,
        demand: PermitDemand,
        shortest_wait_seconds: float,
        total_rate: float,
        now: float,
    ) -> float:
        """Returns the seconds after which a caller may come back."""
        if total_rate <= 0.0:
            return MAX_RETURN_SECONDS
        return_at = max(
            now + shortest_wait_seconds,
            self._next_return_at.get(demand.service, now),
        )
        return_after = return_at - now
        if return_after <= demand.remaining_seconds:
            # A caller that gives up before does not take up a place.
            self._next_return_at[demand.service] = return_at + 1.0 / total_rate
        return min(MAX_RETURN_SECONDS, return_after)
