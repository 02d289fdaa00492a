"""One request on its way through the stages."""

import dataclasses

import multidict

from hyssopwind.core import ids
from hyssopwind.core.requests import classification
from hyssopwind.daemon import tracing


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request with what the stages learn about it.

    Attributes:
        item: the classified request.
        fields: header fields that go on to a server.
        span: the span of the request.
        forwarded_to: start identity that a peer expects here; empty where
            the request comes from a caller.
        fingerprint: hash of the request; set by the stages that need it.
        claimed: the claimed key; empty without one.
    """

    item: classification.Classified
    fields: "multidict.CIMultiDict[str]"
    span: tracing.Span
    forwarded_to: str = ""
    fingerprint: ids.Fingerprint = ids.Fingerprint("")
    claimed: str = ""

    def ensure_fingerprint(self) -> ids.Fingerprint:
        """Returns the hash of the request, made on first use."""
        if not self.fingerprint:
            self.fingerprint = classification.fingerprint(self.item.request)
        return self.fingerprint
