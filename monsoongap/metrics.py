"""Metrics of an entry daemon, rendered by aioprometheus.

Each part counts in a plain data class. The counts are copied into the registry only
on a scrape, so counting adds nothing to the latency of a request.
"""

import dataclasses
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.formats.text import TextFormatter

PREFIX = "monsoongap"
# Actual over predicted run time; declared times are off by two fifths.
PREDICTION_BUCKETS = (0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2, 4, 8, float("inf"))
RESPONSE_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, float("inf"))


class Metrics:
    """The metrics registry, and the sources of its values."""

    def __init__(self, host: str, dc: str) -> None:
        self.registry = Registry()
        self._labels = {"host": host, "dc": dc}
        self._sources: list[tuple[str, Callable[[], Any]]] = []
        self._counters: dict[str, Counter] = {}
        self._gauges: list[tuple[Gauge, Callable[[], float]]] = []
        self._responses = Histogram(
            f"{PREFIX}_response_seconds",
            "Time from a job's arrival to its outcome.",
            const_labels=self._labels,
            registry=self.registry,
            buckets=RESPONSE_BUCKETS_S,
        )
        self._predictions: Histogram | None = None

    def add_counters(self, part: str, source: Callable[[], Any]) -> None:
        """Publish the counters of a part.

        `source` returns a data class with integer fields, or a mapping of names to
        integers.
        """
        self._sources.append((part, source))

    def add_gauge(self, name: str, doc: str, source: Callable[[], float]) -> None:
        """Publish the value that `source` returns at each scrape."""
        gauge = Gauge(
            f"{PREFIX}_{name}", doc, const_labels=self._labels, registry=self.registry
        )
        self._gauges.append((gauge, source))

    def observe_response(self, outcome: str, took_s: float) -> None:
        """Add a response time, in seconds, to the histogram of its outcome."""
        self._responses.observe({"outcome": outcome}, took_s)

    def add_predictions(self) -> Callable[[float], None]:
        """Publish a histogram of actual over predicted run times; return its input."""
        predictions = self._predictions = Histogram(
            f"{PREFIX}_run_time_over_predicted",
            "Run time over the run time that placement predicted.",
            const_labels=self._labels,
            registry=self.registry,
            buckets=PREDICTION_BUCKETS,
        )
        return lambda ratio: predictions.observe({}, ratio)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the current metrics in the text format, and the HTTP headers.

        Gauges come first, then counters, each in the order in which they were added;
        the histograms are last and alone have a help line. The users' record keeps only
        the first 4,000 characters.
        """
        self.refresh()
        formatter = TextFormatter()
        lines: list[str] = []
        for collector in [*(g for g, _ in self._gauges), *self._counters.values()]:
            _, kind, *samples = formatter.marshall_lines(collector)
            lines += [kind, *samples]
        lines += formatter.marshall_lines(self._responses)
        if self._predictions is not None:
            lines += formatter.marshall_lines(self._predictions)
        return "\n".join([*lines, ""]).encode(), formatter.get_headers()

    def refresh(self) -> None:
        """Copy the current counters and gauge values into the registry."""
        for part, source in self._sources:
            for name, value in _counter_values(source()):
                self._counter(part, name).set({}, value)
        for gauge, read in self._gauges:
            gauge.set({}, read())

    def _counter(self, part: str, name: str) -> Counter:
        full = f"{PREFIX}_{part}_{name}_total"
        if full not in self._counters:
            doc = f"Total of {name.replace('_', ' ')} counted by the {part} part."
            self._counters[full] = Counter(
                full, doc, const_labels=self._labels, registry=self.registry
            )
        return self._counters[full]


def _counter_values(counters: Any) -> Iterator[tuple[str, int]]:
    """Yield the name and value of each counter."""
    if isinstance(counters, Mapping):
        yield from counters.items()
        return
    for field in dataclasses.fields(counters):
        yield field.name, getattr(counters, field.name)
