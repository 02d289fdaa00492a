"""The store comes back from a copy; a later configuration is never applied."""

import asyncio
import pathlib
import sys
import time

from standins import rig
from standins import store

SERVICES = ["ledger-old", "ledger-new", "lookbook"]
STORM_GAP_SECONDS = 0.33
AWAY_SECONDS = 1.0
# `config_apply_s`, and `max_skew_s` by which an unstable store may stretch it.
BOUND_SECONDS = 2.0 + 5.0
CALLS_SECONDS = 8.0


def make_configuration(version: int, ledger: str, timeout: float) -> dict:
    return rig.configuration(
        version,
        [
            rig.route("deposit", "/deposit/", ledger, kind="unsafe"),
            rig.route("look", "/look/", "lookbook", timeout_s=timeout),
        ],
        SERVICES,
    )


async def main(
    record: rig.Record, folder: pathlib.Path, has_trouble: bool
) -> list[str]:
    used: set[str] = set()
    ips = [rig.choose_ip(used) for _ in range(3)]
    platform = store.Store()
    await platform.start(ips[0])
    servers, tasks = await rig.start_servers(platform, SERVICES, 2, ips[0], record)
    platform.put("op/config", make_configuration(1, "ledger-old", 3.0))
    seeds = [f"{ip}:8649" for ip in ips[1:]]
    gateways = [
        rig.Gateway(f"front-north-{n}", ip, platform.address, seeds, folder, record)
        for n, ip in enumerate(ips[1:], start=1)
    ]
    caller = rig.Caller(record)
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_until_ready()
        await asyncio.sleep(5.0)
        for gateway in gateways:
            await caller.send(gateway.front, "POST", "/deposit/1", b"100")
        if not all(answer[3] == 200 for answer in caller.answers):
            raise rig.CannotRunError("a request before the disruption failed")

        copied_at = time.monotonic()
        copy = platform.copy()
        record.note(f"store: revision {platform.revision}; the copy is of now")
        await asyncio.sleep(2.0)
        # Configurations in quick succession; only a timeout changes.
        for version in (2, 3, 5, 6):
            revision = platform.put(
                "op/config",
                make_configuration(version, "ledger-old", 3.0 + version / 10),
            )
            record.note(f"store: version {version} confirmed, revision {revision}")
            await asyncio.sleep(STORM_GAP_SECONDS)
        newest = make_configuration(6, "ledger-old", 3.6)
        await asyncio.sleep(0.5)
        if has_trouble:
            platform.go_away()
            record.note("store: away")
            await asyncio.sleep(AWAY_SECONDS)
            platform.come_back(copy)
            record.note(
                f"store: back from a copy {time.monotonic() - copied_at:.1f} s"
                f" old, revision {platform.revision}, era {platform.era}"
            )
            # The operator writes again what the store has lost.
            revision = platform.put("op/config", newest)
            record.note(f"store: version 6 written again, revision {revision}")
            for each in servers:
                platform.put(f"servers/{each.name}", each.entry("north", rig.BORN_MS))
            record.note(f"store: servers written again, revision {platform.revision}")
        await asyncio.sleep(0.5)

        calls_before = sum(platform.calls.values())
        revision = platform.put("op/config", make_configuration(8, "ledger-new", 3.6))
        confirmed_at = time.monotonic()
        record.note(
            f"store: version 8 confirmed, revision {revision}:"
            " /deposit/ moves to ledger-new"
        )
        await asyncio.sleep(BOUND_SECONDS + 0.5)
        ends_at = time.monotonic() + CALLS_SECONDS
        while time.monotonic() < ends_at:
            for gateway in gateways:
                await caller.send(gateway.front, "POST", "/deposit/2", b"100")
            await asyncio.sleep(0.2)
        seconds = time.monotonic() - confirmed_at
        record.note(
            f"store calls in the last {seconds:.1f} s:"
            f" {sum(platform.calls.values()) - calls_before}; all: {platform.calls}"
        )
    finally:
        for task in tasks:
            task.cancel()
        for gateway in gateways:
            await gateway.end()

    late = {
        request_id: sent_at
        for sent_at, request_id, _, _, _ in caller.answers
        if sent_at > confirmed_at + BOUND_SECONDS
    }
    old_runs = [
        run for each in servers if each.service == "ledger-old"
        for run in each.runs if run[1] in late
    ]
    new_runs = [
        run for each in servers if each.service == "ledger-new"
        for run in each.runs if run[1] in late
    ]
    record.note(
        f"requests sent later than {BOUND_SECONDS} s after the"
        f" confirmation: {len(late)}; run by the old service: {len(old_runs)},"
        f" by the new one: {len(new_runs)}"
    )
    if not old_runs:
        return []
    return [
        f"CONFIG: {len(old_runs)} of {len(late)} requests ran at the old service"
        f" up to {max(late[run[1]] for run in old_runs) - confirmed_at:.1f} s after"
        " the confirmation"
    ]


if __name__ == "__main__":
    sys.exit(rig.run_case(main, pathlib.Path(__file__).resolve().parent))
