"""Decides from which peer a daemon pulls changes.

One pull runs at a time, so that the same changes do not come over one link
several times. A second one starts from another peer while the first makes no
progress.
"""

import dataclasses
from collections.abc import Collection

# Time without progress after which another peer is asked as well.
NO_PROGRESS_SECONDS = 0.35
MAX_RUNNING_PULLS = 2
# Time for which a peer whose pull failed is asked only if no other peer can be.
FAILURE_MEMORY_SECONDS = 1.0
# Shortest time until a peer whose pull failed is asked again.
MIN_RETRY_SECONDS = 0.05


@dataclasses.dataclass(slots=True)
class _Source:
    revision: int = 0
    is_referred: bool = False
    failed_at: float = float("-inf")


class PullPlanner:
    """The peers that announced revisions, and the pulls that run.

    Examples:
        >>> planner = PullPlanner()
        >>> planner.announce("a", 7)
        >>> planner.announce("b", 7)
        >>> planner.next_source(own_revision=6, now=0.0)
        'a'
        >>> planner.start("a", now=0.0)
        >>> planner.next_source(own_revision=6, now=0.1) is None
        True
        >>> planner.next_source(own_revision=6, now=0.5)
        'b'
        >>> planner.finish("a", revision=7)
        >>> planner.next_source(own_revision=7, now=0.6) is None
        True
    """

    def __init__(self) -> None:
        self._sources: dict[str, _Source] = {}
        self._progress_at: dict[str, float] = {}

    def announce(self, ip: str, revision: int) -> None:
        """Records that a peer has a revision."""
        source = self._sources.setdefault(ip, _Source())
        source.revision = revision

    def refer(self, ip: str, source_ip: str) -> None:
        """Records that a peer refers to another one with the same changes."""
        source = self._sources.get(ip)
        if source is not None:
            referred = self._sources.setdefault(source_ip, _Source())
            referred.revision = max(referred.revision, source.revision)
            referred.is_referred = True

    def start(self, ip: str, now: float) -> None:
        """Records that a pull from a peer starts."""
        self._progress_at[ip] = now

    def is_referred(self, ip: str) -> bool:
        """Whether another peer has referred to a peer."""
        source = self._sources.get(ip)
        return source is not None and source.is_referred

    def record_progress(self, ip: str, now: float) -> None:
        """Records that a pull from a peer has received bytes."""
        if ip in self._progress_at:
            self._progress_at[ip] = now

    def finish(self, ip: str, revision: int | None = None) -> None:
        """Records that a pull from a peer has ended.

        Args:
            ip: IP address of the peer.
            revision: revision that the peer had; `None` if it did not say.
        """
        self._progress_at.pop(ip, None)
        source = self._sources.get(ip)
        if source is None:
            return
        source.is_referred = False
        if revision is not None:
            source.revision = revision

    def fail(self, ip: str, now: float) -> None:
        """Records that a pull from a peer has failed."""
        self.finish(ip)
        if ip in self._sources:
            self._sources[ip].failed_at = now

    def keep_sources(self, live_ips: Collection[str]) -> None:
        """Forgets all peers but those that are alive."""
        for ip in list(self._sources):
            if ip not in live_ips:
                del self._sources[ip]

    def next_source(self, own_revision: int, now: float) -> str | None:
        """Returns the peer to pull from now, or `None` to start no pull."""
        for ip, source in list(self._sources.items()):
            if source.revision <= own_revision:
                del self._sources[ip]
        if len(self._progress_at) >= MAX_RUNNING_PULLS:
            return None
        for progress_at in self._progress_at.values():
            if now - progress_at < NO_PROGRESS_SECONDS:
                return None
        available = [
            ip
            for ip, source in self._sources.items()
            if ip not in self._progress_at
            and now - source.failed_at >= MIN_RETRY_SECONDS
        ]
        if not available:
            return None
        return max(available, key=lambda ip: self._preference(ip, now))

    def _preference(self, ip: str, now: float) -> tuple[bool, bool, int]:
        source = self._sources[ip]
        has_failed = now - source.failed_at < FAILURE_MEMORY_SECONDS
        return not has_failed, source.is_referred, source.revision
