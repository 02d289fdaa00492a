"""Log output as JSON lines."""

import datetime
import os
import select
import sys
import time
from typing import Any

import logbook
import msgspec

from hyssopwind.core import buckets
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import tuning

MAX_PENDING_BYTES = 262_144  # while the reader of a pipe is slow

_ENCODER = msgspec.json.Encoder()


class BoundedStream:
    """Writes lines to a descriptor without blocking, at a limited rate.

    Lines beyond the rate, and lines that do not fit into the buffer, are
    dropped and counted; their count is logged before the next written line.
    """

    def __init__(self, descriptor: int, volume: tuning.LogVolumeSettings):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._bucket = buckets.TokenBucket(
            volume.lines, volume.burst, time.monotonic()
        )
        self._pending = bytearray()
        self._dropped_count = 0
        self._reported_dropped_count = 0

    @property
    def dropped_count(self) -> int:
        """The number of lines dropped so far."""
        return self._dropped_count

    def write(self, text: str) -> None:
        """Buffers the text of one line, or drops it."""
        has_capacity = len(self._pending) < MAX_PENDING_BYTES
        if not has_capacity or not self._bucket.try_acquire(time.monotonic()):
            self._dropped_count += 1
            return
        if self._dropped_count > self._reported_dropped_count:
            count = self._dropped_count - self._reported_dropped_count
            self._reported_dropped_count = self._dropped_count
            notice = {"level": "WARNING", "message": "lines dropped"}
            line = _ENCODER.encode({**notice, "count": count})
            self._pending += line + b"\n"
        self._pending += text.encode("utf-8", "replace")

    def flush(self) -> None:
        """Writes as much of the buffer as the descriptor accepts."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, so the error cannot be logged.
            written = len(self._pending)
            self._dropped_count += 1
        del self._pending[:written]

    def close(self, timeout_seconds: float) -> None:
        """Writes the rest of the buffer, waiting for a slow reader.

        Args:
            timeout_seconds: seconds after which the rest is dropped.
        """
        poller = select.poll()
        poller.register(self._descriptor, select.POLLOUT)
        deadline = time.monotonic() + timeout_seconds
        while self._pending:
            remaining_seconds = deadline - time.monotonic()
            if remaining_seconds <= 0.0:
                return
            poller.poll(remaining_seconds * 1000)
            self.flush()


def install_stream(stream: BoundedStream) -> None:
    """Writes all log records of level INFO or higher to a bounded stream."""
    handler = logbook.StreamHandler(stream, level=logbook.INFO)
    handler.formatter = format_record
    handler.push_application()


def format_record(record: Any, handler: Any) -> str:
    """Returns a log record as one line of JSON."""
    recorded_at = record.time.replace(tzinfo=datetime.UTC)
    line = {
        "time": recorded_at.isoformat(),
        "level": record.level_name,
        "logger": record.channel,
        "message": record.message,
        **record.extra,
    }
    if record.exc_info:
        line["exception"] = record.formatted_exception
    return _ENCODER.encode(line).decode()


def install_handler(settings: documents.LogSettings) -> None:
    """Writes the log records to the configured file or to stderr."""
    level = logbook.lookup_level(settings.level)
    if settings.file:
        handler = logbook.FileHandler(settings.file, level=level)
    else:
        handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.formatter = format_record
    handler.push_application()
