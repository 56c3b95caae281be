"""Self-contained HTML pages of a day or a sweep, readable offline."""

import base64

import numpy as np
from jinja2 import Environment

from . import plots
from .compare import interval
from .runner import Day

MAX_HEAT_MAP_ROWS = 100  # busiest destinations

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title>
<style>
body { font: 14px/1.45 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem; color:
#222 } table { border-collapse: collapse; margin: 1rem 0 } td, th { padding: .15rem .7rem; border-bottom:
1px solid #ddd; text-align: right } td:first-child, th:first-child { text-align: left } img { max-width: 100%;
display: block; margin: 1rem 0 } pre { background: #f6f6f6; padding: .6rem; overflow-x: auto; font-size:
12px } .bad { color: #a00; font-weight: 600 }
</style></head><body>
<h1>{{ title }}</h1>
<p>{{ lead }}</p>
{% for table in tables %}
<h2>{{ table.title }}</h2>
<table><tr>{% for head in table.heads %}<th>{{ head }}</th>{% endfor %}</tr>
{% for row in table.rows %}<tr>{% for cell in row %}<td>{{ cell }}</td>{% endfor %}</tr>{% endfor %}</table>
{% endfor %}
{% if broken %}<h2 class="bad">Rules broken</h2><pre>{{ broken | join("\\n") }}</pre>{% endif %}
{% for image in images %}<img alt="{{ image.title }}" src="data:image/png;base64,{{ image.data }}">{% endfor
%} {% if trace %}<h2>Trace</h2><pre>{{ trace | join("\\n") }}</pre>{% endif %}
</body></html>
"""


def _render(**parts) -> str:
    return Environment(autoescape=True).from_string(PAGE).render(**parts)


def _image(title: str, data: bytes) -> dict:
    return {"title": title, "data": base64.b64encode(data).decode()}


def format_cell(value) -> str:
    """The text of a table cell."""
    if isinstance(value, float):
        return f"{value:.4f}"
    return "-" if value is None else str(value)


def of_day(day: Day) -> str:
    """The page of a day: figures, plots over time with faults, a heat map of destinations, a histogram."""
    summary, series = day.summary, day.series
    spans = [(p.at, p.at + p.span, p.kind) for p in day.plan]
    last = max(1, int(np.flatnonzero(series["handed"]).max(initial=0)) + 12)
    shown = {name: values[:last] for name, values in series.items()}
    images = [
        ("load and deliveries", {k: shown[k] for k in ("handed", "delivered")}, "a second"),
        ("pushes and refusals", {k: shown[k] for k in ("pushes", "refused")}, "a second"),
        ("ends undelivered", {k: shown[k] for k in ("throttled", "expired")}, "a second"),
        ("in flight and held", {k: shown[k] for k in ("out", "held")}, "notifications"),
        ("circuits open, over all relays", {"open": shown["open"]}, "routes"),
    ]
    plot_images = [_image(title, plots.over_time(rows, title, unit, spans)) for title, rows, unit in images]
    busiest = np.argsort(np.isnan(day.heat).sum(axis=1), kind="stable")[:MAX_HEAT_MAP_ROWS]
    title = "delivered, by destination and second of arrival"
    plot_images.append(_image(title, plots.heat(day.heat[np.sort(busiest), :last], title)))
    plot_images.append(_image("times", plots.histogram(day.times, "time to delivery")))
    figures = ["G", "whole", "worst_window", "worst_topic", "worst_customer", "p50", "p90", "p99", "p99.9"]
    counts = ["handed", "delivered", "taken", "turned_away", "throttled", "expired", "pushes", "calls",
              "connections",
              "refused", "wasted", "again", "dead_door", "orphans", "falls", "late_again"]  # fmt: skip
    return _render(
        title=f"{summary['scenario']}, {summary['policy']}, seed {summary['seed']}",
        lead="; ".join(summary["faults"]) or "no faults",
        tables=[
            {
                "title": "Figures",
                "heads": ["what", "value"],
                "rows": [[k, format_cell(summary[k])] for k in figures],
            },
            {"title": "Counts", "heads": ["what", "count"], "rows": [[k, summary[k]] for k in counts]},
            {"title": "Rules", "heads": ["rule", "broken"], "rows": sorted(summary["rules"].items())},
        ],
        broken=summary["broken"],
        images=plot_images,
        trace=day.trace,
    )


def points(
    rows: list[dict], key: str, figure: str
) -> tuple[list, dict[str, list[tuple[float, float, float]]]]:
    """The values of a key, and for each policy the (mean, low, high) of a figure at each value."""
    xs = sorted({row["keys"][key] for row in rows})
    names = list(dict.fromkeys(row["policy"] for row in rows))
    found = {}
    for name in names:
        found[name] = [
            interval([r[figure] for r in rows if r["policy"] == name and r["keys"][key] == x]) for x in xs
        ]
    return xs, found


def of_sweep(rows: list[dict], figure: str = "G") -> str:
    """The page of a sweep: a curve with intervals for each key with several numeric values, and tables."""
    keys = sorted({key for row in rows for key in row["keys"]})
    images, tables = [], []
    for key in keys:
        values = {row["keys"].get(key) for row in rows}
        if len(values) < 2 or not all(isinstance(v, (int, float)) for v in values):
            continue
        xs, found = points(rows, key, figure)
        log_axis = min(xs) > 0 and max(xs) / min(xs) >= 20
        images.append(_image(key, plots.curves(xs, found, f"{figure} by {key}", key, figure, log_axis)))
        cells = [[x, *(f"{found[n][i][0]:.4f} ({found[n][i][1]:.4f} to {found[n][i][2]:.4f})" for n in found)]
                 for i, x in enumerate(xs)]  # fmt: skip
        tables.append({"title": key, "heads": [key, *found], "rows": cells})
    by_policy = {}
    for row in rows:
        by_policy.setdefault(row["policy"], []).append(row)
    cells = []
    for name, days in by_policy.items():
        mean, low, high = interval([r[figure] for r in days])
        broken = sum(sum(r["rules"].values()) > 0 for r in days)
        cells.append([name, len(days), f"{mean:.4f}", f"{low:.4f}", f"{high:.4f}", broken])
    heads = ["policy", "days", f"mean {figure}", "low", "high", "days with a rule broken"]
    tables.insert(0, {"title": "Policies", "heads": heads, "rows": cells})
    lead = f"{len(rows)} days, revisions {', '.join(sorted({r['revision'] for r in rows}))}; intervals of 95%"
    return _render(title="Sweep", lead=lead, tables=tables, broken=[], images=images, trace=[])
