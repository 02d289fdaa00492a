"""Decodes data that other programs wrote.

Data from outside of a process is decoded through this module, so that every
exception of a decoder becomes a `DecodeError`. A caller that handles this one
error loses no more than the part that cannot be decoded, whatever its bytes
are. `tools/check_decoders.py` reports decoders that are called directly.
"""

import base64
import binascii
import functools
import ipaddress
import re
import tomllib
import zlib
from collections.abc import Callable
from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

T = TypeVar("T")

# Without leading zeros, which other parsers read as octal numbers.
_IPV4_ADDRESS = re.compile(
    r"(?:(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])(?:\.(?!$)|$)){4}"
)
MAX_KEY_PARTS = 16  # of a dotted key in TOML
# The quantifiers are possessive, so that the search takes linear time.
_LONG_KEY = re.compile(
    r"""(?<![\w"'.-])(?:(?:[\w-]++|"[^"\n]*+"|'[^'\n]*+')[ \t]*+\.[ \t]*+)"""
    rf"{{{MAX_KEY_PARTS}}}"
)

MAX_REASON_CHARACTERS = 200
MAX_PORT = 65_535
MAX_CACHED_ADDRESSES = 8_192
MAX_PORT_DIGITS = len(str(MAX_PORT))


class DecodeError(ValueError):
    """Data cannot be decoded; the text gives the reason and is short."""


def apply(decode: Callable[..., T], *arguments: Any) -> T:
    """Calls a decoder, or a function that interprets what was decoded.

    Raises:
        DecodeError: the function raised any exception.

    Examples:
        >>> apply(int, "7")
        7
        >>> apply(int, "many")
        Traceback (most recent call last):
        ...
        hyssopwind.core.decoding.DecodeError: invalid literal for int() with \
base 10: 'many'
    """
    try:
        return decode(*arguments)
    except DecodeError:
        raise
    except Exception as error:
        raise DecodeError(describe(error)) from error


def describe(error: Exception) -> str:
    """Returns the reason that an exception gives, cut to a bounded length.

    Examples:
        >>> describe(KeyError())
        'KeyError'
        >>> len(describe(ValueError("x" * 1_000)))
        200
    """
    return shorten(str(error) or type(error).__name__)


def shorten(text: str) -> str:
    """Returns a text, cut to a bounded length.

    Examples:
        >>> shorten("short")
        'short'
    """
    if len(text) <= MAX_REASON_CHARACTERS:
        return text
    return text[: MAX_REASON_CHARACTERS - 3] + "..."


class JsonDecoder(Generic[T]):
    """Decodes JSON text to a type.

    Examples:
        >>> JsonDecoder(list[int]).decode(b"[1, 2]")
        [1, 2]
    """

    def __init__(self, kind: Any, *, strict: bool = True):
        self._decoder: msgspec.json.Decoder[T] = msgspec.json.Decoder(
            kind, strict=strict
        )

    def decode(self, data: bytes | str | msgspec.Raw) -> T:
        """Returns the value that `data` encodes.

        Raises:
            DecodeError: `data` encodes no value of the type.
        """
        try:
            return self._decoder.decode(data)
        except Exception as error:
            raise DecodeError(describe(error)) from error


class MessagePackDecoder(Generic[T]):
    """Decodes MessagePack to a type.

    Examples:
        >>> MessagePackDecoder(list[int]).decode(bytes([0x92, 1, 2]))
        [1, 2]
    """

    def __init__(self, kind: Any):
        self._decoder: msgspec.msgpack.Decoder[T] = msgspec.msgpack.Decoder(
            kind
        )

    def decode(self, data: bytes) -> T:
        """Returns the value that `data` encodes.

        Raises:
            DecodeError: `data` encodes no value of the type.
        """
        try:
            return self._decoder.decode(data)
        except Exception as error:
            raise DecodeError(describe(error)) from error


def decode_json(text: bytes | str) -> Any:
    """Returns the value of a JSON text of any type.

    Raises:
        DecodeError: the text is not JSON.
    """
    return apply(msgspec.json.decode, text)


def decode_toml(text: str) -> dict[str, Any]:
    """Returns the value of a TOML document.

    Raises:
        DecodeError: the text is not TOML, or has a key of too many parts.

    Examples:
        >>> decode_toml("a = 1")
        {'a': 1}
        >>> decode_toml("a." * 16 + "a = 1")
        Traceback (most recent call last):
        ...
        hyssopwind.core.decoding.DecodeError: expected dotted keys of at most \
16 parts (at line 1)
    """
    # The time that the parser takes for a key is quadratic in its parts.
    long_key = _LONG_KEY.search(text)
    if long_key is not None:
        line = text.count("\n", 0, long_key.start()) + 1
        raise DecodeError(
            f"expected dotted keys of at most {MAX_KEY_PARTS} parts"
            f" (at line {line})"
        )
    return apply(tomllib.loads, text)


def convert(
    value: Any,
    kind: Any,
    dec_hook: Callable[[type, Any], Any] | None = None,
    *,
    strict: bool = True,
) -> Any:
    """Converts decoded values to a type, as `msgspec.convert` does.

    Raises:
        DecodeError: the values do not fit the type.
    """
    try:
        return msgspec.convert(value, kind, dec_hook=dec_hook, strict=strict)
    except Exception as error:
        raise DecodeError(describe(error)) from error


def decode_utf8(data: bytes) -> str:
    """Returns the text that UTF-8 encodes.

    Raises:
        DecodeError: the bytes are not UTF-8.
    """
    try:
        return data.decode("utf-8")
    except Exception as error:
        raise DecodeError(describe(error)) from error


def decode_base64(text: str) -> bytes:
    """Returns the bytes that standard Base64 encodes.

    Raises:
        DecodeError: the text is not Base64.

    Examples:
        >>> decode_base64("YQ==")
        b'a'
    """
    try:
        return binascii.a2b_base64(text, strict_mode=True)
    except Exception as error:
        raise DecodeError(describe(error)) from error


def decode_urlsafe_base64(text: str) -> bytes:
    """Returns the bytes that URL-safe Base64 encodes.

    Raises:
        DecodeError: the text is not Base64.
    """
    return apply(base64.urlsafe_b64decode, text)


def inflate(data: bytes, max_bytes: int) -> bytes:
    """Inflates bytes.

    Raises:
        DecodeError: the bytes are not deflated, are incomplete or give more
            than `max_bytes`.

    Examples:
        >>> inflate(zlib.compress(b"a"), 10)
        b'a'
    """
    return apply(_inflate, data, max_bytes)


@functools.lru_cache(MAX_CACHED_ADDRESSES)
def split_address(address: str) -> tuple[str, int]:
    """Returns the IP address and the port of a text `ADDRESS:PORT`.

    Raises:
        DecodeError: the text has no IP address, or no port from 1 to 65535.

    Examples:
        >>> split_address("10.0.0.1:80")
        ('10.0.0.1', 80)
        >>> split_address("10.0.0.1:0")
        Traceback (most recent call last):
        ...
        hyssopwind.core.decoding.DecodeError: expected an IP address and a \
port from 1 to 65535, got "10.0.0.1:0"
    """
    host, _, port = address.rpartition(":")
    is_ip_address = _IPV4_ADDRESS.fullmatch(host) or _is_ip_address(host)
    if is_ip_address and _is_port(port):
        return host, int(port)
    raise DecodeError(
        f"expected an IP address and a port from 1 to {MAX_PORT},"
        f' got "{shorten(address)}"'
    )


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_port(text: str) -> bool:
    # Other digits than those of ASCII, and long numbers, may raise in `int`.
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_PORT_DIGITS:
        return False
    return 0 < int(text) <= MAX_PORT


def _inflate(data: bytes, max_bytes: int) -> bytes:
    inflater = zlib.decompressobj()
    inflated = inflater.decompress(data, max_bytes)
    if not inflater.eof:
        raise DecodeError("the deflated bytes are too long or incomplete")
    return inflated
