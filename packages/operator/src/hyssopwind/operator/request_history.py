"""Extracts the history of one request from the logs of the daemons.

A daemon writes one line for each decision about a request, with the id of the
request, and one for each change of its own state. The history of a request
has all lines of the first kind. Of the second kind it has those, from shortly
before the request until its end, that concern a server that the request was
sent to, or a dependency of the daemons that handled it, such as the store.
"""

import dataclasses
import datetime
from collections.abc import Iterable
from typing import Any

from hyssopwind.core import decoding

LOOK_BACK_SECONDS = 10.0  # a change is in force within 5 seconds
_DEPENDENCY_LOGGERS = frozenset(
    {"store", "fleet", "settings", "gateway", "reachability"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes:
        written_at: the Unix time in seconds at which it was written.
        values: its fields by name.
    """

    written_at: float
    values: dict[str, Any]


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Returns the log lines among the texts, ordered by time.

    The field `source` of a line is the last word before its JSON object, such
    as the name of a VM.
    """
    log_lines = []
    for text in texts:
        json_start = text.find("{")
        if json_start < 0:
            continue
        try:
            values = decoding.decode_json(text[json_start:])
            written_at = decoding.apply(_read_line, values)
        except decoding.DecodeError:
            continue  # Other programs may write into the same file.
        values["source"] = "".join(text[:json_start].split()[-1:])
        log_lines.append(LogLine(written_at, values))
    log_lines.sort(key=lambda line: line.written_at)
    return log_lines


def _read_line(values: dict[str, Any]) -> float:
    """Returns the time of a line; raises any exception if it is not of ours."""
    servers = [values.get("server", ""), *values.get("servers", ())]
    if not all(isinstance(server, str) for server in servers):
        raise TypeError("expected the names of servers as text")
    if not isinstance(values.get("message", ""), str):
        raise TypeError("expected the message as text")
    return datetime.datetime.fromisoformat(values["time"]).timestamp()


def describe_request(lines: list[LogLine], request_id: str) -> list[str]:
    """Returns the history of a request, one text per log line.

    It is empty if no line has the id of the request.
    """
    request_lines = [
        line for line in lines if line.values.get("request") == request_id
    ]
    if not request_lines:
        return []
    started_at, ended_at = (
        request_lines[0].written_at,
        request_lines[-1].written_at,
    )
    servers = _find_servers(request_lines)
    history = []
    for line in lines:
        if not started_at - LOOK_BACK_SECONDS <= line.written_at <= ended_at:
            continue
        if line in request_lines:
            history.append(_describe(line, started_at))
        elif _is_related(
            line,
            servers,
            {request_line.values["source"] for request_line in request_lines},
        ):
            history.append(f"{_describe(line, started_at)} (around it)")
    return history


def _find_servers(request_lines: list[LogLine]) -> set[str]:
    servers: set[str] = set()
    for line in request_lines:
        if "server" in line.values:
            servers.add(line.values["server"])
        servers.update(line.values.get("servers", ()))
    return servers


def _is_related(line: LogLine, servers: set[str], sources: set[str]) -> bool:
    values = line.values
    if values.get("server") in servers and "request" not in values:
        return True
    if str(values.get("key", "")).rpartition("/")[2] in servers:
        return values["source"] in sources
    is_dependency = values.get("logger") in _DEPENDENCY_LOGGERS
    return is_dependency and values["source"] in sources


def _describe(line: LogLine, started_at: float) -> str:
    values = dict(line.values)
    offset_ms = (line.written_at - started_at) * 1000
    message = values.pop("message", "")
    for name in ("time", "level", "logger", "request"):
        values.pop(name, None)
    source = values.pop("source", "")
    details = ", ".join(f"{name} {value}" for name, value in values.items())
    parts = [f"{offset_ms:+9.1f} ms", source, f"{message}: {details}"]
    return "  ".join(part for part in parts if part)
