"""Checks settings files of teams and of daemons."""

import pathlib

from hyssopwind.core import decoding
from hyssopwind.core import findings
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import parsing
from hyssopwind.platform import items as platform_items

# The key `logs` is in both kinds of settings, so it is in neither set.
TUNING_KEYS = frozenset({"choosing", "repeating", "reading"})
DAEMON_KEYS = frozenset({"callers", "peers", "platform", "cluster"})


def check_file(path: pathlib.Path) -> list[findings.Finding]:
    """Returns the findings of a settings file.

    JSON text is read as a configuration of the platform. In TOML text the
    top-level keys decide how it is read: as tuning settings if it has one of
    `TUNING_KEYS`, as the settings of a daemon if it has one of `DAEMON_KEYS`,
    and as the settings of a team otherwise.
    """
    text = read_text(path)
    if isinstance(text, findings.Finding):
        return [text]
    # No TOML text starts with a brace.
    if text.lstrip().startswith("{"):
        record = platform_items.decode_configuration(str(path), text.encode())
        return list(record.findings)
    if _has_any_key(text, TUNING_KEYS):
        return list(parsing.parse_tuning(text, str(path)).findings)
    if _has_any_key(text, DAEMON_KEYS):
        return list(parsing.parse_daemon(text, str(path)).findings)
    return list(parsing.parse_team(text, str(path)).findings)


def read_team_file(
    path: pathlib.Path,
) -> parsing.ParseResult[documents.TeamSettings]:
    """Returns the settings of a team, or the findings of their file."""
    text = read_text(path)
    if isinstance(text, findings.Finding):
        return parsing.ParseResult(None, (text,))
    return parsing.parse_team(text, str(path))


def read_text(
    path: pathlib.Path, errors: str = "strict"
) -> str | findings.Finding:
    """Returns the text of a file, or why it cannot be read.

    Args:
        path: path of the file.
        errors: how bytes that are not UTF-8 are handled, as in `bytes.decode`.
    """
    try:
        return path.read_text(encoding="utf-8", errors=errors)
    except OSError as error:
        reason = error.strerror or str(error)
        return findings.Finding(str(path), 0, "", f"cannot read: {reason}")
    except UnicodeDecodeError:
        return findings.Finding(str(path), 0, "", "expected UTF-8 text")


def _has_any_key(text: str, keys: frozenset[str]) -> bool:
    try:
        return not keys.isdisjoint(decoding.decode_toml(text))
    except decoding.DecodeError:
        return False
