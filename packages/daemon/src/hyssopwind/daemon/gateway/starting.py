"""Starts the daemon on the platform."""

import asyncio
import gc
import os
import socket
import sys

from hyssopwind.core.dispatch import settings
from hyssopwind.daemon import log_output
from hyssopwind.daemon.gateway import gateway

METRICS_PORT_VARIABLE = "HYSSOPWIND_METRICS_PORT"
EXIT_FINDINGS = 1
GC_THRESHOLDS = (20_000, 20, 50)  # objects, then collections of each age


def start(options: settings.GatewaySettings, listener: socket.socket) -> int:
    """Serves until SIGTERM.

    Args:
        options: the platform's settings.
        listener: listens for callers.
    """
    stream = log_output.BoundedStream(sys.stdout.fileno())
    log_output.install_stream(stream)
    port = os.environ.get(METRICS_PORT_VARIABLE, "")
    if not port.isdigit():
        print(f"hyssopwindd: {METRICS_PORT_VARIABLE} names no port")
        return EXIT_FINDINGS
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    asyncio.run(_serve(options, listener, int(port), stream))
    return 0


async def _serve(
    options: settings.GatewaySettings,
    listener: socket.socket,
    metrics_port: int,
    stream: log_output.BoundedStream,
) -> None:
    await gateway.Gateway(options, listener, metrics_port, stream).run()
