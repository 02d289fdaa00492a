"""Queue of the requests that wait for a slot, by priority and deadline."""

import dataclasses
import heapq
import itertools

from hyssopwind.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """An admission request that waits for a slot.

    Attributes:
        sender: the daemon that sent the admission request.
        admission_request: the admission request.
        arrived_at: monotonic time of its arrival, in seconds.
        deadline: monotonic time after which a slot is of no use.
    """

    sender: messages.DaemonIdentity
    admission_request: messages.AdmissionRequest
    arrived_at: float
    deadline: float

    @property
    def rank(self) -> int:
        """Rank in the order of service; 0 is served first.

        Remote requests follow the local requests of the same priority.
        """
        return (
            2 * self.admission_request.priority_rank
            + self.admission_request.is_remote
        )


class WaitingQueue:
    """Serves the highest priority first, then the earliest deadline."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, float, int, WaitingRequest]] = []
        self._sequence = itertools.count()
        self._queued: dict[tuple[str, int], WaitingRequest] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def push(self, request: WaitingRequest) -> None:
        """Adds a request."""
        key = _key(request.sender, request.admission_request.admission_id)
        self._queued[key] = request
        entry = (
            request.rank,
            request.deadline,
            next(self._sequence),
            request,
        )
        heapq.heappush(self._heap, entry)

    def peek(self) -> WaitingRequest | None:
        """Returns the next request without removing it."""
        while self._heap:
            request = self._heap[0][3]
            if self._is_queued(request):
                return request
            heapq.heappop(self._heap)
        return None

    def pop(self) -> WaitingRequest | None:
        """Removes and returns the next request."""
        request = self.peek()
        if request is None:
            return None
        heapq.heappop(self._heap)
        del self._queued[
            _key(request.sender, request.admission_request.admission_id)
        ]
        return request

    def cancel(
        self, sender: messages.DaemonIdentity, admission_id: int
    ) -> None:
        """Removes a request that its daemon cancelled."""
        self._queued.pop(_key(sender, admission_id), None)

    def pop_expired(self, now: float) -> list[WaitingRequest]:
        """Removes and returns the requests whose deadline has passed."""
        expired = [r for r in self._queued.values() if r.deadline <= now]
        for request in expired:
            self.cancel(request.sender, request.admission_request.admission_id)
        return expired

    def pop_last(self) -> WaitingRequest | None:
        """Removes and returns the request that would be served last."""
        if not self._queued:
            return None
        last = max(self._queued.values(), key=lambda r: (r.rank, r.deadline))
        self.cancel(last.sender, last.admission_request.admission_id)
        return last

    def remove_daemon_requests(self, sender: messages.DaemonIdentity) -> None:
        """Removes all requests of a daemon process that has ended."""
        for request in list(self._queued.values()):
            if request.sender == sender:
                self.cancel(sender, request.admission_request.admission_id)

    def _is_queued(self, request: WaitingRequest) -> bool:
        key = _key(request.sender, request.admission_request.admission_id)
        return self._queued.get(key) is request


def _key(sender: messages.DaemonIdentity, admission_id: int) -> tuple[str, int]:
    return sender.start_id, admission_id
