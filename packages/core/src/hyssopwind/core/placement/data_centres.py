"""Orders the data centres for a request: near first, `out` never."""

import random
from collections.abc import Mapping

from hyssopwind.core import ids
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import snapshot

_FAR = 3600.0  # seconds; sorts data centres without a declared delay last


class Returns:
    """Remembers when data centres came back, to raise their load slowly.

    Examples:
        >>> returns = Returns()
        >>> key = (ids.ServiceId("a/b"), ids.DataCentreId("chicago"))
        >>> returns.note_state(key, is_in=True, now=0.0)
        >>> returns.share(key, ramp=20.0, now=0.0)
        1.0
        >>> returns.note_state(key, is_in=False, now=5.0)
        >>> returns.note_state(key, is_in=True, now=10.0)
        >>> returns.share(key, ramp=20.0, now=15.0)
        0.25
    """

    def __init__(self) -> None:
        self._is_in: dict[tuple[ids.ServiceId, ids.DataCentreId], bool] = {}
        self._returned: dict[tuple[ids.ServiceId, ids.DataCentreId], float] = {}

    def note_state(
        self,
        key: tuple[ids.ServiceId, ids.DataCentreId],
        *,
        is_in: bool,
        now: float,
    ) -> None:
        """Takes the state of a data centre for a service."""
        if is_in and self._is_in.get(key) is False:
            self._returned[key] = now
        self._is_in[key] = is_in

    def note_settings(self, settings: snapshot.Snapshot, now: float) -> None:
        """Takes the states of all data centres of a snapshot."""
        for service in settings.services.values():
            for name in service.data_centres:
                state = service.state_of(name)
                self.note_state(
                    (service.id, ids.DataCentreId(name)),
                    is_in=state is documents.DataCentreState.IN,
                    now=now,
                )

    def share(
        self,
        key: tuple[ids.ServiceId, ids.DataCentreId],
        ramp: float,
        now: float,
    ) -> float:
        """Returns the share of its load that a data centre may take."""
        returned = self._returned.get(key)
        if returned is None or ramp <= 0.0:
            return 1.0
        return min(1.0, (now - returned) / ramp)


def order_data_centres(
    service: snapshot.Service,
    near: ids.DataCentreId,
    returns: Returns,
    waits: Mapping[ids.DataCentreId, float],
    generator: random.Random,
    now: float,
) -> list[ids.DataCentreId]:
    """Returns the data centres that may serve a request, the best first.

    The best has the shortest way and wait, in the same region first. A data
    centre that came back lately is put last for the part of the requests
    that it may not take yet.

    Args:
        service: the service.
        near: the data centre of the daemon.
        returns: the data centres that came back.
        waits: expected seconds in the queue of each data centre.
        generator: decides between equals and about a ramp.
        now: monotonic time in seconds.
    """
    ranked = []
    origin = service.data_centres.get(near)
    for name, settings in service.data_centres.items():
        if service.state_of(name) is documents.DataCentreState.OUT:
            continue
        data_centre = ids.DataCentreId(name)
        share = returns.share(
            (service.id, data_centre), settings.return_ramp, now
        )
        is_ramping = share < 1.0 and generator.random() >= share
        rank = (
            is_ramping,
            origin is None or origin.region != settings.region,
            _delay(near, name, origin, settings) + waits.get(data_centre, 0.0),
            generator.random(),
        )
        ranked.append((rank, data_centre))
    ranked.sort()
    return [data_centre for _, data_centre in ranked]


def _delay(
    near: str,
    name: str,
    origin: documents.DataCentreSettings | None,
    target: documents.DataCentreSettings,
) -> float:
    """Returns the declared one-way delay in seconds."""
    if name == near:
        return 0.0
    delays: Mapping[str, float] = origin.delay if origin else {}
    return delays.get(name, target.delay.get(near, _FAR))
