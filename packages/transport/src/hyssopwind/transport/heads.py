"""Encodes and decodes the heads of HTTP messages."""

import multidict

# Header fields are bytes without a charset; latin-1 can decode any byte.
CHARSET = "latin-1"


def new_fields() -> "multidict.CIMultiDict[str]":
    """Returns an empty collection of header fields."""
    return multidict.CIMultiDict()


def add_field(
    fields: "multidict.CIMultiDict[str]", name: bytes, value: bytes
) -> None:
    """Adds a field from its bytes."""
    fields.add(name.decode(CHARSET), value.decode(CHARSET))


def encode_head(first_line: str, fields: "multidict.CIMultiDict[str]") -> bytes:
    r"""Returns the encoded head of a message.

    Examples:
        >>> fields = new_fields()
        >>> fields["Host"] = "a"
        >>> encode_head("GET / HTTP/1.1", fields)
        b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
    """
    lines = [first_line]
    lines.extend(f"{name}: {value}" for name, value in fields.items())
    lines.append("\r\n")
    return "\r\n".join(lines).encode(CHARSET, "replace")
