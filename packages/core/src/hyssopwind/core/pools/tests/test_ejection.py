import unittest

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.pools import server_load
from hyssopwind.core.pools.tests import test_owner

SERVER = ids.ServerId("s")


class RestartedServerTest(unittest.TestCase):
    """A server's process is down for a second under load near its limit."""

    def setUp(self):
        service = test_owner.make_service()
        self.load = server_load.ServerLoad(SERVER, service.settings)
        self.told = messages.ServerTell(SERVER, 0, 0, 0, 0, "a", 0.0)

    def tell(self, now, **counts):
        values = {"failed": 0, "refused": 0, **counts}
        told = messages.ServerTell(
            SERVER, 0, 0, 0, values["failed"], "a", 0.0, values["refused"]
        )
        self.load.note_tell(self.told, told, now)
        self.told = told

    def test_refused_connections_keep_it_out_for_a_moment_each(self):
        now = 0.0
        for count in range(1, 9):
            self.tell(now, refused=count)
            self.assertFalse(self.load.is_usable(now))
            now += 0.26
            self.assertTrue(self.load.is_usable(now), f"after {count}")

    def test_refusals_leave_it_cold(self):
        self.load.warmth.inherit("a")
        self.tell(0.0, refused=1)
        self.assertTrue(self.load.is_cold)

    def test_other_failures_keep_it_out_longer_each_time(self):
        """Each try of a server that does not answer costs a time-out."""
        self.tell(0.0, failed=2)
        self.tell(0.3, failed=3)
        self.assertFalse(self.load.is_usable(0.3 + 0.4))
        self.assertTrue(self.load.is_usable(0.3 + 0.6))
