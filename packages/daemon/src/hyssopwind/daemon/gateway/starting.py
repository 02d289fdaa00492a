"""Starts the daemon on the platform."""

import asyncio
import gc
import os
import pathlib
import socket
import sys

from hyssopwind.core.dispatch import settings
from hyssopwind.core.settings import reading
from hyssopwind.core.settings import tuning
from hyssopwind.daemon import log_output
from hyssopwind.daemon.gateway import gateway

# Relative to the root of the repository, where the platform starts it.
TUNING_PATH = pathlib.Path("deploy/gateway.toml")
METRICS_PORT_VARIABLE = "HYSSOPWIND_METRICS_PORT"
EXIT_FINDINGS = 1
GC_THRESHOLDS = (20_000, 20, 50)  # objects, then collections of each age


def read_tuning(path: pathlib.Path) -> tuning.GatewayTuning | None:
    """Returns the tuning of a file; findings go to standard error.

    A file that does not exist leaves all defaults in force.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except FileNotFoundError:
        return tuning.GatewayTuning()
    result = reading.read_tuning(text, str(path))
    for finding in result.findings:
        print(f"hyssopwindd: {finding}", file=sys.stderr)
    return result.value


def start(options: settings.GatewaySettings, listener: socket.socket) -> int:
    """Serves until SIGTERM.

    Args:
        options: the platform's settings.
        listener: listens for callers.
    """
    tuned = read_tuning(TUNING_PATH)
    if tuned is None:
        return EXIT_FINDINGS
    stream = log_output.BoundedStream(sys.stdout.fileno(), tuned.logs)
    log_output.install_stream(stream)
    port = os.environ.get(METRICS_PORT_VARIABLE, "")
    if not port.isdigit():
        print(f"hyssopwindd: {METRICS_PORT_VARIABLE} names no port")
        return EXIT_FINDINGS
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    asyncio.run(_serve(options, tuned, listener, int(port), stream))
    return 0


async def _serve(
    options: settings.GatewaySettings,
    tuned: tuning.GatewayTuning,
    listener: socket.socket,
    metrics_port: int,
    stream: log_output.BoundedStream,
) -> None:
    await gateway.Gateway(options, tuned, listener, metrics_port, stream).run()
