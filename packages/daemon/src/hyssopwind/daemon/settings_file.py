"""Reads the settings file of a daemon."""

import pathlib

from hyssopwind.core.settings import documents
from hyssopwind.core.settings import parsing


class SettingsError(Exception):
    """The settings file has findings; the message lists all of them."""


def load_settings(path: pathlib.Path) -> documents.DaemonSettings:
    """Returns the settings of a daemon.

    Raises:
        SettingsError: the file cannot be read or has findings.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'cannot read "{path}": {error}') from error
    result = parsing.parse_daemon(text, str(path))
    if result.value is None:
        raise SettingsError("\n".join(str(f) for f in result.findings))
    return result.value
