"""Cold start of one server, decided by evidence.

A server is cold from the first evidence of a new start until enough of its
requests were completed. Reports only take work away; completed requests alone
give it back.
"""

import enum

from hyssopwind.core.settings import documents


class Temperature(enum.Enum):
    """Whether a server bears its full load."""

    COLD = "cold"
    WARM = "warm"


class Warmth:
    """The ramp of one server.

    Examples:
        >>> warmth = Warmth(documents.ColdStartSettings(limit=1, step=2), 3)
        >>> warmth.temperature, warmth.level
        (<Temperature.COLD: 'cold'>, 1)
        >>> warmth.note_completed(4)
        >>> warmth.temperature, warmth.level
        (<Temperature.WARM: 'warm'>, 3)
    """

    def __init__(self, settings: documents.ColdStartSettings, full_level: int):
        self._settings = settings
        self._full_level = full_level
        self._start = ""
        self._level = settings.limit
        self._progress = 0
        self._temperature = Temperature.COLD
        self._is_report_spent = False

    @property
    def temperature(self) -> Temperature:
        """Whether the server bears its full load."""
        return self._temperature

    @property
    def level(self) -> int:
        """Requests that the server may have at a time."""
        return self._level

    @property
    def start(self) -> str:
        """The start identity known last; empty before the first."""
        return self._start

    def set_full_level(self, full_level: int) -> None:
        """Takes a changed level of a warm server."""
        self._full_level = full_level
        if self._temperature is Temperature.WARM:
            self._level = full_level

    def inherit(self, start: str) -> None:
        """Takes the server as warm, on the word of the owner before."""
        self._start = start
        self._temperature = Temperature.WARM
        self._level = self._full_level

    def note_start(self, start: str) -> None:
        """Takes the start identity that an answer or a report showed."""
        if not start or start == self._start:
            return
        self._start = start
        self._is_report_spent = False
        self.chill()

    def note_report(self, start: str, is_cold: bool) -> None:
        """Takes a load report.

        A report that goes on saying cold about a server that completed its
        whole ramp is not believed.
        """
        self.note_start(start)
        if not is_cold:
            self._is_report_spent = False
            return
        if self._is_report_spent:
            return
        if self._temperature is Temperature.WARM:
            self.chill()
        self._is_report_spent = True

    def note_distress(self) -> None:
        """Falls back to the start of the ramp; a warm server is unaffected."""
        if self._temperature is Temperature.COLD:
            self.chill()

    def chill(self) -> None:
        """Takes the server as cold from now on."""
        self._temperature = Temperature.COLD
        self._level = min(self._settings.limit, self._full_level)
        self._progress = 0

    def note_completed(self, count: int) -> None:
        """Raises the level by completed requests."""
        if self._temperature is Temperature.WARM:
            return
        self._progress += count
        while self._progress >= self._settings.step:
            self._progress -= self._settings.step
            self._level += 1
            if self._level < self._full_level:
                continue
            self._level = self._full_level
            self._temperature = Temperature.WARM
            return
