"""Metrics in the Prometheus text format (version 0.0.4), for on-call staff and collectors.

Counters are kept by the modules that they belong to; this module formats them on request.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "lb_"
# Outcome of a notification -> value of the label `outcome`, in the operators' terms.
OUTCOMES = {"delivered": "passed", "throttled": "dropped", "expired": "bad_gateway"}
FIGURES = (  # name, type, meaning
    ("upstream_tries_total", "counter", "messages written whole to endpoints"),
    ("skipped_answers_total", "counter", "answers of endpoints that may be those of another call"),
    ("in_progress", "gauge", "messages taken and not ended"),
    ("known_endpoints", "gauge", "endpoints in the list"),
    ("skipped_endpoints", "gauge", "listed endpoints that the relay avoids now"),
    ("loop_held_up_total", "counter", "timers that fired over 0.1 s late: the process stood still"),
    ("loop_held_up_seconds_total", "counter", "by how much these were late, in all"),
    ("memory_resident_bytes", "gauge", "memory of this process now"),
    ("memory_peak_bytes", "gauge", "the most memory that this process has had"),
    ("memory_limit_bytes", "gauge", "limits.memory_mb of the configuration, 0 if it states none"),
    ("client_held_bytes", "gauge", "that clients' connections hold beyond 8 KiB each, a part of the limit"),
    ("accept_pauses_total", "counter", "times at which new connections had to wait for a place"),
    ("ids_remembered", "gauge", "ids that have ended and are refused if they are handed in again"),
    ("loads_total", "counter", "configuration files taken at SIGHUP"),
    ("load_errors_total", "counter", "configuration files turned down at SIGHUP"),
)

LABELLED = (  # name, label, meaning
    (
        "invariant_violations_total",
        "rule",
        "rules that a decided action would have broken, which was not done",
    ),
    ("refused_total", "why", "hand-ins that were not taken on"),
    ("client_requests_refused_total", "why", "requests that were refused before they had come whole"),
    ("pushes_unsent_total", "why", "pushes that were decided and not started"),
    ("repeats_total", "permission", "pushes again, by what allowed them"),
    ("folder_seconds_total", "operation", "in file operations in the state folder"),
    ("folder_slow_total", "operation", "file operations in the state folder that took over 0.05 s"),
    ("retries_total", "after", "pushes again, by how the one before ended"),
    ("client_connections_closed_total", "why", "clients' connections by what ended them"),
    ("endpoint_connections_closed_total", "why", "connections to endpoints that this relay closed"),
)
LABELLED_GAUGES = (("client_connections", "state", "clients' connections by what they are doing"),)
CONTROL_FIGURES = (  # of relays that have control machines
    ("control_version", "gauge", "version of destinations and settings in force"),
    ("control_age_seconds", "gauge", "since a control machine last said that it is the newest"),
    ("control_rejected", "gauge", "1 while a newer version cannot be used"),
)
LIST_FIGURES = (  # of relays that follow a registry
    ("list_version", "gauge", "version of the endpoint list in force, as its registry numbers it"),
    ("list_checksum", "gauge", "the same at relays with the same endpoints, addresses and statuses"),
    ("list_age_seconds", "gauge", "since the registry last confirmed it"),
    ("list_told", "gauge", "1 once the registry has told it to this process, 0 while a kept one is used"),
    ("list_withheld_endpoints", "gauge", "endpoints that get nothing until the registry has told the list"),
    ("list_unsaved", "gauge", "1 while the folder lacks the list in force"),
)
SAMPLED = {  # by name: type, meaning; each sample has labels of its own
    "failed_pushes_total": ("counter", "pushes that were not delivered, by endpoint and kind"),
    "unanswered_calls": ("gauge", "overdue calls that are still open, by destination"),
    "destination_rate": ("gauge", "calls a second allowed to a destination that is not warm"),
    "destination_state_seconds": ("gauge", "since a destination that is not warm entered its state"),
}
LIST_SOURCE = ("list_source", "source", "1 for where the endpoint list in force comes from, else 0")


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric, with its labels by name."""

    labels: dict[str, str]
    value: float


def render_samples(name: str, samples: Iterable[Sample]) -> str:
    """A metric of SAMPLED as text; KeyError for another name."""
    lines = _head(name, *SAMPLED[name])
    for sample in samples:
        labels = ",".join(f'{label}="{_escaped(value)}"' for label, value in sample.labels.items())
        lines.append(f"{PREFIX}{name}{{{labels}}} {sample.value}")
    return "\n".join(lines) + "\n"


def render(
    handled: Counter,
    categories: Iterable[str],
    values: dict[str, float],
    labelled: dict[str, dict[str, float]] | None = None,
) -> str:
    """All metrics as text.

    handled: counts by (topic type, outcome); categories: topic types to list even without notifications;
    values: by name, for FIGURES, CONTROL_FIGURES and LIST_FIGURES; labelled: counts by label, for the
    names in LABELLED and LABELLED_GAUGES and, where a registry is followed, LIST_SOURCE.
    """
    lines = _head("handled_total", "counter", "messages ended: delivered; refused or handed back; failed")
    for category in sorted({*categories, *(topic for topic, _ in handled)}):
        for outcome, label in OUTCOMES.items():
            labels = f'category="{_escaped(category)}",outcome="{label}"'
            lines.append(f"{PREFIX}handled_total{{{labels}}} {handled[category, outcome]}")
    scoped = CONTROL_FIGURES if "control_version" in values else ()
    followed = LIST_FIGURES if "list_version" in values else ()
    for name, kind, meaning in (*FIGURES, *scoped, *followed):
        lines += [*_head(name, kind, meaning), f"{PREFIX}{name} {values[name]}"]
    for name, label, meaning in LABELLED if labelled is not None else ():
        lines += _labelled_lines(name, label, "counter", meaning, labelled[name])
    for name, label, meaning in (*LABELLED_GAUGES, LIST_SOURCE) if labelled is not None else ():
        if name not in labelled:
            continue
        lines += _labelled_lines(name, label, "gauge", meaning, labelled[name])
    return "\n".join(lines) + "\n"


def _labelled_lines(name: str, label: str, kind: str, meaning: str, counts: dict[str, int]) -> list[str]:
    lines = [
        f'{PREFIX}{name}{{{label}="{_escaped(value)}"}} {count}' for value, count in sorted(counts.items())
    ]
    return [*_head(name, kind, meaning), *lines]


def _head(name: str, kind: str, meaning: str) -> list[str]:
    return [f"# HELP {PREFIX}{name} {meaning}", f"# TYPE {PREFIX}{name} {kind}"]


def _escaped(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
