"""Starts the daemon on the platform."""

import gc
import sys

import logbook
import uvloop

from hyssopwind.core.dispatch import settings
from hyssopwind.daemon import log_output
from hyssopwind.daemon.gateway import gateway
from hyssopwind.platform import boot

EXIT_FINDINGS = 1
GC_THRESHOLDS = (20_000, 20, 50)  # objects, then collections of each age


def start(metrics_port: int) -> int:
    """Reads the platform's settings file and serves until SIGTERM."""
    handler = logbook.StreamHandler(sys.stdout, level=logbook.INFO)
    handler.formatter = log_output.format_record
    handler.push_application()
    try:
        options = boot.load()
    except boot.BootError as error:
        print(f"hyssopwindd: {error}", file=sys.stderr)
        return EXIT_FINDINGS
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    uvloop.run(_serve(options, metrics_port))
    return 0


async def _serve(options: settings.GatewaySettings, metrics_port: int) -> None:
    await gateway.Gateway(options, metrics_port).run()
