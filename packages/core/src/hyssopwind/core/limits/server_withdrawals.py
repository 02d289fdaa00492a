"""Servers that want no requests: for good, or for some time.

A server that is about to stop says so in its answers, often before the
platform's store does. A server that refuses a request may state for how long
it wants none from the daemon that it answers.
"""

from hyssopwind.core import ids


class ServerWithdrawals:
    """The servers that have asked this daemon to send nothing.

    Examples:
        >>> withdrawals = ServerWithdrawals()
        >>> withdrawals.record_quiet(ids.InstanceId("a@1"), 2.0, now=0.0)
        True
        >>> withdrawals.record_quiet(ids.InstanceId("a@1"), 0.5, now=0.1)
        False
        >>> withdrawals.quiet_until(ids.InstanceId("a@1"))
        2.0
    """

    def __init__(self) -> None:
        self._leaving: set[ids.InstanceId] = set()
        self._quiet_until: dict[ids.InstanceId, float] = {}

    def is_leaving(self, instance: ids.InstanceId) -> bool:
        """Whether a server is about to stop."""
        return instance in self._leaving

    def leaving_servers(self) -> frozenset[ids.InstanceId]:
        """Returns the servers that are about to stop."""
        return frozenset(self._leaving)

    def quiet_until(self, instance: ids.InstanceId) -> float:
        """Returns the time until which a server wants no requests.

        Minus infinity is returned for a server that has not asked for that.
        """
        return self._quiet_until.get(instance, float("-inf"))

    def may_send(self, instance: ids.InstanceId, now: float) -> bool:
        """Whether a server accepts requests of this daemon."""
        return not self.is_leaving(instance) and now >= self.quiet_until(
            instance
        )

    def record_leaving(self, instance: ids.InstanceId) -> bool:
        """Records that a server will stop; returns whether this is new."""
        is_new = instance not in self._leaving
        self._leaving.add(instance)
        return is_new

    def record_quiet(
        self, instance: ids.InstanceId, seconds: float, now: float
    ) -> bool:
        """Records a wish for quiet; returns whether it extends the quiet."""
        until = now + seconds
        if until <= self.quiet_until(instance):
            return False
        self._quiet_until[instance] = until
        return True

    def retain(self, instances: set[ids.InstanceId]) -> None:
        """Drops what is known of all other servers."""
        self._leaving &= instances
        for instance in list(self._quiet_until):
            if instance not in instances:
                del self._quiet_until[instance]
