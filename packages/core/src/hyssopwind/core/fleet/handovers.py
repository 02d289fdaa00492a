"""What daemons state when one hands a request to another.

A daemon that is cut off from the servers hands a request to one peer, which
serves it and never hands it on. The terms travel with the request as the value
of one header field, and the result as that of one field of the answer, both as
JSON.
"""

import enum

import msgspec

from hyssopwind.core import decoding
from hyssopwind.core import ids
from hyssopwind.core import outcomes


class Terms(msgspec.Struct, frozen=True):
    """The terms under which a peer serves a request.

    Attributes:
        sender: name of the daemon that hands the request over.
        number: number of the handover, which the result repeats.
        remaining_ms: time until the caller or the route times out.
        waited_ms: time since the caller first sent the request.
        is_idempotent: whether the sender's route lets it run more than once.
        is_caller_retry: whether the caller retries it after a refusal.
        attempts_left: number of servers that it may be sent to.
        tried_servers: servers that it was sent to before.
        may_have_run: whether it may have run elsewhere, so that the peer's
            first attempt is a retry.
        tenant: name of its tenant, whose allowance the sender has charged.
        key_digest: digest of its key, never the key itself.
        configuration_version: version by which the sender accepted the key.
            The last three are absent if that version has no tenants, the tenant
            if the route is public, and the digest if the request has no key.
    """

    sender: str
    number: int
    remaining_ms: int
    waited_ms: int
    is_idempotent: bool
    is_caller_retry: bool
    attempts_left: int
    tried_servers: list[str] = []
    may_have_run: bool = False
    tenant: str | msgspec.UnsetType = msgspec.UNSET
    key_digest: str | msgspec.UnsetType = msgspec.UNSET
    configuration_version: int | msgspec.UnsetType = msgspec.UNSET


class Result(msgspec.Struct, frozen=True):
    """How a request ended at the peer.

    Attributes:
        number: number of the handover.
        tag: tag of the outcome.
        reason: slug of the reason, unless a server answered.
        detail: explanation of the reason.
        retry_after_seconds: seconds after which the caller may retry, if any.
        is_cut_off: whether the peer is cut off from the servers itself.
    """

    number: int
    tag: str
    reason: str = ""
    detail: str = ""
    retry_after_seconds: float | None = None
    is_cut_off: bool = False


class HandoverResult(enum.Enum):
    """Result of one handover for logs and metrics."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    CUT_OFF = "peer_cut_off"
    NOT_CONNECTED = "not_connected"
    WITHHELD = "withheld"
    BROKEN = "broken"


_TERMS_DECODER = decoding.JsonDecoder[Terms](Terms)
_RESULT_DECODER = decoding.JsonDecoder[Result](Result)


def add_tenant(
    terms: Terms,
    tenant: ids.TenantId | None,
    key_digest: ids.KeyDigest | None,
    configuration_version: int | None,
) -> Terms:
    """Returns terms with what they say of the tenant of a request.

    Args:
        terms: the terms.
        tenant: its tenant, if it has one.
        key_digest: digest of its key, if it has one.
        configuration_version: version by which it was accepted, if that version
            has tenants; otherwise the terms stay as they are.
    """
    if configuration_version is None:
        return terms
    return msgspec.structs.replace(
        terms,
        tenant=msgspec.UNSET if tenant is None else str(tenant),
        # Also on a public route, which a newer version of the peer may not have
        # as public.
        key_digest=msgspec.UNSET if key_digest is None else str(key_digest),
        configuration_version=configuration_version,
    )


def encode(message: Terms | Result) -> str:
    """Returns the value of the header field, in ASCII."""
    return msgspec.json.encode(message).decode("latin-1")


def decode_terms(text: str) -> Terms:
    """Returns the terms of a header field.

    Raises:
        DecodeError: the text is not valid.
    """
    return _TERMS_DECODER.decode(text)


def decode_result(text: str) -> Result:
    """Returns the result of a header field.

    Raises:
        DecodeError: the text is not valid.

    Examples:
        >>> sent = Result(7, "not-run", "overloaded", "no room", 0.5)
        >>> decode_result(encode(sent)) == sent
        True
    """
    return _RESULT_DECODER.decode(text)


def make_result(
    number: int, outcome: outcomes.Outcome, *, is_cut_off: bool
) -> Result:
    """Returns what a peer states of an outcome."""
    if isinstance(outcome, outcomes.Answered):
        return Result(number, outcome.tag)
    return Result(
        number,
        outcome.tag,
        outcome.reason.slug,
        outcome.detail,
        outcome.retry_after_seconds,
        is_cut_off,
    )


def read_failure(result: Result) -> outcomes.Failure:
    """Returns the failure that a peer stated.

    What cannot be read counts as unknown, which promises nothing.

    Examples:
        >>> read_failure(Result(1, "not-run", "overloaded", "no room")).tag
        'not-run'
        >>> read_failure(Result(1, "not-run", "of a later version")).tag
        'unknown'
    """
    try:
        reason = outcomes.Reason.from_slug(result.reason)
    except ValueError:
        return outcomes.Unknown(
            outcomes.Reason.SERVER_FAILED, f"peer: {result.detail}"
        )
    failure_class = (
        outcomes.NotRun
        if result.tag == outcomes.NotRun.tag
        else outcomes.Unknown
    )
    return failure_class(reason, result.detail, result.retry_after_seconds)


# Reasons of refusals that concern the peer and not the request.
PEER_REASONS = frozenset(
    {
        outcomes.Reason.STOPPING,
        outcomes.Reason.NOT_READY,
        outcomes.Reason.NO_ROUTE,
    }
)


def may_receive_body(
    peer_region: str, own_region: str, home_regions: frozenset[str]
) -> bool:
    """Whether the body of a request may be sent to a peer.

    Args:
        peer_region: region of the peer.
        own_region: region of this daemon.
        home_regions: regions whose servers the route allows; empty for all.

    Examples:
        >>> may_receive_body("east", "west", frozenset({"west"}))
        False
        >>> may_receive_body("east", "west", frozenset())
        True
    """
    return (
        not home_regions
        or peer_region in home_regions
        or peer_region == own_region
    )


def attempts_left(max_attempts: int, sent_to: set[ids.ServerId]) -> int:
    """Returns the number of servers that a request may still be sent to."""
    return max(0, max_attempts - len(sent_to))
