"""Judges runs with servers that hang by what callers and servers saw."""

from collections.abc import Iterator

from hyssopwind.standins.partitions import judging


def count_hung(evidence: judging.Evidence) -> int:
    """Returns the number of requests that servers ignored."""
    return sum(arrival.has_hung for arrival in evidence.arrivals)


def first_attempts(
    evidence: judging.Evidence, service: str, starts_at: float, ends_at: float
) -> Iterator[judging.Attempt]:
    """Yields the first attempts of callers of a service in a time.

    Args:
        evidence: what callers saw.
        service: the service.
        starts_at: monotonic time in seconds.
        ends_at: monotonic time in seconds.
    """
    for attempt in evidence.attempts.values():
        if not attempt.is_first or attempt.service != service:
            continue
        if starts_at <= attempt.at < ends_at:
            yield attempt


def in_target_ratio(
    evidence: judging.Evidence, service: str, starts_at: float, ends_at: float
) -> float:
    """Returns the ratio of first attempts answered within the target."""
    served_count = 0
    count = 0
    for attempt in first_attempts(evidence, service, starts_at, ends_at):
        count += 1
        seconds = attempt.ended_at - attempt.at
        if attempt.is_served and seconds <= evidence.latency_target_seconds:
            served_count += 1
    return served_count / max(1, count)


def refusal_seconds(evidence: judging.Evidence) -> list[float]:
    """Returns how long each refused request was held, in rising order."""
    return sorted(
        attempt.ended_at - attempt.at
        for attempt in evidence.attempts.values()
        if attempt.status in judging.PROMISES
    )


def make_report(evidence: judging.Evidence) -> dict[str, object]:
    """Returns the figures of a run."""
    held = refusal_seconds(evidence)
    served_count = sum(each.is_served for each in evidence.attempts.values())
    return {
        "attempts": len(evidence.attempts),
        "arrivals": len(evidence.arrivals),
        "served": served_count,
        "hung": count_hung(evidence),
        "refused": len(held),
        "refusal_p95": round(judging.percentile(held, 0.95), 3) if held else 0,
        "repeated_runs": len(judging.find_repeated_runs(evidence)),
        "broken_promises": len(judging.find_broken_promises(evidence)),
        "excess_attempts": len(judging.find_excess_attempts(evidence)),
        "defects": evidence.defects,
    }
