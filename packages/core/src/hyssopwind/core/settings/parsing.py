"""Parses and validates settings documents and collects all findings.

The result depends only on the text of a document, so every daemon accepts or
rejects the same documents.
"""

import dataclasses
import enum
import re
import typing
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

from hyssopwind.core import decoding
from hyssopwind.core import findings
from hyssopwind.core import units
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import key_locations
from hyssopwind.core.settings import tuning

T = TypeVar("T")
# The path of a key and the text of what is wrong with it.
Problem = tuple[key_locations.KeyPath, str]

MAX_DOCUMENT_BYTES = 1_000_000
# A daemon takes about 52 MB at rest, and a quarter is for callers.
MIN_MEMORY_BYTES = 64_000_000
MAX_FINDINGS = 200  # of one document
MAX_NUMBER = 1_000_000  # of slots, attempts and the like

_NAME = re.compile(r"[a-z0-9][a-z0-9-]*")
_ROUTE = re.compile(r"(/[A-Za-z0-9._~-]+)+")
_ADDRESS = re.compile(r"\d+\.\d+\.\d+\.\d+:\d+")
_TOML_ERROR_LINE = re.compile(r"at line (\d+)")


@dataclasses.dataclass(frozen=True, slots=True)
class ParseResult(Generic[T]):
    """The result of parsing a document.

    Attributes:
        value: the settings, or `None` if there are findings.
        findings: all errors found, in the order of the lines.
    """

    value: T | None
    findings: tuple[findings.Finding, ...]


def parse_team(text: str, source: str) -> ParseResult[documents.TeamSettings]:
    """Parses the settings of a team from TOML text."""
    return _parse(text, source, documents.TeamSettings, _validate_team)


def parse_daemon(
    text: str, source: str
) -> ParseResult[documents.DaemonSettings]:
    """Parses the settings of a daemon from TOML text."""
    return _parse(text, source, documents.DaemonSettings, _validate_daemon)


def parse_tuning(text: str, source: str) -> ParseResult[tuning.GatewayTuning]:
    """Parses the tuning file of a daemon that runs on the platform."""
    return _parse(text, source, tuning.GatewayTuning, _validate_tuning)


def _parse(
    text: str,
    source: str,
    kind: type[T],
    validate: Callable[[T], Iterator[Problem]],
) -> ParseResult[T]:
    size = len(text.encode())
    if size > MAX_DOCUMENT_BYTES:
        message = f"expected at most {MAX_DOCUMENT_BYTES} bytes, got {size}"
        return ParseResult(None, (findings.Finding(source, 1, "", message),))
    try:
        raw = decoding.decode_toml(text)
    except decoding.DecodeError as error:
        return ParseResult(None, (_syntax_finding(source, error),))
    try:
        return decoding.apply(_check, text, raw, source, kind, validate)
    except decoding.DecodeError as error:
        # A value that the checks below do not foresee.
        return ParseResult(None, (findings.Finding(source, 1, "", str(error)),))


def _check(
    text: str,
    raw: dict[str, Any],
    source: str,
    kind: type[T],
    validate: Callable[[T], Iterator[Problem]],
) -> ParseResult[T]:
    """Returns the settings in a decoded document, or its findings."""
    lines = key_locations.locate_keys(text)
    # `msgspec.convert` stops at the first error, so all are collected before.
    problems = list(_find_struct_problems(kind, raw, ()))
    value = None
    if not problems:
        value = decoding.convert(raw, kind, units.decode_quantity)
        problems = list(validate(value))
    located_findings = [
        findings.Finding(
            source,
            key_locations.find_line(lines, path),
            decoding.shorten(".".join(path)),
            decoding.shorten(message),
        )
        for path, message in problems
    ]
    if located_findings:
        return ParseResult(None, _bound_findings(source, located_findings))
    return ParseResult(value, ())


def _bound_findings(
    source: str, found: list[findings.Finding]
) -> tuple[findings.Finding, ...]:
    """Returns the first findings in the order of the lines."""
    ordered = sorted(found)
    left_out_count = len(ordered) - MAX_FINDINGS
    if left_out_count <= 0:
        return tuple(ordered)
    last = findings.Finding(
        source,
        ordered[MAX_FINDINGS].line,
        "",
        f"{left_out_count} more findings",
    )
    return (*ordered[:MAX_FINDINGS], last)


def _syntax_finding(
    source: str, error: decoding.DecodeError
) -> findings.Finding:
    match = _TOML_ERROR_LINE.search(str(error))
    line = int(match[1]) if match else 1
    return findings.Finding(source, line, "", f"expected TOML: {error}")


def _find_struct_problems(
    kind: type, raw: Any, path: key_locations.KeyPath
) -> Iterator[Problem]:
    if not isinstance(raw, dict):
        yield path, f"expected a table, got {decoding.shorten(repr(raw))}"
        return
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    for key in raw:
        if key not in fields:
            expected = ", ".join(sorted(fields))
            yield (*path, key), f"unknown key; expected one of {expected}"
    for name, field in fields.items():
        if name in raw:
            yield from _find_value_problems(
                field.type, raw[name], (*path, name)
            )
            continue
        if field.required:
            yield (*path, name), "expected this key, but it is missing"


def _find_value_problems(
    kind: Any, raw: Any, path: key_locations.KeyPath
) -> Iterator[Problem]:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield from _find_struct_problems(kind, raw, path)
        return
    origin = typing.get_origin(kind)
    if origin is dict and isinstance(raw, dict):
        _, value_type = typing.get_args(kind)
        for key, value in raw.items():
            yield from _find_value_problems(value_type, value, (*path, key))
        return
    try:
        decoding.convert(raw, kind, units.decode_quantity)
    except decoding.DecodeError as error:
        yield path, _describe_error(kind, raw, error)


def _describe_error(kind: Any, raw: Any, error: decoding.DecodeError) -> str:
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        expected = ", ".join(f'"{member.value}"' for member in kind)
        return f"expected one of {expected}, got {decoding.shorten(repr(raw))}"
    text = str(error).partition(" - at `")[0]
    return text[:1].lower() + text[1:]


def _validate_team(team: documents.TeamSettings) -> Iterator[Problem]:
    if not team.data_centres:
        yield ("data_centres",), "expected at least one data centre"
    for name, data_centre in team.data_centres.items():
        yield from _validate_data_centre(team, name, data_centre)
    service_by_route: dict[str, str] = {}
    for name, service in team.services.items():
        yield from _validate_service(team, name, service)
        first_user = service_by_route.setdefault(service.route, name)
        if first_user == name:
            continue
        message = f'route "{service.route}" is used by service "{first_user}"'
        yield ("services", name, "route"), message


def _validate_data_centre(
    team: documents.TeamSettings,
    name: str,
    data_centre: documents.DataCentreSettings,
) -> Iterator[Problem]:
    path = ("data_centres", name)
    if not _NAME.fullmatch(name):
        yield path, "expected a name of lower-case letters, digits and hyphens"
    for other_name in data_centre.delay:
        if other_name in team.data_centres:
            continue
        yield (
            (*path, "delay", other_name),
            f'no data centre is named "{other_name}"',
        )


def _validate_service(
    team: documents.TeamSettings,
    name: str,
    service: documents.ServiceSettings,
) -> Iterator[Problem]:
    path = ("services", name)
    if not _NAME.fullmatch(name):
        yield path, "expected a name of lower-case letters, digits and hyphens"
    if not _ROUTE.fullmatch(service.route):
        yield (
            (*path, "route"),
            f'expected a path such as "/roster", got "{service.route}"',
        )
    for data_centre in service.load:
        if data_centre in team.data_centres:
            continue
        message = f'no data centre is named "{data_centre}"'
        yield (*path, "load", data_centre), message
    for key, value, lowest in _service_minimums(service):
        if lowest <= value <= MAX_NUMBER:
            continue
        limit = f"at least {lowest}" if value < lowest else "a smaller number"
        message = f"expected {limit}, got {value}"
        yield (*path, *key.split(".")), message
    if service.cold_start.limit > service.slots:
        yield (
            (*path, "cold_start", "limit"),
            f"expected at most the {service.slots} slots of a server, "
            f"got {service.cold_start.limit}",
        )


def _service_minimums(
    service: documents.ServiceSettings,
) -> Iterator[tuple[str, float, float]]:
    yield "slots", service.slots, 1
    yield "deadline", service.deadline, 0.001
    yield "retries.attempts", service.retries.attempts, 1
    yield "retries.ratio", service.retries.ratio, 0
    yield "cold_start.limit", service.cold_start.limit, 1
    yield "cold_start.step", service.cold_start.step, 1


def _validate_daemon(daemon: documents.DaemonSettings) -> Iterator[Problem]:
    for key in ("callers", "peers", "admin"):
        address = getattr(daemon, key)
        if not _ADDRESS.fullmatch(address):
            yield (
                (key,),
                f'expected an address such as "10.0.0.1:80", got "{address}"',
            )
    if not daemon.keys.signing_keys:
        yield ("keys", "signing_keys"), "expected at least one key"
    for index, key in enumerate(daemon.keys.signing_keys):
        if len(key) < 16:
            yield (
                ("keys", "signing_keys"),
                f"expected 16 characters or more in key {index + 1}",
            )
    cluster = daemon.cluster
    if cluster.entry_vms < 1:
        yield (
            ("cluster", "entry_vms"),
            f"expected at least 1, got {cluster.entry_vms}",
        )
    if cluster.heartbeat * 2 > cluster.lease:
        yield (
            ("cluster", "heartbeat"),
            "expected at most half of the lease, got "
            f"{cluster.heartbeat}s for a lease of {cluster.lease}s",
        )
    if not 0 <= daemon.traces.sample <= 1:
        yield (
            ("traces", "sample"),
            f"expected a share from 0 to 1, got {daemon.traces.sample}",
        )
    if daemon.limits.memory < MIN_MEMORY_BYTES:
        yield (
            ("limits", "memory"),
            f"expected at least {MIN_MEMORY_BYTES}B, got "
            f"{daemon.limits.memory}B",
        )
    if daemon.limits.descriptors < 0:
        yield (
            ("limits", "descriptors"),
            f"expected 0 or more, got {daemon.limits.descriptors}",
        )


def _validate_tuning(gateway_tuning: tuning.GatewayTuning) -> Iterator[Problem]:
    for path, value, lowest, highest in _tuning_bounds(gateway_tuning):
        if lowest <= value <= highest:
            continue
        message = f"expected a value from {lowest} to {highest}, got {value}"
        yield path, message


def _tuning_bounds(
    gateway_tuning: tuning.GatewayTuning,
) -> Iterator[tuple[key_locations.KeyPath, float, float, float]]:
    choosing, repeating = gateway_tuning.choosing, gateway_tuning.repeating
    yield ("choosing", "near_sample"), choosing.near_sample, 1, 100
    yield ("choosing", "far_sample"), choosing.far_sample, 0, 100
    yield ("choosing", "check_timeout"), choosing.check_timeout, 0.005, 5
    yield ("choosing", "wait_step"), choosing.wait_step, 0.005, 1
    yield ("choosing", "good_factor"), choosing.good_factor, 1, 10
    yield ("choosing", "far_penalty"), choosing.far_penalty, 0, 5
    yield ("repeating", "spent_part"), repeating.spent_part, 0, 1
    yield ("repeating", "hedge_factor"), repeating.hedge_factor, 1, 100
    yield ("repeating", "latest_hedge"), repeating.latest_hedge, 0, 1
    yield ("reading", "watch_wait"), gateway_tuning.reading.watch_wait, 0.1, 30
    yield ("reading", "merge_delay"), gateway_tuning.reading.merge_delay, 0, 1
    yield ("logs", "lines"), gateway_tuning.logs.lines, 1, 100_000
    yield ("logs", "burst"), gateway_tuning.logs.burst, 1, 1_000_000
