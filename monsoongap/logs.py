"""Structured logs: one formatter for people, one JSON object per line for tools.

Both print every `extra` field of a record, which is where decisions carry their
submission, task, upstream and reason.
"""

import itertools
import logging
import sys
import time

import msgspec

from monsoongap.settings import LogSection

# `extra` fields follow these in a record; the formatter adds the last two.
_PLAIN_COUNT = len(vars(logging.makeLogRecord({})))
_ADDED_FIELDS = ("message", "asctime")


def extras(record: logging.LogRecord) -> dict[str, object]:
    """Return the `extra` fields of a record, None values left out."""
    fields = itertools.islice(vars(record).items(), _PLAIN_COUNT, None)
    return {
        key: value
        for key, value in fields
        if value is not None and key not in _ADDED_FIELDS
    }


class TextFormatter(logging.Formatter):
    """Time, level, logger, event, then `key=value` for each extra."""

    def __init__(self) -> None:
        super().__init__("%(asctime)s %(levelname)s %(name)s %(message)s")
        self._second = -1
        self._second_text = ""

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Return the time in milliseconds; each second is formatted once."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._second_text = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
        return f"{self._second_text}.{int(record.msecs):03d}Z"

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802
        """Append the extras to the line."""
        line = super().formatMessage(record)
        pairs = (f"{key}={value}" for key, value in extras(record).items())
        return " ".join([line, *pairs])


class JsonFormatter(logging.Formatter):
    """One JSON object per line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON text."""
        line: dict[str, object] = {
            "time": record.created,
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        line.update(extras(record))
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def configure_logging(cfg: LogSection) -> None:
    """Send all logs to standard error in the form the settings name."""
    handler = logging.StreamHandler(sys.stderr)
    match cfg.format:
        case "json":
            handler.setFormatter(JsonFormatter())
        case _:
            handler.setFormatter(TextFormatter())
    logging.basicConfig(level=cfg.level.upper(), handlers=[handler], force=True)
    # A refusal is an ordinary answer and has a line of its own where it was decided.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    # Nothing here prints a record's thread, process or task.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
