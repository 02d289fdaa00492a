"""Messages between daemons: heartbeats, member lists, notices and pulls.

A heartbeat states the revision of the sender's replica and its age. A daemon
with an earlier revision pulls the changes, see `change_transfers`. The leader
of a data centre sends heartbeats to all of its members and to the other
leaders, and members send theirs to the daemons first in rank, as
`fleet_members` ranks them.
The number of messages thus grows only linearly with the fleet, and few of them
cross between data centres.
"""

import asyncio
import collections
import random
import typing
from collections.abc import Callable
from collections.abc import Iterable

import logbook
import msgspec

from hyssopwind.core import decoding
from hyssopwind.core import ids
from hyssopwind.core.attempts import quarantine
from hyssopwind.core.discovery import items
from hyssopwind.core.discovery import positions
from hyssopwind.core.dispatch import settings
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.fleet import gossip_messages
from hyssopwind.daemon.gateway import change_transfers
from hyssopwind.daemon.gateway import replicated_state
from hyssopwind.transport import answers
from hyssopwind.transport import boot_clock
from hyssopwind.transport import connection_pools

# About 1,000 bytes, so that no datagram is fragmented.
MEMBERS_PER_DATAGRAM = 20
MEMBERS_PER_DEFLATED_DATAGRAM = 40
# Number of daemons, the first in rank, to which all members send heartbeats.
HEARTBEAT_RECIPIENT_COUNT = 2
# Rounds, one in each heartbeat interval, between two messages of a kind.
REMOTE_HEARTBEAT_ROUNDS = 2  # heartbeats to other data centres
LOCAL_MEMBER_LIST_ROUNDS = 2  # member lists within the data centre
REMOTE_MEMBER_LIST_ROUNDS = 10  # member lists to the other leaders
# Member lists are sent in batches of datagrams at 180 KB/s, a third of the
# narrowest link of 5 Mbit/s, whose queue a burst would overflow.
MEMBER_LIST_BATCH_DATAGRAMS = 10
MEMBER_LIST_BATCH_INTERVAL_SECONDS = 0.05
# Interval at which a daemon checks whether it has become the leader.
LEADER_POLL_SECONDS = 0.2
# Rounds after the start in which the seeds get heartbeats.
SEED_CONTACT_ROUNDS = 6
# Rounds between later heartbeats to the seeds, which are sent while the member
# list contains no peer of this data centre.
LONE_SEED_CONTACT_ROUNDS = 4
# Assumed longest time between the sending and the receipt of a heartbeat.
MAX_HEARTBEAT_DELIVERY_SECONDS = 0.01
# A notice is sent several times, because datagrams may be lost.
NOTICE_SEND_DELAYS_SECONDS = (0.0, 0.2, 0.8)
# Notices that are remembered, so that a repeated one is handled once.
MAX_REMEMBERED_NOTICES = 1_000
NOTICE_NUMBER_BITS = 48

_log = logbook.Logger("fleet")


class Gossip(asyncio.DatagramProtocol):
    """Exchanges heartbeats, member lists, notices and changes with peers.

    Attributes:
        transfers: transfers of changes from and to peers.
    """

    def __init__(
        self,
        live_settings: settings.LiveSettings,
        member_list: fleet_members.MemberList,
        platform_state: replicated_state.PlatformState,
        can_read_store: Callable[[], bool],
        is_reading_store: Callable[[], bool],
        is_receiving: Callable[[], bool],
        on_crash_notice: Callable[
            [ids.Fingerprint, int, quarantine.CrashTimes | None], None
        ],
        on_permit_message: Callable[[gossip_messages.PermitMessage], None],
        on_leaving_notice: Callable[[ids.InstanceId], None],
        leaving_servers: Callable[[], Iterable[ids.InstanceId]],
        random_source: random.Random,
        on_reachability_notice: Callable[[ids.DaemonId, bool], None] = (
            lambda _sender, _is_cut_off: None
        ),
        on_allowance_message: Callable[
            [gossip_messages.AllowanceMessage], None
        ] = lambda _message: None,
        on_hang_notice: Callable[[ids.ServerId, bool], None] = (
            lambda _server, _is_suspicion: None
        ),
    ):
        self._on_hang_notice = on_hang_notice
        self._live_settings = live_settings
        initial_settings = live_settings.current
        self._initial_settings = initial_settings
        self._member_list = member_list
        self._platform_state = platform_state
        self._can_read_store = can_read_store
        self._is_reading_store = is_reading_store
        self._is_receiving = is_receiving
        self._on_crash_notice = on_crash_notice
        self._on_permit_message = on_permit_message
        self._on_leaving_notice = on_leaving_notice
        self._on_reachability_notice = on_reachability_notice
        self._on_allowance_message = on_allowance_message
        self._leaving_servers = leaving_servers
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._pool = connection_pools.ConnectionPool()
        self._peers_port = initial_settings.peers_address.rpartition(":")[2]
        self._round_number = 0
        self._announced_revision = 0
        self._was_leader = False
        self._is_stopping = False
        self.transfers = change_transfers.ChangeTransfers(
            initial_settings.ip,
            platform_state,
            member_list,
            self._fetch,
            lambda ip: self._send(
                gossip_messages.encode(self._make_heartbeat()), ip
            ),
            random_source,
        )
        self._queued_datagrams: collections.deque[tuple[bytes, str]] = (
            collections.deque()
        )
        self._handled_notices: collections.OrderedDict[
            tuple[str, int], None
        ] = collections.OrderedDict()
        # Starts at random, since peers remember the numbers that this daemon
        # used before a restart.
        self._notice_number = random_source.getrandbits(NOTICE_NUMBER_BITS)

    async def start(self) -> None:
        """Opens the UDP socket."""
        await self._loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(
                self._initial_settings.ip,
                self._initial_settings.gossip_port,
            ),
        )

    async def run(self) -> None:
        """Sends heartbeats and member lists until it is cancelled."""
        while True:
            self._run_round()
            ends_at = (
                boot_clock.now() + fleet_members.HEARTBEAT_INTERVAL_SECONDS
            )
            while (remaining := ends_at - boot_clock.now()) > 0.0:
                await asyncio.sleep(min(remaining, LEADER_POLL_SECONDS))
                self._contact_remote_leaders()

    def stop(self) -> None:
        """Closes the UDP socket and the connections to peers."""
        if self._transport is not None:
            self._transport.close()
        self.transfers.stop()
        self._pool.close()

    def announce_stop(self) -> None:
        """Announces to its data centre that this daemon will stop."""
        self._is_stopping = True
        self._member_list.mark_leaving()
        self._send_all(self._make_heartbeat(), self._member_list.local_peers())

    def announce_change(self) -> None:
        """Announces at once that the replica holds a new revision."""
        if self._platform_state.replica.revision > self._announced_revision:
            self._send_heartbeats(include_remote=True)

    def announce_crash(
        self,
        fingerprint: ids.Fingerprint,
        crash_count: int,
        times: quarantine.CrashTimes | None = None,
    ) -> None:
        """Announces to all peers that servers crashed on a request."""
        self._notice_number += 1
        notice = gossip_messages.CrashNotice(
            self._initial_settings.name,
            fingerprint,
            crash_count,
            self._notice_number,
        )
        if times is not None:
            now = boot_clock.now()
            notice = msgspec.structs.replace(
                notice,
                sent_ms_ago=round((now - times.sent_at) * 1000),
                crashed_ms_ago=round((now - times.crashed_at) * 1000),
            )
        self._send_repeatedly(notice)

    def announce_leaving(self, instance: ids.InstanceId) -> None:
        """Announces to all peers that a server is about to stop."""
        self._send_repeatedly(self._make_leaving_notice(instance))

    def announce_hang(self, server: ids.ServerId, is_suspicion: bool) -> None:
        """Announces to all peers that a server hangs or is suspected to.

        A suspicion is sent once: a loss costs a few requests at most, and a
        repetition would outlast the check.
        """
        if is_suspicion:
            self._send_all(
                gossip_messages.HangSuspicion(
                    self._initial_settings.name, server
                ),
                self._member_list.peers(),
            )
            return
        self._send_repeatedly(
            gossip_messages.HangNotice(self._initial_settings.name, server)
        )

    def announce_reachability(self, is_cut_off: bool) -> None:
        """Announces to all peers whether this daemon reaches servers."""
        notice = gossip_messages.ReachabilityNotice(
            self._initial_settings.name, is_cut_off
        )
        self._send_all(notice, self._member_list.peers())

    def send_permit_message(
        self, message: gossip_messages.PermitMessage, ip: str
    ) -> None:
        """Sends a message about permits to a peer."""
        self._send(gossip_messages.encode(message), ip)

    def send_allowance_message(
        self, message: gossip_messages.AllowanceMessage, ip: str
    ) -> None:
        """Sends a message about the allowances of tenants to a peer."""
        self._send(gossip_messages.encode(message), ip)

    async def _fetch(
        self, ip: str, target: str, progress: connection_pools.Progress
    ) -> answers.Answer:
        return await self._pool.get(
            f"{ip}:{self._peers_port}",
            target,
            change_transfers.PULL_TIMEOUT_SECONDS,
            progress=progress,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the UDP socket."""
        # The transports of uvloop are no subclasses of those of asyncio.
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: "tuple[str | object, int]"
    ) -> None:
        """Handles a message of another daemon."""
        try:
            message = gossip_messages.decode(data)
        except decoding.DecodeError as error:
            _log.warn(
                "undecodable datagram ignored", extra={"error": str(error)}
            )
            return
        try:
            self._handle_message(message)
        except Exception as error:  # One message must not end the process.
            _log.error(
                "message could not be handled",
                extra={
                    "message_type": type(message).__name__,
                    "error": repr(error),
                },
            )

    def _handle_message(self, message: gossip_messages.Datagram) -> None:
        if isinstance(message, gossip_messages.Heartbeat):
            self._handle_heartbeat(message)
        elif isinstance(message, gossip_messages.MemberListPage):
            self._member_list.handle_member_list_page(message, boot_clock.now())
        elif isinstance(message, gossip_messages.CrashNotice):
            self._handle_crash_notice(message)
        elif isinstance(message, gossip_messages.LeavingNotice):
            self._on_leaving_notice(ids.InstanceId(message.instance))
        elif isinstance(message, gossip_messages.ReachabilityNotice):
            self._on_reachability_notice(
                ids.DaemonId(message.sender), message.is_cut_off
            )
        elif isinstance(message, gossip_messages.HangNotice):
            self._on_hang_notice(ids.ServerId(message.server), False)
        elif isinstance(message, gossip_messages.HangSuspicion):
            self._on_hang_notice(ids.ServerId(message.server), True)
        elif isinstance(message, gossip_messages.AllowanceMessage):
            self._on_allowance_message(message)
        else:
            self._on_permit_message(message)

    def error_received(self, exc: Exception) -> None:
        """Logs that the port of a peer is closed; the peer will expire."""
        _log.debug("datagram refused", extra={"error": repr(exc)})

    def _run_round(self) -> None:
        self._round_number += 1
        now = boot_clock.now()
        expired = self._member_list.remove_expired(now)
        for name in expired:
            _log.info("peer daemon expired", extra={"daemon": name})
        if expired:
            self.transfers.drop_dead_peers()
        self._contact_seeds()
        include_remote = self._round_number % REMOTE_HEARTBEAT_ROUNDS == 0
        self._send_heartbeats(include_remote=include_remote)
        if not self._member_list.is_leader(now):
            return
        if (
            self._round_number % LOCAL_MEMBER_LIST_ROUNDS == 0
            and not self._queued_datagrams
        ):
            members = self._member_list.list_members(now, local_only=False)
            self._send_member_list(
                members, self._member_list.peers_with_other_digest()
            )
        if self._round_number % REMOTE_MEMBER_LIST_ROUNDS == 0:
            members = self._member_list.list_members(now, local_only=True)
            self._send_member_list(
                members, self._member_list.remote_leaders(now)
            )

    def _contact_remote_leaders(self) -> None:
        """Sends a heartbeat to the other leaders if this daemon is a new one.

        They announce the changes that this daemon lacks in return.
        """
        is_leader = self._member_list.is_leader(boot_clock.now())
        if is_leader and not self._was_leader:
            self._send_all(
                self._make_heartbeat(),
                self._member_list.remote_leaders(boot_clock.now()),
            )
        self._was_leader = is_leader

    def _contact_seeds(self) -> None:
        is_only_local_daemon = not any(
            True for _ in self._member_list.local_peers()
        )
        if self._round_number > SEED_CONTACT_ROUNDS and (
            not is_only_local_daemon
            or self._round_number % LONE_SEED_CONTACT_ROUNDS
        ):
            return
        data = gossip_messages.encode(self._make_heartbeat())
        for address in self._live_settings.current.seeds:
            ip = address.rpartition(":")[0]
            if ip != self._initial_settings.ip:
                self._send(data, ip)

    def _send_heartbeats(self, *, include_remote: bool) -> None:
        self._announced_revision = self._platform_state.replica.revision
        heartbeat = self._make_heartbeat()
        # A daemon that reads the store in place of the leader sends heartbeats
        # to its whole data centre; otherwise each other daemon would read too.
        is_leader = self._member_list.is_leader(boot_clock.now())
        if not is_leader and not self._is_reading_store():
            self._send_all(
                heartbeat,
                self._member_list.highest_ranked_peers(
                    HEARTBEAT_RECIPIENT_COUNT
                ),
            )
            return
        self._send_all(heartbeat, self._member_list.local_peers())
        if include_remote:
            self._send_all(
                heartbeat, self._member_list.remote_leaders(boot_clock.now())
            )

    def _make_heartbeat(self) -> gossip_messages.Heartbeat:
        position = self._platform_state.replica.revision
        era = positions.era_of(position)
        configuration_position = self._platform_state.configuration_revision
        configuration_revision = 0
        if positions.era_of(configuration_position) == era:
            configuration_revision = positions.revision_of(
                configuration_position
            )
        digest = 0
        if self._is_reading_store():
            digest = self._platform_state.replica.digest
        return gossip_messages.Heartbeat(
            self._initial_settings.name,
            self._initial_settings.ip,
            self._initial_settings.data_centre,
            positions.revision_of(position),
            gossip_messages.encode_age(self._platform_state.age_seconds()),
            self._can_read_store(),
            self._is_stopping,
            self._member_list.digest(),
            configuration_revision,
            self._member_list.link_mbps,
            self._is_receiving(),
            era,
            digest,
            self._platform_state.kept_version,
        )

    def _make_leaving_notice(
        self, instance: ids.InstanceId
    ) -> gossip_messages.LeavingNotice:
        return gossip_messages.LeavingNotice(
            self._initial_settings.name, instance
        )

    def _send_member_list(
        self,
        members: list[gossip_messages.Member],
        peers: list[fleet_members.Peer],
    ) -> None:
        datagrams: list[tuple[bytes, str]] = []
        for count, encode, receivers in (
            (
                MEMBERS_PER_DEFLATED_DATAGRAM,
                gossip_messages.encode_deflated,
                [peer for peer in peers if peer.can_inflate],
            ),
            (
                MEMBERS_PER_DATAGRAM,
                gossip_messages.encode,
                [peer for peer in peers if not peer.can_inflate],
            ),
        ):
            if not receivers:
                continue
            for start in range(0, len(members), count):
                page = members[start : start + count]
                data = encode(
                    gossip_messages.MemberListPage(
                        self._initial_settings.name,
                        page,
                        self._member_list.link_widths(page),
                    )
                )
                datagrams.extend((data, peer.ip) for peer in receivers)
        if not self._queued_datagrams:
            self._loop.call_soon(self._send_queued_datagrams)
        self._queued_datagrams.extend(datagrams)

    def _send_queued_datagrams(self) -> None:
        """Sends a batch of the queued datagrams and schedules the next one."""
        for _ in range(
            min(MEMBER_LIST_BATCH_DATAGRAMS, len(self._queued_datagrams))
        ):
            data, ip = self._queued_datagrams.popleft()
            self._send(data, ip)
        if self._queued_datagrams:
            self._loop.call_later(
                MEMBER_LIST_BATCH_INTERVAL_SECONDS, self._send_queued_datagrams
            )

    def _send_repeatedly(self, message: gossip_messages.Datagram) -> None:
        """Sends a message to all peers several times, as some may be lost."""
        for delay in NOTICE_SEND_DELAYS_SECONDS:
            self._loop.call_later(
                delay, self._send_all, message, list(self._member_list.peers())
            )

    def _send_all(
        self,
        message: gossip_messages.Datagram,
        peers: Iterable[fleet_members.Peer],
    ) -> None:
        data = gossip_messages.encode(message)
        for peer in peers:
            self._send(data, peer.ip)

    def _send(self, data: bytes, ip: str) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.sendto(data, (ip, self._initial_settings.gossip_port))

    def _handle_heartbeat(self, heartbeat: gossip_messages.Heartbeat) -> None:
        now = boot_clock.now()
        name = ids.DaemonId(heartbeat.name)
        known = self._member_list.find(name)
        # A restarted daemon has lost its replica.
        has_restarted = (
            known is not None and heartbeat.position < known.revision
        )
        is_new = self._member_list.handle_heartbeat(heartbeat, now)
        sender = self._member_list.find(name)
        matching_peers = [] if sender is None else [sender]
        if is_new:
            _log.info(
                "peer daemon discovered", extra={"daemon": heartbeat.name}
            )
            # A daemon that has just started only has the seeds as peers.
            members = self._member_list.list_members(now, local_only=False)
            self._send_member_list(members, matching_peers)
            self._send_all(self._make_heartbeat(), matching_peers)
        if is_new or has_restarted:
            # Only daemons know of them until the store lists them as draining.
            for instance in self._leaving_servers():
                self._send_all(
                    self._make_leaving_notice(instance), matching_peers
                )
        self._platform_state.record_announced_configuration(
            heartbeat.configuration_position, heartbeat.kept_version
        )
        position = heartbeat.position
        self.transfers.handle_announcement(heartbeat.ip, position)
        own_position = self._platform_state.replica.revision
        if position > own_position:
            return
        if (
            position < own_position
            and heartbeat.data_centre != self._initial_settings.data_centre
            and self._member_list.is_leader(now)
        ):
            self._send_all(self._make_heartbeat(), matching_peers)
        if positions.era_of(position) != positions.era_of(own_position):
            # The peer has not seen that the platform was restored.
            return
        if (
            position == own_position
            and heartbeat.kept_version
            > self._platform_state.catalogue.configuration_version
        ):
            self.transfers.replace_replica(heartbeat.ip)
            return
        if (
            position == own_position
            and heartbeat.digest not in (0, self._platform_state.replica.digest)
            and not self._is_reading_store()
        ):
            self.transfers.replace_replica(heartbeat.ip)
            return
        if heartbeat.revision and heartbeat.age_ms < gossip_messages.MAX_AGE_MS:
            self._confirm_freshness(heartbeat.age_ms, now)

    def _confirm_freshness(self, age_ms: int, now: float) -> None:
        """Confirms the replica by that of a peer, which is not newer."""
        as_of = now - age_ms / 1000 - MAX_HEARTBEAT_DELIVERY_SECONDS
        empty_delta = items.Delta(
            (), self._platform_state.replica.revision, False
        )
        self._platform_state.apply_delta(empty_delta, as_of, "peer")

    def _handle_crash_notice(self, notice: gossip_messages.CrashNotice) -> None:
        key = (notice.sender, notice.notice_number)
        if key in self._handled_notices:
            return
        self._handled_notices[key] = None
        while len(self._handled_notices) > MAX_REMEMBERED_NOTICES:
            self._handled_notices.popitem(last=False)
        times = None
        if notice.sent_ms_ago is not None and notice.crashed_ms_ago is not None:
            now = boot_clock.now()
            times = quarantine.CrashTimes(
                now - notice.sent_ms_ago / 1000,
                now - notice.crashed_ms_ago / 1000,
            )
        self._on_crash_notice(
            ids.Fingerprint(notice.fingerprint), notice.crash_count, times
        )
