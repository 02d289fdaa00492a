"""Reads the platform's store as long as this daemon is to read it."""

import asyncio
from collections.abc import Callable

import logbook

from hyssopwind.core.dispatch import settings
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import knowledge
from hyssopwind.platform import items as platform_items
from hyssopwind.platform import store
from hyssopwind.transport import clock

WATCH_SHARE = 0.5  # of the time that changes may take, for one call
SHORTEST_WATCH = 0.1  # seconds; calls are billed
IDLE_POLL = 0.05  # seconds between two questions whether to read
# Seconds that an answer may have been on its way: a slow store takes 0.25 s. A
# copy that counts as older than it is makes daemons read that need not.
DELIVERY = 0.25

_log = logbook.Logger("store")


class StoreReader:
    """Lists once, then waits for changes, while `should_read` says so.

    `retry_delay` gives the seconds after a number of failed calls in a row.
    """

    def __init__(
        self,
        client: store.StoreClient,
        known: knowledge.Knowledge,
        should_read: Callable[[], bool],
        retry_delay: Callable[[int], float],
        terms: tuning.ReadingSettings,
        live: settings.LiveSettings,
    ):
        self._client = client
        self._known = known
        self._should_read = should_read
        self._retry_delay = retry_delay
        self._terms = terms
        self._live = live
        self._must_list = False
        self._merged = False
        self._reading = False
        self._failures = 0

    @property
    def is_reading(self) -> bool:
        """Whether this daemon reads, and its last call succeeded."""
        return self._reading

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._failures > 0

    async def run(self) -> None:
        """Reads until it is cancelled."""
        while True:
            if not self._should_read():
                self._failures = 0
                self._reading = False
                await asyncio.sleep(IDLE_POLL)
                continue
            try:
                await self._read_once()
            except store.HistoryLostError as error:
                _log.warn("history lost", extra={"error": str(error)})
                self._must_list = True
                continue
            except store.StoreError as error:
                self._note_failure(error)
                self._client.reconnect()
                await asyncio.sleep(self._retry_delay(self._failures))
                continue
            self._reading = True
            if self._failures:
                self._failures = 0
                _log.info("store regained", extra={"age": self._known.age()})

    async def _read_once(self) -> None:
        revision = self._known.copy.revision
        if not revision or self._must_list:
            await self._list()
            self._must_list = False
            return
        sent = clock.now()
        wait = self._watch_wait()
        delta = await self._client.wait_for_changes(
            platform_items.ALL_KEYS, revision, wait
        )
        # The answer holds all changes up to the moment at which it was made,
        # which is the end of the wait if there are none.
        now = clock.now()
        waited = not delta.items and now >= sent + wait
        as_of = sent + wait if waited else max(sent, now - DELIVERY)
        self._known.take(delta, as_of, "store")
        self._merged = bool(delta.items)
        if self._merged:
            await asyncio.sleep(self._terms.merge_delay)

    def _watch_wait(self) -> float:
        """Returns the seconds of one call, so short that silence is noticed."""
        share = WATCH_SHARE * self._live.current.change_bound
        wait = min(self._terms.watch_wait, share)
        # The merge of changes belongs to the time until the copy is confirmed.
        if self._merged:
            return max(SHORTEST_WATCH, wait - self._terms.merge_delay)
        return wait

    async def _list(self) -> None:
        sent = clock.now()
        delta = await self._client.list_items(platform_items.ALL_KEYS)
        changed = self._known.take(delta, sent, "listing")
        _log.info(
            "store listed",
            extra={
                "revision": delta.revision,
                "items": len(delta.items),
                "changed": changed,
            },
        )

    def _note_failure(self, error: store.StoreError) -> None:
        self._failures += 1
        self._reading = False
        if self._failures > 1:
            return
        _log.warn(
            "store lost",
            extra={"error": str(error), "age": self._known.age()},
        )
