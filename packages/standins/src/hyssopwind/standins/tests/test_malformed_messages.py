"""Malformed messages of peers, servers and the store reach a daemon."""

import asyncio
import json
import random

import msgspec

from hyssopwind.core.fleet import gossip_messages
from hyssopwind.standins.site import documents
from hyssopwind.standins.tests import site_gateway_case

RUNS_ALONE = True  # real sockets and times

HUGE = 2**62
FUZZED_MESSAGES = 3_000


def draw_value(random_source):
    return random_source.choice(
        [
            0,
            -1,
            HUGE,
            -HUGE,
            0.5,
            float("nan"),
            float("inf"),
            "",
            "x",
            "not an address",
            "\ud7ff" * 3,
            "127.0.0.1",
            "front-1",
            "s",
            "i-0@1",
            None,
            True,
            [],
            {},
            [["i-0@1", float("nan")]],
            [["i-0@1", -1.0]],
            [["x", "not an address", "north", -HUGE]],
            [["x", "127.0.0.1", "north", HUGE]],
            [["i-0@1", float("inf"), 0, -1, ["probe"]]],
            [["i-0@1", 1.0, -HUGE, HUGE, ["probe", "x"]]],
            {"i-0@1": -HUGE},
        ]
    )


class MalformedMessageTest(site_gateway_case.GatewayTestCase):
    """One malformed message ends the process or stops one of its tasks."""

    def receive(self, data):
        self.daemon._gossip.datagram_received(data, ("127.0.0.1", 1))

    async def check_serves(self):
        self.assertFalse(self.daemon_task.done())
        self.assertFalse(self.daemon._stop_event.is_set())
        status, _, _ = await self.call("/safe/a")
        self.assertEqual(status, 200)

    # A heartbeat round sent to the address and failed, which stopped the
    # daemon.
    async def test_member_with_an_invalid_address_does_not_stop_the_daemon(
        self,
    ):
        members = [
            gossip_messages.Member("x", "not an address", "north", 0),
            gossip_messages.Member("y", "", "south", -HUGE),
            gossip_messages.Member("z", "999.1.1.1", "south", 0),
        ]
        page = gossip_messages.MemberListPage("x", members)
        self.receive(gossip_messages.encode(page))
        heartbeat = gossip_messages.Heartbeat(
            "w", "no", "north", HUGE, -HUGE, True, False, HUGE
        )
        self.receive(gossip_messages.encode(heartbeat))
        await asyncio.sleep(2.5)
        await self.check_serves()
        self.assertGreaterEqual(self.daemon._gossip._round_number, 3)

    async def test_random_messages_do_not_stop_the_daemon(self):
        random_source = random.Random(4)
        kinds = {"b": 8, "r": 2, "c": 4, "w": 2, "n": 4, "l": 4, "p": 6, "g": 6}
        for _ in range(FUZZED_MESSAGES):
            tag, count = random_source.choice(list(kinds.items()))
            values = [draw_value(random_source) for _ in range(count)]
            data = msgspec.msgpack.encode([tag, *values])
            if random_source.random() < 0.1:
                data = data[: random_source.randrange(len(data))]
            self.receive(data)
        await asyncio.sleep(2.5)
        await self.check_serves()
        self.assertGreaterEqual(self.daemon._gossip._round_number, 3)

    async def test_random_items_of_the_store_do_not_stop_the_daemon(self):
        random_source = random.Random(5)
        entry = documents.make_server_entry("127.0.0.1:1")
        configuration = documents.make_configuration(0, self.routes)
        for number in range(150):
            document = json.loads(
                json.dumps(random_source.choice([entry, configuration]))
            )
            target = document
            while isinstance(target, dict) and target:
                key = random_source.choice(list(target))
                if random_source.random() < 0.5:
                    target[key] = draw_value(random_source)
                    break
                target = target[key]
            key = "op/config" if "version" in document else f"servers/f{number}"
            data = json.dumps(document).encode()
            await self.store.put(key, data)
        for number in range(150):
            await self.store.remove(f"servers/f{number}")
        await self.store.put("op/evacuate/", b"\xff")
        await self.configure(10_000, self.routes)
        catalogue = self.daemon._platform_state.catalogue
        await self.wait_until(lambda: catalogue.configuration_version == 10_000)
        await self.check_serves()

    # The daemon went on without a task that had failed, or stopped.
    async def test_failed_background_task_starts_again(self):
        gossip = self.daemon._gossip
        run_round = gossip._run_round
        failures = []

        def fail_once():
            if not failures:
                failures.append(1)
                raise RuntimeError("unexpected")
            run_round()

        gossip._run_round = fail_once
        round_number = gossip._round_number
        await self.wait_until(lambda: gossip._round_number > round_number + 1)
        await self.check_serves()


class UnreadableEntryTest(site_gateway_case.GatewayTestCase):
    """An entry that cannot be read comes together with other changes.

    The changes behind it were lost for good, as the replica had their revision
    and they were not delivered again.
    """

    async def check_version_behind(self, value):
        catalogue = self.daemon._platform_state.catalogue
        # Changes that are written while the reader pauses come together.
        await self.store.put("servers/other", {})
        await self.store.put("servers/broken", value)
        await self.configure(2, self.routes)
        await self.wait_until(lambda: catalogue.configuration_version == 2)
        await self.check_serves()

    async def check_serves(self):
        self.assertFalse(self.daemon._stop_event.is_set())
        self.assertEqual((await self.call("/safe/a"))[0], 200)

    async def test_version_behind_a_deeply_nested_entry_is_in_force(self):
        await self.check_version_behind(b'{"a":' * 1_500)

    async def test_version_behind_an_entry_that_fails_is_in_force(self):
        catalogue = self.daemon._platform_state.catalogue
        apply_record = catalogue.apply_record

        def fail_once(record, now, **options):
            catalogue.apply_record = apply_record
            raise RuntimeError("a defect")

        catalogue.apply_record = fail_once
        await self.check_version_behind(b"[]")
        self.assertEqual(self.daemon._platform_state.failed_item_count, 1)

    # The daemon said that it was ready and refused all requests.
    async def test_servers_behind_a_nested_entry_are_known_from_the_start(self):
        await self.store.put("a-first", b'{"a":' * 1_500)
        await self.store.put("servers/a-first", b'{"a":' * 1_500)
        self.daemon_task.cancel()
        await asyncio.gather(self.daemon_task, return_exceptions=True)
        self.daemon._internal_listeners.stop()
        self.daemon._gossip.stop()
        self.listener.close()
        await self.start_daemon()
        await self.wait_until(lambda: self.daemon._is_ready())
        self.assertEqual(self.daemon._platform_state.catalogue.server_count, 2)
        await self.check_serves()

    async def test_deeply_nested_datagram_is_ignored(self):
        data = b"\x9b" + b"\x91" * 60_000
        self.daemon._gossip.datagram_received(data, ("127.0.0.1", 1))
        await self.check_serves()
