import unittest

from hyssopwind.core.settings import reading

GOOD_TEAM = """
[data_centres.chicago]
state = "in"

[services.trial-looks]
route = "/trial-looks"
deadline = "500ms"
[services.trial-looks.load]
chicago = "100/s"
"""

FIVE_MISTAKES = """
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


class ReadTeamTest(unittest.TestCase):
    def test_good_document_has_no_findings(self):
        result = reading.read_team(GOOD_TEAM, "a.toml")
        self.assertEqual(result.findings, ())
        service = result.value.services["trial-looks"]
        self.assertEqual(service.deadline, 0.5)

    def test_five_mistakes_are_reported_together_with_lines(self):
        result = reading.read_team(FIVE_MISTAKES, "a.toml")
        self.assertIsNone(result.value)
        places = [(f.line, f.key.split(".")[-1]) for f in result.findings]
        self.assertEqual(
            places,
            [
                (3, "state"),
                (7, "deadline"),
                (8, "colour"),
                (9, "slots"),
                (11, "chicago"),
            ],
        )

    def test_syntax_error_has_its_line(self):
        result = reading.read_team("a = 1\nb = \n", "a.toml")
        self.assertEqual(result.findings[0].line, 2)

    def test_load_for_an_undeclared_data_centre(self):
        text = GOOD_TEAM.replace('chicago = "100/s"', 'boston = "1/s"')
        result = reading.read_team(text, "a.toml")
        self.assertIn('no data centre is named "boston"', str(result.findings))

    def test_two_services_with_one_route(self):
        text = GOOD_TEAM + GOOD_TEAM.partition("\n\n")[2].replace(
            "services.trial-looks", "services.copy"
        )
        result = reading.read_team(text, "a.toml")
        self.assertIn("is taken by service", str(result.findings))

    def test_oversized_document(self):
        text = "#" * (reading.MAX_DOCUMENT_BYTES + 1)
        result = reading.read_team(text, "a.toml")
        self.assertIn("expected at most", result.findings[0].message)

    def test_daemon_addresses_are_checked(self):
        result = reading.read_daemon('name = "a"\npeers = "host"\n', "d.toml")
        keys = {f.key for f in result.findings}
        self.assertLessEqual({"callers", "platform", "cluster"}, keys)


if __name__ == "__main__":
    unittest.main()
