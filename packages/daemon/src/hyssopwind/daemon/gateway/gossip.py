"""Messages between daemons: heartbeats, rosters, notices, and pulls.

A heartbeat says which revision of the platform its sender holds and how old
that is. Whoever holds an earlier one pulls the changes over HTTP. The leader
of a data centre sends heartbeats to all members and to the other leaders,
members send theirs to the first in rank, so that the number of messages
grows with the fleet and few of them cross between data centres.
"""

import asyncio
import collections
import typing
from collections.abc import Callable
from collections.abc import Iterable

import logbook
import msgspec

from hyssopwind.core import ids
from hyssopwind.core.discovery import items
from hyssopwind.core.dispatch import settings
from hyssopwind.core.fleet import messages
from hyssopwind.core.fleet import roster
from hyssopwind.daemon.gateway import knowledge
from hyssopwind.transport import clock
from hyssopwind.transport import connection
from hyssopwind.transport import pool

MEMBERS_PER_DATAGRAM = 20  # about 1,000 bytes, so that none is fragmented
LEADERS_TOLD = 2  # daemons first in rank that members send heartbeats to
FAR_BEATS = 2  # heartbeat intervals between two to other data centres
NEAR_ROSTERS = 2  # heartbeat intervals between two rosters to members
FAR_ROSTERS = 10  # the same to the leaders elsewhere
# Datagrams of rosters sent at a time, and seconds between two times: 180 KB/s,
# a third of the narrowest link of 5 Mbit/s, whose queue a burst would overflow.
ROSTER_BATCH = 10
ROSTER_PACE = 0.05
SEED_BEATS = 6  # heartbeat intervals after the start with calls to seeds
LONE_BEATS = 4  # intervals between two calls to seeds without any peer
PULL_TIMEOUT = 0.5  # seconds; a pull takes milliseconds
PULL_ROUND_TRIP = 0.01  # seconds by which a message may have aged on its way
NOTICE_REPEATS = (0.0, 0.2, 0.8)  # seconds; datagrams may be lost
MAX_NOTICES = 1_000  # numbers of notices remembered

_log = logbook.Logger("fleet")


class Gossip(asyncio.DatagramProtocol):
    """The exchange of one daemon with the others."""

    def __init__(
        self,
        live: settings.LiveSettings,
        fleet: roster.FleetRoster,
        known: knowledge.Knowledge,
        reads: Callable[[], bool],
        is_reading: Callable[[], bool],
        take_notice: Callable[[ids.Fingerprint, int], None],
    ):
        self._live = live
        options = live.current
        self._options = options
        self._fleet = fleet
        self._known = known
        self._reads = reads
        self._is_reading = is_reading
        self._take_notice = take_notice
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._pool = pool.ConnectionPool()
        self._control_port = options.peers_address.rpartition(":")[2]
        self._round = 0
        self._sent_revision = 0
        self._leaving = False
        self._pulls: dict[str, asyncio.Task[None]] = {}
        self._rosters: collections.deque[tuple[bytes, str]] = (
            collections.deque()
        )
        self._notices: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._number = 0

    async def start(self) -> None:
        """Opens the socket for datagrams."""
        await self._loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(self._options.ip, self._options.gossip_port),
        )

    async def run(self) -> None:
        """Sends heartbeats until it is cancelled."""
        while True:
            self._tick()
            await asyncio.sleep(roster.BEAT_INTERVAL)

    def stop(self) -> None:
        """Closes the sockets."""
        if self._transport is not None:
            self._transport.close()
        self._pool.close()

    def leave(self) -> None:
        """Tells the others that this daemon is about to stop."""
        self._leaving = True
        self._fleet.leave()
        self._send_all(self._beat(), self._fleet.near())

    def spread_change(self) -> None:
        """Tells the others at once that this copy has moved on."""
        if self._known.copy.revision > self._sent_revision:
            self._send_beats(include_far=True)

    def spread_crash(self, fingerprint: ids.Fingerprint, crashes: int) -> None:
        """Tells all others that servers crashed on a request."""
        self._number += 1
        notice = messages.CrashNotice(
            self._options.name, fingerprint, crashes, self._number
        )
        for delay in NOTICE_REPEATS:
            self._loop.call_later(
                delay, self._send_all, notice, list(self._fleet.peers())
            )

    def changes_after(self, revision: int) -> bytes:
        """Returns what a peer with a copy at `revision` lacks, encoded."""
        delta = self._known.copy.delta_since(revision)
        return messages.encode_delta(delta, self._age_ms())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the socket."""
        # uvloop's transports are no subclasses of those of asyncio.
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: "tuple[str | object, int]"
    ) -> None:
        """Takes a message of another daemon."""
        try:
            message = messages.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            _log.warn("datagram left aside", extra={"error": str(error)})
            return
        if isinstance(message, messages.Beat):
            self._take_beat(message)
        elif isinstance(message, messages.Roster):
            self._fleet.take_roster(message, clock.now())
        else:
            self._take_crash(message)

    def error_received(self, exc: Exception) -> None:
        """Notes that a peer's port is closed; its silence tells the rest."""
        _log.debug("datagram refused", extra={"error": repr(exc)})

    def _tick(self) -> None:
        self._round += 1
        now = clock.now()
        for name in self._fleet.expire(now):
            _log.info("daemon lost", extra={"daemon": name})
        self._call_seeds()
        far = self._round % FAR_BEATS == 0
        self._send_beats(include_far=far)
        if not self._fleet.is_leader(now):
            return
        if self._round % NEAR_ROSTERS == 0 and not self._rosters:
            members = self._fleet.list_members(now, near_only=False)
            self._send_roster(members, self._fleet.differing())
        if self._round % FAR_ROSTERS == 0:
            members = self._fleet.list_members(now, near_only=True)
            self._send_roster(members, self._fleet.far_leaders())

    def _call_seeds(self) -> None:
        is_alone = not any(True for _ in self._fleet.near())
        if self._round > SEED_BEATS and (
            not is_alone or self._round % LONE_BEATS
        ):
            return
        data = messages.encode(self._beat())
        for address in self._live.current.seeds:
            ip = address.rpartition(":")[0]
            if ip != self._options.ip:
                self._send(data, ip)

    def _send_beats(self, *, include_far: bool) -> None:
        self._sent_revision = self._known.copy.revision
        beat = self._beat()
        # All of the data centre must hear from a daemon that reads in place of
        # the leader, or each of them would take its place.
        is_leader = self._fleet.is_leader(clock.now())
        if not is_leader and not self._is_reading():
            self._send_all(beat, self._fleet.leaders(LEADERS_TOLD))
            return
        self._send_all(beat, self._fleet.near())
        if include_far:
            self._send_all(beat, self._fleet.far_leaders())

    def _beat(self) -> messages.Beat:
        return messages.Beat(
            self._options.name,
            self._options.ip,
            self._options.data_centre,
            self._known.copy.revision,
            self._age_ms(),
            self._reads(),
            self._leaving,
            self._fleet.digest(),
        )

    def _age_ms(self) -> int:
        age = self._known.age()
        if age * 1000 >= messages.MAX_AGE_MS:
            return messages.MAX_AGE_MS
        return round(age * 1000)

    def _send_roster(
        self, members: list[messages.Member], peers: list[roster.Peer]
    ) -> None:
        waiting: list[tuple[bytes, str]] = []
        for start in range(0, len(members), MEMBERS_PER_DATAGRAM):
            part = members[start : start + MEMBERS_PER_DATAGRAM]
            data = messages.encode(messages.Roster(self._options.name, part))
            waiting.extend((data, peer.ip) for peer in peers)
        if not self._rosters:
            self._loop.call_soon(self._send_queued)
        self._rosters.extend(waiting)

    def _send_queued(self) -> None:
        """Sends some of the queued datagrams, and the others later."""
        for _ in range(min(ROSTER_BATCH, len(self._rosters))):
            data, ip = self._rosters.popleft()
            self._send(data, ip)
        if self._rosters:
            self._loop.call_later(ROSTER_PACE, self._send_queued)

    def _send_all(
        self, message: messages.Datagram, peers: Iterable[roster.Peer]
    ) -> None:
        data = messages.encode(message)
        for peer in peers:
            self._send(data, peer.ip)

    def _send(self, data: bytes, ip: str) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.sendto(data, (ip, self._options.gossip_port))

    def _take_beat(self, beat: messages.Beat) -> None:
        now = clock.now()
        if self._fleet.take_beat(beat, now):
            _log.info("daemon found", extra={"daemon": beat.name})
            # A daemon that starts knows nobody but the seeds.
            members = self._fleet.list_members(now, near_only=False)
            peer = [p for p in self._fleet.peers() if p.name == beat.name]
            self._send_roster(members, peer)
            self._send_all(self._beat(), peer)
        if beat.revision > self._known.copy.revision:
            self._start_pull(beat.ip)
            return
        if beat.revision and beat.age_ms < messages.MAX_AGE_MS:
            self._confirm(beat.age_ms, now)

    def _confirm(self, age_ms: int, now: float) -> None:
        """Takes a peer's word for how fresh an equal or older copy is."""
        as_of = now - age_ms / 1000 - PULL_ROUND_TRIP
        empty = items.Delta((), self._known.copy.revision, False)
        self._known.take(empty, as_of, "peer")

    def _start_pull(self, ip: str) -> None:
        if ip in self._pulls:
            return
        task = self._loop.create_task(self._pull(ip))
        self._pulls[ip] = task
        task.add_done_callback(lambda _: self._pulls.pop(ip, None))

    async def _pull(self, ip: str) -> None:
        asked = clock.now()
        address = f"{ip}:{self._control_port}"
        target = f"/changes?after={self._known.copy.revision}"
        try:
            answer = await self._pool.get(address, target, PULL_TIMEOUT)
            delta, age_ms = messages.decode_delta(answer.body)
        except (connection.ExchangeError, msgspec.DecodeError) as error:
            _log.warn("pull failed", extra={"peer": ip, "error": str(error)})
            return
        as_of = asked - age_ms / 1000
        self._known.take(delta, as_of, f"peer {ip}")

    def _take_crash(self, notice: messages.CrashNotice) -> None:
        key = (notice.sender, notice.number)
        if key in self._notices:
            return
        self._notices[key] = None
        while len(self._notices) > MAX_NOTICES:
            self._notices.popitem(last=False)
        self._take_notice(ids.Fingerprint(notice.fingerprint), notice.crashes)
