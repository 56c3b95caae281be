"""One self-contained HTML page of a day or a sweep, readable without a network."""

import base64

import numpy as np
from jinja2 import Environment

from . import plots
from .compare import interval
from .runner import Day

BUSIEST = 100  # destinations in the heat map

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


def shown(value) -> str:
    if isinstance(value, float):
        return f"{value:.4f}"
    return "-" if value is None else str(value)


def of_day(day: Day) -> str:
    """A day's page: figures, plots over time with its faults, a heat map of destinations, a histogram."""
    s, series = day.summary, day.series
    spans = [(p.at, p.at + p.span, p.kind) for p in day.plan]
    last = max(1, int(np.flatnonzero(series["handed"]).max(initial=0)) + 12)
    cut = {name: values[:last] for name, values in series.items()}
    images = [
        ("load and deliveries", {k: cut[k] for k in ("handed", "delivered")}, "a second"),
        ("pushes and refusals", {k: cut[k] for k in ("pushes", "refused")}, "a second"),
        ("ends undelivered", {k: cut[k] for k in ("throttled", "expired")}, "a second"),
        ("in flight and held", {k: cut[k] for k in ("out", "held")}, "notifications"),
        ("circuits open, over all relays", {"open": cut["open"]}, "routes"),
    ]
    made = [_image(title, plots.over_time(rows, title, unit, spans)) for title, rows, unit in images]
    busiest = np.argsort(np.isnan(day.heat).sum(axis=1), kind="stable")[:BUSIEST]
    title = "delivered, by destination and second of arrival"
    made.append(_image(title, plots.heat(day.heat[np.sort(busiest), :last], title)))
    made.append(_image("times", plots.histogram(day.times, "time to delivery")))
    figures = ["G", "whole", "worst_window", "worst_topic", "worst_customer", "p50", "p90", "p99", "p99.9"]
    counts = ["handed", "delivered", "taken", "turned_away", "throttled", "expired", "pushes", "calls",
              "connections",
              "refused", "wasted", "again", "dead_door", "orphans", "falls", "late_again"]  # fmt: skip
    return _render(
        title=f"{s['scenario']}, {s['policy']}, seed {s['seed']}",
        lead="; ".join(s["faults"]) or "no faults",
        tables=[
            {"title": "Figures", "heads": ["what", "value"], "rows": [[k, shown(s[k])] for k in figures]},
            {"title": "Counts", "heads": ["what", "count"], "rows": [[k, s[k]] for k in counts]},
            {"title": "Rules", "heads": ["rule", "broken"], "rows": sorted(s["rules"].items())},
        ],
        broken=s["broken"],
        images=made,
        trace=day.trace,
    )


def points(
    rows: list[dict], key: str, figure: str
) -> tuple[list, dict[str, list[tuple[float, float, float]]]]:
    """The values of a key, and by policy the (mean, low, high) of a figure at each."""
    xs = sorted({row["keys"][key] for row in rows})
    names = list(dict.fromkeys(row["policy"] for row in rows))
    found = {}
    for name in names:
        found[name] = [
            interval([r[figure] for r in rows if r["policy"] == name and r["keys"][key] == x]) for x in xs
        ]
    return xs, found


def of_sweep(rows: list[dict], figure: str = "G") -> str:
    """A sweep's page: a curve with intervals for each key that takes several numbers, and the table."""
    keys = sorted({key for row in rows for key in row["keys"]})
    images, tables = [], []
    for key in keys:
        values = {row["keys"].get(key) for row in rows}
        if len(values) < 2 or not all(isinstance(v, (int, float)) for v in values):
            continue
        xs, found = points(rows, key, figure)
        wide = min(xs) > 0 and max(xs) / min(xs) >= 20
        images.append(_image(key, plots.curves(xs, found, f"{figure} by {key}", key, figure, wide)))
        cells = [[x, *(f"{found[n][i][0]:.4f} ({found[n][i][1]:.4f} to {found[n][i][2]:.4f})" for n in found)]
                 for i, x in enumerate(xs)]  # fmt: skip
        tables.append({"title": key, "heads": [key, *found], "rows": cells})
    by_policy = {}
    for row in rows:
        by_policy.setdefault(row["policy"], []).append(row)
    cells = []
    for name, mine in by_policy.items():
        mean, low, high = interval([r[figure] for r in mine])
        broken = sum(sum(r["rules"].values()) > 0 for r in mine)
        cells.append([name, len(mine), f"{mean:.4f}", f"{low:.4f}", f"{high:.4f}", broken])
    heads = ["policy", "days", f"mean {figure}", "low", "high", "days with a rule broken"]
    tables.insert(0, {"title": "Policies", "heads": heads, "rows": cells})
    lead = f"{len(rows)} days, revisions {', '.join(sorted({r['revision'] for r in rows}))}; intervals of 95%"
    return _render(title="Sweep", lead=lead, tables=tables, broken=[], images=images, trace=[])
