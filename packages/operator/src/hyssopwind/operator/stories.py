"""Tells what happened to one request, from the logs of the daemons.

Each daemon writes a line for each decision about a request, with the
request's id, and a line for each change of what it believes. The story of a
request is the first kind, and of the second kind what concerns the servers
that it was sent to and the daemon's sources, shortly before and during it.
"""

import dataclasses
import datetime
import json
from collections.abc import Iterable
from typing import Any

LOOK_BACK = 10.0  # seconds before the request; changes are in force in 5
_DEPENDENCY_LOGGERS = frozenset({"store", "fleet", "settings", "gateway"})


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a log.

    Attributes:
        moment: when it was written, in seconds of Unix time.
        values: its fields.
    """

    moment: float
    values: dict[str, Any]


def read_lines(texts: Iterable[str]) -> list[Line]:
    """Returns the lines that are log lines, in the order of their times.

    The last word before the JSON object of a line, such as the name of a
    machine, is kept in the field `source`.
    """
    found = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            values = json.loads(text[start:])
            moment = datetime.datetime.fromisoformat(values["time"])
        except (ValueError, KeyError, TypeError):
            continue  # Other programs may write into the same file.
        values["source"] = "".join(text[:start].split()[-1:])
        found.append(Line(moment.timestamp(), values))
    found.sort(key=lambda line: line.moment)
    return found


def tell(lines: list[Line], request: str) -> list[str]:
    """Returns the story of a request, one step a line; empty if unknown."""
    own = [line for line in lines if line.values.get("request") == request]
    if not own:
        return []
    first, last = own[0].moment, own[-1].moment
    servers = _servers(own)
    story = []
    for line in lines:
        if not first - LOOK_BACK <= line.moment <= last:
            continue
        if line in own:
            story.append(_describe(line, first))
        elif _concerns(line, servers, {each.values["source"] for each in own}):
            story.append(f"{_describe(line, first)} (around it)")
    return story


def _servers(own: list[Line]) -> set[str]:
    servers: set[str] = set()
    for line in own:
        if "server" in line.values:
            servers.add(line.values["server"])
        servers.update(line.values.get("servers", ()))
    return servers


def _concerns(line: Line, servers: set[str], sources: set[str]) -> bool:
    values = line.values
    if values.get("server") in servers and "request" not in values:
        return True
    if str(values.get("key", "")).rpartition("/")[2] in servers:
        return values["source"] in sources
    is_dependency = values.get("logger") in _DEPENDENCY_LOGGERS
    return is_dependency and values["source"] in sources


def _describe(line: Line, first: float) -> str:
    values = dict(line.values)
    offset = (line.moment - first) * 1000
    message = values.pop("message", "")
    for name in ("time", "level", "logger", "request"):
        values.pop(name, None)
    source = values.pop("source", "")
    details = ", ".join(f"{name} {value}" for name, value in values.items())
    parts = [f"{offset:+9.1f} ms", source, f"{message}: {details}"]
    return "  ".join(part for part in parts if part)
