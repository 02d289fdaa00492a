"""Tickets: idempotency keys that name the process that alone may run them.

A ticket names the daemon and the start that issued it. No other process runs
the request, so neither lists of VMs nor clocks of other machines matter. When
the issuer is gone, its memory is gone with it, and nothing runs any more.
"""

import base64
import binascii
import dataclasses
import enum
import hashlib
import hmac

import msgspec

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.settings import documents

_MAC_BYTES = 16
_MAX_TICKET_CHARACTERS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A ticket as its issuer signed it.

    Attributes:
        issuer: the process that may run its request.
        number: number of the ticket, from 1, rising.
        expires: end of the first use, in seconds of the issuer's monotonic
            clock.
    """

    issuer: messages.Sender
    number: int
    expires: float


class BadTicket(enum.Enum):
    """Why a text is no ticket."""

    UNREADABLE = "the text is no ticket"
    SIGNATURE = "the signature is of no known key"


class _Payload(msgspec.Struct, frozen=True, array_like=True):
    daemon: str
    start: str
    number: int
    expires: float


_PAYLOAD_DECODER = msgspec.msgpack.Decoder(_Payload)


def _sign(payload: bytes, key: str) -> bytes:
    digest = hashlib.blake2b(
        payload, key=key.encode()[:64], digest_size=_MAC_BYTES
    )
    return digest.digest()


def encode_ticket(ticket: Ticket, key: str) -> str:
    """Returns the signed text of a ticket."""
    payload = msgspec.msgpack.encode(
        _Payload(
            ticket.issuer.daemon,
            ticket.issuer.start,
            ticket.number,
            ticket.expires,
        )
    )
    signed = _sign(payload, key) + payload
    return base64.urlsafe_b64encode(signed).decode().rstrip("=")


def read_ticket(text: str, keys: list[str]) -> Ticket | BadTicket:
    """Returns the ticket of a text, or what is wrong with it.

    Args:
        text: the text that a caller sent.
        keys: the signing keys, also those that sign no new tickets.

    Examples:
        >>> sender = messages.Sender(ids.DaemonId("a"), ids.StartId("1"))
        >>> ticket = Ticket(sender, 7, 60.0)
        >>> text = encode_ticket(ticket, "0123456789abcdef")
        >>> read_ticket(text, ["0123456789abcdef"]) == ticket
        True
        >>> read_ticket(text, ["fedcba9876543210"])
        <BadTicket.SIGNATURE: 'the signature is of no known key'>
    """
    if len(text) > _MAX_TICKET_CHARACTERS:
        return BadTicket.UNREADABLE
    try:
        signed = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except (binascii.Error, ValueError):
        return BadTicket.UNREADABLE
    mac, payload = signed[:_MAC_BYTES], signed[_MAC_BYTES:]
    try:
        content = _PAYLOAD_DECODER.decode(payload)
    except msgspec.DecodeError:
        return BadTicket.UNREADABLE
    for key in keys:
        if hmac.compare_digest(mac, _sign(payload, key)):
            issuer = messages.Sender(
                ids.DaemonId(content.daemon), ids.StartId(content.start)
            )
            return Ticket(issuer, content.number, content.expires)
    return BadTicket.SIGNATURE


class TicketIssuer:
    """Issues the tickets of one process."""

    def __init__(
        self, sender: messages.Sender, settings: documents.KeySettings
    ):
        self._sender = sender
        self._settings = settings
        self._last = 0

    def issue(self, now: float) -> str:
        """Returns a new ticket."""
        self._last += 1
        expires = now + self._settings.ticket_lifetime
        ticket = Ticket(self._sender, self._last, expires)
        return encode_ticket(ticket, self._settings.signing_keys[0])

    def read(self, text: str) -> Ticket | BadTicket:
        """Returns the ticket of a text, or what is wrong with it."""
        return read_ticket(text, self._settings.signing_keys)
