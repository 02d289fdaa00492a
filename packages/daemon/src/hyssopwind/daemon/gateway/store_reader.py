"""Reads the platform's store while this daemon is among its readers."""

import asyncio
from collections.abc import Callable

import logbook

from hyssopwind.core.discovery import items
from hyssopwind.core.discovery import positions
from hyssopwind.core.dispatch import settings
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import replicated_state
from hyssopwind.platform import items as platform_items
from hyssopwind.platform import store
from hyssopwind.transport import boot_clock

# Longest wait of one call, as a ratio of the time in which changes must be in
# force, so that a silent store is noticed within that time.
WATCH_WAIT_RATIO = 0.5
MIN_WATCH_WAIT_SECONDS = 0.1  # each call is billed
# Interval at which a daemon that does not read checks whether it should.
IDLE_POLL_SECONDS = 0.05
# Time that an answer may have been on its way: a slow store takes 0.25 s. If
# the replica counted as older than it is, more daemons than needed would read.
MAX_ANSWER_DELIVERY_SECONDS = 0.25
LARGE_ANSWER_BYTES = 16_384  # logged
# Shortest time between two listings that check the replica, and the same as a
# multiple of the time that the last one took on a narrow link.
CHECK_INTERVAL_SECONDS = 30.0
CHECK_INTERVAL_RATIO = 100.0
MAX_LOGGED_KEYS = 20

_log = logbook.Logger("store")


class StoreReader:
    """Lists the items, then waits for changes, while `should_read` holds.

    The items are listed again when the store has lost its history or was
    restored, and at long intervals, to find changes that were missed.

    `retry_delay` returns the seconds until the next call for a number of calls
    that failed in a row.
    """

    def __init__(
        self,
        store_client: store.StoreClient,
        platform_state: replicated_state.PlatformState,
        should_read: Callable[[], bool],
        retry_delay: Callable[[int], float],
        reading_settings: tuning.StoreReadSettings,
        live_settings: settings.LiveSettings,
    ):
        self._store_client = store_client
        self._platform_state = platform_state
        self._should_read = should_read
        self._retry_delay = retry_delay
        self._reading_settings = reading_settings
        self._live_settings = live_settings
        self._must_list = False
        self._has_merged_changes = False
        self._receipt_seconds = 0.0
        self._is_reading = False
        self._failure_count = 0
        self._history_loss_count = 0
        self._next_check_at: float | None = None
        self._missed_count = 0

    @property
    def missed_count(self) -> int:
        """Number of changes that a listing showed to have been missed."""
        return self._missed_count

    @property
    def is_reading(self) -> bool:
        """Whether this daemon reads the store and its last call succeeded."""
        return self._is_reading

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._failure_count > 0

    async def run(self) -> None:
        """Reads until it is cancelled."""
        while True:
            if not self._should_read():
                self._failure_count = 0
                self._is_reading = False
                # A daemon that takes over must not begin with a listing.
                self._next_check_at = None
                await asyncio.sleep(IDLE_POLL_SECONDS)
                continue
            try:
                await self._read_once()
            except store.LongAnswerError:
                _log.info("long changes of the store; listing instead")
                self._must_list = True
                continue
            except (
                store.HistoryLostError,
                positions.PlatformRestoredError,
            ) as error:
                await self._handle_history_loss(error)
                continue
            except (store.StoreError, positions.EarlierEraError) as error:
                self._record_failure(error)
                self._store_client.close_connections()
                await asyncio.sleep(self._retry_delay(self._failure_count))
                continue
            self._is_reading = True
            if self._failure_count:
                self._failure_count = 0
                _log.info(
                    "store calls succeed again",
                    extra={"age": self._platform_state.age_seconds()},
                )

    async def _handle_history_loss(self, error: Exception) -> None:
        """Lists the items next; at once only if that has not just been done."""
        self._must_list = True
        self._history_loss_count += 1
        _log.warn(
            "store dropped its history or was restored; listing again",
            extra={"error": str(error), **self._platform_state.log_fields()},
        )
        if self._history_loss_count > 1:
            await asyncio.sleep(self._retry_delay(self._history_loss_count - 1))

    async def _read_once(self) -> None:
        position = self._platform_state.replica.revision
        sent_at = boot_clock.now()
        if self._next_check_at is None:
            self._next_check_at = sent_at + CHECK_INTERVAL_SECONDS
        if not position or self._must_list or sent_at >= self._next_check_at:
            await self._list()
            self._must_list = False
            return
        wait_seconds = self._watch_wait_seconds()
        delta = await self._store_client.wait_for_changes(
            platform_items.ALL_KEYS_PREFIX,
            positions.revision_of(position),
            wait_seconds,
            items.max_useful_bytes(self._platform_state.replica),
        )
        delta = positions.locate_changes(position, delta)
        self._history_loss_count = 0
        self._log_large_answer(delta, sent_at)
        # The answer holds all changes up to the time at which the store made
        # it, which is the end of the wait if there are none.
        self._receipt_seconds = self._store_client.receipt_seconds
        now = boot_clock.now() - self._receipt_seconds
        waited_to_end = not delta.items and now >= sent_at + wait_seconds
        as_of = (
            sent_at + wait_seconds
            if waited_to_end
            else max(sent_at, now - MAX_ANSWER_DELIVERY_SECONDS)
        )
        self._platform_state.apply_delta(delta, as_of, "store")
        self._has_merged_changes = bool(delta.items)
        if self._has_merged_changes:
            # Changes also merge while a long answer is received.
            await asyncio.sleep(
                max(
                    0.0,
                    self._reading_settings.merge_delay - self._receipt_seconds,
                )
            )

    def _watch_wait_seconds(self) -> float:
        """Returns the longest wait of one call in seconds."""
        max_wait_seconds = (
            WATCH_WAIT_RATIO * self._live_settings.current.change_bound_seconds
        )
        wait_seconds = min(self._reading_settings.watch_wait, max_wait_seconds)
        # The delay that merged changes, or the receipt of a long answer, counts
        # towards the time until the replica is confirmed again.
        spent_seconds = self._receipt_seconds
        if self._has_merged_changes:
            spent_seconds = max(
                spent_seconds, self._reading_settings.merge_delay
            )
        return max(MIN_WATCH_WAIT_SECONDS, wait_seconds - spent_seconds)

    async def _list(self) -> None:
        sent_at = boot_clock.now()
        position = self._platform_state.replica.revision
        delta = positions.locate_listing(
            position,
            await self._store_client.list_items(platform_items.ALL_KEYS_PREFIX),
        )
        self._record_missed(delta)
        changed = self._platform_state.apply_delta(delta, sent_at, "listing")
        now = boot_clock.now()
        self._next_check_at = now + max(
            CHECK_INTERVAL_SECONDS, CHECK_INTERVAL_RATIO * (now - sent_at)
        )
        _log.info(
            "items of the store listed",
            extra={
                "items": len(delta.items),
                "changed": changed,
                **self._platform_state.log_fields(),
            },
        )

    def _record_missed(self, listing: items.Delta) -> None:
        """Counts and logs the changes that the replica should have had."""
        missed = items.missed_keys(self._platform_state.replica, listing)
        if not missed:
            return
        self._missed_count += len(missed)
        _log.error(
            "changes of the store were missed",
            extra={
                "count": len(missed),
                "keys": missed[:MAX_LOGGED_KEYS],
                **self._platform_state.log_fields(),
            },
        )

    def _log_large_answer(self, delta: items.Delta, sent_at: float) -> None:
        value_bytes = sum(len(item.value or b"") for item in delta.items)
        if value_bytes < LARGE_ANSWER_BYTES:
            return
        _log.info(
            "large change read from the store",
            extra={
                "value_bytes": value_bytes,
                "items": len(delta.items),
                "revision": positions.revision_of(delta.revision),
                # Includes the wait for the change.
                "ms": round((boot_clock.now() - sent_at) * 1000),
            },
        )

    def _record_failure(self, error: Exception) -> None:
        self._failure_count += 1
        self._is_reading = False
        if self._failure_count > 1:
            return
        _log.warn(
            "store call failed",
            extra={
                "error": str(error),
                "age": self._platform_state.age_seconds(),
            },
        )
