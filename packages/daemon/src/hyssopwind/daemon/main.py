"""Entry point of `hyssopwindd`.

A command imports its modules when it runs, because a restarting daemon serves
no requests until its imports are done, and each command needs only some.
"""

import functools
import pathlib
import sys

from cleo import application
from cleo import helpers
from cleo.commands import command

EXIT_FINDINGS = 1
EXIT_USAGE = 2


class RunCommand(command.Command):
    """Runs the daemon of an entry VM."""

    name = "run"
    description = "Runs the daemon until SIGTERM."
    options = [
        helpers.option(
            "settings", "s", "Settings file of the daemon.", flag=False
        )
    ]

    def handle(self) -> int:
        """Reads the settings file and runs the daemon."""
        import uvloop

        from hyssopwind.daemon import daemon
        from hyssopwind.daemon import garbage_collection
        from hyssopwind.daemon import log_output
        from hyssopwind.daemon import settings_file

        option = self.option("settings")
        if not option:
            self.line_error("missing option --settings FILE")
            return EXIT_USAGE
        load = functools.partial(
            settings_file.load_settings, pathlib.Path(option)
        )
        try:
            settings = load()
        except settings_file.SettingsError as error:
            self.line_error(str(error))
            return EXIT_FINDINGS
        log_output.install_handler(settings.logs)
        garbage_collection.configure()
        return uvloop.run(daemon.run(settings, load))


def main() -> None:
    """Runs the command line of the daemon."""
    app = application.Application("hyssopwindd", "0.1.0")
    app.add(RunCommand())
    sys.exit(app.run())


if __name__ == "__main__":
    main()
