"""Builders of the documents that the platform publishes."""

from collections.abc import Sequence
from typing import Any

HOST = "calls.example"


def render_settings(
    *,
    store_address: str,
    ports: list[int],
    name: str = "front-1",
    ip: str = "127.0.0.1",
    seed_address: str = "",
    grace_seconds: float = 4.0,
    zone: str = "north",
    link_mbps: float = 1_000.0,
    memory_mb: int = 300,
    max_fds: int = 0,
) -> str:
    """Returns the settings file that the platform writes for a daemon.

    Args:
        store_address: address of the store.
        ports: ports for callers, readiness, peers and gossip.
        name: name of the daemon.
        ip: address of its VM.
        seed_address: peer address of another daemon; none if empty.
        grace_seconds: time between SIGTERM and SIGKILL.
        zone: zone of its VM.
        link_mbps: width of the link of its VM in Mbit/s.
        memory_mb: memory of its VM in units of 1,000,000 bytes.
        max_fds: descriptors that it may open; not stated if 0.
    """
    callers_port, ready_port, peers_port, gossip_port = ports
    seeds = f'"{seed_address}"' if seed_address else ""
    descriptors = f"max_fds = {max_fds}" if max_fds else ""
    return f"""
node_name = "{name}"
role = "gateway"
ip = "{ip}"
zone = "{zone}"
region = "home"
internal_port_range = [{gossip_port},{gossip_port}]
seeds = [{seeds}]
bootstrap = false
unknown_key = 1
[zones]
{zone} = "home"
[listen]
front = "{ip}:{callers_port}"
ready = "{ip}:{ready_port}"
control = "{ip}:{peers_port}"
[limits]
memory_mb = {memory_mb}
link_mbps = {link_mbps:g}
{descriptors}
[bounds]
grace_s = {grace_seconds:g}
drain_s = 2
retry_budget_ratio = 0.2
[platform]
address = "{store_address}"
reads_per_s = 2000
"""


def make_server_entry(address: str, **changes: Any) -> dict[str, Any]:
    """Returns the entry of a server in the store.

    Args:
        address: address of the server.
        changes: values that replace those of the status or the info part.
    """
    info = {"service": "s", "version": "v1", "zone": "north", "slots": 4}
    status = {"state": "ready", "sequence": 1, "warmup_left_s": 0}
    for key, value in changes.items():
        (status if key in status else info)[key] = value
    return {"address": address, "info": info, "status": status, "born": 1}


def make_route_resource(
    name: str, prefix: str, **changes: Any
) -> dict[str, Any]:
    """Returns a route resource; `changes` replace values of its spec."""
    spec = {
        "host": HOST,
        "prefix": prefix,
        "kind": "safe",
        "timeout_s": 1.0,
        "target_latency_s": 0.5,
        "priority": 1,
        "service": "s",
        "max_attempts": 2,
    }
    return {
        "resource_kind": "routes",
        "metadata": {"name": name},
        "spec": {**spec, **changes},
    }


def make_tenant_resource(
    name: str, keys: Sequence[str], **changes: Any
) -> dict[str, Any]:
    """Returns a tenant resource; `changes` are added to its spec."""
    return {
        "resource_kind": "tenants",
        "metadata": {"name": name},
        "spec": {"api_keys": list(keys), **changes},
    }


def make_configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: Sequence[str] = ("s",),
    **limits: Any,
) -> dict[str, Any]:
    """Returns a configuration.

    Args:
        version: version of the configuration.
        routes: its route resources.
        services: names of its services.
        limits: values that replace those of the limits resource.
    """
    service_resources = [
        {
            "resource_kind": "services",
            "metadata": {"name": name},
            "spec": {
                "health_path": "/health",
                "max_connections": 200,
                "warmup_s": 3.0,
                "warmup_per_s": 3.4,
            },
        }
        for name in services
    ]
    limits_resource = {
        "resource_kind": "limits",
        "metadata": {},
        "spec": {
            "max_header_bytes": 2_000,
            "max_body_bytes": 10_000,
            "header_timeout_s": 0.5,
            "idle_timeout_s": 2,
            **limits,
        },
    }
    return {
        "version": version,
        "resources": [*routes, *service_resources, limits_resource],
    }
