"""Orders the data centres for a request, nearest first, without `out` ones."""

import random
from collections.abc import Mapping

from hyssopwind.core import ids
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import snapshot

# Sorts data centres without a declared delay last.
_UNDECLARED_DELAY_SECONDS = 3600.0


class RecoveryRamps:
    """Raises the load of data centres gradually after their recovery.

    A data centre recovers when its state changes from `out` to `in`.

    Examples:
        >>> recovery_ramps = RecoveryRamps()
        >>> key = (ids.ServiceId("a/b"), ids.DataCentreId("chicago"))
        >>> recovery_ramps.record_state(key, is_in=True, now=0.0)
        >>> recovery_ramps.load_share(key, ramp_seconds=20.0, now=0.0)
        1.0
        >>> recovery_ramps.record_state(key, is_in=False, now=5.0)
        >>> recovery_ramps.record_state(key, is_in=True, now=10.0)
        >>> recovery_ramps.load_share(key, ramp_seconds=20.0, now=15.0)
        0.25
    """

    def __init__(self) -> None:
        self._is_in: dict[tuple[ids.ServiceId, ids.DataCentreId], bool] = {}
        self._recovered_at: dict[
            tuple[ids.ServiceId, ids.DataCentreId], float
        ] = {}

    def record_state(
        self,
        key: tuple[ids.ServiceId, ids.DataCentreId],
        *,
        is_in: bool,
        now: float,
    ) -> None:
        """Records the state of a data centre for a service."""
        if is_in and self._is_in.get(key) is False:
            self._recovered_at[key] = now
        self._is_in[key] = is_in

    def record_settings(self, settings: snapshot.Snapshot, now: float) -> None:
        """Records the states of all data centres of a snapshot."""
        for service in settings.services.values():
            for name in service.data_centres:
                state = service.data_centre_state(name)
                self.record_state(
                    (service.id, ids.DataCentreId(name)),
                    is_in=state is documents.DataCentreState.IN,
                    now=now,
                )

    def load_share(
        self,
        key: tuple[ids.ServiceId, ids.DataCentreId],
        ramp_seconds: float,
        now: float,
    ) -> float:
        """Returns the share of its load that a data centre may get."""
        recovered_at = self._recovered_at.get(key)
        if recovered_at is None or ramp_seconds <= 0.0:
            return 1.0
        return min(1.0, (now - recovered_at) / ramp_seconds)


def order_data_centres(
    service: snapshot.Service,
    local_data_centre: ids.DataCentreId,
    recovery_ramps: RecoveryRamps,
    queue_wait_seconds: Mapping[ids.DataCentreId, float],
    random_source: random.Random,
    now: float,
) -> list[ids.DataCentreId]:
    """Returns the data centres that may serve a request, the best first.

    Data centres in the region of the daemon precede others, and those with
    the lowest sum of network delay and queue wait come first. A data centre
    that recovered recently is put last for the share of the requests that it
    may not get yet.

    Args:
        service: the service.
        local_data_centre: the data centre of the daemon.
        recovery_ramps: the ramps of recovered data centres.
        queue_wait_seconds: expected seconds in the queue of each data centre.
        random_source: breaks ties and selects the requests for which a
            recovered data centre is put last.
        now: monotonic time in seconds.
    """
    ranked = []
    local_settings = service.data_centres.get(local_data_centre)
    for name, settings in service.data_centres.items():
        if service.data_centre_state(name) is documents.DataCentreState.OUT:
            continue
        data_centre = ids.DataCentreId(name)
        share = recovery_ramps.load_share(
            (service.id, data_centre), settings.return_ramp, now
        )
        is_deferred = share < 1.0 and random_source.random() >= share
        rank = (
            is_deferred,
            local_settings is None or local_settings.region != settings.region,
            _delay_seconds(local_data_centre, name, local_settings, settings)
            + queue_wait_seconds.get(data_centre, 0.0),
            random_source.random(),
        )
        ranked.append((rank, data_centre))
    ranked.sort()
    return [data_centre for _, data_centre in ranked]


def _delay_seconds(
    local_name: str,
    name: str,
    local_settings: documents.DataCentreSettings | None,
    settings: documents.DataCentreSettings,
) -> float:
    """Returns the declared one-way delay in seconds."""
    if name == local_name:
        return 0.0
    delays: Mapping[str, float] = local_settings.delay if local_settings else {}
    return delays.get(
        name, settings.delay.get(local_name, _UNDECLARED_DELAY_SECONDS)
    )
