"""The log and the metrics tell what a relay takes a destination for, and which calls failed there."""

import io

import pytest

from ryestack.interface import Outcome, Result
from ryestack.lifecycle.watched import Watched
from ryestack.observe import figures, log

from .helpers import brain, end, take


@pytest.fixture
def sink():
    lines = io.StringIO()
    log.setup("n0", sink=lines)
    yield lines
    log.setup(sink=lambda _: None)


def refused(name, endpoint, **more):
    return Outcome(name, 0, endpoint, Result.FULL, 0.1, **more)


def test_refusals_without_a_log_line_that_names_the_destination(sink):
    """The incident's log counted 17 refusals and named none."""
    module = brain(made=Watched)
    module.round(1.0, [take("n", "once"), take("m", "once")])
    module.round(1.1, [refused("n", "a"), refused("m", "a", limit=9.0, limit_left=0.0)])
    text = sink.getvalue()
    assert 'push.refused destination=7 route=a kind="refused, no wait" wait=0.0' in text
    assert 'push.refused destination=7 route=a kind="refused, limit used up" wait=0.0 limit=9.0' in text
    assert "destination.changed destination=7 route=all state=suspected why=full" in text


def test_a_destination_that_is_down_without_a_metric(sink):
    """What each relay takes a destination for, and since when, was told nowhere."""
    module = brain(made=Watched, relays=10)
    for n in range(3):
        module.round(1.0 + n, [take(f"n{n}")])
        pushed = [(name, call.route.id, push) for (name, push), (call, _) in module.in_flight.items()]
        module.round(1.1 + n, [end(name, route, Result.NO_CONNECTION, push) for name, route, push in pushed])
    assert "destination.changed destination=7 route=all state=down" in sink.getvalue()
    text = "".join(
        figures.render_samples(name, samples)
        for name, samples in module.health.samples(module.destinations, module.now + 5.0)
    )
    assert 'lb_failed_pushes_total{destination="7",endpoint="a",kind="no connection"}' in text
    assert 'lb_destination_state_seconds{destination="7",route="all",state="down"} 6.0' in text
    assert 'lb_destination_rate{destination="7",route="all",state="down"}' in text


def test_outage_found_by_overdue_calls_is_neither_logged_nor_saved(sink):
    """The timer of a call named the function of the base class, so that the one that reports was not run."""
    module, reports = brain(made=Watched, relays=10), []
    module.on_failing_changed = lambda: reports.append(module.now)
    module.round(1.0, [take(f"n{n}") for n in range(6)])
    while module.now < 8.0:
        module.round(module.now + 0.1, [])
    assert reports and reports[0] <= 1.0 + Watched.MAX_MIN_OVERDUE_S + 0.2
    assert "destination.changed destination=7 route=all state=down why=overdue" in sink.getvalue()
    samples = dict(module.health.samples(module.destinations, module.now, module.late_calls))
    assert samples["unanswered_calls"][0].value == len(module.late_calls) > 0
