"""Token buckets on a clock that the caller passes in."""


class TokenBucket:
    """Allows events at a rate, and a burst above it.

    Examples:
        >>> bucket = TokenBucket(rate=2.0, burst=1.0, now=0.0)
        >>> bucket.take(0.0), bucket.take(0.1), bucket.take(0.5)
        (True, False, True)
    """

    def __init__(
        self, rate: float, burst: float, now: float, *, full: bool = True
    ):
        self._rate = rate
        self._burst = burst
        self._tokens = burst if full else 0.0
        self._updated = now

    @property
    def rate(self) -> float:
        """Tokens per second."""
        return self._rate

    def available(self, now: float) -> float:
        """Returns the tokens at hand; negative after `charge` took too many."""
        self._refill(now)
        return self._tokens

    def take(self, now: float) -> bool:
        """Takes a token and returns whether there was one."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def charge(self, amount: float, now: float) -> None:
        """Takes tokens for events that happened already, into debt if need be.

        The debt is bounded by the burst.
        """
        self._refill(now)
        self._tokens = max(-self._burst, self._tokens - amount)

    def deposit(self, amount: float, now: float) -> None:
        """Adds tokens up to the burst."""
        self._refill(now)
        self._tokens = min(self._burst, self._tokens + amount)

    def wait_for_token(self, now: float) -> float:
        """Returns the seconds until a token is at hand."""
        self._refill(now)
        if self._tokens >= 1.0:
            return 0.0
        if self._rate <= 0.0:
            return float("inf")
        return (1.0 - self._tokens) / self._rate

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated)
        self._updated = max(self._updated, now)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
