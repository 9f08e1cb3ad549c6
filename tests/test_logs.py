"""Tests of the JSON log lines: format, rate limit, no blocking."""

import json
import logging
import os

from monsoongap.logs import JsonFormatter, RateLimitedHandler


def record(event: str, level: int = logging.INFO, **extra: object) -> logging.LogRecord:
    rec = logging.makeLogRecord({"msg": event, "levelno": level, "name": "m"})
    rec.__dict__.update(extra)
    return rec


def test_line_holds_host_event_and_extra_fields_except_none() -> None:
    line = json.loads(
        JsonFormatter("a1").format(record("job answered", job="ab", x=None))
    )
    assert (line["host"], line["event"], line["job"]) == ("a1", "job answered", "ab")
    assert "x" not in line


def test_extra_field_does_not_replace_the_host_or_time() -> None:
    line = json.loads(JsonFormatter("a1").format(record("x", host="b2", time=0)))
    assert line["host"] == "a1" and line["time"] > 0


def test_lines_above_the_rate_limit_are_dropped_and_their_number_is_logged() -> None:
    read_fd, write_fd = os.pipe()
    handler = RateLimitedHandler(write_fd, 5)
    handler.setFormatter(JsonFormatter("a1"))
    for i in range(30):
        handler.emit(record(f"line {i}"))
    handler.emit(record("trouble", logging.WARNING))
    text = os.read(read_fd, 100_000).decode()
    assert handler.dropped == 20
    assert "trouble" in text
    assert json.loads(text.splitlines()[-2]) == {
        "event": "log lines dropped",
        "count": 20,
    }


def test_full_pipe_drops_lines_without_blocking() -> None:
    _, write_fd = os.pipe()
    handler = RateLimitedHandler(write_fd, 1e6)
    handler.setFormatter(JsonFormatter("a1"))
    for _ in range(2000):
        handler.emit(record("x" * 200))
    assert handler.dropped > 0
