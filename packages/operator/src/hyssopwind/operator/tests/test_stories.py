import json
import unittest

from hyssopwind.operator import stories


def line(second, source="0.123 front-1 ", **values):
    time = f"2026-01-01T00:00:{second:06.3f}+00:00"
    return f"{second} {source}" + json.dumps({"time": time, **values})


class StoryTest(unittest.TestCase):
    def setUp(self):
        self.texts = [
            "a line of another program",
            line(5.0, logger="store", message="store lost", age=1.2),
            line(5.0, "front-2 ", logger="store", message="store lost"),
            line(
                10.1,
                logger="attempt",
                message="attempt",
                request="r1",
                server="i-1",
                result="broken",
            ),
            line(
                10.2,
                logger="request",
                message="unknown",
                request="r1",
                servers=["i-1"],
                reason="server-failed",
            ),
            line(
                10.15, logger="crashes", message="server crashed", server="i-1"
            ),
            line(
                10.15,
                logger="attempt",
                message="attempt",
                request="r2",
                server="i-2",
                result="answered",
            ),
            line(
                9.0,
                logger="knowledge",
                message="server added",
                key="servers/i-1",
                revision=7,
            ),
        ]

    def tell(self, request):
        return stories.tell(stories.read_lines(self.texts), request)

    def test_story_has_the_decisions_and_what_was_around_them(self):
        story = self.tell("r1")
        self.assertEqual(len(story), 5)
        self.assertIn("store lost", story[0])
        self.assertIn("server added", story[1])
        self.assertIn("result broken", story[2])
        self.assertIn("(around it)", story[3])
        self.assertIn("reason server-failed", story[4])

    def test_other_requests_and_daemons_are_left_out(self):
        story = " ".join(self.tell("r1"))
        self.assertNotIn("r2", story)
        self.assertNotIn("front-2", story)

    def test_unknown_request_has_no_story(self):
        self.assertEqual(self.tell("r9"), [])
