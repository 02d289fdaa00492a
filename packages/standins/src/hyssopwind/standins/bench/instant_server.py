"""Server that answers at once, so that only the request path is measured."""

import argparse
import asyncio

import uvloop
from aiohttp import web

_LOAD_REPORT = {"start": "1", "cold": False, "draining": False, "age_ms": 0}


async def _handle(request: web.BaseRequest) -> web.Response:
    await request.read()
    if request.path == "/load":
        return web.json_response(_LOAD_REPORT)
    return web.Response(body=b"x" * 100, headers={"Server-Start": "1"})


async def _serve(port: int) -> None:
    runner = web.ServerRunner(web.Server(_handle))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


def main() -> None:
    """Runs the server until it is stopped.

    The other options of `hyssopwind.standins.server` are accepted and ignored.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    arguments, _ = parser.parse_known_args()
    uvloop.run(_serve(arguments.port))


if __name__ == "__main__":
    main()
