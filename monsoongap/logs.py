"""Structured logs: one formatter for people, one JSON object per line for tools.

Both print every `extra` field of a record, which is where decisions carry their
submission, task, upstream and reason.
"""

import logging
import sys

import msgspec

from monsoongap.settings import LogSection

_PLAIN_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


def extras(record: logging.LogRecord) -> dict[str, object]:
    """Return the `extra` fields of a record, None values left out."""
    return {
        key: value
        for key, value in vars(record).items()
        if key not in _PLAIN_FIELDS and value is not None
    }


class TextFormatter(logging.Formatter):
    """Time, level, logger, event, then `key=value` for each extra."""

    def __init__(self) -> None:
        super().__init__("%(asctime)s %(levelname)s %(name)s %(message)s")

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
    logging.getLogger("tornado.access").setLevel(logging.ERROR)
