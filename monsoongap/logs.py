"""Log lines as JSON on standard output, which never hold the process up.

Lines beyond a rate, and lines that a slow reader leaves no room for, are dropped,
counted, and the count is told with the next line that gets through. Decisions carry
their job, inputs and outcome as `extra` fields, each of which is a field of the line.
"""

import itertools
import logging
import os
import sys
import time

import msgspec

from monsoongap.settings import LogSection

# A burst of two seconds passes before lines are dropped.
BURST_S = 2.0
# `extra` fields follow these in a record; the formatter adds the last two.
_PLAIN_COUNT = len(vars(logging.makeLogRecord({})))
_ADDED_FIELDS = ("message", "asctime")


def extra_fields(record: logging.LogRecord) -> dict[str, object]:
    """Return the `extra` fields of a record, None values left out."""
    fields = itertools.islice(vars(record).items(), _PLAIN_COUNT, None)
    return {
        key: value
        for key, value in fields
        if value is not None and key not in _ADDED_FIELDS
    }


class JsonFormatter(logging.Formatter):
    """One JSON object per line, with the name of the host that wrote it."""

    def __init__(self, host: str) -> None:
        super().__init__()
        self._host = host

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON text."""
        line: dict[str, object] = {
            "time": round(record.created, 4),
            "host": self._host,
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        for key, value in extra_fields(record).items():
            # The writer's name is not lost to a field of the same name.
            line.setdefault(key, value)
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without blocking, within a rate."""

    def __init__(self, descriptor: int, lines_per_s: float) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._most = self._tokens = lines_per_s * BURST_S
        self._filled_at = time.monotonic()
        self._rest = b""
        self.dropped = 0
        self._untold = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line, or count it as dropped."""
        now = time.monotonic()
        filled = (now - self._filled_at) * self._lines_per_s
        self._tokens = min(self._most, self._tokens + filled)
        self._filled_at = now
        if self._tokens < 1 and record.levelno < logging.WARNING:
            self._drop()
            return
        self._tokens -= 1
        line = self.format(record).encode() + b"\n"
        if self._untold:
            told = {"event": "log lines dropped", "count": self._untold}
            line = msgspec.json.encode(told) + b"\n" + line
        self._write(line)

    def _write(self, line: bytes) -> None:
        data = self._rest + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self._drop()
            return
        except OSError:
            # Nobody reads the log any more; the process goes on without it.
            self._drop()
            self._rest = b""
            return
        self._untold = 0
        # A line that was written in part is finished before the next one.
        self._rest = data[written:]

    def _drop(self) -> None:
        self.dropped += 1
        self._untold += 1


def dropped_lines() -> int:
    """Return how many lines this process has dropped so far."""
    handlers = logging.getLogger().handlers
    return sum(h.dropped for h in handlers if isinstance(h, BoundedHandler))


def configure_logging(host: str, cfg: LogSection) -> None:
    """Send all logs to standard output as JSON lines."""
    handler = BoundedHandler(sys.stdout.fileno(), cfg.lines_per_s)
    handler.setFormatter(JsonFormatter(host))
    logging.basicConfig(level=cfg.level.upper(), handlers=[handler], force=True)
    # A refusal is an ordinary answer and has a line of its own where it was decided.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    # Nothing here prints a record's place in the source, thread, process or task.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
