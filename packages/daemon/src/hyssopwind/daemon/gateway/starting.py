"""Reads the settings of the daemon on the platform and runs it."""

import asyncio
import os
import pathlib
import socket
import sys

from hyssopwind.core.dispatch import settings
from hyssopwind.core.settings import parsing
from hyssopwind.core.settings import tuning
from hyssopwind.daemon import garbage_collection
from hyssopwind.daemon import log_output
from hyssopwind.daemon.gateway import gateway
from hyssopwind.daemon.gateway import listening
from hyssopwind.platform import boot

# Relative to the root of the repository, where the platform starts it.
TUNING_PATH = pathlib.Path("deploy/gateway.toml")
METRICS_PORT_VARIABLE = "HYSSOPWIND_METRICS_PORT"
EXIT_FINDINGS = 1
# Time for the reader of the log to take the last lines.
LOG_CLOSE_TIMEOUT_SECONDS = 0.1


def read_tuning(path: pathlib.Path) -> tuning.GatewayTuning | None:
    """Returns the tuning in a file; prints findings to standard error.

    All defaults apply if the file does not exist.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except FileNotFoundError:
        return tuning.GatewayTuning()
    result = parsing.parse_tuning(text, str(path))
    for finding in result.findings:
        print(f"hyssopwindd: {finding}", file=sys.stderr)
    return result.value


def check_listener(
    listener: socket.socket, gateway_settings: settings.GatewaySettings
) -> None:
    """Checks that the listener has the address that the settings name.

    Raises:
        boot.BootError: the listener has another address.
    """
    host, port = listener.getsockname()
    if f"{host}:{port}" != gateway_settings.callers_address:
        raise boot.BootError(
            f"listens on {host}:{port}, but the settings name"
            f" {gateway_settings.callers_address}"
        )


def start(listener: socket.socket | None) -> int:
    """Reads the settings and serves until SIGTERM.

    Args:
        listener: the open listener for callers; `None` to open one.
    """
    try:
        gateway_settings = boot.load_settings()
        if listener is None:
            listener = listening.listen(gateway_settings.callers_address)
        check_listener(listener, gateway_settings)
    except (boot.BootError, OSError) as error:
        print(f"hyssopwindd: {error}", file=sys.stderr)
        return EXIT_FINDINGS
    gateway_tuning = read_tuning(TUNING_PATH)
    if gateway_tuning is None:
        return EXIT_FINDINGS
    log_stream = log_output.BoundedStream(
        sys.stdout.fileno(), gateway_tuning.logs
    )
    log_output.install_stream(log_stream)
    port = os.environ.get(METRICS_PORT_VARIABLE, "")
    if not port.isdigit():
        print(f"hyssopwindd: {METRICS_PORT_VARIABLE} is not a port number")
        return EXIT_FINDINGS
    garbage_collection.configure()
    status = asyncio.run(
        _serve(
            gateway_settings, gateway_tuning, listener, int(port), log_stream
        )
    )
    log_stream.close(LOG_CLOSE_TIMEOUT_SECONDS)
    return status


async def _serve(
    gateway_settings: settings.GatewaySettings,
    gateway_tuning: tuning.GatewayTuning,
    listener: socket.socket,
    metrics_port: int,
    log_stream: log_output.BoundedStream,
) -> int:
    return await gateway.Gateway(
        gateway_settings, gateway_tuning, listener, metrics_port, log_stream
    ).run()
