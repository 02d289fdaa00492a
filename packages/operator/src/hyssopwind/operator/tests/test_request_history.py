import json
import unittest

from hyssopwind.operator import request_history


def log_line(second, source="0.123 front-1 ", **values):
    time = f"2026-01-01T00:00:{second:06.3f}+00:00"
    return f"{second} {source}" + json.dumps({"time": time, **values})


class HistoryTest(unittest.TestCase):
    def setUp(self):
        self.texts = [
            "a line of another program",
            log_line(5.0, logger="store", message="store lost", age=1.2),
            log_line(5.0, "front-2 ", logger="store", message="store lost"),
            log_line(
                10.1,
                logger="attempt",
                message="attempt",
                request="r1",
                server="i-1",
                result="broken",
            ),
            log_line(
                10.2,
                logger="request",
                message="unknown",
                request="r1",
                servers=["i-1"],
                reason="server-failed",
            ),
            log_line(
                10.15, logger="crashes", message="server crashed", server="i-1"
            ),
            log_line(
                10.15,
                logger="attempt",
                message="attempt",
                request="r2",
                server="i-2",
                result="answered",
            ),
            log_line(
                9.0,
                logger="knowledge",
                message="server added",
                key="servers/i-1",
                revision=7,
            ),
        ]

    def describe_request(self, request):
        return request_history.describe_request(
            request_history.parse_lines(self.texts), request
        )

    # The history of a request that a peer served lacked one of the daemons.
    def test_history_has_the_lines_of_both_daemons_of_a_handover(self):
        self.texts += [
            log_line(
                20.0, logger="reachability", message="cut off from all servers"
            ),
            log_line(
                20.2,
                "front-2 ",
                logger="request",
                message="answered",
                request="r3",
                servers=["i-3"],
                handed_by="front-1",
            ),
            log_line(
                20.3,
                logger="handover",
                message="handed to a peer",
                request="r3",
                peer="front-2",
                result="answered",
            ),
        ]
        history = self.describe_request("r3")
        self.assertEqual(len(history), 3)
        self.assertIn("cut off from all servers", history[0])
        self.assertIn("handed_by front-1", history[1])
        self.assertIn("peer front-2", history[2])

    def test_history_has_the_decisions_and_the_related_changes(self):
        history = self.describe_request("r1")
        self.assertEqual(len(history), 5)
        self.assertIn("store lost", history[0])
        self.assertIn("server added", history[1])
        self.assertIn("result broken", history[2])
        self.assertIn("(around it)", history[3])
        self.assertIn("reason server-failed", history[4])

    def test_other_requests_and_daemons_are_left_out(self):
        history = " ".join(self.describe_request("r1"))
        self.assertNotIn("r2", history)
        self.assertNotIn("front-2", history)

    def test_unknown_request_has_no_history(self):
        self.assertEqual(self.describe_request("r9"), [])
