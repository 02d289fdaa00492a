"""Renders the replies of daemons as text for operators."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from hyssopwind.core import decoding
from hyssopwind.operator import admin_client


def render_replies(
    replies: Iterable[admin_client.Reply],
    render: Callable[[admin_client.Reply], Iterator[str]],
) -> Iterator[str]:
    """Yields the lines about all daemons.

    A reply without the expected values, such as that of another release, costs
    no other one.
    """
    for reply in replies:
        try:
            yield from decoding.apply(_render_lines, render, reply)
        except decoding.DecodeError as error:
            yield f"{reply.address}: unreadable answer: {error}"


def _render_lines(
    render: Callable[[admin_client.Reply], Iterator[str]],
    reply: admin_client.Reply,
) -> list[str]:
    return list(render(reply))


def render_status(reply: admin_client.Reply) -> Iterator[str]:
    """Yields the lines about one daemon."""
    if reply.error:
        yield f"{reply.address}: {reply.error}"
        return
    status = reply.content
    ready = "ready" if status["ready"] else "not ready"
    yield (
        f"{reply.address}: {status['daemon']} in {status['data_centre']}, "
        f"{status['phase']}, {ready}"
    )
    yield (
        f"  live peers: {len(status['peers'])}; "
        f"pools owned: {len(status['owned_pools'])}; "
        f"key partitions: {status['key_partitions']}; "
        f"keys stored: {status['key_records']}"
    )
    for team in status["teams"]:
        yield from _render_team(team)
    for finding in status["unreadable_machines"]:
        yield f"  VM record {finding}"
    for part in status.get("left_out", ()):
        yield f"  left out: {part}"
    for source, count in status.get("left_out_counts", {}).items():
        yield f"  left out so far, {source}: {count}"
    for invariant, count in status["breaches"].items():
        yield f"  breaches of {invariant}: {count}"


def _render_team(team: dict[str, Any]) -> Iterator[str]:
    in_force = team["revision_in_force"]
    line = f"  team {team['team']}: revision {in_force} in force"
    if in_force != team["revision"]:
        line += f", revision {team['revision']} refused"
    yield line
    states = [f"{name} {state}" for name, state in team["data_centres"].items()]
    yield f"    data centres: {', '.join(states) or 'none'}"
    for finding in team["findings"]:
        yield f"    {finding}"


def render_explanation(reply: admin_client.Reply) -> Iterator[str]:
    """Yields the lines of one daemon about the servers of a service."""
    if reply.error:
        yield f"{reply.address}: {reply.error}"
        return
    for pool in reply.content["pools"]:
        owned = "owned here" if pool.get("owned_here") else "owned elsewhere"
        yield f"{reply.address}: pool {pool['pool']}: {pool['state']}, {owned}"
        if "servers" in pool:
            state = "open" if pool["open"] else "tight"
            yield f"  {state}, {pool['queue']} requests waiting"
        leaving_servers = {
            listed_server["server"]
            for listed_server in pool["listed"]
            if listed_server["state"] == "leaving"
        }
        for server in sorted(leaving_servers):
            yield f"  {server}: not used: leaving in the list of VMs"
        for server in pool.get("servers", []):
            yield f"  {_explain_server(server, pool['state'])}"


def _explain_server(server: dict[str, Any], state: str) -> str:
    name = server["server"]
    load = f"{server['in_flight']} of {server['limit']} requests"
    if state == "out":
        return f"{name}: not used: the data centre is out ({load})"
    if not server["usable"]:
        return f"{name}: not used: failing or draining ({load})"
    if server["cold"]:
        return f"{name}: used by grant only: cold start ({load})"
    latency = server["latency"] * 1000
    return f"{name}: used ({load}, {latency:.1f} ms per answer)"
