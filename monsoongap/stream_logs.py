"""JSON log lines on standard output that never hold the process up.

Lines beyond a rate, and lines that a slow reader leaves no room for, are dropped,
counted, and the count is told with the next line that gets through.
"""

import json
import logging
import os
import sys
import time

from monsoongap.logs import JsonFormatter

# Bounds what logging may cost: about 3 % of a core at 30 microseconds a line.
LINES_PER_S = 300.0
BURST_LINES = 600.0


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without blocking, within a rate."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._tokens = BURST_LINES
        self._filled_at = time.monotonic()
        self._rest = b""
        self.dropped = 0
        self._untold = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line, or count it as dropped."""
        now = time.monotonic()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._filled_at) * LINES_PER_S
        )
        self._filled_at = now
        if self._tokens < 1 and record.levelno < logging.WARNING:
            self._drop()
            return
        self._tokens -= 1
        line = self.format(record).encode() + b"\n"
        if self._untold:
            told = {"event": "log lines dropped", "count": self._untold}
            line = json.dumps(told).encode() + b"\n" + line
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


def configure_stream_logging() -> None:
    """Send all logs to standard output as JSON lines."""
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(JsonFormatter())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    # A refusal is an ordinary answer and has a line of its own where it was decided.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
