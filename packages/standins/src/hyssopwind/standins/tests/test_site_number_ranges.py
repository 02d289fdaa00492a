"""Numbers out of range in requests, settings and the state of a daemon."""

import unittest

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.dispatch import server_health
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.fleet import reader_selection
from hyssopwind.platform import boot
from hyssopwind.standins.site import documents
from hyssopwind.standins.tests import site_gateway_case


class CallerNumberTest(site_gateway_case.GatewayTestCase):
    RUNS_ALONE = True  # real sockets and times

    # One request with an endless deadline made the daemon answer 502 to all
    # later requests of its route, although servers ran them.
    async def test_deadline_out_of_range_leaves_later_requests_alone(self):
        for text in ("inf", "nan", "-inf", "1e300", "9" * 400, "-5", "soon"):
            await self.call("/safe/a", Deadline_Ms=text)
            status, _, body = await self.call("/safe/a")
            self.assertEqual((status, body), (200, b"ran "), text)

    # The caller got no answer at all.
    async def test_failure_that_cannot_be_encoded_is_answered(self):
        async def serve(request):
            return outcomes.NotRun(outcomes.Reason.OVERLOADED, "", float("inf"))

        self.daemon._dispatcher.serve = serve
        status, _, _ = await self.call("/safe/a")
        self.assertEqual(status, 502)


class RepeatedFailureTest(unittest.TestCase):
    # A power of two overflowed after 1,024 failures in a row.
    def test_delays_stay_in_range_after_many_failures(self):
        health = server_health.PassiveHealth()
        server = ids.ServerId("i-1")
        for number in range(2_000):
            health.record_failure(server, float(number))
        self.assertTrue(health.is_ejected(server, 2_000.0))
        north = ids.DataCentreId("north")
        name = ids.DaemonId("a")
        members = fleet_members.MemberList(name, "127.0.0.1", north, now=0.0)
        state = reader_selection.ReaderState(name, north, 5.0)
        delay = reader_selection.retry_delay_seconds(state, members, 5_000, 1.0)
        self.assertEqual(delay, reader_selection.MAX_RETRY_DELAY_SECONDS)


class SettingsNumberTest(unittest.TestCase):
    def test_bounds_out_of_range_are_findings(self):
        text = documents.render_settings(
            store_address="127.0.0.1:1", ports=[1, 2, 3, 4]
        )
        for value in ("inf", "nan", "-1.0"):
            changed = text.replace("drain_s = 2", f"drain_s = {value}")
            with self.assertRaisesRegex(boot.BootError, "bounds.drain_s"):
                boot.parse_settings(changed, "test")

    def test_settings_nested_too_deeply_are_a_finding(self):
        with self.assertRaises(boot.BootError):
            boot.parse_settings("a = " + "[" * 5_000, "test")
