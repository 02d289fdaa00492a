"""Entry point of `hyssopwind`."""

import dataclasses
import json
import pathlib
import sys

from cleo import application
from cleo import helpers
from cleo.commands import command
from cleo.io.inputs import option

from hyssopwind.core import findings
from hyssopwind.core.settings import differences
from hyssopwind.operator import admin_client
from hyssopwind.operator import checking
from hyssopwind.operator import rendering
from hyssopwind.operator import request_history

EXIT_OK = 0
EXIT_FINDINGS = 1
EXIT_USAGE = 2


def _json_option() -> option.Option:
    return helpers.option("json", None, "Writes JSON.", flag=True)


def _daemons_option() -> option.Option:
    return helpers.option(
        "daemon",
        "d",
        "Admin address of a daemon; may be given several times.",
        flag=False,
        multiple=True,
    )


class _Command(command.Command):
    """Base class of the commands."""

    def show_findings(self, found: list[findings.Finding]) -> int:
        """Writes findings and returns the exit status."""
        if self.option("json"):
            self.line(json.dumps([dataclasses.asdict(f) for f in found]))
        else:
            for finding in found:
                self.line(str(finding))
        return EXIT_FINDINGS if found else EXIT_OK

    def query_daemons(
        self, path: str, query: dict[str, str]
    ) -> list[admin_client.Reply]:
        """Returns the replies of the daemons given with `--daemon`."""
        return admin_client.query_daemons(self.option("daemon"), path, query)

    def show_replies(self, replies: list[admin_client.Reply]) -> int:
        """Writes replies if the output is JSON; returns the exit status."""
        if self.option("json"):
            self.line(json.dumps([dataclasses.asdict(r) for r in replies]))
        return EXIT_FINDINGS if any(r.error for r in replies) else EXIT_OK


class CheckCommand(_Command):
    """Checks settings files and configurations of the platform."""

    name = "check"
    description = (
        "Checks settings files and configurations; reports every finding."
    )
    arguments = [
        helpers.argument("file", "Settings file.", multiple=True),
    ]
    options = [_json_option()]

    def handle(self) -> int:
        """Checks all files and writes their findings."""
        found: list[findings.Finding] = []
        for name in self.argument("file"):
            found += checking.check_file(pathlib.Path(name))
        return self.show_findings(found)


class DiffCommand(_Command):
    """Compares two settings files of a team."""

    name = "diff"
    description = "Shows the changes that an edit of a team's settings brings."
    arguments = [
        helpers.argument("old", "Settings file in force."),
        helpers.argument("new", "Edited settings file."),
    ]
    options = [_json_option()]

    def handle(self) -> int:
        """Compares the files and writes the differences."""
        old = checking.read_team_file(pathlib.Path(self.argument("old")))
        new = checking.read_team_file(pathlib.Path(self.argument("new")))
        if old.value is None or new.value is None:
            return self.show_findings([*old.findings, *new.findings])
        lines = differences.describe_differences(old.value, new.value)
        if self.option("json"):
            self.line(json.dumps(lines))
            return EXIT_OK
        for line in lines or ["nothing changes"]:
            self.line(line)
        return EXIT_OK


class StatusCommand(_Command):
    """Shows the state of daemons."""

    name = "status"
    description = "Shows readiness, revisions, findings and pools of daemons."
    options = [_daemons_option(), _json_option()]

    def handle(self) -> int:
        """Queries the daemons and writes their replies."""
        if not self.option("daemon"):
            self.line_error("missing option --daemon ADDRESS")
            return EXIT_USAGE
        replies = self.query_daemons("/status", {})
        if not self.option("json"):
            for line in rendering.render_replies(
                replies, rendering.render_status
            ):
                self.line(line)
        return self.show_replies(replies)


class ExplainCommand(_Command):
    """Explains which servers of a service are used."""

    name = "explain"
    description = "Explains why each server of a service is used now or not."
    arguments = [helpers.argument("service", "Service, as TEAM/NAME.")]
    options = [_daemons_option(), _json_option()]

    def handle(self) -> int:
        """Queries the daemons and writes their replies."""
        if not self.option("daemon"):
            self.line_error("missing option --daemon ADDRESS")
            return EXIT_USAGE
        replies = self.query_daemons(
            "/explain", {"service": self.argument("service")}
        )
        if not self.option("json"):
            for line in rendering.render_replies(
                replies, rendering.render_explanation
            ):
                self.line(line)
        return self.show_replies(replies)


class StoryCommand(_Command):
    """Shows the history of one request."""

    name = "story"
    description = "Shows what happened to a request, from log files."
    arguments = [
        helpers.argument("request", "Id of the request."),
        helpers.argument("file", "Log file of a daemon.", multiple=True),
    ]

    def handle(self) -> int:
        """Reads the log files and writes the history."""
        texts: list[str] = []
        for name in self.argument("file"):
            # Other programs may write other bytes into the same file.
            text = checking.read_text(pathlib.Path(name), errors="replace")
            if isinstance(text, findings.Finding):
                self.line_error(str(text))
                return EXIT_USAGE
            texts.extend(text.splitlines())
        request_id = self.argument("request")
        history = request_history.describe_request(
            request_history.parse_lines(texts), request_id
        )
        if not history:
            self.line_error(f'no log line has the request id "{request_id}"')
            return EXIT_FINDINGS
        for line in history:
            self.line(line)
        return EXIT_OK


def make_application() -> application.Application:
    """Returns the command line."""
    app = application.Application("hyssopwind", "0.1.0")
    for command_class in (
        CheckCommand,
        DiffCommand,
        StatusCommand,
        ExplainCommand,
        StoryCommand,
    ):
        app.add(command_class())
    app.auto_exits(False)
    return app


def main() -> None:
    """Runs the command line and exits; usage errors exit with 2."""
    app = make_application()
    app.catch_exceptions(False)
    try:
        status = app.run()
    except Exception as error:  # noqa: BLE001
        sys.stderr.write(f"{error}\n")
        status = EXIT_USAGE
    sys.exit(status)


if __name__ == "__main__":
    main()
