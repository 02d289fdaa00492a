"""Starts, pauses and ends the processes of a test fleet, by their ids."""

import contextlib
import pathlib
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from collections.abc import Sequence

STOP_TIMEOUT = 40.0  # seconds


def find_free_ports(count: int) -> list[int]:
    """Returns ports of the loopback address that are free now."""
    with contextlib.ExitStack() as stack:
        sockets = []
        for _ in range(count):
            opened = stack.enter_context(socket.socket())
            opened.bind(("127.0.0.1", 0))
            sockets.append(opened)
        return [opened.getsockname()[1] for opened in sockets]


class ProcessGroup:
    """Processes by their names; leaving the context ends all of them."""

    def __init__(self, log_directory: pathlib.Path):
        self._log_directory = log_directory
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, module: str, arguments: Sequence[str]) -> None:
        """Starts a Python module as a process."""
        log = self._log_directory / f"{name}.log"
        with log.open("ab") as stream:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=stream,
                stderr=subprocess.STDOUT,
            )

    def pid(self, name: str) -> int:
        """Returns the process id."""
        return self._processes[name].pid

    def kill(self, name: str) -> None:
        """Ends a process without warning."""
        self._processes[name].kill()
        self._processes[name].wait()

    def pause(self, name: str) -> None:
        """Stops a process until `resume`."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Lets a paused process go on."""
        self._processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Asks a process to end."""
        self._processes[name].terminate()

    def wait(self, name: str) -> int:
        """Waits for the end of a process and returns its exit status."""
        return self._processes[name].wait(STOP_TIMEOUT)

    def read_log(self, name: str) -> str:
        """Returns what a process has written."""
        path = self._log_directory / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def close(self) -> None:
        """Ends all processes."""
        for process in self._processes.values():
            if process.poll() is not None:
                continue
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            process.wait()


@contextlib.contextmanager
def process_group(log_directory: pathlib.Path) -> Iterator[ProcessGroup]:
    """Gives a group whose processes end with the context."""
    group = ProcessGroup(log_directory)
    try:
        yield group
    finally:
        group.close()
