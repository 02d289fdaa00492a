"""The component of a node that uses pools and owns some of them."""

import dataclasses
import random
from collections.abc import Callable
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.membership import vm_records
from hyssopwind.core.node import context
from hyssopwind.core.node import events
from hyssopwind.core.node import key_component
from hyssopwind.core.pools import clients
from hyssopwind.core.pools import owners
from hyssopwind.core.pools import probe_rate
from hyssopwind.core.pools import server_load
from hyssopwind.core.settings import snapshot

PoolClientFactory: TypeAlias = Callable[
    [ids.PoolId, ids.DaemonId, random.Random], clients.PoolClient
]


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A load probe that may be sent now.

    Attributes:
        pool: the pool of the server.
        server: the server.
        address: the address of the server.
    """

    pool: ids.PoolId
    server: ids.ServerId
    address: str


class PoolComponent:
    """Holds a client for each used pool and an owner for each owned one."""

    def __init__(
        self,
        node_context: context.NodeContext,
        keys: key_component.KeyComponent,
        make_pool_client: PoolClientFactory = clients.PoolClient,
    ):
        self._make_pool_client = make_pool_client
        self._context = node_context
        self._keys = keys
        self._settings = snapshot.Snapshot([])
        self._vm_list = vm_records.EMPTY_VM_LIST
        self._daemons: tuple[ids.DaemonId, ...] = ()
        self._pool_clients: dict[ids.PoolId, clients.PoolClient] = {}
        self._pool_owners: dict[ids.PoolId, owners.PoolOwner] = {}
        self._probe_limiters: dict[ids.PoolId, probe_rate.ProbeRateLimiter] = {}
        self._live_servers: dict[ids.PoolId, frozenset[ids.ServerId]] = {}
        self._owner_ids: dict[ids.PoolId, ids.DaemonId | None] = {}

    @property
    def pool_clients(self) -> dict[ids.PoolId, clients.PoolClient]:
        """The pool clients by their pools."""
        return self._pool_clients

    @property
    def pool_owners(self) -> dict[ids.PoolId, owners.PoolOwner]:
        """The pool owners by their pools."""
        return self._pool_owners

    @property
    def vm_list(self) -> vm_records.VmList:
        """The VM list in force."""
        return self._vm_list

    def apply_settings(self, settings: snapshot.Snapshot, now: float) -> None:
        """Applies changed settings."""
        self._settings = settings
        for pool, pool_owner in self._pool_owners.items():
            service = settings.services.get(ids.pool_service(pool))
            if service is not None:
                pool_owner.apply_service_settings(service, now)
        self.update_owners(now)

    def apply_vm_list(self, vm_list: vm_records.VmList, now: float) -> None:
        """Applies a VM list unless it is older than the list in force."""
        if vm_list.revision < self._vm_list.revision:
            return
        self._vm_list = vm_list
        self._daemons = tuple(sorted(vm_list.entry_vms))
        self._context.membership.set_entry_vms(vm_list.entry_vms)
        live_servers: dict[ids.PoolId, set[ids.ServerId]] = {}
        for server, record in vm_list.servers.items():
            if record.state is vm_records.VmState.LIVE:
                live_servers.setdefault(record.pool, set()).add(server)
        self._live_servers = {
            pool: frozenset(servers) for pool, servers in live_servers.items()
        }
        self.update_owners(now)

    def client_for_pool(
        self, pool: ids.PoolId, now: float
    ) -> clients.PoolClient:
        """Returns the client of a pool; creates it on first use."""
        existing_client = self._pool_clients.get(pool)
        if existing_client is not None:
            return existing_client
        new_client = self._make_pool_client(
            pool, self._context.identity.daemon, self._context.random_source
        )
        self._pool_clients[pool] = new_client
        self._configure_pool_client(new_client, now)
        return new_client

    def expected_waits(
        self, service: snapshot.Service, now: float
    ) -> dict[ids.DataCentreId, float]:
        """Returns the expected wait, in seconds, in each data centre.

        A data centre whose pool has no client yet is left out.
        """
        waits = {}
        for name in service.settings.load:
            data_centre = ids.DataCentreId(name)
            pool_client = self._pool_clients.get(
                ids.pool_id(service.id, data_centre)
            )
            if pool_client is not None:
                waits[data_centre] = pool_client.expected_wait(now)
        return waits

    def is_server_usable(self, pool: ids.PoolId, server: ids.ServerId) -> bool:
        """Returns whether a server is listed as live for a pool."""
        return server in self._live_servers.get(pool, frozenset())

    def find_address(self, server: ids.ServerId) -> str | None:
        """Returns the address of a server, or `None` if it is not listed."""
        record = self._vm_list.servers.get(server)
        return record.address if record else None

    def update_owners(self, now: float) -> None:
        """Recomputes pool owners from membership, settings and the VM list."""
        self._owner_ids.clear()
        own_id = self._context.identity.daemon
        owned = set()
        for pool in self._declared_pools():
            if self._owner_id(pool, now) == own_id:
                owned.add(pool)
        for pool in self._pool_owners.keys() - owned:
            del self._pool_owners[pool]
            self._probe_limiters.pop(pool, None)
        for pool in sorted(owned):
            self._configure_pool_owner(pool, now)
        self._keys.set_requested_pools(
            frozenset(f"pool/{pool}" for pool in owned)
        )
        self.refresh_pool_clients(now)

    def refresh_pool_clients(self, now: float) -> None:
        """Sets servers and owner of each client; restores a dropped owner."""
        for pool_client in self._pool_clients.values():
            self._configure_pool_client(pool_client, now)

    def is_idle(self) -> bool:
        """Returns whether no request is queued, in flight or unreported."""
        if any(
            pool_owner.queue_length for pool_owner in self._pool_owners.values()
        ):
            return False
        return all(
            pool_client.is_idle for pool_client in self._pool_clients.values()
        )

    def tick(self, now: float) -> None:
        """Sends the load updates and summaries that are due."""
        for pool, pool_owner in self._pool_owners.items():
            is_lease_held = self._holds_lease(pool, now)
            self._context.send_all(pool_owner.tick(now, is_lease_held))
            self._context.send_all(pool_owner.due_summaries(now))
        for pool, pool_client in self._pool_clients.items():
            load_update = pool_client.due_load_update(now)
            if load_update is not None:
                self._send_to_owner(pool, load_update, now)

    def send_load_update(self, pool: ids.PoolId, now: float) -> bool:
        """Reports changed counts to the owner at once if the pool is not open.

        Other requests may then wait for the slot that a finished request freed.

        Returns:
            Whether a load update was sent.
        """
        load_update = self._pool_clients[pool].urgent_load_update(now)
        if load_update is None:
            return False
        self._send_to_owner(pool, load_update, now)
        return True

    def request_admission(
        self, admission_request: messages.AdmissionRequest, now: float
    ) -> None:
        """Sends an admission request to the owner of its pool."""
        self._send_to_owner(
            admission_request.load_update.pool, admission_request, now
        )

    def cancel_admission(
        self, pool: ids.PoolId, admission_id: int, now: float
    ) -> None:
        """Cancels an admission request and notifies the owner of the pool."""
        cancellation = self._pool_clients[pool].cancel_admission(admission_id)
        self._send_to_owner(pool, cancellation, now)

    def handle_load_update(
        self,
        sender: messages.DaemonIdentity,
        load_update: messages.LoadUpdate,
        now: float,
    ) -> None:
        """Handles a load update from a daemon."""
        pool_owner = self._pool_owners.get(load_update.pool)
        if pool_owner is not None:
            self._context.send_all(
                pool_owner.handle_load_update(sender, load_update, now)
            )

    def handle_admission_request(
        self,
        sender: messages.DaemonIdentity,
        admission_request: messages.AdmissionRequest,
        now: float,
    ) -> None:
        """Handles an admission request from a daemon."""
        pool = admission_request.load_update.pool
        pool_owner = self._pool_owners.get(pool)
        if pool_owner is None:
            refusal = messages.Refusal(
                pool=pool,
                admission_id=admission_request.admission_id,
                cause=messages.RefusalCause.NOT_OWNER,
                retry_after_seconds=0.0,
            )
            self._context.send(sender.daemon, refusal)
            return
        is_lease_held = self._holds_lease(pool, now)
        self._context.send_all(
            pool_owner.handle_admission_request(
                sender, admission_request, now, is_lease_held
            )
        )

    def handle_cancellation(
        self,
        sender: messages.DaemonIdentity,
        cancellation: messages.Cancellation,
    ) -> None:
        """Handles the cancellation of an admission request."""
        pool_owner = self._pool_owners.get(cancellation.pool)
        if pool_owner is not None:
            pool_owner.cancel_admission(sender, cancellation.admission_id)

    def handle_grant(
        self, sender: messages.DaemonIdentity, grant: messages.Grant, now: float
    ) -> None:
        """Handles a grant from the owner of a pool."""
        pool_client = self._pool_clients.get(grant.pool)
        if pool_client is None:
            return
        server = pool_client.handle_grant(sender, grant, now)
        if server is None:
            self.send_load_update(grant.pool, now)
            return
        self._context.emit(
            events.Granted(grant.pool, grant.admission_id, server)
        )

    def handle_refusal(
        self, sender: messages.DaemonIdentity, refusal: messages.Refusal
    ) -> None:
        """Handles a refusal from the owner of a pool."""
        pool_client = self._pool_clients.get(refusal.pool)
        if pool_client is None or not pool_client.handle_refusal(refusal):
            return
        self._context.emit(
            events.Refused(
                refusal.pool,
                refusal.admission_id,
                refusal.cause,
                refusal.retry_after_seconds,
            )
        )

    def handle_summary(
        self,
        sender: messages.DaemonIdentity,
        summary: messages.Summary,
        now: float,
    ) -> None:
        """Handles a summary from the owner of a pool."""
        pool_client = self._pool_clients.get(summary.pool)
        if pool_client is not None:
            pool_client.handle_summary(sender, summary, now)

    def due_probes(self, now: float) -> list[Probe]:
        """Returns the load probes to send now; each one uses up budget."""
        probes = []
        for pool, pool_owner in self._pool_owners.items():
            if not self._holds_lease(pool, now):
                self._probe_limiters.pop(pool, None)
                continue
            limiter = self._probe_limiter(pool, now)
            for server in pool_owner.servers:
                address = self.find_address(server)
                if address is None or not limiter.try_acquire(server, now):
                    continue
                probes.append(Probe(pool, server, address))
        return probes

    def handle_load_report(
        self,
        probe: Probe,
        report: server_load.LoadReport,
        now: float,
    ) -> None:
        """Handles the result of a load probe."""
        pool_owner = self._pool_owners.get(probe.pool)
        if pool_owner is not None:
            pool_owner.handle_load_report(probe.server, report, now)

    def expire_summaries(self) -> None:
        """Expires the summaries, since a process pause may outdate them."""
        for pool_client in self._pool_clients.values():
            pool_client.expire_summary()

    def _declared_pools(self) -> list[ids.PoolId]:
        pools = []
        for service in self._settings.services.values():
            for name in service.settings.load:
                data_centre = ids.DataCentreId(name)
                pools.append(ids.pool_id(service.id, data_centre))
        return pools

    def _owner_id(self, pool: ids.PoolId, now: float) -> ids.DaemonId | None:
        if pool not in self._owner_ids:
            self._owner_ids[pool] = self._context.membership.owner_of(
                pool, now, ids.pool_data_centre(pool)
            )
        return self._owner_ids[pool]

    def _owner_sender(
        self, pool: ids.PoolId, now: float
    ) -> messages.DaemonIdentity | None:
        owner_id = self._owner_id(pool, now)
        if owner_id is None:
            return None
        if owner_id == self._context.identity.daemon:
            return self._context.identity
        peer = self._context.membership.find_peer(owner_id)
        return peer.sender if peer else None

    def _configure_pool_client(
        self, pool_client: clients.PoolClient, now: float
    ) -> None:
        pool = pool_client.pool
        servers = self._live_servers.get(pool, frozenset())
        pool_client.set_servers(servers, self._daemons)
        pool_client.set_owner(self._owner_sender(pool, now))

    def _configure_pool_owner(self, pool: ids.PoolId, now: float) -> None:
        current_owner = self._pool_owners.get(pool)
        if current_owner is None:
            service = self._settings.services[ids.pool_service(pool)]
            current_owner = owners.PoolOwner(
                pool, service, self._context.monitor, now
            )
            pool_client = self._pool_clients.get(pool)
            if pool_client is not None:
                current_owner.inherit_warm_servers(pool_client.warm_servers())
            self._pool_owners[pool] = current_owner
        current_owner.set_servers(self._live_servers.get(pool, frozenset()))

    def _holds_lease(self, pool: ids.PoolId, now: float) -> bool:
        return self._keys.lease_holder.is_held(f"pool/{pool}", now)

    def _probe_limiter(
        self, pool: ids.PoolId, now: float
    ) -> probe_rate.ProbeRateLimiter:
        service = self._settings.services[ids.pool_service(pool)]
        rate = service.settings.measuring.budget
        limiter = self._probe_limiters.get(pool)
        if limiter is None:
            limiter = probe_rate.ProbeRateLimiter(rate, self._context.monitor)
            self._probe_limiters[pool] = limiter
        limiter.set_rate(rate)
        return limiter

    def _send_to_owner(
        self, pool: ids.PoolId, message: messages.AnyMessage, now: float
    ) -> None:
        owner_id = self._owner_id(pool, now)
        if owner_id is not None:
            self._context.send(owner_id, message)
