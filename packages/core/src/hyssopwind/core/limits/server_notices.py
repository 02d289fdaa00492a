"""What a server states about itself in the header fields of an answer."""

import dataclasses
import enum


class AnswerKind(enum.Enum):
    """The kind of request that a server answered.

    A server may state something only in its answers to one of them.

    Attributes:
        PROBE: a load probe of this daemon.
        REQUEST: a request of a caller.
        REFUSAL: a request of a caller, which the server did not run.
    """

    PROBE = "probe"
    REQUEST = "request"
    REFUSAL = "refusal"


@dataclasses.dataclass(frozen=True, slots=True)
class ServerNotices:
    """Statements of a server about itself.

    Attributes:
        requests_per_second: limit on the requests of all daemons together;
            `None` if the answer states none.
        is_limit_unreadable: whether the answer states a limit that cannot be
            decoded, so that it neither sets nor ends one.
        is_leaving: whether it will stop and wants no further requests.
        quiet_seconds: seconds for which it wants no requests of this daemon;
            0 if the answer states none.
        findings: fields that were ignored because of their values.
    """

    requests_per_second: float | None = None
    is_limit_unreadable: bool = False
    is_leaving: bool = False
    quiet_seconds: float = 0.0
    findings: tuple[str, ...] = ()
