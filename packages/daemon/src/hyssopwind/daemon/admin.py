"""The HTTP server for operators: readiness, metrics, status, explanations."""

import collections
import dataclasses
import time
import typing
from collections.abc import Callable
from typing import Any

import msgspec
import prometheus_client
from aiohttp import web

from hyssopwind.core import ids
from hyssopwind.core import left_out
from hyssopwind.core.callers import caller_account
from hyssopwind.core.node import node
from hyssopwind.core.settings import snapshot
from hyssopwind.daemon import caller_protocol
from hyssopwind.daemon import metrics
from hyssopwind.daemon.gateway import accepting
from hyssopwind.daemon.gateway import caller_resources
from hyssopwind.daemon.gateway import listening

CLOSE_TIMEOUT_SECONDS = 2.0  # for answers that are not written
MAX_LISTED = 100  # parts that were left out


class Admin:
    """Serves the endpoints for operators on the admin address."""

    def __init__(
        self,
        daemon_node: node.Node,
        counters: metrics.Metrics,
        left_out_parts: left_out.LeftOutParts,
        is_ready: Callable[[], bool],
        resources: caller_resources.CallerResources,
    ):
        self._node = daemon_node
        self._counters = counters
        self._left_out_parts = left_out_parts
        self._is_ready = is_ready
        self._resources = resources
        self._counted_refusals: collections.Counter[str] = collections.Counter()
        self._handlers = {
            "/live": self._live,
            "/ready": self._ready,
            "/metrics": self._metrics,
            "/status": self._status,
            "/explain": self._explain,
        }
        self._acceptor: accepting.Acceptor | None = None
        self._server: caller_protocol.CallerServer | None = None

    async def start(self, address: str) -> None:
        """Listens for operators."""
        self._server = caller_protocol.CallerServer(
            self._handle, self._resources
        )
        self._acceptor = accepting.Acceptor(
            caller_account.Listener.ADMIN,
            listening.listen(address),
            self._resources,
            self._server.make_receiver,
        )
        self._acceptor.start()

    async def close(self) -> None:
        """Closes all connections."""
        if self._acceptor is not None:
            self._acceptor.close()
        if self._server is not None:
            self._server.pre_shutdown()
            await self._server.shutdown(CLOSE_TIMEOUT_SECONDS)

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        """Answers a request at once, as none needs its body."""
        connection = typing.cast(
            caller_protocol.CallerProtocol, request.protocol
        )
        connection.start_request()
        handler = self._handlers.get(request.path)
        if handler is None:
            response = _json({"error": "not found"}, 404)
        elif request.method not in ("GET", "HEAD"):
            response = _json({"error": "method not allowed"}, 405)
            response.headers["Allow"] = "GET, HEAD"
        else:
            response = await handler(request)
        if not request.content.is_eof():
            response.force_close()
        return response

    async def _live(self, request: web.BaseRequest) -> web.Response:
        return web.json_response({"live": True})

    async def _ready(self, request: web.BaseRequest) -> web.Response:
        is_ready = self._is_ready()
        return web.json_response(
            {"ready": is_ready}, status=200 if is_ready else 503
        )

    async def _metrics(self, request: web.BaseRequest) -> web.Response:
        self._update_gauges()
        text = prometheus_client.generate_latest(self._counters.registry)
        return web.Response(
            body=text, headers={"Content-Type": "text/plain; version=0.0.4"}
        )

    async def _status(self, request: web.BaseRequest) -> web.Response:
        return _json(self._describe_daemon())

    async def _explain(self, request: web.BaseRequest) -> web.Response:
        name = ids.ServiceId(request.query.get("service", ""))
        settings = self._node.configuration.document_store.snapshot
        service = settings.services.get(name)
        if service is None:
            services = sorted(settings.services)
            return _json({"error": "no such service", "known": services}, 404)
        return _json(self._explain_service(service))

    def _describe_daemon(self) -> dict[str, Any]:
        now = time.monotonic()
        membership = self._node.membership
        return {
            "daemon": self._node.identity.daemon,
            "start": self._node.identity.start_id,
            "data_centre": membership.data_centre,
            "phase": membership.phase.value,
            "ready": self._is_ready(),
            "teams": self._describe_teams(),
            "peers": [
                {
                    "daemon": peer.sender.daemon,
                    "phase": peer.heartbeat.phase.value,
                    "data_centre": peer.heartbeat.data_centre,
                    "heard_seconds_ago": round(now - peer.last_heartbeat_at, 3),
                }
                for peer in membership.live_peers(now)
            ],
            "owned_pools": sorted(self._node.pools.pool_owners),
            "key_partitions": len(self._node.keys.held_partitions(now)),
            "key_records": len(self._node.keys.key_record_store),
            "machines_revision": self._node.pools.vm_list.revision,
            "unreadable_machines": [
                str(f)
                for f in self._node.pools.vm_list.record_findings[:MAX_LISTED]
            ],
            "left_out": self._left_out_parts.describe()[:MAX_LISTED],
            "left_out_counts": {
                source.value: count
                for source, count in self._left_out_parts.counts.items()
            },
            "stale_listings": self._node.configuration.stale_listing_count,
            "breaches": {
                invariant.name.lower(): count
                for invariant, count in self._node.monitor.breaches.items()
            },
        }

    def _describe_teams(self) -> list[dict[str, Any]]:
        descriptions = []
        for team, state in sorted(
            self._node.configuration.document_store.teams.items()
        ):
            active = state.in_force
            descriptions.append(
                {
                    "team": team,
                    "revision": state.latest.revision,
                    "revision_in_force": active.revision if active else None,
                    "findings": [str(f) for f in state.findings],
                    "data_centres": _describe_data_centres(state.settings),
                }
            )
        return descriptions

    def _explain_service(self, service: snapshot.Service) -> dict[str, Any]:
        now = time.monotonic()
        pools = []
        for data_centre in service.settings.load:
            pool = ids.pool_id(service.id, ids.DataCentreId(data_centre))
            description: dict[str, Any] = {
                "pool": pool,
                "state": service.data_centre_state(data_centre).value,
                "listed": self._describe_listed_servers(pool),
            }
            owner = self._node.pools.pool_owners.get(pool)
            if owner is not None:
                description["owned_here"] = True
                description["open"] = owner.is_open(now)
                description["queue"] = owner.queue_length
                description["servers"] = [
                    dataclasses.asdict(explanation)
                    for explanation in owner.explain(now)
                ]
            client = self._node.pools.pool_clients.get(pool)
            if client is not None:
                description["in_flight_here"] = client.in_flight
            pools.append(description)
        return {"service": service.id, "pools": pools}

    def _describe_listed_servers(
        self, pool: ids.PoolId
    ) -> list[dict[str, str]]:
        return [
            {"server": server, "state": record.state.value}
            for server, record in self._node.pools.vm_list.servers.items()
            if record.pool == pool
        ]

    def _update_gauges(self) -> None:
        now = time.monotonic()
        counters = self._counters
        for (
            team,
            state,
        ) in self._node.configuration.document_store.teams.items():
            counters.settings_revision.labels(team).set(state.latest.revision)
            counters.settings_findings.labels(team).set(len(state.findings))
        for source, count in self._left_out_parts.counts.items():
            counters.left_out_parts.labels(source.value).set(count)
        counters.stale_listings.set(
            self._node.configuration.stale_listing_count
        )
        counters.key_records.set(len(self._node.keys.key_record_store))
        counters.key_partitions.set(len(self._node.keys.held_partitions(now)))
        counters.owned_pools.set(len(self._node.pools.pool_owners))
        counters.live_peers.set(len(self._node.membership.live_peers(now)))
        counters.ready.set(self._is_ready())
        account = self._resources.account
        counters.caller_bytes.set(account.held_bytes)
        counters.caller_connections.set(account.connection_count)
        counters.caller_requests.set(account.running_count)
        for reason, count in self._resources.refusal_counts.items():
            counters.caller_refusals.labels(reason).inc(
                count - self._counted_refusals[reason]
            )
            self._counted_refusals[reason] = count


def _describe_data_centres(settings: Any) -> dict[str, str]:
    if settings is None:
        return {}
    return {name: dc.state.value for name, dc in settings.data_centres.items()}


def _json(value: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )
