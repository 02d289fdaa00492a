"""Log output as JSON lines."""

import datetime
import os
import sys
import time
from typing import Any

import logbook
import msgspec

from hyssopwind.core import buckets
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import tuning

MAX_PENDING_BYTES = 262_144  # bytes that a full pipe may hold back

_ENCODER = msgspec.json.Encoder()


class BoundedStream:
    """Writes lines to a descriptor without blocking, up to a rate.

    Lines beyond the rate, and lines that a reader does not take, are dropped
    and counted; the next line that is written says how many.
    """

    def __init__(self, descriptor: int, volume: tuning.LogVolumeSettings):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._bucket = buckets.TokenBucket(
            volume.lines, volume.burst, time.monotonic()
        )
        self._pending = bytearray()
        self._dropped = 0
        self._reported = 0

    @property
    def dropped(self) -> int:
        """Lines dropped so far."""
        return self._dropped

    def write(self, text: str) -> None:
        """Writes or drops the text of one line."""
        has_room = len(self._pending) < MAX_PENDING_BYTES
        if not has_room or not self._bucket.take(time.monotonic()):
            self._dropped += 1
            return
        if self._dropped > self._reported:
            count = self._dropped - self._reported
            self._reported = self._dropped
            report = {"level": "WARNING", "message": "lines dropped"}
            line = _ENCODER.encode({**report, "count": count})
            self._pending += line + b"\n"
        self._pending += text.encode("utf-8", "replace")

    def flush(self) -> None:
        """Writes as much as the reader takes."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more; there is nowhere to say so.
            written = len(self._pending)
            self._dropped += 1
        del self._pending[:written]


def install_stream(stream: BoundedStream) -> None:
    """Sends all log records to a bounded stream."""
    handler = logbook.StreamHandler(stream, level=logbook.INFO)
    handler.formatter = format_record
    handler.push_application()


def format_record(record: Any, handler: Any) -> str:
    """Returns a log record as one line of JSON."""
    time = record.time.replace(tzinfo=datetime.UTC)
    line = {
        "time": time.isoformat(),
        "level": record.level_name,
        "logger": record.channel,
        "message": record.message,
        **record.extra,
    }
    if record.exc_info:
        line["exception"] = record.formatted_exception
    return _ENCODER.encode(line).decode()


def install_handler(settings: documents.LogSettings) -> None:
    """Sends all log records to the file or stream of the settings."""
    level = logbook.lookup_level(settings.level)
    if settings.file:
        handler = logbook.FileHandler(settings.file, level=level)
    else:
        handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.formatter = format_record
    handler.push_application()
