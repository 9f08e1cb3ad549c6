"""Writes a load run as one HTML page with its plots inside."""

import base64
import io
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import jinja2
import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402
from matplotlib.axes import Axes  # noqa: E402

from monsoongap.load.plan import JobClass  # noqa: E402
from monsoongap.load.settings import MS_PER_S, LoadProfile  # noqa: E402
from monsoongap.load.summary import Sample, Summary  # noqa: E402

FIGURE_INCHES = (8.0, 3.6)
PIXELS_PER_INCH = 110
COLOURS = {
    JobClass.SHORT: "tab:blue",
    JobClass.LONG: "tab:orange",
    JobClass.STRAGGLER: "tab:red",
}

PAGE = """<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Load run: {{ name }}</title>
<style>
body { font: 15px/1.5 sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em }
table { border-collapse: collapse; margin: 1em 0 }
td, th { border: 1px solid #bbb; padding: .3em .8em; text-align: right }
th:first-child, td:first-child { text-align: left }
img { max-width: 100% }
</style>
</head>
<body>
<h1>Load run: {{ name }}</h1>
<table>
{% for row in rows %}<tr><th>{{ row.label }}</th><td>{{ row.value }}</td></tr>
{% endfor %}</table>
{% for plot in plots %}<h2>{{ plot.title }}</h2>
<img alt="{{ plot.title }}" src="data:image/png;base64,{{ plot.png }}">
{% endfor %}{% if violations is not none %}<h2>Promises</h2>
{% if violations %}<ul>{% for violation in violations %}<li>{{ violation }}</li>
{% endfor %}</ul>{% else %}<p>The checker found no violation.</p>{% endif %}
{% endif %}</body>
</html>
"""


@dataclass(frozen=True, slots=True)
class Row:
    """One figure of the summary as text."""

    label: str
    value: str


@dataclass(frozen=True, slots=True)
class Plot:
    """One plot: its title and its picture as base64 text."""

    title: str
    png: str


def summary_rows(summary: Summary) -> tuple[Row, ...]:
    """Return the figures of a summary, for the page and for the terminal."""
    rows = [
        Row("jobs", str(summary.jobs)),
        *(Row(f"outcome {name}", str(n)) for name, n in summary.outcomes.items()),
        *(Row(f"error {kind}", str(n)) for kind, n in summary.errors.items()),
        Row("offered, jobs/s", _number(summary.offered_per_s)),
        Row("capacity, jobs/s", _number(summary.capacity_per_s)),
        Row("goodput, jobs/s", _number(summary.goodput_per_s)),
        *_class_rows(summary),
        Row("short jobs over 2 x ideal", _share(summary.blocked_short_share)),
        *_crest_rows(summary),
        Row("requests to workers per start", _number(summary.messages_per_start)),
        Row("of these not a start", _share(summary.wasted_message_share)),
        Row("starts", _number(summary.starts)),
        Row("tasks started twice", _number(summary.duplicates)),
    ]
    if summary.violations is not None:
        rows.append(Row("promises broken", str(len(summary.violations))))
    return tuple(rows)


def write_report(
    path: Path, cfg: LoadProfile, samples: Sequence[Sample], summary: Summary
) -> None:
    """Write the page to `path`."""
    plots = (
        _plot("Response over ideal", lambda axes: _draw_ratios(axes, samples)),
        _plot(
            "Goodput and offered load",
            lambda axes: _draw_rates(axes, cfg, samples, summary),
        ),
        _plot(
            "Distribution of response over ideal",
            lambda axes: _draw_distribution(axes, samples),
        ),
    )
    page = jinja2.Environment(autoescape=True).from_string(PAGE)
    text = page.render(
        name=cfg.deployment.name,
        rows=summary_rows(summary),
        plots=plots,
        violations=summary.violations,
    )
    path.write_text(text, encoding="utf-8")


def _class_rows(summary: Summary) -> list[Row]:
    rows = []
    for name, figures in summary.classes.items():
        if figures.jobs:
            quantiles = f"{_number(figures.ratio_p50)} / {_number(figures.ratio_p99)}"
            rows.append(Row(f"{name} response/ideal p50 / p99", quantiles))
    return rows


def _crest_rows(summary: Summary) -> list[Row]:
    crest = summary.crest
    if crest is None:
        return []
    return [
        Row("crest: jobs", str(crest.jobs)),
        Row("crest: goodput of what was possible", _share(crest.goodput_share)),
        Row("crest: response/ideal p99", _number(crest.ratio_p99)),
        Row("crest: refused", str(crest.refused)),
        Row("crest: refusal p99, ms", _number(crest.refusal_p99_ms)),
    ]


def _plot(title: str, draw: Callable[[Axes], None]) -> Plot:
    figure, axes = plt.subplots(figsize=FIGURE_INCHES, dpi=PIXELS_PER_INCH)
    draw(axes)
    handles, _ = axes.get_legend_handles_labels()
    if handles:
        axes.legend()
    figure.tight_layout()
    picture = io.BytesIO()
    figure.savefig(picture, format="png")
    plt.close(figure)
    return Plot(title, base64.b64encode(picture.getvalue()).decode())


def _draw_ratios(axes: Axes, samples: Sequence[Sample]) -> None:
    for job_class, colour in COLOURS.items():
        points = [
            (sample.due_ms / MS_PER_S, sample.ratio)
            for sample in samples
            if sample.job_class is job_class and sample.ratio is not None
        ]
        if points:
            times, ratios = zip(*points, strict=True)
            axes.scatter(times, ratios, s=8, color=colour, label=job_class)
    axes.set_yscale("log")
    axes.set_xlabel("arrival, s")
    axes.set_ylabel("response / ideal")


def _draw_rates(
    axes: Axes, cfg: LoadProfile, samples: Sequence[Sample], summary: Summary
) -> None:
    seconds = range(int(cfg.arrivals.duration_s) + 1)
    offered = [0] * len(seconds)
    good = [0] * len(seconds)
    for sample in samples:
        second = min(int(sample.due_ms / MS_PER_S), len(seconds) - 1)
        offered[second] += 1
        good[second] += sample.in_deadline
    axes.step(seconds, offered, where="post", label="offered")
    axes.step(seconds, good, where="post", label="of these answered in deadline")
    axes.axhline(summary.capacity_per_s, color="grey", label="capacity")
    axes.set_xlabel("arrival, s")
    axes.set_ylabel("jobs/s")


def _draw_distribution(axes: Axes, samples: Sequence[Sample]) -> None:
    for job_class, colour in COLOURS.items():
        ratios = sorted(
            sample.ratio
            for sample in samples
            if sample.job_class is job_class and sample.ratio is not None
        )
        if ratios:
            shares = [(rank + 1) / len(ratios) for rank in range(len(ratios))]
            axes.step(ratios, shares, color=colour, label=job_class)
    axes.set_xscale("log")
    axes.set_xlabel("response / ideal")
    axes.set_ylabel("share of jobs at most so slow")


def _number(value: float | None) -> str:
    match value:
        case None:
            return "-"
        case int():
            return str(value)
        case _:
            return f"{value:.3g}"


def _share(value: float | None) -> str:
    return "-" if value is None else f"{value:.1%}"
