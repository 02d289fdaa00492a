"""Starts the unmodified gateway with its traffic on a narrow or cut link.

Run as the platform runs the gateway, with this module in place of the gateway's
and the source folder of the stand-ins behind the built packages:

    PYTHONPATH=target/deps:packages/standins/src
    HYSSOPWIND_LINK='{"mbps": 5, "control_path": "C", "counters_path": "D"}'
    python3 -S -m hyssopwind.standins.links.launcher hyssopwind.daemon.gateway

The last word is the module to run; its other settings are as usual. The keys of
`HYSSOPWIND_LINK` are those of `link.LinkSettings`, all of them optional.

All TCP and UDP traffic of the process shares one link. Each direction is a
queue, in which each connection may have `window_bytes`; more is not read, or
stays with the writer. Bytes of listeners count too, and so do opening packets
of connections that the process opens. What the kernel reports on a socket's
queues (SIOCINQ, SIOCOUTQ) does not include bytes that wait for the link, so
runs with planned stops should have a wide link.

To cut the process off from servers, replace (rename) the file `control_path` by
`link.Control(serial, kind, addresses).encode()`, such as

    {"serial": 1, "kind": "hang", "addresses": ["127.0.0.1:4711"]}

with one of the kinds in `link.CutKind`; `"none"` heals the cut. Addresses are
those that the process connects to. The file is polled every 20 ms, and may
exist at the start. Behind a cut that hangs, bytes are held and delivered after
it heals; a server does not see that the process closed a connection until then,
and TCP_USER_TIMEOUT applies.

After each reading of the control file, and at the end of the process, the
counters are written to `counters_path` as JSON: the `serial`, the bytes sent
and received by address that the process connected to, or `at PORT` for its
listeners, or `datagrams`; the longest queue and lost datagrams; the latest
timer (`max_lag_seconds`) and the processor time.
"""

import asyncio
import json
import os
import pathlib
import runpy
import sys
import time
from typing import Any

from hyssopwind.standins.links import link

SETTINGS_VARIABLE = "HYSSOPWIND_LINK"
POLL_SECONDS = 0.02


class LinkEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose connections share a link."""

    def __init__(self, link_settings: link.LinkSettings):
        super().__init__()
        self._link_settings = link_settings
        self._link = link.Link(self, link_settings)
        self._control_mtime = 0
        self._max_lag_seconds = 0.0
        self._poll(self.time())

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: str, port: int, **options: Any
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        """Opens a connection over the link."""
        address = f"{host}:{port}"
        await self._link.connect(address)
        linked: link.LinkedConnection
        _, linked = await super().create_connection(
            lambda: link.LinkedConnection(
                self, self._link, protocol_factory(), address
            ),
            host,
            port,
            **options,
        )
        try:
            await self._link.received.carry(address, link.CONNECT_BYTES)
        except asyncio.CancelledError:
            linked.abort()
            raise
        return linked, linked.get_protocol()

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Any,
        host: str | None = None,
        port: int | None = None,
        **options: Any,
    ) -> asyncio.Server:
        """Listens for connections over the link."""
        listener = options.get("sock")
        if listener is not None:
            port = listener.getsockname()[1]
        return await super().create_server(
            lambda: link.LinkedConnection(
                self, self._link, protocol_factory(), f"at {port}"
            ),
            host,
            None if listener is not None else port,
            **options,
        )

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Any, **options: Any
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        """Opens a UDP socket on the link."""
        datagrams: link.LinkedDatagrams
        _, datagrams = await super().create_datagram_endpoint(
            lambda: link.LinkedDatagrams(self._link, protocol_factory()),
            **options,
        )
        return datagrams, datagrams.get_protocol()

    def close(self) -> None:
        """Writes the counters and closes the loop."""
        self._write_counters()
        super().close()

    def _poll(self, due_at: float) -> None:
        self._max_lag_seconds = max(self._max_lag_seconds, self.time() - due_at)
        due_at = self.time() + POLL_SECONDS
        self.call_at(due_at, self._poll, due_at)
        if not self._link_settings.control_path:
            return
        path = pathlib.Path(self._link_settings.control_path)
        try:
            mtime = path.stat().st_mtime_ns
            if mtime == self._control_mtime:
                return
            control = link.decode_control(path.read_text())
        except FileNotFoundError:
            return
        self._control_mtime = mtime
        self._link.apply(control)
        self._write_counters()
        self._max_lag_seconds = 0.0

    def _write_counters(self) -> None:
        if not self._link_settings.counters_path:
            return
        path = pathlib.Path(self._link_settings.counters_path)
        counters = {
            "serial": self._link.control.serial,
            "max_lag_seconds": self._max_lag_seconds,
            "process_seconds": time.process_time(),
            **self._link.counters(),
        }
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps(counters))
        new_path.replace(path)


class LinkEventLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Creates event loops whose connections share a link."""

    def __init__(self, link_settings: link.LinkSettings):
        super().__init__()
        self._link_settings = link_settings

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Returns a new loop with a link of its own."""
        return LinkEventLoop(self._link_settings)


def main() -> None:
    """Runs the module that the command line names."""
    fields = json.loads(os.environ.get(SETTINGS_VARIABLE, "{}"))
    asyncio.set_event_loop_policy(
        LinkEventLoopPolicy(link.LinkSettings(**fields))
    )
    module = sys.argv[1]
    del sys.argv[1]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
