import time
import unittest

from hyssopwind.core.settings import parsing

VALID_TEAM_DOCUMENT = """
[data_centres.chicago]
state = "in"

[services.trial-looks]
route = "/trial-looks"
deadline = "500ms"
[services.trial-looks.load]
chicago = "100/s"
"""

DOCUMENT_WITH_FIVE_MISTAKES = """
[data_centres.chicago]
state = "away"

[services.trial-looks]
route = "/trial-looks"
deadline = "500"
colour = "red"
slots = "four"
[services.trial-looks.load]
chicago = "100"
"""


class ParsingTest(unittest.TestCase):
    def test_valid_document_has_no_findings(self):
        result = parsing.parse_team(VALID_TEAM_DOCUMENT, "a.toml")
        self.assertEqual(result.findings, ())
        service = result.value.services["trial-looks"]
        self.assertEqual(service.deadline, 0.5)

    def test_all_mistakes_are_reported_with_their_lines(self):
        result = parsing.parse_team(DOCUMENT_WITH_FIVE_MISTAKES, "a.toml")
        self.assertIsNone(result.value)
        lines_and_keys = [
            (f.line, f.key.split(".")[-1]) for f in result.findings
        ]
        self.assertEqual(
            lines_and_keys,
            [
                (3, "state"),
                (7, "deadline"),
                (8, "colour"),
                (9, "slots"),
                (11, "chicago"),
            ],
        )

    def test_syntax_error_is_reported_with_its_line(self):
        result = parsing.parse_team("a = 1\nb = \n", "a.toml")
        self.assertEqual(result.findings[0].line, 2)

    # The exception of the parser ended the daemon.
    def test_document_that_no_parser_foresees_is_a_finding(self):
        texts = [
            "a = " + "[" * 1_500,
            "a = " + "{a=" * 1_500,
            "a = 1" + "0" * 5_000,
            'a = "\\ud800"',
            VALID_TEAM_DOCUMENT.replace('"in"', "[" * 90 + "]" * 90),
            VALID_TEAM_DOCUMENT.replace('"500ms"', f'"{"9" * 400}s"'),
            VALID_TEAM_DOCUMENT.replace('"100/s"', f'"{"9" * 400}/s"'),
            VALID_TEAM_DOCUMENT.replace(
                'deadline = "500ms"', f'max_answer = "{"9" * 400}MB"'
            ),
            VALID_TEAM_DOCUMENT.replace(
                'deadline = "500ms"', "slots = " + "9" * 30
            ),
            VALID_TEAM_DOCUMENT.replace(
                'deadline = "500ms"', "retries = { ratio = nan }"
            ),
            VALID_TEAM_DOCUMENT.replace(
                'deadline = "500ms"', "retries = { ratio = inf }"
            ),
        ]
        for text in texts:
            result = parsing.parse_team(text, "a.toml")
            self.assertIsNone(result.value, text[:80])
            self.assertLess(len(str(result.findings[0])), 600)

    # They were kept, logged and sent to operators in whole.
    def test_findings_of_a_document_are_bounded(self):
        lines = [f"{'k' * 300}{number} = 1" for number in range(3_000)]
        result = parsing.parse_team("\n".join(lines), "a.toml")
        self.assertEqual(len(result.findings), parsing.MAX_FINDINGS + 1)
        self.assertIn("more findings", result.findings[-1].message)
        self.assertLess(len(str(result.findings)), 200_000)

    # One key of 40 KB held the event loop up for 9 s at each daemon.
    def test_key_of_many_parts_is_refused_without_parsing_it(self):
        for key in ("a." * 20_000 + "a", '"a" . ' * 20_000 + "a"):
            started_at = time.process_time()
            result = parsing.parse_team(f"x = 1\n{key} = 1", "a.toml")
            self.assertLess(time.process_time() - started_at, 0.5)
            self.assertEqual(result.findings[0].line, 2)

    def test_load_in_undeclared_data_centre_is_reported(self):
        text = VALID_TEAM_DOCUMENT.replace(
            'chicago = "100/s"', 'boston = "1/s"'
        )
        result = parsing.parse_team(text, "a.toml")
        self.assertIn('no data centre is named "boston"', str(result.findings))

    def test_route_used_by_two_services_is_reported(self):
        text = VALID_TEAM_DOCUMENT + VALID_TEAM_DOCUMENT.partition("\n\n")[
            2
        ].replace("services.trial-looks", "services.copy")
        result = parsing.parse_team(text, "a.toml")
        self.assertIn("is used by service", str(result.findings))

    def test_oversized_document_is_rejected(self):
        text = "#" * (parsing.MAX_DOCUMENT_BYTES + 1)
        result = parsing.parse_team(text, "a.toml")
        self.assertIn("expected at most", result.findings[0].message)

    def test_all_mistakes_of_daemon_settings_are_reported(self):
        result = parsing.parse_daemon('name = "a"\npeers = "host"\n', "d.toml")
        keys = {f.key for f in result.findings}
        self.assertLessEqual({"callers", "platform", "cluster"}, keys)


if __name__ == "__main__":
    unittest.main()
