"""Takes a changed settings file in, with or without a signal."""

import asyncio

import logbook

from hyssopwind.core.dispatch import repeats
from hyssopwind.core.dispatch import settings
from hyssopwind.core.settings import tuning
from hyssopwind.platform import boot
from hyssopwind.platform import store

POLL_INTERVAL = 1.0  # seconds; the file may change without a signal
# Listeners are opened once; these settings need a new process.
_FIXED = frozenset(
    {
        "name",
        "ip",
        "data_centre",
        "callers_address",
        "ready_address",
        "peers_address",
        "gossip_port",
    }
)

_log = logbook.Logger("settings")


class Reloader:
    """Watches the settings file and puts changes in force."""

    def __init__(
        self,
        live: settings.LiveSettings,
        client: store.StoreClient,
        budget: repeats.RepeatBudget,
        terms: tuning.RepeatingSettings,
    ):
        self._live = live
        self._client = client
        self._budget = budget
        self._terms = terms
        self._refused = ""

    async def run(self) -> None:
        """Looks at the file again and again until it is cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            self.reload()

    def reload(self) -> None:
        """Reads the file and puts what has changed in force."""
        try:
            new = boot.load()
        except boot.BootError as error:
            # The file may be half written; the settings in force stay.
            if str(error) != self._refused:
                self._refused = str(error)
                _log.error("settings refused", extra={"error": str(error)})
            return
        self._refused = ""
        changed = self._live.replace(new)
        if not changed:
            return
        _log.info("settings reloaded", extra={"changed": changed})
        self._client.move_to(new.store_address)
        self._budget.change_terms(repeats.terms_of(new, self._terms))
        fixed = sorted(_FIXED.intersection(changed))
        if fixed:
            _log.warn("settings need a new process", extra={"keys": fixed})
