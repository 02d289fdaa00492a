"""Reads the platform's store as long as this daemon is to read it."""

import asyncio
import random
from collections.abc import Callable

import logbook

from hyssopwind.core.discovery import items
from hyssopwind.core.dispatch import settings
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import knowledge
from hyssopwind.platform import items as platform_items
from hyssopwind.platform import store
from hyssopwind.transport import clock

WATCH_SHARE = 0.5  # of the time that changes may take, for one call
FIRST_BACKOFF = 0.1  # seconds
LONGEST_BACKOFF = 0.8  # seconds; the store must be met soon on its return
IDLE_POLL = 0.05  # seconds between two questions whether to read

_log = logbook.Logger("store")


class StoreReader:
    """Lists once, then waits for changes, while `should_read` says so."""

    def __init__(
        self,
        client: store.StoreClient,
        known: knowledge.Knowledge,
        should_read: Callable[[], bool],
        terms: tuning.ReadingSettings,
        live: settings.LiveSettings,
    ):
        self._client = client
        self._known = known
        self._should_read = should_read
        self._terms = terms
        self._live = live
        self._must_list = False
        self._failing = False
        self._random = random.Random()

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._failing

    async def run(self) -> None:
        """Reads until it is cancelled."""
        backoff = FIRST_BACKOFF
        while True:
            if not self._should_read():
                self._failing = False
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
                await asyncio.sleep(backoff * self._random.uniform(0.5, 1.0))
                backoff = min(LONGEST_BACKOFF, backoff * 2)
                continue
            backoff = FIRST_BACKOFF
            if self._failing:
                self._failing = False
                _log.info("store regained", extra={"age": self._known.age()})

    async def _read_once(self) -> None:
        revision = self._known.copy.revision
        if not revision or self._must_list:
            await self._list()
            self._must_list = False
            return
        sent = clock.now()
        delta = await self._client.wait_for_changes(
            "", revision, self._watch_wait()
        )
        # An empty answer says that nothing had changed when the wait ended.
        as_of = sent if delta.items else max(sent, clock.now() - 0.1)
        self._known.take(delta, as_of, "store")
        if delta.items:
            await asyncio.sleep(self._terms.merge_delay)

    def _watch_wait(self) -> float:
        """Returns the seconds of one call, so short that silence is noticed."""
        share = WATCH_SHARE * self._live.current.change_bound
        return min(self._terms.watch_wait, share)

    async def _list(self) -> None:
        sent = clock.now()
        found: list[items.Item] = []
        revision = 0
        for prefix in platform_items.PREFIXES:
            listing = await self._client.list_items(prefix)
            found.extend(listing.items)
            revision = min(revision or listing.revision, listing.revision)
        delta = items.Delta(tuple(found), revision, True)
        changed = self._known.take(delta, sent, "listing")
        _log.info(
            "store listed",
            extra={
                "revision": revision,
                "items": len(found),
                "changed": changed,
            },
        )

    def _note_failure(self, error: store.StoreError) -> None:
        if self._failing:
            return
        self._failing = True
        _log.warn(
            "store lost",
            extra={"error": str(error), "age": self._known.age()},
        )
