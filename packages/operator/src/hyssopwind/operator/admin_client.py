"""Queries daemons on their admin addresses."""

import asyncio
import dataclasses
from collections.abc import Sequence
from typing import Any

import aiohttp

from hyssopwind.core import decoding

TIMEOUT_SECONDS = 3.0

_REPLY_DECODER = decoding.JsonDecoder[dict[str, Any]](dict[str, Any])


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The answer of one daemon, or why there is none.

    Attributes:
        address: the admin address of the daemon.
        content: the JSON answer; empty if there is an error.
        error: why there is no answer; empty if there is one.
    """

    address: str
    content: dict[str, Any]
    error: str = ""


def query_daemons(
    addresses: Sequence[str], path: str, query: dict[str, str]
) -> list[Reply]:
    """Returns the replies of all daemons, in the order of the addresses."""
    return asyncio.run(_query_all(addresses, path, query))


async def _query_all(
    addresses: Sequence[str], path: str, query: dict[str, str]
) -> list[Reply]:
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        queries = [
            _query_one(session, address, path, query) for address in addresses
        ]
        return list(await asyncio.gather(*queries))


async def _query_one(
    session: aiohttp.ClientSession,
    address: str,
    path: str,
    query: dict[str, str],
) -> Reply:
    try:
        async with session.get(
            f"http://{address}{path}", params=query
        ) as response:
            body = await response.read()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        reason = str(error) or type(error).__name__
        return Reply(address, {}, f"no answer: {reason}")
    try:
        return decoding.apply(_read_reply, address, body)
    except decoding.DecodeError as error:
        return Reply(address, {}, f"unreadable answer: {error}")


def _read_reply(address: str, body: bytes) -> Reply:
    content = _REPLY_DECODER.decode(body)
    if "error" in content:
        known_names = ", ".join(content.get("known", []))
        return Reply(address, {}, f"{content['error']}; known: {known_names}")
    return Reply(address, content)
