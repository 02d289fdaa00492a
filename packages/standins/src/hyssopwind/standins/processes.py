"""Starts, pauses and ends the processes of a test fleet by process id."""

import contextlib
import pathlib
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from collections.abc import Sequence

STOP_TIMEOUT_SECONDS = 40.0


def find_free_ports(count: int) -> list[int]:
    """Returns TCP ports that are currently free on the loopback address."""
    with contextlib.ExitStack() as stack:
        sockets = []
        for _ in range(count):
            bound_socket = stack.enter_context(socket.socket())
            bound_socket.bind(("127.0.0.1", 0))
            sockets.append(bound_socket)
        return [bound_socket.getsockname()[1] for bound_socket in sockets]


class ProcessGroup:
    """Processes by name, each with a log file."""

    def __init__(self, log_directory: pathlib.Path):
        self._log_directory = log_directory
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, module: str, arguments: Sequence[str]) -> None:
        """Starts a Python module as a process."""
        log_path = self._log_directory / f"{name}.log"
        with log_path.open("ab") as stream:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=stream,
                stderr=subprocess.STDOUT,
            )

    def pid(self, name: str) -> int:
        """Returns the process id."""
        return self._processes[name].pid

    def kill(self, name: str) -> None:
        """Kills a process and waits until it has ended."""
        self._processes[name].kill()
        self._processes[name].wait()

    def pause(self, name: str) -> None:
        """Suspends a process until `resume`."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continues a paused process."""
        self._processes[name].send_signal(signal.SIGCONT)

    def hang_up(self, name: str) -> None:
        """Sends SIGHUP to a process."""
        self._processes[name].send_signal(signal.SIGHUP)

    def terminate(self, name: str) -> None:
        """Sends SIGTERM to a process, which it may handle."""
        self._processes[name].terminate()

    def wait(self, name: str) -> int:
        """Waits for the end of a process and returns its exit status."""
        return self._processes[name].wait(STOP_TIMEOUT_SECONDS)

    def has_ended(self, name: str) -> bool:
        """Whether a process has ended."""
        return self._processes[name].poll() is not None

    def read_log(self, name: str) -> str:
        """Returns the output of a process, over all starts under its name."""
        path = self._log_directory / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def close(self) -> None:
        """Kills all processes that still run and waits for them."""
        for process in self._processes.values():
            if process.poll() is not None:
                continue
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            process.wait()


@contextlib.contextmanager
def process_group(log_directory: pathlib.Path) -> Iterator[ProcessGroup]:
    """Yields a group whose processes end with the context."""
    group = ProcessGroup(log_directory)
    try:
        yield group
    finally:
        group.close()
