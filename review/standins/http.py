"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
import dataclasses
import socket
import struct


@dataclasses.dataclass
class Message:
    """A request or an answer: first line, fields (names in lower case), body."""

    first_line: str
    fields: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first_line.split(" ")[1])

    @property
    def method(self) -> str:
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        return self.first_line.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a message that states its length.

    Raises:
        asyncio.IncompleteReadError: the stream ended before.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return Message(lines[0], fields, body)


def encode(first_line: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with its length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    raw_socket = writer.get_extra_info("socket")
    if raw_socket is not None and raw_socket.fileno() >= 0:
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
