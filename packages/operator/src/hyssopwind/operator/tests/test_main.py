import json
import pathlib
import tempfile
import unittest

from cleo.testers import application_tester

from hyssopwind.operator import main

RUNS_ALONE = True  # connects to addresses without listeners

VALID_SETTINGS = """
[data_centres.chicago]
state = "in"
[services.trial-looks]
route = "/trial-looks"
deadline = "500ms"
[services.trial-looks.load]
chicago = "100/s"
"""


class CommandLineTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.tester = application_tester.ApplicationTester(
            main.make_application()
        )

    def write(self, name, text):
        path = self.directory / name
        path.write_text(text, encoding="utf-8")
        return str(path)

    def run_command_line(self, line):
        status = self.tester.execute(line)
        return status, self.tester.io.fetch_output()

    def test_check_of_a_valid_file_has_no_findings(self):
        status, output = self.run_command_line(
            f"check {self.write('a', VALID_SETTINGS)}"
        )
        self.assertEqual((status, output), (0, ""))

    def test_check_reports_the_findings_of_all_files(self):
        first = self.write("one.toml", VALID_SETTINGS.replace('"in"', '"away"'))
        second = self.write(
            "two.toml", VALID_SETTINGS.replace('"500ms"', '"500"')
        )
        status, output = self.run_command_line(
            f"check {first} {second} missing.toml"
        )
        self.assertEqual(status, 1)
        self.assertIn('one.toml:3: key "data_centres.chicago.state"', output)
        self.assertIn('expected one of "in", "out", got \'away\'', output)
        self.assertIn('two.toml:6: key "services.trial-looks.dead', output)
        self.assertIn("missing.toml:0: cannot read", output)

    def test_check_reads_a_configuration_of_the_platform(self):
        tenants = [
            {
                "resource_kind": "tenants",
                "metadata": {"name": name},
                "spec": {"api_keys": ["secret"], **limits},
            }
            for name, limits in (("a", {"rate_per_s": 2}), ("b", {"burst": 1}))
        ]
        document = {"version": 1, "resources": tenants}
        path = self.write("configuration.json", json.dumps(document, indent=1))
        status, output = self.run_command_line(f"check {path}")
        self.assertEqual(status, 1)
        self.assertEqual(len(output.splitlines()), 3)
        self.assertIn('"a", "b" have a key in common', output)
        self.assertIn('key "tenants.a": rate without burst', output)
        self.assertIn('key "tenants.b": burst without rate', output)
        self.assertNotIn("secret", output)
        path = self.write("broken.json", '{"version": 1, ')
        self.assertEqual(self.run_command_line(f"check {path}")[0], 1)

    def test_check_writes_json(self):
        invalid = self.write("a.toml", VALID_SETTINGS.replace('"in"', '"away"'))
        _, output = self.run_command_line(f"check --json {invalid}")
        self.assertEqual(json.loads(output)[0]["line"], 3)

    def test_check_reads_the_settings_of_a_daemon(self):
        path = self.write("d.toml", 'name = "a"\ncallers = "here"\n')
        _, output = self.run_command_line(f"check {path}")
        self.assertIn('key "cluster": expected this key', output)

    def test_diff_shows_the_changed_settings(self):
        old = self.write("old.toml", VALID_SETTINGS)
        new = self.write(
            "new.toml",
            VALID_SETTINGS.replace('"in"', '"out"').replace("500ms", "1s"),
        )
        status, output = self.run_command_line(f"diff {old} {new}")
        self.assertEqual(status, 0)
        self.assertIn('chicago.state changes from "in" to "out"', output)
        self.assertIn("deadline changes from 0.5 s to 1.0 s", output)

    def test_diff_of_an_invalid_file_shows_its_findings(self):
        old = self.write("old.toml", VALID_SETTINGS)
        new = self.write("new.toml", "a = ")
        status, output = self.run_command_line(f"diff {old} {new}")
        self.assertEqual(status, 1)
        self.assertIn("expected TOML", output)

    def test_status_without_a_daemon_is_a_usage_error(self):
        self.assertEqual(self.run_command_line("status")[0], 2)

    def test_status_of_an_unreachable_daemon_reports_no_answer(self):
        status, output = self.run_command_line("status -d 127.0.0.1:1")
        self.assertEqual(status, 1)
        self.assertIn("no answer", output)


if __name__ == "__main__":
    unittest.main()
