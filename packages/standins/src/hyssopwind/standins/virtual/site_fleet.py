"""Daemons that share the platform's items by gossip, in virtual time.

The daemons' own gossip and store reader run on one virtual clock. This module
delivers the datagrams and pulls, and models the platform's store, so that
partitions and refused calls are exact and losses are reproducible.
"""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Iterator

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.attempts import quarantine
from hyssopwind.core.discovery import items
from hyssopwind.core.dispatch import settings
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.fleet import gossip_messages
from hyssopwind.core.fleet import reader_selection
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import change_transfers
from hyssopwind.daemon.gateway import gossip
from hyssopwind.daemon.gateway import replicated_state
from hyssopwind.daemon.gateway import store_reader
from hyssopwind.platform import boot
from hyssopwind.platform import store
from hyssopwind.standins.site import documents
from hyssopwind.transport import answers
from hyssopwind.transport import boot_clock
from hyssopwind.transport import connection
from hyssopwind.transport import connection_pools
from hyssopwind.transport import heads

LOCAL_DELAY_SECONDS = 0.0002  # one way
REMOTE_DELAY_SECONDS = 0.0015  # one way
STORE_DELAY_SECONDS = 0.004  # from a call to its answer
DATAGRAM_LOSS_RATIO = 0.01
DATAGRAM_HEADER_BYTES = 28  # of IP and UDP
# Bytes of a transfer that are on a link at the same time.
TRANSFER_WINDOW_BYTES = 16_384
BITS_PER_BYTE = 8
STORE_EVENT_BYTES = 100  # of an event in JSON, without its value


class VirtualStore:
    """The platform's store, read through a `VirtualStoreClient` per daemon.

    Attributes:
        revision: revision of the last change.
        call_count: number of calls by all daemons.
        history: all changes in order; a removal has no value.
        dropped_revision: revision up to which watches can no longer get
            changes.
        confirmed_revisions: time and revision of each change.
        era: era that it states; `None` if it states none.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.call_count = 0
        self.history: list[items.Item] = []
        self.dropped_revision = 0
        self.confirmed_revisions: list[tuple[float, int]] = []
        self.era: int | None = None
        self._changed = asyncio.Event()

    def write(self, key: str, value: bytes | None) -> None:
        """Writes an item, or removes it if the value is `None`."""
        self.revision += 1
        self.history.append(items.Item(key, value, self.revision))
        self.confirmed_revisions.append((boot_clock.now(), self.revision))
        self._changed.set()
        self._changed = asyncio.Event()

    def drop_history(self) -> None:
        """Makes the changes so far unavailable to watches."""
        self.dropped_revision = self.revision

    def restore(self, revision: int) -> None:
        """Comes back from a copy as of a revision, which loses later changes.

        A store that states eras begins a new one.
        """
        self.history = [i for i in self.history if i.revision <= revision]
        self.confirmed_revisions = [
            each for each in self.confirmed_revisions if each[1] <= revision
        ]
        self.revision = revision
        self.dropped_revision = revision
        if self.era is not None:
            self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def listing(self, prefix: str) -> items.Delta:
        """Returns the items that exist below a prefix."""
        existing: dict[str, items.Item] = {}
        for item in self.history:
            if item.value is None:
                existing.pop(item.key, None)
            elif item.key.startswith(prefix):
                existing[item.key] = item
        return items.Delta(
            tuple(existing.values()), self.revision, True, era=self.era
        )

    async def wait_for_changes(
        self, revision: int, timeout: float
    ) -> items.Delta:
        """Returns the changes after a revision, waiting for one if needed."""
        if self.revision == revision:
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), timeout)
            except TimeoutError:
                return items.Delta((), self.revision, False, era=self.era)
        changes = tuple(i for i in self.history if i.revision > revision)
        return items.Delta(changes, self.revision, False, era=self.era)


class VirtualStoreClient(store.StoreClient):
    """The store client of one daemon."""

    def __init__(self, daemon: "VirtualDaemon", shared_store: VirtualStore):
        super().__init__("")
        self._daemon = daemon
        self._store = shared_store

    async def list_items(self, prefix: str) -> items.Delta:
        """Returns the items below a prefix, unless the store is unavailable."""
        self._store.call_count += 1
        await self._apply_store_faults(1.0)
        delta = self._store.listing(prefix)
        await self._receive(delta)
        return delta

    async def wait_for_changes(
        self,
        prefix: str,
        revision: int,
        wait_seconds: float,
        max_bytes: int = answers.MAX_ANSWER_BYTES,
    ) -> items.Delta:
        """Waits for changes, unless the store is unavailable."""
        self._store.call_count += 1
        await self._apply_store_faults(
            wait_seconds + store.WATCH_MARGIN_SECONDS
        )
        if not self._store.dropped_revision <= revision <= self._store.revision:
            raise store.HistoryLostError(
                "changes after the revision are dropped"
            )
        silence_count = self._daemon.silence_count
        delta = await self._store.wait_for_changes(revision, wait_seconds)
        if self._daemon.silence_count != silence_count:
            await asyncio.sleep(store.WATCH_MARGIN_SECONDS)
            raise store.StoreError("silent")
        await self._apply_store_faults(wait_seconds)
        if _answer_bytes(delta) > max_bytes:
            raise store.LongAnswerError("virtual")
        await self._receive(delta)
        return delta

    async def _receive(self, delta: items.Delta) -> None:
        """Receives an answer over the link of the daemon."""
        progress = connection_pools.Progress(
            store.STALL_SECONDS,
            store.MAX_ANSWER_SECONDS,
            self._record_progress,
        )
        try:
            await self._daemon.links.transfer(
                "", self._daemon.options.ip, _answer_bytes(delta), progress
            )
        except TimeoutError as error:
            raise store.StoreError("timeout") from error
        finally:
            self._record_end()

    async def _apply_store_faults(self, timeout: float) -> None:
        await asyncio.sleep(STORE_DELAY_SECONDS)
        if self._daemon.store_refuses:
            raise store.StoreError("status 503")
        if self._daemon.store_silent:
            await asyncio.sleep(timeout)
            raise store.StoreError("silent")


class _VirtualGossip(gossip.Gossip):
    """The gossip of a daemon, with messages delivered by the fleet."""

    def __init__(self, fleet: "VirtualFleet", daemon: "VirtualDaemon"):
        super().__init__(
            settings.LiveSettings(daemon.options),
            daemon.member_list,
            daemon.platform_state,
            lambda: not daemon.reader.is_failing,
            lambda: daemon.reader.is_reading,
            lambda: daemon.store_client.is_receiving,
            daemon.handle_crash_notice,
            daemon.handle_permit_message,
            daemon.handle_leaving_notice,
            daemon.leaving_servers,
            random.Random(fleet.random_source.random()),
            daemon.handle_reachability_notice,
            on_hang_notice=daemon.handle_hang_notice,
        )
        self._virtual_fleet = fleet
        self._daemon = daemon

    def _send(self, data: bytes, ip: str) -> None:
        self._virtual_fleet.deliver(self._daemon, ip, data)

    async def _fetch(
        self, ip: str, target: str, progress: connection_pools.Progress
    ) -> answers.Answer:
        try:
            async with asyncio.timeout(change_transfers.PULL_TIMEOUT_SECONDS):
                answered = await self._ask(ip, target)
            await self._virtual_fleet.links.transfer(
                ip,
                self._daemon.options.ip,
                len(answered.body),
                progress,
            )
        except TimeoutError as error:
            raise connection.ExchangeError(
                attempt_results.FailureKind.TIMED_OUT, "virtual"
            ) from error
        fields = heads.new_fields()
        for name, value in answered.headers:
            fields[name] = value
        return answers.Answer(
            answered.status, fields, answered.body, may_reuse_connection=True
        )

    async def _ask(self, ip: str, target: str) -> outcomes.Answered:
        source = self._virtual_fleet.find_reachable(self._daemon, ip)
        await asyncio.sleep(2 * REMOTE_DELAY_SECONDS)
        if source is None:
            raise TimeoutError
        return await source.gossip.transfers.answer(target)


class VirtualDaemon:
    """One daemon: its replica of the items, its store reader and its gossip.

    Attributes:
        options: settings of the daemon.
        store: store that the daemon reads.
        links: links of all VMs.
        store_refuses: whether the store refuses the daemon's calls.
        store_client: client of the store.
        store_silent: whether the store leaves the daemon's calls unanswered.
        silence_count: counter that a test increases when it makes the store
            refuse calls or leave them unanswered, so that a watch that waits
            at this time fails.
        last_fault_at: time of the last fault or start; infinite during a fault.
        platform_state: platform state of the daemon.
        crash_notices: fingerprint and crash count of each crash notice.
        member_list: member list of the daemon.
        reader: reader of the store.
        gossip: gossip with the other daemons.
    """

    def __init__(
        self, fleet: "VirtualFleet", options: settings.GatewaySettings
    ):
        self.options = options
        self.store = fleet.store
        self.links = fleet.links
        self._random = random.Random(fleet.random_source.random())
        self.store_refuses = False
        self.store_silent = False
        self.silence_count = 0
        self.last_fault_at = boot_clock.now()
        self.platform_state = replicated_state.PlatformState()
        self.crash_notices: list[tuple[str, int]] = []
        self.member_list = fleet_members.MemberList(
            options.name,
            options.ip,
            options.data_centre,
            boot_clock.now(),
            options.link_mbps,
        )
        self.store_client = VirtualStoreClient(self, fleet.store)
        self.reader = store_reader.StoreReader(
            self.store_client,
            self.platform_state,
            self._should_read,
            self._retry_delay,
            tuning.StoreReadSettings(),
            settings.LiveSettings(options),
        )
        self.gossip = _VirtualGossip(fleet, self)
        self.platform_state.revisions.subscribe(
            lambda _: self.gossip.announce_change()
        )
        self._tasks = [
            asyncio.ensure_future(self.gossip.run()),
            asyncio.ensure_future(self.reader.run()),
        ]

    def handle_crash_notice(
        self,
        fingerprint: ids.Fingerprint,
        crashes: int,
        times: quarantine.CrashTimes | None = None,
    ) -> None:
        """Records a crash notice."""
        self.crash_notices.append((fingerprint, crashes))

    def handle_permit_message(
        self, message: gossip_messages.PermitMessage
    ) -> None:
        """Ignores a message about permits, of which this model has none."""

    def handle_leaving_notice(self, instance: ids.InstanceId) -> None:
        """Ignores that a server is leaving; this model sends no requests."""

    def handle_hang_notice(
        self, server: ids.ServerId, is_suspicion: bool
    ) -> None:
        """Ignores that a server hangs; this model sends no requests."""

    def handle_reachability_notice(
        self, sender: ids.DaemonId, is_cut_off: bool
    ) -> None:
        """Ignores whether a peer reaches servers; this model has none."""

    def leaving_servers(self) -> frozenset[ids.InstanceId]:
        """Returns the servers that are leaving, of which it knows none."""
        return frozenset()

    def kill(self) -> None:
        """Cancels all tasks of the daemon."""
        for task in self._tasks:
            task.cancel()

    def _reader_state(self) -> reader_selection.ReaderState:
        return reader_selection.ReaderState(
            self.options.name,
            self.options.data_centre,
            self.platform_state.age_seconds(),
            self.options.first_start,
        )

    def _should_read(self) -> bool:
        state = self._reader_state()
        return reader_selection.should_read(
            state, self.member_list, boot_clock.now()
        )

    def _retry_delay(self, failures: int) -> float:
        state = self._reader_state()
        random_draw = self._random.random()
        return reader_selection.retry_delay_seconds(
            state, self.member_list, failures, random_draw
        )


class VirtualLinks:
    """The links of all VMs, which the transfers over each of them share.

    Attributes:
        carried_bytes: bytes of transfers received and sent, by IP address.
    """

    def __init__(self, plan: "FleetPlan"):
        self._plan = plan
        self._free_at: dict[tuple[str, str], float] = {}
        self.carried_bytes: collections.Counter[str] = collections.Counter()

    async def transfer(
        self,
        sender: str,
        receiver: str,
        size: int,
        progress: connection_pools.Progress,
    ) -> None:
        """Transfers bytes; concurrent transfers take turns on a link.

        Args:
            sender: IP address of the sender; the empty one has a link that is
                never full.
            receiver: IP address of the receiver.
            size: number of bytes.
            progress: times that the transfer may take.

        Raises:
            TimeoutError: the transfer takes longer.
        """
        ends_at = boot_clock.now() + progress.max_seconds
        while size > 0:
            window_bytes = min(size, TRANSFER_WINDOW_BYTES)
            size -= window_bytes
            done_at = boot_clock.now()
            for link in ((sender, "sent"), (receiver, "received")):
                if link[0]:
                    done_at = max(done_at, self._occupy(link, window_bytes))
            wait_seconds = max(0.0, done_at - boot_clock.now())
            if wait_seconds > progress.stall_seconds or done_at > ends_at:
                await asyncio.sleep(progress.stall_seconds)
                raise TimeoutError
            await asyncio.sleep(wait_seconds)
            progress.on_bytes()

    def _occupy(self, link: tuple[str, str], size: int) -> float:
        """Occupies one direction of a link; returns when it is free again."""
        self.carried_bytes[link[0]] += size
        starts_at = max(boot_clock.now(), self._free_at.get(link, 0.0))
        self._free_at[link] = starts_at + size / self._plan.link_rate(link[0])
        return self._free_at[link]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """Size, random seed and network links of a fleet.

    Attributes:
        data_centre_count: number of data centres.
        daemons_per_data_centre: number of daemons in each data centre.
        seed: seed of losses and faults.
        link_bytes_per_second: bytes per second that the link of a VM carries.
        wide_links_per_data_centre: number of daemons in each data centre whose
            links are wide; all daemons know the widths of their links then.
        wide_link_bytes_per_second: bytes per second of a wide link.
        max_link_queue_bytes: bytes that may wait for the link; more are lost.
    """

    data_centre_count: int = 3
    daemons_per_data_centre: int = 5
    seed: int = 1
    link_bytes_per_second: float = 125e6
    wide_links_per_data_centre: int = 0
    wide_link_bytes_per_second: float = 25e6
    max_link_queue_bytes: float = 1e6

    def link_rate(self, ip: str) -> float:
        """Returns the bytes per second that the link of a VM carries."""
        number = int(ip.rpartition(".")[2])
        if number <= self.wide_links_per_data_centre:
            return self.wide_link_bytes_per_second
        return self.link_bytes_per_second


class VirtualFleet:
    """All daemons, the links between them, and the store.

    Attributes:
        store: the platform's store.
        random_source: source of all random choices.
        daemons: running daemons by IP address.
        sent_bytes: bytes of datagrams by IP address of the sender.
        cut_links: pairs of IP addresses that can't reach each other.
        links: links of the VMs, for listings, watches and pulls.
    """

    def __init__(self, plan: FleetPlan):
        self.store = VirtualStore()
        self.links = VirtualLinks(plan)
        self.random_source = random.Random(plan.seed)
        self.daemons: dict[str, VirtualDaemon] = {}
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.cut_links: set[frozenset[str]] = set()
        self._link_free_at: dict[str, float] = {}
        self._plan = plan
        self._options: dict[str, settings.GatewaySettings] = {}
        seeds = [_ip(n, 1) for n in range(min(3, plan.data_centre_count))]
        for data_centre_number in range(plan.data_centre_count):
            for number in range(1, plan.daemons_per_data_centre + 1):
                options = _make_options(data_centre_number, number, seeds)
                if plan.wide_links_per_data_centre:
                    link_rate = plan.link_rate(options.ip)
                    options = dataclasses.replace(
                        options,
                        link_mbps=round(link_rate * BITS_PER_BYTE / 1e6),
                    )
                self._options[options.ip] = options

    def start_all(self) -> None:
        """Starts all daemons."""
        for ip in self._options:
            self.start(ip)

    def start(self, ip: str) -> None:
        """Starts a daemon; one that ran before starts without its state."""
        self.daemons[ip] = VirtualDaemon(self, self._options[ip])
        self._options[ip] = dataclasses.replace(
            self._options[ip], first_start=False
        )

    def kill(self, ip: str) -> None:
        """Ends a daemon without a message to the others."""
        self.daemons.pop(ip).kill()

    def find_reachable(
        self, sender: VirtualDaemon, ip: str
    ) -> VirtualDaemon | None:
        """Returns a daemon if it runs and the sender can reach it."""
        if frozenset((sender.options.ip, ip)) in self.cut_links:
            return None
        return self.daemons.get(ip)

    def deliver(self, sender: VirtualDaemon, ip: str, data: bytes) -> None:
        """Delivers a datagram after the delay of the network, or loses it."""
        if not self._enqueue(
            sender.options.ip, len(data) + DATAGRAM_HEADER_BYTES
        ):
            return
        if (
            self.find_reachable(sender, ip) is None
            or self.random_source.random() < DATAGRAM_LOSS_RATIO
        ):
            return
        is_local = ip.split(".")[1] == sender.options.ip.split(".")[1]
        delay = LOCAL_DELAY_SECONDS if is_local else REMOTE_DELAY_SECONDS

        def arrive() -> None:
            receiver = self.find_reachable(sender, ip)
            if receiver is not None:
                receiver.gossip.datagram_received(data, (ip, 0))

        asyncio.get_running_loop().call_later(delay, arrive)

    def _enqueue(self, ip: str, size: int) -> bool:
        """Queues bytes on the link of a VM; returns whether they fit."""
        self.sent_bytes[ip] += size
        now = boot_clock.now()
        free_at = max(now, self._link_free_at.get(ip, now))
        link_rate = self._plan.link_rate(ip)
        queued_bytes = (free_at - now) * link_rate
        if queued_bytes + size > self._plan.max_link_queue_bytes:
            return False
        self._link_free_at[ip] = free_at + size / link_rate
        return True

    def readers(self) -> Iterator[str]:
        """Yields the IP addresses of the daemons that should read the store."""
        for ip, daemon in self.daemons.items():
            if daemon._should_read():
                yield ip


def _answer_bytes(delta: items.Delta) -> int:
    """Returns the bytes of an answer of the store, whose values are Base64."""
    return sum(
        STORE_EVENT_BYTES + len(item.value or b"") * 4 // 3
        for item in delta.items
    )


def _ip(data_centre_number: int, number: int) -> str:
    return f"10.{data_centre_number}.0.{number}"


def _make_options(
    data_centre_number: int, number: int, seeds: list[str]
) -> settings.GatewaySettings:
    text = documents.render_settings(
        store_address="10.9.9.9:1",
        ports=[1, 2, 3, 4],
        name=f"d-{data_centre_number}-{number}",
    )
    base = boot.parse_settings(text, "virtual")
    return dataclasses.replace(
        base,
        ip=_ip(data_centre_number, number),
        data_centre=ids.DataCentreId(f"dc-{data_centre_number}"),
        seeds=tuple(f"{ip}:3" for ip in seeds),
        first_start=True,
    )
