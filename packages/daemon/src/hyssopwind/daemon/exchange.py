"""The context of one request in the stages."""

import dataclasses

import multidict

from hyssopwind.core import ids
from hyssopwind.core.requests import classification
from hyssopwind.daemon import tracing


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request with the state that the stages share.

    Attributes:
        item: the classified request.
        fields: header fields that are forwarded to the server.
        span: the span of the request.
        forwarded_to: identifier of the daemon start that a forwarding peer
            expects here; empty if the request comes from a caller.
        fingerprint: hash of the request; empty until a stage needs it.
        claimed: the idempotency key claimed for the request; empty without
            one.
    """

    item: classification.ClassifiedRequest
    fields: "multidict.CIMultiDict[str]"
    span: tracing.Span
    forwarded_to: str = ""
    fingerprint: ids.Fingerprint = ids.Fingerprint("")
    claimed: str = ""

    def ensure_fingerprint(self) -> ids.Fingerprint:
        """Returns the hash of the request, computed on first use."""
        if not self.fingerprint:
            self.fingerprint = classification.fingerprint(self.item.request)
        return self.fingerprint
