"""Reloads the settings file when it changes, with or without a signal."""

import asyncio

import logbook

from hyssopwind.core.dispatch import fleet_retry_budgets
from hyssopwind.core.dispatch import settings
from hyssopwind.core.settings import tuning
from hyssopwind.platform import boot
from hyssopwind.platform import store

# The file may change without a signal.
POLL_INTERVAL_SECONDS = 1.0
# The identity and the listeners of a daemon are set up once, so these settings
# need a new process.
_KEYS_FIXED_AT_START = frozenset(
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
    """Polls the settings file and puts changes in force."""

    def __init__(
        self,
        live_settings: settings.LiveSettings,
        store_client: store.StoreClient,
        retry_budget: fleet_retry_budgets.FleetRetryBudget,
        retry_settings: tuning.RetryHedgeSettings,
    ):
        self._live_settings = live_settings
        self._store_client = store_client
        self._retry_budget = retry_budget
        self._retry_settings = retry_settings
        self._last_error = ""

    async def run(self) -> None:
        """Reloads the file periodically until it is cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            self.reload()

    def reload(self) -> None:
        """Reads the file and puts changed settings in force."""
        try:
            new_settings = boot.load_settings()
        except boot.BootError as error:
            # The file may be half written; the settings in force remain.
            if str(error) != self._last_error:
                self._last_error = str(error)
                _log.error(
                    "settings file invalid; settings in force remain",
                    extra={"error": str(error)},
                )
            return
        self._last_error = ""
        retry_settings = fleet_retry_budgets.fleet_retry_settings(
            new_settings, self._retry_settings
        )
        changed = self._live_settings.replace(new_settings)
        if not changed:
            return
        _log.info("settings reloaded", extra={"changed": changed})
        self._store_client.set_address(new_settings.store_address)
        self._retry_budget.apply_settings(retry_settings)
        fixed_keys = sorted(_KEYS_FIXED_AT_START.intersection(changed))
        if fixed_keys:
            _log.warn(
                "changed settings need a restart of the daemon",
                extra={"keys": fixed_keys},
            )
