"""The context of one request in the stages."""

import dataclasses

import multidict

from hyssopwind.core import ids
from hyssopwind.core.requests import classification
from hyssopwind.daemon import tracing


@dataclasses.dataclass(slots=True)
class RequestContext:
    """A request with the state that the stages share.

    Attributes:
        classified: the classified request.
        fields: header fields that are forwarded.
        span: the span of the request.
        expected_start_id: identifier of the daemon start that a forwarding peer
            expects here; empty if the request comes from a caller.
        fingerprint: hash of the request; empty until a stage needs it.
        claimed_key: the idempotency key claimed for the request; empty without
            one.
    """

    classified: classification.ClassifiedRequest
    fields: "multidict.CIMultiDict[str]"
    span: tracing.Span
    expected_start_id: str = ""
    fingerprint: ids.Fingerprint = ids.Fingerprint("")
    claimed_key: str = ""

    def ensure_fingerprint(self) -> ids.Fingerprint:
        """Returns the hash of the request, computed on first use."""
        if not self.fingerprint:
            self.fingerprint = classification.fingerprint(
                self.classified.request
            )
        return self.fingerprint
