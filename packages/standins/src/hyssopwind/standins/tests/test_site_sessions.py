"""Sessions of daemons on the platform record the events of the golden files.

To write the files again after an intended change, whose effect on them is to
be reviewed:

    python -m hyssopwind.standins.tests.test_site_sessions
"""

import json
import pathlib
import unittest

from hyssopwind.standins.virtual import site_sessions

GOLDEN = pathlib.Path(__file__).parent / "golden"
CHANGE_BOUND_SECONDS = 2.0  # until each daemon applies a confirmed change


class GoldenTest(unittest.TestCase):
    maxDiff = None

    def test_sessions_record_their_golden_events(self):
        for name in site_sessions.SESSIONS:
            with self.subTest(session=name):
                path = GOLDEN / f"{name}.jsonl"
                self.assertEqual(
                    site_sessions.render(name),
                    path.read_text(encoding="utf-8"),
                )

    def test_recorded_changes_are_applied_within_the_bound(self):
        """Daemons apply changes in time and never go back to older versions."""
        for name in site_sessions.SESSIONS:
            with self.subTest(session=name):
                self.check_recording(name)

    def check_recording(self, name):
        text = (GOLDEN / f"{name}.jsonl").read_text(encoding="utf-8")
        events = [json.loads(line) for line in text.splitlines()]
        write_times = [
            event["time"]
            for event in events
            if event.get("writes") == "op/config"
        ]
        applied_versions = {}
        for event in events:
            if event["event"] == "daemon starts":
                applied_versions.clear()
            if event["event"] != "daemon knows":
                continue
            daemon, version = event["daemon"], event["version"]
            self.assertGreaterEqual(version, applied_versions.get(daemon, 0))
            if (
                version > applied_versions.get(daemon, 0)
                and daemon in applied_versions
            ):
                last_written = max(
                    time for time in write_times if time <= event["time"]
                )
                self.assertLessEqual(
                    event["time"] - last_written, CHANGE_BOUND_SECONDS
                )
            applied_versions[daemon] = version


if __name__ == "__main__":
    for session in site_sessions.SESSIONS:
        target = GOLDEN / f"{session}.jsonl"
        target.write_text(site_sessions.render(session), encoding="utf-8")
