"""Tests of bounded log lines that never block."""

import json
import logging
import os

from monsoongap.logs import BoundedHandler, JsonFormatter


def record(event: str, level: int = logging.INFO, **extra: object) -> logging.LogRecord:
    made = logging.makeLogRecord({"msg": event, "levelno": level, "name": "m"})
    made.__dict__.update(extra)
    return made


def test_a_line_holds_host_event_and_inputs() -> None:
    line = json.loads(
        JsonFormatter("a1").format(record("job answered", job="ab", x=None))
    )
    assert (line["host"], line["event"], line["job"]) == ("a1", "job answered", "ab")
    assert "x" not in line


def test_a_field_does_not_replace_the_writer_of_a_line() -> None:
    line = json.loads(JsonFormatter("a1").format(record("x", host="b2", time=0)))
    assert line["host"] == "a1" and line["time"] > 0


def test_lines_beyond_the_rate_are_dropped_counted_and_told() -> None:
    read, write = os.pipe()
    handler = BoundedHandler(write, 5)
    handler.setFormatter(JsonFormatter("a1"))
    for i in range(30):
        handler.emit(record(f"line {i}"))
    handler.emit(record("trouble", logging.WARNING))
    text = os.read(read, 100_000).decode()
    assert handler.dropped == 20
    assert "trouble" in text
    assert json.loads(text.splitlines()[-2]) == {
        "event": "log lines dropped",
        "count": 20,
    }


def test_a_reader_that_does_not_read_costs_lines_and_no_time() -> None:
    _, write = os.pipe()
    handler = BoundedHandler(write, 1e6)
    handler.setFormatter(JsonFormatter("a1"))
    for _ in range(2000):
        handler.emit(record("x" * 200))
    assert handler.dropped > 0
