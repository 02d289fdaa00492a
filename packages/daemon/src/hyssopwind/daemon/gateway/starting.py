"""Starts the daemon on the platform."""

import gc
import sys

import uvloop

from hyssopwind.core.dispatch import settings
from hyssopwind.daemon import log_output
from hyssopwind.daemon.gateway import gateway
from hyssopwind.platform import boot

EXIT_FINDINGS = 1
GC_THRESHOLDS = (20_000, 20, 50)  # objects, then collections of each age


def start(metrics_port: int) -> int:
    """Reads the platform's settings file and serves until SIGTERM."""
    stream = log_output.BoundedStream(sys.stdout.fileno())
    log_output.install_stream(stream)
    try:
        options = boot.load()
    except boot.BootError as error:
        print(f"hyssopwindd: {error}", file=sys.stderr)
        return EXIT_FINDINGS
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    uvloop.run(_serve(options, metrics_port, stream))
    return 0


async def _serve(
    options: settings.GatewaySettings,
    metrics_port: int,
    stream: log_output.BoundedStream,
) -> None:
    await gateway.Gateway(options, metrics_port, stream).run()
