"""Shape of the file that tunes a daemon on the platform.

The platform's own settings say where a daemon runs and which bounds hold;
this file of the project says how it works within them. Every value has a
default, so the file may be absent or empty.
"""

from hyssopwind.core import units
from hyssopwind.core.settings import documents


class ChoosingSettings(documents.Document, frozen=True, kw_only=True):
    """How the server of a request is chosen.

    Attributes:
        near_sample: servers of the own data centre asked for their load.
        far_sample: servers elsewhere asked when no near one is good.
        check_timeout: time after which a load check counts as silent.
        wait_step: time between two rounds of checks of a waiting request;
            a disturbed server recovers after 150 ms on average.
        good_factor: a server is good if work takes at most this many times
            the least; single requests differ by up to a third.
        far_penalty: estimated time for which the billed bytes to another
            data centre are worth it.
    """

    near_sample: int = 6
    far_sample: int = 2
    check_timeout: units.Duration = units.Duration(0.15)
    wait_step: units.Duration = units.Duration(0.025)
    good_factor: float = 1.3
    far_penalty: units.Duration = units.Duration(0.03)


class RepeatingSettings(documents.Document, frozen=True, kw_only=True):
    """How often requests are sent again.

    Attributes:
        spent_part: part of the fleet's budget that is spent; windows slide
            and the daemons differ in their share.
        hedge_factor: a second attempt starts when the first one takes this
            many times longer than estimated; one request in a hundred does
            on an undisturbed server.
        latest_hedge: latest start of a second attempt as a share of the
            latency target, so that it can still end within the target.
    """

    spent_part: float = 0.8
    hedge_factor: float = 1.7
    latest_hedge: float = 0.55


class ReadingSettings(documents.Document, frozen=True, kw_only=True):
    """How the platform's store is read.

    Attributes:
        watch_wait: longest wait of one call for changes; a silent call must
            be noticed within the two seconds that changes may take.
        merge_delay: time in which further changes gather for one call, since
            each call is billed.
    """

    watch_wait: units.Duration = units.Duration(1.0)
    merge_delay: units.Duration = units.Duration(0.25)


class LogVolumeSettings(documents.Document, frozen=True, kw_only=True):
    """How much is logged.

    Attributes:
        lines: log lines a second; a busy daemon of today writes ten.
        burst: lines that may come at once.
    """

    lines: units.Rate = units.Rate(400.0)
    burst: int = 1_200


class GatewayTuning(documents.Document, frozen=True, kw_only=True):
    """The whole file."""

    choosing: ChoosingSettings = ChoosingSettings()
    repeating: RepeatingSettings = RepeatingSettings()
    reading: ReadingSettings = ReadingSettings()
    logs: LogVolumeSettings = LogVolumeSettings()
