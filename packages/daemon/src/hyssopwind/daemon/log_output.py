"""Log output as JSON lines."""

import datetime
import sys
from typing import Any

import logbook
import msgspec

from hyssopwind.core.settings import documents

_ENCODER = msgspec.json.Encoder()


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
