"""Writes the report of a load run: one HTML page with an embedded plot."""

import base64
import io
from pathlib import Path

import jinja2
import matplotlib

# The backend is chosen before pyplot is imported; a host may have no display.
matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

from monsoongap.load.summary import Summary  # noqa: E402

FIGURE_INCHES = (8.0, 3.6)
PIXELS_PER_INCH = 110

PAGE_TEMPLATE = """<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Load run</title>
<style>
body { font: 15px/1.5 sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em }
table { border-collapse: collapse; margin: 1em 0 }
td, th { border: 1px solid #bbb; padding: .3em .8em; text-align: right }
th:first-child, td:first-child { text-align: left }
img { max-width: 100% }
</style>
</head>
<body>
<h1>Load run of {{ summary.jobs }} jobs</h1>
<table><tr><th>outcome</th><th>jobs</th></tr>
{% for name, count in summary.outcomes.items() %}<tr><td>{{ name }}</td>
<td>{{ count }}</td></tr>
{% endfor %}</table>
<table><tr><th>kind</th><th>jobs</th><th>completed</th>
<th>response/ideal p50</th><th>p99</th></tr>
{% for row in summary.kinds %}<tr><td>{{ row.kind }}</td><td>{{ row.jobs }}</td>
<td>{{ row.completed }}</td>
<td>{{ "%.2f"|format(row.ratio_p50) if row.ratio_p50 else "" }}</td>
<td>{{ "%.2f"|format(row.ratio_p99) if row.ratio_p99 else "" }}</td></tr>
{% endfor %}</table>
<h2>Service by second</h2>
<img alt="Service by second" src="data:image/png;base64,{{ plot }}">
{% if summary.broken is not none %}<h2>Promises</h2>
{% if summary.broken %}<ul>{% for line in summary.broken %}<li>{{ line }}</li>
{% endfor %}</ul>{% else %}<p>None was broken.</p>{% endif %}
{% endif %}</body>
</html>
"""


def write_report(path: Path, summary: Summary) -> None:
    """Write the report to `path`."""
    page = jinja2.Environment(autoescape=True).from_string(PAGE_TEMPLATE)
    text = page.render(summary=summary, plot=_plot(summary))
    path.write_text(text, encoding="utf-8")


def _plot(summary: Summary) -> str:
    """Return a plot of due, completed and refused jobs as a base64-encoded PNG."""
    figure, axes = plt.subplots(figsize=FIGURE_INCHES, dpi=PIXELS_PER_INCH)
    seconds = [row.second for row in summary.seconds]
    axes.step(seconds, [row.due for row in summary.seconds], label="due")
    axes.step(seconds, [row.completed for row in summary.seconds], label="completed")
    axes.step(seconds, [row.refused for row in summary.seconds], label="refused")
    axes.set_xlabel("second of the run")
    axes.set_ylabel("jobs")
    axes.legend()
    figure.tight_layout()
    png = io.BytesIO()
    figure.savefig(png, format="png")
    plt.close(figure)
    return base64.b64encode(png.getvalue()).decode()
