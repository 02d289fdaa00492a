"""Free ports for stand-ins and daemons."""

import unittest

from hyssopwind.standins.site import ports

RUNS_ALONE = True  # real sockets and times


class FreePortsTest(unittest.TestCase):
    # A gateway on 127.0.X.Y got a port for its metrics that its own listener
    # for callers had, which looked free on 127.0.0.1.
    def test_excluded_ports_are_not_returned(self):
        excluded = range(ports.FIRST_PORT, ports.LAST_PORT - 100)
        for port in ports.find_free_ports(10, excluded):
            self.assertNotIn(port, excluded)
