import unittest

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.pools import server_load
from hyssopwind.core.pools.tests import test_owners

SERVER = ids.ServerId("s")


class RestartedServerTest(unittest.TestCase):
    """Guards against a long ejection of a server that restarts under load.

    Its process is down for a second while the load is near its limit.
    """

    def setUp(self):
        service = test_owners.make_service()
        self.load = server_load.ServerLoad(SERVER, service.settings)
        self.last_update = messages.ServerLoadUpdate(
            SERVER, 0, 0, 0, 0, "a", 0.0
        )

    def send_load_update(self, now, **counts):
        values = {"failed": 0, "refused": 0, **counts}
        update = messages.ServerLoadUpdate(
            SERVER, 0, 0, 0, values["failed"], "a", 0.0, values["refused"]
        )
        self.load.record_load_update(self.last_update, update, now)
        self.last_update = update

    def test_each_refused_connection_ejects_for_the_same_short_time(self):
        now = 0.0
        for count in range(1, 9):
            self.send_load_update(now, refused=count)
            self.assertFalse(self.load.is_usable(now))
            now += 0.26
            self.assertTrue(self.load.is_usable(now), f"after {count}")

    def test_refused_connection_makes_warm_server_cold(self):
        self.load.warmup.mark_warm("a")
        self.send_load_update(0.0, refused=1)
        self.assertTrue(self.load.is_cold)

    def test_each_other_failure_ejects_for_longer(self):
        """Each attempt at a server that does not answer costs a time-out."""
        self.send_load_update(0.0, failed=2)
        self.send_load_update(0.3, failed=3)
        self.assertFalse(self.load.is_usable(0.3 + 0.4))
        self.assertTrue(self.load.is_usable(0.3 + 0.6))
