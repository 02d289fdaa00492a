"""Selects the header fields that are forwarded to the next hop.

References:
    RFC 9110, section 7.6.1.
"""

import multidict

OUTCOME = "Hyssopwind-Outcome"
FORWARDED = "Hyssopwind-Forwarded"
WANT_TICKETS = "Hyssopwind-Want-Tickets"
# Terms of a request that a gateway hands to a peer, and the result.
HANDOVER = "Hyssopwind-Handover"
NOT_AFTER = "X-Request-Not-After"
# Token of one attempt, which servers may state in their answers.
ATTEMPT = "Hyssopwind-Attempt"

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_SET_BY_HTTP_LIBRARY = frozenset({"content-length", "expect"})
_INTERNAL = frozenset(
    {
        FORWARDED.lower(),
        WANT_TICKETS.lower(),
        HANDOVER.lower(),
        ATTEMPT.lower(),
    }
)
_REMOVED = tuple(
    multidict.istr(name)
    for name in sorted(_HOP_BY_HOP | _SET_BY_HTTP_LIBRARY | _INTERNAL)
)


def end_to_end(
    headers: "multidict.CIMultiDictProxy[str] | multidict.CIMultiDict[str]",
) -> "multidict.CIMultiDict[str]":
    """Returns a copy without the fields that end at this hop.

    Examples:
        >>> fields = multidict.CIMultiDict(
        ...     {"Connection": "X-Once", "X-Once": "1", "Accept": "*/*"})
        >>> list(end_to_end(multidict.CIMultiDictProxy(fields)))
        ['Accept']
    """
    end_to_end_fields = headers.copy()
    for value in headers.getall("Connection", ()):
        for name in value.split(","):
            end_to_end_fields.popall(name.strip(), None)
    for name in _REMOVED:
        end_to_end_fields.popall(name, None)
    return end_to_end_fields


def forward_field(
    headers: "multidict.CIMultiDict[str]", field_name: str
) -> None:
    """Removes a field from those that `Connection` ends at this hop.

    Examples:
        >>> fields = multidict.CIMultiDict(
        ...     {"Connection": "close, A", "A": "1"})
        >>> forward_field(fields, "a")
        >>> list(end_to_end(fields))
        ['A']
    """
    values = headers.popall("Connection", ())
    for value in values:
        kept = [
            name
            for name in value.split(",")
            if name.strip().lower() != field_name.lower()
        ]
        if kept:
            headers.add("Connection", ",".join(kept))


def to_pairs(
    headers: "multidict.CIMultiDict[str]",
) -> tuple[tuple[str, str], ...]:
    """Returns the fields as pairs of plain text.

    The names in a multidict may be of a subclass of `str`, which the codec of
    the messages between daemons does not encode.

    Examples:
        >>> name = multidict.istr("A")
        >>> type(to_pairs(multidict.CIMultiDict({name: "b"}))[0][0])
        <class 'str'>
    """
    return tuple((str(name), value) for name, value in headers.items())
