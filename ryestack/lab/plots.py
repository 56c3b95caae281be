"""Plots as PNG bytes for reports and studies; matplotlib without a display."""

import io

import matplotlib
import numpy as np

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402

SIZE = (9.0, 2.6)
COLOURS = plt.rcParams["axes.prop_cycle"].by_key()["color"]


def _png(figure) -> bytes:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=110, bbox_inches="tight", metadata={"Software": None})
    plt.close(figure)
    return out.getvalue()


def over_time(rows: dict[str, np.ndarray], title: str, unit: str, spans=()) -> bytes:
    """Lines over seconds; spans: (begin, end, label) of faults, shaded in the background."""
    figure, axes = plt.subplots(figsize=SIZE)
    for name, values in rows.items():
        axes.plot(np.arange(len(values)), values, label=name, linewidth=1.2)
    for i, (begin, end, label) in enumerate(spans):
        axes.axvspan(begin, max(end, begin + 0.3), alpha=0.10, color=COLOURS[(i + 3) % len(COLOURS)])
        axes.text(begin, axes.get_ylim()[1], label, fontsize=6, rotation=90, va="top", ha="left")
    axes.set_xlabel("seconds")
    axes.set_ylabel(unit)
    axes.set_title(title, fontsize=10, loc="left")
    axes.grid(alpha=0.3)
    if len(rows) > 1:
        axes.legend(fontsize=7, ncol=4)
    return _png(figure)


def heat(share: np.ndarray, title: str) -> bytes:
    """Heat map of the delivered share, by destination and second of arrival."""
    figure, axes = plt.subplots(figsize=(9.0, min(6.0, 1.2 + 0.06 * len(share))))
    image = axes.imshow(share, aspect="auto", vmin=0.0, vmax=1.0, cmap="RdYlGn", interpolation="nearest")
    figure.colorbar(image, ax=axes, fraction=0.02)
    axes.set_xlabel("second of arrival")
    axes.set_ylabel("destination")
    axes.set_title(title, fontsize=10, loc="left")
    return _png(figure)


def histogram(values: np.ndarray, title: str) -> bytes:
    """Histogram of delivery times in seconds, both axes logarithmic."""
    figure, axes = plt.subplots(figsize=SIZE)
    if len(values):
        axes.hist(values, bins=np.geomspace(max(1e-3, values.min()), max(2e-3, values.max()), 60))
        axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("seconds to delivery")
    axes.set_ylabel("notifications")
    axes.set_title(title, fontsize=10, loc="left")
    return _png(figure)


def curves(
    x: list, rows: dict[str, list[tuple[float, float, float]]], title: str, across: str, up: str, log=False
):
    """Curves with intervals; rows: by name, (mean, low, high) for each x."""
    figure, axes = plt.subplots(figsize=(7.0, 4.0))
    for i, (name, found) in enumerate(rows.items()):
        mean, low, high = (np.array(column, float) for column in zip(*found, strict=True))
        low, high = (np.where(np.isfinite(v), v, mean) for v in (low, high))
        axes.plot(x, mean, "o-", label=name, color=COLOURS[i % len(COLOURS)], linewidth=1.4, markersize=4)
        axes.fill_between(x, low, high, alpha=0.2, color=COLOURS[i % len(COLOURS)])
    if log:
        axes.set_xscale("log")
    axes.set_xlabel(across)
    axes.set_ylabel(up)
    axes.set_title(title, fontsize=10, loc="left")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    return _png(figure)
