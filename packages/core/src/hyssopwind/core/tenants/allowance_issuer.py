"""Issues the tokens of tenants' allowances for the shares that a daemon holds.

An allowance bounds the requests of a tenant over all daemons. Each daemon of a
fleet of `n` holds the share `1 / n` of every allowance and lends it to the
owner of its data centre. The owner keeps a token bucket for each tenant that
is filled in proportion to the shares that it holds. A share is held by one
daemon at a time, so the tokens of all owners stay within the allowance.
"""

import collections
import dataclasses
import math

from hyssopwind.core import buckets
from hyssopwind.core import ids
from hyssopwind.core.limits import share_lending
from hyssopwind.core.tenants import allowance_returns

# A loan ends at the owner before it ends at the lender, whose clock may run
# at a slightly different rate.
LOAN_MARGIN_SECONDS = 0.05
# Part of the slack that the buckets of all owners may hold beyond the burst. A
# bucket of a few tokens is full, and loses tokens, in each short pause between
# two requests. The rest of the slack, and the overshoot, cover the time between
# the issue of a token and the request at a server.
CAPACITY_SLACK_RATIO = 0.8
# Time from the issue of a token to the request at a server: 0.2 s for the
# answer, and 0.5 s of waiting for a server.
ISSUE_DELAY_SECONDS = 0.7
# Part of the slack that covers tokens which are taken back.
RETURN_SLACK_RATIO = 0.15
# Longest wait of a daemon behind others that were denied before it.
MAX_QUEUED_WAIT_SECONDS = 2.0
# Wait for a bucket that cannot hold a token until its share grows.
SMALL_SHARE_WAIT_SECONDS = 0.5
# Time after a growth of the share in which more loans may arrive: those of the
# other daemons follow within 0.5 to 2.5 s after an owner begins to answer.
GROWTH_SECONDS = 3.0
MAX_SEGMENTS = 64
MAX_BUCKETS = 20_000
# Time without requests after which a full bucket is dropped.
IDLE_SECONDS = 60.0
# Tokens that sums of floating-point numbers may lack.
_ROUNDING = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaSettings:
    """The bound on the requests of a tenant over all daemons.

    In any window they are at most
    `(rate * window_seconds + burst) * (1 + overshoot) + slack`.

    Attributes:
        window_seconds: length of the window.
        overshoot: ratio by which the allowance may be exceeded.
        slack: requests by which it may be exceeded in addition.
        fail_closed: whether a request is refused while the allowance of its
            tenant cannot be checked after a start.
    """

    window_seconds: float = 5.0
    overshoot: float = 0.25
    slack: float = 20.0
    fail_closed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """The allowance of a tenant.

    Attributes:
        tenant: the tenant.
        requests_per_second: its rate over all daemons.
        burst: requests that it may send at once after a pause.
        version: version of the configuration that states it.
    """

    tenant: ids.TenantId
    requests_per_second: float
    burst: float
    version: int

    def capacity(self, share_ratio: float, quota: QuotaSettings) -> float:
        """Returns the most tokens that the owner of a share holds.

        The capacities of shares whose sum is 1 exceed the burst by no more
        than a part of the slack.

        Examples:
            >>> allowance = Allowance(ids.TenantId("t"), 2.0, 10.0, 1)
            >>> allowance.capacity(0.5, QuotaSettings())
            13.0
        """
        extra = CAPACITY_SLACK_RATIO * quota.slack
        return share_ratio * (self.burst + extra)

    def return_limit(self, share_ratio: float, quota: QuotaSettings) -> float:
        """Returns the most tokens held at one time that are taken back.

        It is what the other parts of the bound leave.

        Examples:
            >>> allowance = Allowance(ids.TenantId("t"), 2.0, 10.0, 1)
            >>> allowance.return_limit(0.5, QuotaSettings())
            3.3
        """
        allowed = self.requests_per_second * quota.window_seconds + self.burst
        spare = quota.overshoot * allowed
        spare -= ISSUE_DELAY_SECONDS * self.requests_per_second
        return share_ratio * (
            max(0.0, spare) + RETURN_SLACK_RATIO * quota.slack
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Issue:
    """The result of a request for tokens.

    Attributes:
        granted_count: number of tokens issued.
        wait_seconds: seconds until the daemon may ask again if it got fewer
            tokens than it asked for.
    """

    granted_count: int
    wait_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Segment:
    """A span of time during which the share of this daemon was constant."""

    ended_at_share_seconds: float
    share_ratio: float


class _ShareClock:
    """The integral of the share that this daemon holds, in share-seconds.

    Buckets are filled in proportion to it, so that a change of the share
    needs no update of each bucket. The segments are kept, so that a bucket
    that is used later is limited to the capacity of each share since then.
    """

    def __init__(self, now: float):
        self.share_ratio = 0.0
        self._share_seconds = 0.0
        self._updated_at = now
        self._segments: collections.deque[_Segment] = collections.deque()
        self._dropped_count = 0

    @property
    def segment_count(self) -> int:
        """Number of segments that have ended since the start."""
        return self._dropped_count + len(self._segments)

    def share_seconds(self, now: float) -> float:
        """Returns the share-seconds until now."""
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._share_seconds += elapsed * self.share_ratio
        return self._share_seconds

    def set_share(self, share_ratio: float, now: float) -> None:
        """Changes the share."""
        if share_ratio == self.share_ratio:
            return
        segment = _Segment(self.share_seconds(now), self.share_ratio)
        self._segments.append(segment)
        self.share_ratio = share_ratio
        if len(self._segments) > MAX_SEGMENTS:
            # The merged segment has the smaller share, which issues less.
            first = self._segments.popleft()
            second = self._segments.popleft()
            self._dropped_count += 1
            self._segments.appendleft(
                _Segment(
                    second.ended_at_share_seconds,
                    min(first.share_ratio, second.share_ratio),
                )
            )

    def segments_since(self, count: int) -> list[_Segment]:
        """Returns the segments that ended after the first `count` ones."""
        start = max(0, count - self._dropped_count)
        return list(self._segments)[start:]


class _Bucket:
    """The tokens of a tenant at this daemon."""

    def __init__(self, allowance: Allowance, quota: QuotaSettings, now: float):
        self.allowance = allowance
        self.used_at = now
        self.next_return_at = now
        self.returns = allowance_returns.ReturnLimit()
        self._quota = quota
        # It is filled from the start of the ownership on, also if the first
        # request of the tenant comes later.
        self._tokens = buckets.TokenBucket(
            allowance.requests_per_second, 0.0, 0.0, is_full=False
        )
        self._share_seconds = 0.0
        self._segment_count = 0

    def update(self, clock: _ShareClock, now: float) -> buckets.TokenBucket:
        """Applies the shares since the last use and returns the tokens."""
        for segment in clock.segments_since(self._segment_count):
            self._fill(segment.share_ratio, segment.ended_at_share_seconds)
        self._segment_count = clock.segment_count
        self._fill(clock.share_ratio, clock.share_seconds(now))
        return self._tokens

    def set_quota(
        self, quota: QuotaSettings, clock: _ShareClock, now: float
    ) -> None:
        """Changes the bound from now on."""
        self.update(clock, now)
        self._quota = quota
        self.update(clock, now)

    def is_full(self, clock: _ShareClock, now: float) -> bool:
        """Whether the bucket holds all tokens that it can."""
        tokens = self.update(clock, now).available_tokens(self._share_seconds)
        capacity = self.allowance.capacity(clock.share_ratio, self._quota)
        return tokens >= capacity - _ROUNDING

    def _fill(self, share_ratio: float, until_share_seconds: float) -> None:
        self._tokens.set_rate(
            self.allowance.requests_per_second,
            self.allowance.capacity(share_ratio, self._quota),
            self._share_seconds,
        )
        self._share_seconds = max(self._share_seconds, until_share_seconds)
        self._tokens.available_tokens(self._share_seconds)


@dataclasses.dataclass(slots=True)
class _Loan:
    ends_at: float
    fleet_size: int


class AllowanceIssuer:
    """The shares that this daemon holds and the buckets filled by them.

    Examples:
        >>> issuer = AllowanceIssuer(QuotaSettings(), now=0.0)
        >>> issuer.set_own_share(True, fleet_size=1, now=0.0)
        >>> allowance = Allowance(ids.TenantId("t"), 2.0, 2.0, 1)
        >>> issuer.issue(allowance, 2, now=0.5)
        Issue(granted_count=1, wait_seconds=0.5)
        >>> issuer.issue(allowance, 2, now=1.5)
        Issue(granted_count=2, wait_seconds=0.0)
    """

    def __init__(self, quota: QuotaSettings, now: float):
        self._quota = quota
        self._clock = _ShareClock(now)
        self._loans: dict[ids.DaemonId, _Loan] = {}
        self._buckets: dict[ids.TenantId, _Bucket] = {}
        self._holds_own_share = False
        self._fleet_size = 1
        self._grown_at = float("-inf")
        # No loan ends before this time.
        self._check_at = float("inf")

    def share_ratio(self, now: float) -> float:
        """Returns the ratio of the allowances that this daemon holds."""
        self._end_loans(now)
        return self._clock.share_ratio

    def set_own_share(
        self, holds_own_share: bool, fleet_size: int, now: float
    ) -> None:
        """Sets whether this daemon holds its own share.

        Args:
            holds_own_share: whether it does; otherwise it is lent, or the
                daemon may not use it yet.
            fleet_size: number of daemons in the fleet.
            now: monotonic time in seconds.
        """
        if (holds_own_share, fleet_size) == (
            self._holds_own_share,
            self._fleet_size,
        ):
            return
        self._end_loans(now)
        self._holds_own_share = holds_own_share
        self._fleet_size = fleet_size
        self._update_share(now)

    def record_loan(
        self,
        lender: ids.DaemonId,
        fleet_size: int,
        sent_at: float,
        now: float,
    ) -> None:
        """Records that a daemon lends its share.

        Args:
            lender: the daemon.
            fleet_size: number of daemons in the fleet, as the lender knows it.
            sent_at: time on the clock of this daemon at which the loan was
                sent, or an earlier one.
            now: monotonic time in seconds.
        """
        ends_at = (
            sent_at + share_lending.LOAN_SENT_SECONDS - LOAN_MARGIN_SECONDS
        )
        if sent_at > now or ends_at <= now:
            return
        self._end_loans(now)
        loan = self._loans.get(lender)
        if loan is None:
            self._loans[lender] = _Loan(ends_at, fleet_size)
            self._check_at = min(self._check_at, ends_at)
            self._update_share(now)
            return
        loan.ends_at = max(loan.ends_at, ends_at)
        if loan.fleet_size != fleet_size:
            loan.fleet_size = fleet_size
            self._update_share(now)

    def issue(self, allowance: Allowance, count: int, now: float) -> Issue:
        """Issues up to `count` tokens of a tenant.

        Of two versions of an allowance, the later one holds.
        """
        self._end_loans(now)
        bucket = self._buckets.get(allowance.tenant)
        if bucket is None:
            if len(self._buckets) >= MAX_BUCKETS:
                return Issue(0, SMALL_SHARE_WAIT_SECONDS)
            bucket = _Bucket(allowance, self._quota, now)
            self._buckets[allowance.tenant] = bucket
        bucket.used_at = now
        bucket.update(self._clock, now)
        if allowance.version > bucket.allowance.version:
            bucket.allowance = allowance
        tokens = bucket.update(self._clock, now)
        share_seconds = self._clock.share_seconds(now)
        available = tokens.available_tokens(share_seconds)
        granted_count = min(count, max(0, math.floor(available + _ROUNDING)))
        tokens.charge(granted_count, share_seconds)
        if granted_count == count:
            return Issue(granted_count, 0.0)
        wait_seconds = self._wait_seconds(bucket, tokens, share_seconds, now)
        return Issue(granted_count, wait_seconds)

    def take_back(
        self,
        tenant: ids.TenantId,
        count: int,
        issued_at: float,
        issued_share_ratio: float,
        now: float,
    ) -> int:
        """Takes back tokens that were issued a short time ago.

        Args:
            tenant: the tenant.
            count: number of tokens.
            issued_at: monotonic time at which they were issued.
            issued_share_ratio: ratio held at that time.
            now: monotonic time in seconds.

        Returns:
            The number of tokens that may be issued again.
        """
        self._end_loans(now)
        bucket = self._buckets.get(tenant)
        if bucket is None:
            return 0
        tokens = bucket.update(self._clock, now)
        share_ratio = min(issued_share_ratio, self._clock.share_ratio)
        limit = bucket.allowance.return_limit(share_ratio, self._quota)
        count = bucket.returns.accept(count, issued_at, limit, now)
        tokens.deposit(count, self._clock.share_seconds(now))
        return count

    def set_quota(self, quota: QuotaSettings, now: float) -> None:
        """Changes the bound; tokens above a lower capacity are dropped."""
        self._end_loans(now)
        self._quota = quota
        for bucket in self._buckets.values():
            bucket.set_quota(quota, self._clock, now)

    def drop_bucket(self, tenant: ids.TenantId) -> None:
        """Drops the bucket of a tenant that has no limit any more."""
        self._buckets.pop(tenant, None)

    def prune(self, now: float) -> None:
        """Drops full buckets that have not been used for some time.

        A full bucket holds no less than a new one would.
        """
        self._end_loans(now)
        for tenant, bucket in list(self._buckets.items()):
            if now - bucket.used_at < IDLE_SECONDS:
                continue
            if bucket.is_full(self._clock, now):
                del self._buckets[tenant]

    def _wait_seconds(
        self,
        bucket: _Bucket,
        tokens: buckets.TokenBucket,
        share_seconds: float,
        now: float,
    ) -> float:
        """Returns the seconds after which a denied daemon may ask again.

        Daemons get different times, as many in each second as there are
        tokens, so that they do not all ask for the same token.
        """
        share_ratio = self._clock.share_ratio
        rate = bucket.allowance.requests_per_second * share_ratio
        capacity = bucket.allowance.capacity(share_ratio, self._quota)
        if rate <= 0.0 or capacity < 1.0:
            return SMALL_SHARE_WAIT_SECONDS
        token_wait = tokens.seconds_until_token(share_seconds) / share_ratio
        if now < self._grown_at + GROWTH_SECONDS:
            # The share is likely to grow before the token is there.
            token_wait = min(token_wait, SMALL_SHARE_WAIT_SECONDS)
            rate = bucket.allowance.requests_per_second
        return_at = max(now + token_wait, bucket.next_return_at)
        return_at = min(return_at, now + MAX_QUEUED_WAIT_SECONDS)
        bucket.next_return_at = return_at + 1.0 / rate
        return max(token_wait, return_at - now)

    def _end_loans(self, now: float) -> None:
        """Takes back the shares of loans that have ended, in their order."""
        if now < self._check_at:
            return
        for lender, loan in sorted(
            self._loans.items(), key=lambda item: item[1].ends_at
        ):
            if loan.ends_at > now:
                break
            del self._loans[lender]
            self._update_share(loan.ends_at)
        self._check_at = min(
            (loan.ends_at for loan in self._loans.values()),
            default=float("inf"),
        )

    def _update_share(self, now: float) -> None:
        share_count = len(self._loans) + self._holds_own_share
        # The smallest share of those that the lenders believe to have.
        fleet_size = max(
            (loan.fleet_size for loan in self._loans.values()), default=1
        )
        fleet_size = max(1, self._fleet_size, fleet_size)
        share_ratio = min(1.0, share_count / fleet_size)
        if share_ratio > self._clock.share_ratio:
            self._grown_at = now
        self._clock.set_share(share_ratio, now)
