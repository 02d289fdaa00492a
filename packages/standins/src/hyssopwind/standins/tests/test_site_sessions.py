"""Sessions of daemons on the platform take their recorded course.

To record them anew, after reading what has changed:

    python -m hyssopwind.standins.tests.test_site_sessions
"""

import json
import pathlib
import unittest

from hyssopwind.standins.virtual import site_sessions

GOLDEN = pathlib.Path(__file__).parent / "golden"
BOUND = 2.0  # seconds in which a confirmed change is to be in force


class GoldenTest(unittest.TestCase):
    maxDiff = None

    def test_sessions_take_their_recorded_course(self):
        for name in site_sessions.sessions:
            with self.subTest(session=name):
                path = GOLDEN / f"{name}.jsonl"
                self.assertEqual(
                    site_sessions.render(name),
                    path.read_text(encoding="utf-8"),
                )

    def test_recorded_courses_keep_the_bound(self):
        """Each change is known to all daemons in time, and none goes back."""
        for name in site_sessions.sessions:
            with self.subTest(session=name):
                self.check(name)

    def check(self, name):
        text = (GOLDEN / f"{name}.jsonl").read_text(encoding="utf-8")
        events = [json.loads(line) for line in text.splitlines()]
        written = [
            event["time"]
            for event in events
            if event.get("writes") == "op/config"
        ]
        highest = {}
        for event in events:
            if event["event"] == "daemon starts":
                highest.clear()
            if event["event"] != "daemon knows":
                continue
            daemon, version = event["daemon"], event["version"]
            self.assertGreaterEqual(version, highest.get(daemon, 0))
            if version > highest.get(daemon, 0) and daemon in highest:
                last = max(time for time in written if time <= event["time"])
                self.assertLessEqual(event["time"] - last, BOUND)
            highest[daemon] = version


if __name__ == "__main__":
    for session in site_sessions.sessions:
        target = GOLDEN / f"{session}.jsonl"
        target.write_text(site_sessions.render(session), encoding="utf-8")
