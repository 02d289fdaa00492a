"""The part of a node that uses pools and owns some of them."""

import dataclasses
import random
from collections.abc import Callable
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.membership import machines
from hyssopwind.core.node import context
from hyssopwind.core.node import events
from hyssopwind.core.node import owning
from hyssopwind.core.pools import measuring
from hyssopwind.core.pools import member
from hyssopwind.core.pools import owner
from hyssopwind.core.pools import server_load
from hyssopwind.core.settings import snapshot

MemberFactory: TypeAlias = Callable[
    [ids.PoolId, ids.DaemonId, random.Random], member.PoolMember
]


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A load probe that may leave now."""

    pool: ids.PoolId
    server: ids.ServerId
    address: str


class PoolingPart:
    """Keeps a member for each used pool and an owner for each owned one."""

    def __init__(
        self,
        shared: context.Context,
        keys: owning.OwningPart,
        make_member: MemberFactory = member.PoolMember,
    ):
        self._make_member = make_member
        self._shared = shared
        self._keys = keys
        self._settings = snapshot.Snapshot([])
        self._machines = machines.EMPTY_LIST
        self._daemons: tuple[ids.DaemonId, ...] = ()
        self._members: dict[ids.PoolId, member.PoolMember] = {}
        self._owners: dict[ids.PoolId, owner.PoolOwner] = {}
        self._meters: dict[ids.PoolId, measuring.ProbeMeter] = {}
        self._servers: dict[ids.PoolId, frozenset[ids.ServerId]] = {}
        self._owner_ids: dict[ids.PoolId, ids.DaemonId | None] = {}

    @property
    def members(self) -> dict[ids.PoolId, member.PoolMember]:
        """The members by their pools."""
        return self._members

    @property
    def owners(self) -> dict[ids.PoolId, owner.PoolOwner]:
        """The owned pools."""
        return self._owners

    @property
    def machine_list(self) -> machines.MachineList:
        """The list of VMs in use."""
        return self._machines

    def take_settings(self, settings: snapshot.Snapshot, now: float) -> None:
        """Takes other settings in force."""
        self._settings = settings
        for pool, pool_owner in self._owners.items():
            service = settings.services.get(ids.pool_service(pool))
            if service is not None:
                pool_owner.configure(service, now)
        self.update_owners(now)

    def take_machines(self, listing: machines.MachineList, now: float) -> None:
        """Takes a list of VMs; a list that is older than the last is not."""
        if listing.revision < self._machines.revision:
            return
        self._machines = listing
        self._daemons = tuple(sorted(listing.entries))
        self._shared.members.set_listed(listing.entries)
        servers: dict[ids.PoolId, set[ids.ServerId]] = {}
        for server, record in listing.servers.items():
            if record.state is machines.MachineState.LIVE:
                servers.setdefault(record.pool, set()).add(server)
        self._servers = {pool: frozenset(s) for pool, s in servers.items()}
        self.update_owners(now)

    def member_of(self, pool: ids.PoolId, now: float) -> member.PoolMember:
        """Returns the member of a pool, made on first use."""
        existing = self._members.get(pool)
        if existing is not None:
            return existing
        created = self._make_member(
            pool, self._shared.sender.daemon, self._shared.generator
        )
        self._members[pool] = created
        self._equip_member(created, now)
        return created

    def expected_waits(
        self, service: snapshot.Service, now: float
    ) -> dict[ids.DataCentreId, float]:
        """Returns the expected wait in each data centre of a service."""
        waits = {}
        for name in service.settings.load:
            data_centre = ids.DataCentreId(name)
            known = self._members.get(ids.pool_id(service.id, data_centre))
            if known is not None:
                waits[data_centre] = known.expected_wait(now)
        return waits

    def is_server_usable(self, pool: ids.PoolId, server: ids.ServerId) -> bool:
        """Whether a server is listed for a pool and not leaving."""
        return server in self._servers.get(pool, frozenset())

    def find_address(self, server: ids.ServerId) -> str | None:
        """Returns the address of a server, or `None` where it is not listed."""
        record = self._machines.servers.get(server)
        return record.address if record else None

    def update_owners(self, now: float) -> None:
        """Takes changes of membership, settings and the list of VMs."""
        self._owner_ids.clear()
        own = self._shared.sender.daemon
        owned = set()
        for pool in self._declared_pools():
            if self._owner_id(pool, now) == own:
                owned.add(pool)
        for pool in self._owners.keys() - owned:
            del self._owners[pool]
            self._meters.pop(pool, None)
        for pool in sorted(owned):
            self._equip_owner(pool, now)
        self._keys.want_pools(frozenset(f"pool/{pool}" for pool in owned))
        self.refresh_members(now)

    def refresh_members(self, now: float) -> None:
        """Tells members their owners, also one that they dropped."""
        for pool_member in self._members.values():
            self._equip_member(pool_member, now)

    def is_idle(self) -> bool:
        """Whether no pool needs a tick soon."""
        if any(pool_owner.queue_length for pool_owner in self._owners.values()):
            return False
        return all(known.is_idle for known in self._members.values())

    def tick(self, now: float) -> None:
        """Sends tells and summaries that are due."""
        for pool, pool_owner in self._owners.items():
            held = self._holds(pool, now)
            self._shared.send_all(pool_owner.tick(now, held))
            self._shared.send_all(pool_owner.summaries(now))
        for pool, pool_member in self._members.items():
            tell = pool_member.tell(now)
            if tell is not None:
                self._send_to_owner(pool, tell, now)

    def tell_at_once(self, pool: ids.PoolId, now: float) -> bool:
        """Tells the owner of a finished request where it waits for that."""
        tell = self._members[pool].tell_at_once(now)
        if tell is None:
            return False
        self._send_to_owner(pool, tell, now)
        return True

    def ask(self, ask: messages.Ask, now: float) -> None:
        """Sends a request for a slot to the owner."""
        self._send_to_owner(ask.tell.pool, ask, now)

    def withdraw(self, pool: ids.PoolId, ask: int, now: float) -> None:
        """Gives up a request for a slot."""
        withdrawal = self._members[pool].withdraw(ask)
        self._send_to_owner(pool, withdrawal, now)

    def take_tell(
        self, sender: messages.Sender, tell: messages.Tell, now: float
    ) -> None:
        """Takes the counts of a daemon."""
        pool_owner = self._owners.get(tell.pool)
        if pool_owner is not None:
            self._shared.send_all(pool_owner.take_tell(sender, tell, now))

    def take_ask(
        self, sender: messages.Sender, ask: messages.Ask, now: float
    ) -> None:
        """Takes a request for a slot."""
        pool = ask.tell.pool
        pool_owner = self._owners.get(pool)
        if pool_owner is None:
            refusal = messages.Refusal(
                pool=pool,
                ask=ask.ask,
                cause=messages.RefusalCause.NOT_OWNER,
                retry_after=0.0,
            )
            self._shared.send(sender.daemon, refusal)
            return
        held = self._holds(pool, now)
        self._shared.send_all(pool_owner.take_ask(sender, ask, now, held))

    def take_withdrawal(
        self, sender: messages.Sender, withdrawal: messages.Withdrawal
    ) -> None:
        """Forgets a request for a slot."""
        pool_owner = self._owners.get(withdrawal.pool)
        if pool_owner is not None:
            pool_owner.withdraw(sender, withdrawal.ask)

    def take_grant(
        self, sender: messages.Sender, grant: messages.Grant, now: float
    ) -> None:
        """Takes a granted slot."""
        pool_member = self._members.get(grant.pool)
        if pool_member is None:
            return
        server = pool_member.take_grant(sender, grant, now)
        if server is None:
            self.tell_at_once(grant.pool, now)
            return
        self._shared.emit(events.Granted(grant.pool, grant.ask, server))

    def take_refusal(
        self, sender: messages.Sender, refusal: messages.Refusal
    ) -> None:
        """Takes a refusal."""
        pool_member = self._members.get(refusal.pool)
        if pool_member is None or not pool_member.take_refusal(refusal):
            return
        self._shared.emit(
            events.Refused(
                refusal.pool,
                refusal.ask,
                refusal.cause,
                refusal.retry_after,
            )
        )

    def take_summary(
        self, sender: messages.Sender, summary: messages.Summary, now: float
    ) -> None:
        """Takes the state of a pool."""
        pool_member = self._members.get(summary.pool)
        if pool_member is not None:
            pool_member.take_summary(sender, summary, now)

    def probes_due(self, now: float) -> list[Probe]:
        """Returns the load probes that may leave now; each is counted."""
        due = []
        for pool, pool_owner in self._owners.items():
            if not self._holds(pool, now):
                self._meters.pop(pool, None)
                continue
            meter = self._meter(pool, now)
            for server in pool_owner.servers:
                address = self.find_address(server)
                if address is None or not meter.allow(server, now):
                    continue
                due.append(Probe(pool, server, address))
        return due

    def take_report(
        self,
        probe: Probe,
        report: server_load.LoadReport,
        now: float,
    ) -> None:
        """Takes the result of a load probe."""
        pool_owner = self._owners.get(probe.pool)
        if pool_owner is not None:
            pool_owner.take_report(probe.server, report, now)

    def forget_summaries(self) -> None:
        """Drops what may be outdated after a pause of the process."""
        for pool_member in self._members.values():
            pool_member.forget_summary()

    def _declared_pools(self) -> list[ids.PoolId]:
        pools = []
        for service in self._settings.services.values():
            for name in service.settings.load:
                data_centre = ids.DataCentreId(name)
                pools.append(ids.pool_id(service.id, data_centre))
        return pools

    def _owner_id(self, pool: ids.PoolId, now: float) -> ids.DaemonId | None:
        if pool not in self._owner_ids:
            self._owner_ids[pool] = self._shared.members.owner_of(
                pool, now, ids.pool_data_centre(pool)
            )
        return self._owner_ids[pool]

    def _owner_sender(
        self, pool: ids.PoolId, now: float
    ) -> messages.Sender | None:
        owner_id = self._owner_id(pool, now)
        if owner_id is None:
            return None
        if owner_id == self._shared.sender.daemon:
            return self._shared.sender
        peer = self._shared.members.last_heard(owner_id)
        return peer.sender if peer else None

    def _equip_member(self, pool_member: member.PoolMember, now: float) -> None:
        pool = pool_member.pool
        servers = self._servers.get(pool, frozenset())
        pool_member.set_servers(servers, self._daemons)
        pool_member.set_owner(self._owner_sender(pool, now))

    def _equip_owner(self, pool: ids.PoolId, now: float) -> None:
        pool_owner = self._owners.get(pool)
        if pool_owner is None:
            service = self._settings.services[ids.pool_service(pool)]
            pool_owner = owner.PoolOwner(
                pool, service, self._shared.monitor, now
            )
            known = self._members.get(pool)
            if known is not None:
                pool_owner.inherit(known.warm_servers())
            self._owners[pool] = pool_owner
        pool_owner.set_servers(self._servers.get(pool, frozenset()))

    def _holds(self, pool: ids.PoolId, now: float) -> bool:
        return self._keys.holder.holds(f"pool/{pool}", now)

    def _meter(self, pool: ids.PoolId, now: float) -> measuring.ProbeMeter:
        service = self._settings.services[ids.pool_service(pool)]
        rate = service.settings.measuring.budget
        meter = self._meters.get(pool)
        if meter is None:
            meter = measuring.ProbeMeter(rate, self._shared.monitor)
            self._meters[pool] = meter
        meter.set_rate(rate)
        return meter

    def _send_to_owner(
        self, pool: ids.PoolId, message: messages.AnyMessage, now: float
    ) -> None:
        owner_id = self._owner_id(pool, now)
        if owner_id is not None:
            self._shared.send(owner_id, message)
