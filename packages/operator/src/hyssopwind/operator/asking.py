"""Asks daemons on their admin addresses."""

import asyncio
import dataclasses
from collections.abc import Sequence
from typing import Any

import aiohttp

TIMEOUT = 3.0  # seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What one daemon answered.

    Attributes:
        address: its admin address.
        content: the JSON answer; empty where there is an error.
        error: why there is no answer; empty where there is one.
    """

    address: str
    content: dict[str, Any]
    error: str = ""


def ask_daemons(
    addresses: Sequence[str], path: str, query: dict[str, str]
) -> list[Reply]:
    """Returns the replies of all daemons, in the order of the addresses."""
    return asyncio.run(_ask_all(addresses, path, query))


async def _ask_all(
    addresses: Sequence[str], path: str, query: dict[str, str]
) -> list[Reply]:
    timeout = aiohttp.ClientTimeout(total=TIMEOUT)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        asked = [_ask(session, a, path, query) for a in addresses]
        return list(await asyncio.gather(*asked))


async def _ask(
    session: aiohttp.ClientSession,
    address: str,
    path: str,
    query: dict[str, str],
) -> Reply:
    try:
        async with session.get(
            f"http://{address}{path}", params=query
        ) as response:
            content = await response.json()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        reason = str(error) or type(error).__name__
        return Reply(address, {}, f"no answer: {reason}")
    if "error" in content:
        known = ", ".join(content.get("known", []))
        return Reply(address, {}, f"{content['error']}; known: {known}")
    return Reply(address, content)
