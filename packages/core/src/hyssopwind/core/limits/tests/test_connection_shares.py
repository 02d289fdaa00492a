import unittest

from hyssopwind.core.limits import connection_shares


class ConnectionShareTest(unittest.TestCase):
    # Eight idle ones of each of 300 daemons exceeded what a server accepts.
    def test_idle_connections_of_all_daemons_leave_room_for_requests(self):
        for max_connections in (5, 100, 220, 860):
            for daemon_count in (1, 6, 15, 100, 300):
                count = connection_shares.idle_connection_count(
                    max_connections, daemon_count
                )
                self.assertLessEqual(
                    count * daemon_count, 0.75 * max_connections
                )

    def test_small_fleets_keep_eight(self):
        self.assertEqual(connection_shares.idle_connection_count(220, 15), 8)
