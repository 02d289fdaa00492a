"""Transfers of changes of the platform's items between daemons, over HTTP.

A daemon that learns of a later revision pulls the changes from the peer that
announced it. Large answers are limited by a `TransferQueue`; a peer that waits
is redirected to another one that has received the changes.
"""

import asyncio
import collections
import random
import urllib.parse
from collections.abc import Awaitable
from collections.abc import Callable

import logbook

from hyssopwind.core import decoding
from hyssopwind.core import outcomes
from hyssopwind.core.discovery import items
from hyssopwind.core.discovery import positions
from hyssopwind.core.fleet import change_encoding
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.fleet import gossip_messages
from hyssopwind.core.fleet import pull_planning
from hyssopwind.core.fleet import transfer_queue
from hyssopwind.daemon.gateway import replicated_state
from hyssopwind.transport import answers
from hyssopwind.transport import boot_clock
from hyssopwind.transport import connection
from hyssopwind.transport import connection_pools

PATH = "/changes"
# Longest time until the first bytes of an answer, which includes the wait in
# the queue of the peer.
PULL_TIMEOUT_SECONDS = 0.6
STALL_SECONDS = 0.5  # longest time between two parts of an answer
MAX_TRANSFER_SECONDS = 3.0
# Smaller answers are not limited by the queue.
LARGE_TRANSFER_BYTES = 4_096
QUEUE_POLL_SECONDS = 0.02
# Shortest time until a peer that is busy or failed is asked again; up to as
# much is added at random.
RETRY_SECONDS = 0.05
# Shortest time between two transfers of all items.
REPLACE_INTERVAL_SECONDS = 5.0
# Type of answers to daemons that state which large values they hold.
COMPACT_TYPE = "application/vnd.hyssopwind.changes"
_NOT_FOUND = outcomes.Answered(404, (), b"")

_log = logbook.Logger("fleet")


class ChangeTransfers:
    """Pulls changes from peers and answers the pulls of peers.

    Attributes:
        counts: number of transfers by result.
        byte_counts: bytes of transfers by direction, `received` or `sent`.
    """

    def __init__(
        self,
        ip: str,
        platform_state: replicated_state.PlatformState,
        member_list: fleet_members.MemberList,
        fetch: Callable[
            [str, str, connection_pools.Progress], Awaitable[answers.Answer]
        ],
        confirm: Callable[[str], None],
        random_source: random.Random,
    ):
        """Creates the transfers of a daemon.

        Args:
            ip: IP address of the daemon.
            platform_state: the replica and the state in it.
            member_list: the live daemons.
            fetch: sends a GET for a target to a peer.
            confirm: tells a peer the revision of the replica.
            random_source: source of the delays of retries.
        """
        self._ip = ip
        self._platform_state = platform_state
        self._member_list = member_list
        self._fetch = fetch
        self._confirm = confirm
        self._random = random_source
        self._encoder = change_encoding.ChangeEncoder(platform_state.replica)
        self._planner = pull_planning.PullPlanner()
        self._queue = transfer_queue.TransferQueue()
        self._queue_changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._replaced_at = float("-inf")
        self.counts: collections.Counter[str] = collections.Counter()
        self.byte_counts: collections.Counter[str] = collections.Counter()

    def handle_announcement(self, ip: str, revision: int) -> None:
        """Handles the revision that a peer announced."""
        self._queue.complete(ip, revision)
        if not self._may_serve(ip):
            self._queue.drop_source(ip)
        self._notify_queue()
        if revision > self._platform_state.replica.revision:
            self._planner.announce(ip, revision)
            self._pull_if_behind()

    def replace_replica(self, ip: str) -> None:
        """Pulls all items from a peer, whose state of this revision differs.

        The peer reads the platform, so that this daemon has missed a change, or
        it has kept an item that the platform has lost.
        """
        now = boot_clock.now()
        if now - self._replaced_at < REPLACE_INTERVAL_SECONDS:
            return
        self._replaced_at = now
        self.counts["replaced"] += 1
        _log.warn(
            "the state of a peer at this revision differs; pulling all items",
            extra={"peer": ip, **self._platform_state.log_fields()},
        )
        self._start_pull(ip, pulls_all=True)

    def drop_dead_peers(self) -> None:
        """Forgets the peers that are not in the member list any more."""
        live_ips = {peer.ip for peer in self._member_list.peers()}
        self._queue.keep_sources(live_ips)
        self._planner.keep_sources(live_ips)

    def stop(self) -> None:
        """Cancels the running pulls."""
        for task in self._tasks:
            task.cancel()

    async def answer(self, target: str) -> outcomes.Answered:
        """Answers the request of a peer."""
        path, _, query = target.partition("?")
        fields = urllib.parse.parse_qs(query, keep_blank_values=True)
        revision = fields.get("after", [""])[0]
        if path != PATH or not (revision.isascii() and revision.isdigit()):
            return _NOT_FOUND
        held = fields.get("held", [None])[0]
        has_eras = positions.era_of(self._platform_state.replica.revision) > 0
        if held is None or (has_eras and "positions" not in fields):
            return self._answer_earlier_release(int(revision))
        held_revisions = [
            int(number)
            for number in held.split(",")
            if number.isascii() and number.isdigit()
        ]
        body = self._encode(int(revision), held_revisions)
        if len(body) >= LARGE_TRANSFER_BYTES:
            decision = await self._wait_in_queue(
                fields.get("ip", [""])[0], may_refer="referred" not in fields
            )
            if isinstance(decision, transfer_queue.Busy):
                self.counts["busy"] += 1
                return outcomes.Answered(503, (), b"")
            if isinstance(decision, transfer_queue.Refer):
                self.counts["referred"] += 1
                return outcomes.Answered(
                    307, (("Location", f"//{decision.ip}{PATH}"),), b""
                )
            body = self._encode(int(revision), held_revisions)
        return self._count_sent(
            outcomes.Answered(200, (("Content-Type", COMPACT_TYPE),), body)
        )

    def _answer_earlier_release(self, revision: int) -> outcomes.Answered:
        """Answers a daemon that supports plain revisions only."""
        replica = self._platform_state.replica
        era = positions.era_of(replica.revision)
        delta = replica.delta_since(positions.make_position(era, revision))
        body = gossip_messages.encode_delta(
            positions.without_eras(delta), self._age_ms()
        )
        return self._count_sent(
            outcomes.Answered(
                200, (("Content-Type", "application/msgpack"),), body
            )
        )

    async def _wait_in_queue(
        self, ip: str, *, may_refer: bool
    ) -> transfer_queue.Decision:
        self._queue.enter(ip, boot_clock.now())
        try:
            while True:
                # Small changes after the last large one can be pulled later.
                decision = self._queue.poll(
                    ip,
                    self._encoder.newest_large_revision(),
                    boot_clock.now(),
                    may_refer=may_refer,
                )
                if decision is not None:
                    return decision
                changed = self._queue_changed
                try:
                    async with asyncio.timeout(QUEUE_POLL_SECONDS):
                        await changed.wait()
                except TimeoutError:
                    continue
        finally:
            self._queue.leave(ip)

    def _notify_queue(self) -> None:
        self._queue_changed.set()
        self._queue_changed = asyncio.Event()

    def _encode(self, revision: int, held_revisions: list[int]) -> bytes:
        # The others were there when the platform lost it.
        kept = () if revision else self._platform_state.kept_items()
        return self._encoder.encode(
            revision, held_revisions, self._age_ms(), kept
        )

    def _count_sent(self, answer: outcomes.Answered) -> outcomes.Answered:
        self.counts["sent"] += 1
        self.byte_counts["sent"] += len(answer.body)
        return answer

    def _age_ms(self) -> int:
        return gossip_messages.encode_age(self._platform_state.age_seconds())

    def _may_serve(self, ip: str) -> bool:
        """Whether waiting peers may be referred to a peer."""
        return any(
            peer.ip == ip and not peer.is_leaving
            for peer in self._member_list.local_peers()
        )

    def _pull_if_behind(self) -> None:
        now = boot_clock.now()
        ip = self._planner.next_source(
            self._platform_state.replica.revision, now
        )
        if ip is None:
            return
        self._start_pull(ip)

    def _start_pull(self, ip: str, *, pulls_all: bool = False) -> None:
        self._planner.start(ip, boot_clock.now())
        pull = self._pull(ip, pulls_all=pulls_all)
        task = asyncio.get_running_loop().create_task(pull)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pull(self, ip: str, *, pulls_all: bool) -> None:
        revision = None
        try:
            revision = await self._pull_once(ip, pulls_all=pulls_all)
        except (
            connection.ExchangeError,
            decoding.DecodeError,
        ) as error:
            self._planner.fail(ip, boot_clock.now())
            self.counts["failed"] += 1
            _log.warn(
                "pull from a peer failed",
                extra={"peer": ip, "error": str(error)},
            )
            self._pull_if_behind()
            await self._wait_for_retry()
        except Exception as error:  # Later pulls must not wait for this one.
            self._planner.fail(ip, boot_clock.now())
            self.counts["failed"] += 1
            _log.error(
                "changes of a peer could not be handled",
                extra={"peer": ip, "error": repr(error)},
            )
            await self._wait_for_retry()
        else:
            self._planner.finish(ip, revision)
        self._pull_if_behind()

    async def _wait_for_retry(self) -> None:
        await asyncio.sleep(RETRY_SECONDS * (1.0 + self._random.random()))

    async def _pull_once(self, ip: str, *, pulls_all: bool) -> int | None:
        """Pulls changes; returns the revision of the peer if it sent them."""
        held_revisions = change_encoding.large_revisions(
            self._platform_state.replica
        )
        while True:
            answer, sent_at = await self._request(
                ip,
                0 if pulls_all else self._platform_state.replica.revision,
                held_revisions,
            )
            if answer.status == 307:
                self._follow(ip, answer)
                return None
            if answer.status != 200:
                await self._wait_for_retry()
                return None
            try:
                delta, age_ms = self._decode(answer)
            except change_encoding.BaseMissingError:
                if not held_revisions:
                    raise
                # The replica has changed meanwhile.
                held_revisions = []
                continue
            self._apply(ip, answer, delta, sent_at, age_ms)
            return delta.revision

    async def _request(
        self, ip: str, after: int, held_revisions: list[int]
    ) -> tuple[answers.Answer, float]:
        """Sends a pull; returns the answer and when the pull was sent."""
        sent_at = boot_clock.now()
        held = ",".join(str(revision) for revision in held_revisions)
        target = f"{PATH}?after={after}&held={held}&ip={self._ip}&positions="
        if self._planner.is_referred(ip):
            target += "&referred="
        progress = connection_pools.Progress(
            STALL_SECONDS,
            MAX_TRANSFER_SECONDS,
            lambda: self._planner.record_progress(ip, boot_clock.now()),
        )
        return await self._fetch(ip, target, progress), sent_at

    def _decode(self, answer: answers.Answer) -> tuple[items.Delta, int]:
        if answer.fields.get("Content-Type", "") == COMPACT_TYPE:
            return change_encoding.decode(
                answer.body, self._platform_state.replica
            )
        return gossip_messages.decode_delta(answer.body)

    def _follow(self, ip: str, answer: answers.Answer) -> None:
        """Notes the peer to which another one refers."""
        source = answer.fields.get("Location", "")
        source_ip = source.removeprefix("//").partition("/")[0]
        if any(peer.ip == source_ip for peer in self._member_list.peers()):
            self._planner.refer(ip, source_ip)

    def _apply(
        self,
        ip: str,
        answer: answers.Answer,
        delta: items.Delta,
        sent_at: float,
        age_ms: int,
    ) -> None:
        own_revision = self._platform_state.replica.revision
        self.counts["received"] += 1
        self.byte_counts["received"] += len(answer.body)
        is_large = len(answer.body) >= LARGE_TRANSFER_BYTES
        if is_large:
            _log.info(
                "large transfer received",
                extra={
                    "peer": ip,
                    "bytes": len(answer.body),
                    "ms": round((boot_clock.now() - sent_at) * 1000),
                    "after": positions.revision_of(own_revision),
                    "revision": positions.revision_of(delta.revision),
                    "era": positions.stated_era(delta.revision),
                },
            )
        self._platform_state.apply_delta(
            delta, sent_at - age_ms / 1000, f"peer {ip}"
        )
        if is_large:
            self._confirm(ip)
