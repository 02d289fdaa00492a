"""Minimal aiohttp forwarder, the baseline of the request path benchmark."""

import argparse
import asyncio

import aiohttp
import uvloop
import yarl
from aiohttp import web


class BareForwarder:
    """Forwards each request to one server and returns the whole answer."""

    def __init__(self, target: str):
        self._target = target
        self._session: aiohttp.ClientSession | None = None

    async def serve(self, port: int) -> None:
        """Serves callers until the process ends."""
        self._session = aiohttp.ClientSession(
            auto_decompress=False, cookie_jar=aiohttp.DummyCookieJar()
        )
        runner = web.ServerRunner(web.Server(self._handle))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        await asyncio.Event().wait()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        assert self._session is not None
        body = await request.read()
        url = yarl.URL(
            f"http://{self._target}{request.message.path}", encoded=True
        )
        headers = request.headers.copy()
        headers.popall("Host", None)
        headers.popall("Content-Length", None)
        async with self._session.request(
            request.method, url, headers=headers, data=body or None
        ) as response:
            content = await response.read()
            response_headers = response.headers.copy()
            response_headers.popall("Content-Length", None)
            response_headers.popall("Transfer-Encoding", None)
            return web.Response(
                status=response.status, headers=response_headers, body=content
            )


def main() -> None:
    """Runs the forwarder until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--target", required=True)
    arguments = parser.parse_args()
    uvloop.run(BareForwarder(arguments.target).serve(arguments.port))


if __name__ == "__main__":
    main()
