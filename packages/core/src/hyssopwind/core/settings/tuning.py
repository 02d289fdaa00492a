"""Structure of the tuning file of a daemon that runs on the platform.

The settings of the platform define where a daemon runs and which bounds it
must observe; the tuning file defines how it works within these bounds. Every
value has a default, so the file may be absent or empty.
"""

from hyssopwind.core import units
from hyssopwind.core.settings import documents


class SelectionSettings(documents.SettingsSection, frozen=True, kw_only=True):
    """Settings of the selection of a server for a request.

    Attributes:
        near_sample: number of local servers to probe.
        far_sample: number of remote servers to probe if no local server is
            good.
        check_timeout: time after which a load probe counts as unanswered.
        wait_step: time between two rounds of probes for a waiting request;
            a disturbed server recovers after 150 ms on average.
        good_factor: a server is good if its estimated time is at most this
            multiple of the time that the work takes on the fastest server;
            the times of single requests differ by up to a third.
        far_penalty: time added to the estimate of a remote server, because
            bytes to another data centre are billed.
    """

    near_sample: int = 6
    far_sample: int = 2
    check_timeout: units.Duration = units.Duration(0.15)
    wait_step: units.Duration = units.Duration(0.025)
    good_factor: float = 1.3
    far_penalty: units.Duration = units.Duration(0.03)


class RetryHedgeSettings(documents.SettingsSection, frozen=True, kw_only=True):
    """Settings of retries and hedges.

    Attributes:
        spent_part: share of the retry budget of the fleet that is used; the
            rest is a reserve, because the window of the budget slides and the
            daemons have unequal shares of the load.
        hedge_factor: a hedge starts when the first attempt takes this
            multiple of its estimated time; on an undisturbed server one
            request in a hundred does.
        latest_hedge: latest start of a hedge as a share of the latency
            target, so that it can still end within the target.
    """

    spent_part: float = 0.8
    hedge_factor: float = 1.7
    latest_hedge: float = 0.55


class StoreReadSettings(documents.SettingsSection, frozen=True, kw_only=True):
    """Settings of the reads from the store of the platform.

    Attributes:
        watch_wait: longest wait of one call for changes; changes must take
            effect within two seconds, so a call without an answer must be
            detected before.
        merge_delay: time for which changes are collected into one call, since
            each call is billed.
    """

    watch_wait: units.Duration = units.Duration(1.0)
    merge_delay: units.Duration = units.Duration(0.25)


class LogVolumeSettings(documents.SettingsSection, frozen=True, kw_only=True):
    """Limit on the volume of the log.

    Attributes:
        lines: most log lines per second; a busy daemon writes ten.
        burst: most lines that may be written at once.
    """

    lines: units.Rate = units.Rate(400.0)
    burst: int = 1_200


class GatewayTuning(documents.SettingsSection, frozen=True, kw_only=True):
    """All settings of the tuning file.

    Attributes:
        choosing: settings of server selection.
        repeating: settings of retries and hedges.
        reading: settings of the reads from the store.
        logs: limit on the volume of the log.
    """

    choosing: SelectionSettings = SelectionSettings()
    repeating: RetryHedgeSettings = RetryHedgeSettings()
    reading: StoreReadSettings = StoreReadSettings()
    logs: LogVolumeSettings = LogVolumeSettings()
