"""Token buckets that get the current time as an argument of each call."""


class TokenBucket:
    """Limits events to a rate and allows bursts above it.

    Args:
        rate: tokens added per second.
        burst: most tokens that the bucket holds.
        now: monotonic time in seconds.
        is_full: whether the bucket is full at the start; otherwise it is empty.

    Examples:
        >>> bucket = TokenBucket(rate=2.0, burst=1.0, now=0.0)
        >>> [bucket.try_acquire(now) for now in (0.0, 0.1, 0.5)]
        [True, False, True]
    """

    def __init__(
        self, rate: float, burst: float, now: float, *, is_full: bool = True
    ):
        self._rate = rate
        self._burst = burst
        self._tokens = burst if is_full else 0.0
        self._updated_at = now

    @property
    def rate(self) -> float:
        """Tokens per second."""
        return self._rate

    def available_tokens(self, now: float) -> float:
        """Returns the number of tokens; `charge` can make it negative."""
        self._refill(now)
        return self._tokens

    def try_acquire(self, now: float) -> bool:
        """Removes a token; returns whether one was available."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Changes the rate and the burst; tokens that are missing stay so."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(burst, self._tokens)

    def reserve(self, now: float) -> None:
        """Removes a token, also one that is not available yet.

        The number of tokens becomes negative by the tokens that are reserved.
        """
        self._refill(now)
        self._tokens -= 1.0

    def charge(self, amount: float, now: float) -> None:
        """Removes tokens for events that have happened already.

        The number of tokens may become negative, but not below the negated
        burst.
        """
        self._refill(now)
        self._tokens = max(-self._burst, self._tokens - amount)

    def deposit(self, amount: float, now: float) -> None:
        """Adds tokens, up to the burst."""
        self._refill(now)
        self._tokens = min(self._burst, self._tokens + amount)

    def seconds_until_token(self, now: float) -> float:
        """Returns the seconds until a token is available."""
        self._refill(now)
        if self._tokens >= 1.0:
            return 0.0
        if self._rate <= 0.0:
            return float("inf")
        return (1.0 - self._tokens) / self._rate

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
