"""Translates records of limits to and from messages between daemons."""

import math

from hyssopwind.core import ids
from hyssopwind.core.fleet import gossip_messages
from hyssopwind.core.limits import server_notices
from hyssopwind.core.limits import stated_limits

# Assumed longest time between the sending and the receipt of a statement.
MAX_DELIVERY_SECONDS = 0.01
_MAX_AGE_SECONDS = gossip_messages.MAX_AGE_MS / 1000


def make_statement(
    instance: ids.InstanceId, record: stated_limits.LimitRecord, now: float
) -> gossip_messages.LimitStatement:
    """Returns the message that tells peers of a record."""
    omitted_age_ms = -1
    if record.omitted_at > float("-inf"):
        omitted_age_ms = _age_ms(record.omitted_at, now)
    return gossip_messages.LimitStatement(
        instance,
        record.requests_per_second,
        _age_ms(record.stated_at, now),
        omitted_age_ms,
        sorted(kind.value for kind in record.kinds),
    )


def read_statement(
    statement: gossip_messages.LimitStatement, now: float
) -> tuple[ids.InstanceId, stated_limits.LimitRecord] | None:
    """Returns the record in a message; `None` if its values are invalid."""
    rate = statement.requests_per_second
    if not math.isfinite(rate) or rate < 0.0:
        return None
    if statement.stated_age_ms < 0 or statement.omitted_age_ms < -1:
        return None
    kinds = frozenset(
        kind
        for kind in server_notices.AnswerKind
        if kind.value in statement.kinds
    )
    if not kinds:
        return None
    omitted_at = float("-inf")
    if statement.omitted_age_ms >= 0:
        omitted_at = _time_before(statement.omitted_age_ms, now)
    return ids.InstanceId(statement.instance), stated_limits.LimitRecord(
        rate, _time_before(statement.stated_age_ms, now), kinds, omitted_at
    )


def _age_ms(at: float, now: float) -> int:
    return round(1000 * min(_MAX_AGE_SECONDS, max(0.0, now - at)))


def _time_before(age_ms: int, now: float) -> float:
    age_seconds = min(_MAX_AGE_SECONDS, age_ms / 1000)
    return now - age_seconds - MAX_DELIVERY_SECONDS
