"""Binary encoding of the outcomes that one key owner transfers to another."""

import msgspec

from hyssopwind.core import decoding
from hyssopwind.core import outcomes


class _StoredOutcome(msgspec.Struct, frozen=True, array_like=True):
    tag: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    reason: str = ""
    detail: str = ""
    retry_after: float | None = None


_DECODER = decoding.MessagePackDecoder[_StoredOutcome](_StoredOutcome)


def encode_outcome(outcome: outcomes.Outcome) -> bytes:
    """Returns the encoded outcome."""
    if isinstance(outcome, outcomes.Answered):
        stored = _StoredOutcome(
            outcome.tag, outcome.status, outcome.headers, outcome.body
        )
        return msgspec.msgpack.encode(stored)
    stored = _StoredOutcome(
        outcome.tag,
        reason=outcome.reason.name,
        detail=outcome.detail,
        retry_after=outcome.retry_after_seconds,
    )
    return msgspec.msgpack.encode(stored)


def decode_transferred(data: bytes) -> outcomes.Outcome:
    """Returns the outcome that another daemon sent of a request that ran.

    An outcome that cannot be decoded is unknown, so that the request of the key
    does not run again.

    Examples:
        >>> decode_transferred(b"?").tag
        'unknown'
    """
    try:
        return decode_outcome(data)
    except decoding.DecodeError:
        return outcomes.Unknown(
            outcomes.Reason.ANSWER_NOT_KEPT,
            "the outcome that another daemon sent cannot be decoded",
        )


def decode_outcome(data: bytes) -> outcomes.Outcome:
    """Returns the outcome that `data` encodes.

    Raises:
        DecodeError: `data` is not an encoded outcome.

    Examples:
        >>> answer = outcomes.Answered(200, (("A", "b"),), b"whole")
        >>> decode_outcome(encode_outcome(answer)) == answer
        True
    """
    stored = _DECODER.decode(data)
    if stored.tag == outcomes.Answered.tag:
        return outcomes.Answered(stored.status, stored.headers, stored.body)
    try:
        reason = outcomes.Reason[stored.reason]
    except KeyError:
        raise decoding.DecodeError(
            f'stored outcome has the unknown reason "{stored.reason}"'
        ) from None
    if stored.tag == outcomes.Unknown.tag:
        return outcomes.Unknown(reason, stored.detail, stored.retry_after)
    return outcomes.NotRun(reason, stored.detail, stored.retry_after)
