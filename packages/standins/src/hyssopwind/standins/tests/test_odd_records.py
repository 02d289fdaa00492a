"""Records of other writers that cannot be read, beside real daemons.

Such a record must cost itself only. Daemons that met one ended by themselves,
also after a restart, or no longer followed the list that it was in.
"""

import asyncio
import json
import pathlib
import tempfile
import unittest

import aiohttp

from hyssopwind.standins import process_fleet
from hyssopwind.standins import processes
from hyssopwind.standins.fuzzing import running

RUNS_ALONE = True  # real processes, sockets and times

DEPTH = 1_500
FUZZING_SEED = 5
# Daemons ended within 2 s of such a record.
SETTLE_SECONDS = 2.5
CALL_COUNT = 60
PATH = "/team/search/a"
SERVICE = process_fleet.ServicePlan(
    "team", "search", servers_per_data_centre=1, mean_work_seconds=0.001
)
PLAN = process_fleet.FleetPlan(
    ("milwaukee", "chicago", "detroit"),
    (SERVICE,),
    balancer_delay_ms=50,
    stop_grace_ms=2_000,
)
SERVER = {"kind": "server", "service": "team/search", "data_centre": "chicago"}
ENTRY = {"kind": "entry", "data_centre": "chicago"}
NESTED = "[" * DEPTH
VM_RECORDS = {
    "nested": '{"a":' * DEPTH,
    "nested and closed": '{"a":' * DEPTH + "1" + "}" * DEPTH,
    "nested beside valid fields": json.dumps(
        {**SERVER, "address": "127.0.0.1:1"}
    )[:-1]
    + ',"x":'
    + NESTED
    + "]" * DEPTH
    + "}",
    "number too large": '{"kind":1' + "0" * 5_000 + "}",
    "lone surrogate": '{"kind":"server","service":"\\ud800"}',
    "server without address": json.dumps({**SERVER, "address": ""}),
    "server without port": json.dumps({**SERVER, "address": "127.0.0.1"}),
    "server with a port out of range": json.dumps(
        {**SERVER, "address": "127.0.0.1:70000"}
    ),
    "server with a negative port": json.dumps(
        {**SERVER, "address": "127.0.0.1:-1"}
    ),
    "server with a name for an address": json.dumps(
        {**SERVER, "address": "\u00e9.example:80"}
    ),
    "entry VM without addresses": json.dumps(
        {**ENTRY, "peers": "", "callers": ""}
    ),
    "entry VM with a port out of range": json.dumps(
        {**ENTRY, "peers": "127.0.0.1:70000", "callers": "127.0.0.1:1"}
    ),
    "entry VM with a name for an address": json.dumps(
        {**ENTRY, "peers": "*:*", "callers": "\x00"}
    ),
}
TEAM_DOCUMENTS = {
    "nested arrays": f"a = {NESTED}",
    "nested inline tables": "a = " + "{a=" * DEPTH,
    "key of many parts": "a." * 20_000 + "a = 1",
    "size too large": '[services.x]\nroute = "/x"\nmax_answer = "'
    + "9" * 400
    + 'MB"\n[services.x.load]\n[data_centres.chicago]\n',
    "number too large": "a = 1" + "0" * 5_000,
    "infinite number": "[services.x]\nretries = { ratio = inf }",
    "NUL": "a = 1\x00",
}


class OddRecordTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        group = self.enterContext(
            processes.process_group(pathlib.Path(directory.name))
        )
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=5.0)
        )
        self.addAsyncCleanup(self.session.close)
        self.fleet = process_fleet.Fleet(
            PLAN, group, pathlib.Path(directory.name), self.session
        )
        await self.fleet.start()

    def ended_daemons(self):
        return [
            name
            for name in self.fleet.daemons
            if self.fleet.group.has_ended(name)
        ]

    async def count_statuses(self):
        """Returns how often each status was the answer to a safe request."""
        statuses = {}
        daemons = list(self.fleet.daemons.values())
        for number in range(CALL_COUNT):
            daemon = daemons[number % len(daemons)]
            url = f"http://{daemon.callers_address}{PATH}"
            try:
                async with self.session.get(url) as response:
                    status = response.status
            except (aiohttp.ClientError, TimeoutError) as error:
                status = type(error).__name__
            statuses[status] = statuses.get(status, 0) + 1
        return statuses

    async def check_fleet(self):
        await asyncio.sleep(SETTLE_SECONDS)
        self.assertEqual(self.ended_daemons(), [])
        self.assertEqual(await self.count_statuses(), {200: CALL_COUNT})

    async def check_list_is_followed(self):
        """A VM that is listed after the odd record is known everywhere."""
        record = {**SERVER, "service": "team/other", "address": "127.0.0.1:1"}
        url = self.fleet.vm_list_url
        await self.fleet.put(url, "/vms/later", json.dumps(record))
        revision = await self.machines_revision()
        await asyncio.sleep(0.5)
        for name in self.fleet.daemons:
            status = await self.fleet.read_status(name)
            self.assertGreaterEqual(status["machines_revision"], revision)

    async def machines_revision(self):
        body = {"key": "L3Ztcy8=", "range_end": "L3Ztcy0="}
        url = f"{self.fleet.vm_list_url}/v3/kv/range"
        async with self.session.post(url, json=body) as response:
            return int((await response.json())["header"]["revision"])

    async def check_restart(self):
        """A daemon that meets the record when it starts becomes ready."""
        name = next(iter(self.fleet.daemons))
        self.fleet.group.kill(name)
        self.fleet.start_daemon(name)
        await self.fleet.wait_until_ready(name)
        await self.check_fleet()

    async def test_odd_vm_record_costs_itself_only(self):
        for name, record in VM_RECORDS.items():
            with self.subTest(name):
                url = self.fleet.vm_list_url
                await self.fleet.put(url, "/vms/odd", record)
                await self.check_fleet()
                await self.fleet.put(url, "/vms/odd", None)
        await self.check_list_is_followed()

    async def test_daemon_starts_beside_all_odd_vm_records(self):
        for number, record in enumerate(VM_RECORDS.values()):
            await self.fleet.put(
                self.fleet.vm_list_url, f"/vms/odd-{number}", record
            )
        await self.check_restart()
        await self.check_list_is_followed()
        status = await self.fleet.read_status(next(iter(self.fleet.daemons)))
        # One entry VM has a valid address that nobody listens at.
        self.assertGreaterEqual(
            len(status["unreadable_machines"]), len(VM_RECORDS) - 1
        )

    async def test_odd_record_is_logged_once_and_shown(self):
        record = VM_RECORDS["nested"]
        url = self.fleet.vm_list_url
        for _ in range(3):
            await self.fleet.put(url, "/vms/odd", record)
        await asyncio.sleep(0.5)
        for name in self.fleet.daemons:
            log = self.fleet.group.read_log(name)
            self.assertEqual(log.count("VM record left out"), 1)
            status = await self.fleet.read_status(name)
            self.assertIn("vm-record odd: ", status["left_out"][0])
            self.assertEqual(status["left_out_counts"]["vm-record"], 1)

    # The default action of the signal ended the daemon.
    async def test_hangup_ends_no_daemon(self):
        for name in self.fleet.daemons:
            self.fleet.group.hang_up(name)
        await self.check_fleet()

    async def test_mutated_records_and_documents_end_no_daemon(self):
        vm_records = running.collect_inputs("VM list", FUZZING_SEED, 150)
        for number, record in enumerate(vm_records):
            text = record.decode("utf-8", errors="replace")
            url = self.fleet.vm_list_url
            await self.fleet.put(url, f"/vms/mutated-{number % 40}", text)
        documents = running.collect_inputs(
            "settings of a team", FUZZING_SEED, 100
        )
        for number, document in enumerate(documents):
            key = f"/hyssopwind/teams/odd-{number % 20}/settings.toml"
            await self.fleet.put(self.fleet.configuration_url, key, document)
        await self.check_fleet()
        await self.check_list_is_followed()
        await self.check_restart()

    async def test_odd_team_document_costs_itself_only(self):
        url = self.fleet.configuration_url
        for name, document in TEAM_DOCUMENTS.items():
            with self.subTest(name):
                # The version before stays in force.
                for team in ("team", "odd"):
                    key = f"/hyssopwind/teams/{team}/settings.toml"
                    await self.fleet.put(url, key, document)
                await self.check_fleet()
        await self.check_list_is_followed()
        # A team without a readable version has none in force.
        await self.fleet.publish_settings()
        await self.check_restart()


if __name__ == "__main__":
    unittest.main()
