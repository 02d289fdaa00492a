"""Tickets: idempotency keys that only the issuing process may run.

A ticket names the daemon and the start that issued it. No other process runs
the request, so neither lists of VMs nor clocks of other machines matter. When
the issuer has ended, its key records are lost, and the request can no longer
run.
"""

import base64
import dataclasses
import enum
import hashlib
import hmac

import msgspec

from hyssopwind.core import decoding
from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.settings import documents

_MAC_BYTES = 16
_MAX_TICKET_CHARACTERS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Content of a signed ticket.

    Attributes:
        issuer: the process that may run the request.
        number: number of the ticket; the issuer counts from 1.
        expires_at: time until which the ticket may be used first, in seconds of
            the issuer's monotonic clock.
    """

    issuer: messages.DaemonIdentity
    number: int
    expires_at: float


class BadTicket(enum.Enum):
    """Reasons for which a text is not a valid ticket."""

    UNREADABLE = "the text is no ticket"
    SIGNATURE = "the signature is of no known key"


class _Payload(msgspec.Struct, frozen=True, array_like=True):
    daemon: str
    start: str
    number: int
    expires: float


_PAYLOAD_DECODER = decoding.MessagePackDecoder[_Payload](_Payload)


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
            ticket.issuer.start_id,
            ticket.number,
            ticket.expires_at,
        )
    )
    signed = _sign(payload, key) + payload
    return base64.urlsafe_b64encode(signed).decode().rstrip("=")


def read_ticket(text: str, keys: list[str]) -> Ticket | BadTicket:
    """Returns the ticket that a text encodes, or why it is not valid.

    Args:
        text: the text that a caller sent.
        keys: all accepted signing keys, including keys that no longer sign new
            tickets.

    Examples:
        >>> daemon, start_id = ids.DaemonId("a"), ids.StartId("1")
        >>> issuer = messages.DaemonIdentity(daemon, start_id)
        >>> ticket = Ticket(issuer, 7, 60.0)
        >>> text = encode_ticket(ticket, "0123456789abcdef")
        >>> read_ticket(text, ["0123456789abcdef"]) == ticket
        True
        >>> read_ticket(text, ["fedcba9876543210"])
        <BadTicket.SIGNATURE: 'the signature is of no known key'>
    """
    if len(text) > _MAX_TICKET_CHARACTERS:
        return BadTicket.UNREADABLE
    try:
        signed = decoding.decode_urlsafe_base64(text + "=" * (-len(text) % 4))
        mac, payload = signed[:_MAC_BYTES], signed[_MAC_BYTES:]
        decoded = _PAYLOAD_DECODER.decode(payload)
    except decoding.DecodeError:
        return BadTicket.UNREADABLE
    for key in keys:
        if hmac.compare_digest(mac, _sign(payload, key)):
            issuer = messages.DaemonIdentity(
                ids.DaemonId(decoded.daemon), ids.StartId(decoded.start)
            )
            return Ticket(issuer, decoded.number, decoded.expires)
    return BadTicket.SIGNATURE


class TicketIssuer:
    """Issues the tickets of one process."""

    def __init__(
        self, sender: messages.DaemonIdentity, settings: documents.KeySettings
    ):
        self._sender = sender
        self._settings = settings
        self._last_number = 0

    def issue(self, now: float) -> str:
        """Returns a new ticket."""
        self._last_number += 1
        expires = now + self._settings.ticket_lifetime
        ticket = Ticket(self._sender, self._last_number, expires)
        return encode_ticket(ticket, self._settings.signing_keys[0])

    def read(self, text: str) -> Ticket | BadTicket:
        """Returns the ticket that a text encodes, or why it is not valid."""
        return read_ticket(text, self._settings.signing_keys)
