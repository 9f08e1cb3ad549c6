"""JSON log lines on standard output, written without blocking the process.

Lines above the rate limit, and lines for which the pipe has no room, are dropped and
counted; the next line that is written follows one with the number of dropped lines.
Log calls pass the job, inputs and outcome of a decision as `extra` fields, each of
which becomes a key of the JSON object.
"""

import asyncio
import itertools
import logging
import os
import sys
import time

import msgspec

from monsoongap.settings import LogSection

# The token bucket holds the lines of this many seconds at the rate limit.
BURST_S = 2.0
# Lines of a busy host are written together; warnings are written at once.
FLUSH_S = 0.02
MAX_BUFFERED_LINES = 64
# `vars(record)` holds the standard attributes first, then the `extra` fields, then
# those that a formatter adds.
_STANDARD_FIELD_COUNT = len(vars(logging.makeLogRecord({})))
_FORMATTER_FIELDS = ("message", "asctime")


def extra_fields(record: logging.LogRecord) -> dict[str, object]:
    """Return the `extra` fields of a record that are not None."""
    fields = itertools.islice(vars(record).items(), _STANDARD_FIELD_COUNT, None)
    return {
        key: value
        for key, value in fields
        if value is not None and key not in _FORMATTER_FIELDS
    }


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object, with the name of the host."""

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
            # An `extra` field must not replace a standard key, such as the host.
            line.setdefault(key, value)
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class RateLimitedHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking, up to a rate limit.

    Warnings and errors count towards the limit, but are written beyond it too.
    """

    def __init__(self, descriptor: int, lines_per_s: float) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._max_tokens = self._tokens = lines_per_s * BURST_S
        self._refilled_at = time.monotonic()
        self._unwritten = b""
        self._buffer: list[bytes] = []
        self._flush_handle: asyncio.TimerHandle | None = None
        self.dropped = 0
        self._suppressed = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line of a record, or count it as dropped."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._lines_per_s
        self._tokens = min(self._max_tokens, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1 and record.levelno < logging.WARNING:
            self._drop()
            return
        self._tokens -= 1
        line = self.format(record).encode() + b"\n"
        self._buffer.append(line)
        if record.levelno < logging.WARNING and self._can_wait():
            return
        self.flush()

    def _can_wait(self) -> bool:
        """Have the buffered lines written soon; return False if they cannot be."""
        if len(self._buffer) >= MAX_BUFFERED_LINES:
            return False
        if self._flush_handle is None:
            try:
                loop = asyncio.get_running_loop()
            except RuntimeError:
                return False
            self._flush_handle = loop.call_later(FLUSH_S, self.flush)
        return True

    def flush(self) -> None:
        """Write the buffered lines with one system call."""
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
        lines, self._buffer = self._buffer, []
        if lines:
            self._write(lines)

    def _write(self, lines: list[bytes]) -> None:
        notice = b""
        if self._suppressed:
            fields = {"event": "log lines dropped", "count": self._suppressed}
            notice = msgspec.json.encode(fields) + b"\n"
        data = self._unwritten + notice + b"".join(lines)
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self._drop(len(lines))
            return
        except OSError:
            # The reader has closed the pipe; the process continues without logs.
            self._drop(len(lines))
            self._unwritten = b""
            return
        self._suppressed = 0
        # The rest of a partly written line precedes the next line.
        self._unwritten = data[written:]

    def _drop(self, count: int = 1) -> None:
        self.dropped += count
        self._suppressed += count


def dropped_lines() -> int:
    """Return the number of log lines that this process has dropped."""
    handlers = logging.getLogger().handlers
    return sum(h.dropped for h in handlers if isinstance(h, RateLimitedHandler))


def configure_logging(host: str, cfg: LogSection) -> None:
    """Write all logs of the process to standard output as JSON lines."""
    handler = RateLimitedHandler(sys.stdout.fileno(), cfg.lines_per_s)
    handler.setFormatter(JsonFormatter(host))
    logging.basicConfig(level=cfg.level.upper(), handlers=[handler], force=True)
    # No line shows the source location, thread or process of a record.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
