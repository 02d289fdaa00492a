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
