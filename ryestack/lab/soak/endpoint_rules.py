"""Checks the calls that endpoints received: none to a drained one, in a wait, past a cold one's budget, past
a notification's time, or past the window of repeats.

No I/O.
"""

from collections import defaultdict
from math import inf

from ...standins.books import Arrival
from ..outage.budget import bound as budget
from .verdict import Evidence, Verdict

LIST_PROPAGATION_S = 6.0  # after which relays must know of a change of the endpoint list
IN_FLIGHT_GRACE_S = 2.0  # in which calls that were begun before may still arrive
WAIT_PROPAGATION_S = 0.1  # after a wait was sent, in which calls may still arrive
MAX_LINK_DELAY_S = 1.0  # of a late link, in either direction
SOCKET_TOLERANCE_S = 0.05  # by which each time limit grows on sockets


def check_drains(evidence: Evidence, verdict: Verdict) -> None:
    for drained in evidence.drained:
        late_calls = [
            arrival for arrival in evidence.books.arrivals
            if arrival.endpoint == drained.endpoint
            and drained.begin + LIST_PROPAGATION_S + IN_FLIGHT_GRACE_S < arrival.at < drained.end
        ]  # fmt: skip
        for call in late_calls:
            what = f"called {call.at - drained.begin:.2f} s after {drained.endpoint} drained"
            verdict.add("drain", call.id, what)


def relay_of(name: str) -> int:
    """Number of the relay that a notification was sent to, from the notification's id."""
    return int(name.partition("-")[0][1:])


def check_waits(evidence: Evidence, verdict: Verdict) -> None:
    """A wait binds the relay that received it, until it is over or the relay is restarted."""
    waits: dict[tuple[int, str], tuple[float, float]] = {}
    for arrival in sorted(evidence.books.arrivals, key=lambda row: row.at):
        key = relay_of(arrival.id), arrival.endpoint
        begin, end = waits.get(key, (0.0, 0.0))
        restarted = any(
            restart.relay == key[0] and begin <= restart.ready and restart.begin <= arrival.at
            for restart in evidence.restarts
        )
        link_disturbed = any(
            disturbed.endpoint == arrival.endpoint
            and disturbed.begin <= arrival.at
            and begin <= disturbed.end + MAX_LINK_DELAY_S
            for disturbed in evidence.disturbed
        )
        if begin + WAIT_PROPAGATION_S < arrival.at < end - 0.005 and not restarted and not link_disturbed:
            what = f"called {end - arrival.at:.3f} s within a wait sent {arrival.at - begin:.3f} s before"
            verdict.add("wait", arrival.id, f"{arrival.endpoint}: {what}")
        if arrival.wait:
            waits[key] = arrival.at, arrival.at + arrival.wait


def check_times(evidence: Evidence, verdict: Verdict) -> None:
    """No call arrives past its notification's time, and no repeat past its window.

    The window counts from the first call that may have run, at the earliest from its arrival.
    """
    attempts = {attempt.id: attempt for attempt in evidence.attempts}
    first: dict[str, float] = {}
    for arrival in sorted(evidence.books.arrivals, key=lambda row: row.at):
        attempt = attempts.get(arrival.id)
        if attempt is None:
            continue
        if arrival.at > attempt.due + SOCKET_TOLERANCE_S:
            what = f"called {arrival.at - attempt.due:.3f} s past its time"
            verdict.add("call past its time", arrival.id, what)
        may_have_run_at = first.get(arrival.id, inf)
        late = arrival.at - may_have_run_at - evidence.window
        if attempt.effect == "collapsible" and late > SOCKET_TOLERANCE_S:
            what = f"called again {late:.3f} s past the window, {arrival.endpoint}: {arrival.how}"
            verdict.add("repeat past its window", arrival.id, what)
        if arrival.how != "full":
            first.setdefault(arrival.id, arrival.at)


def check_budgets(evidence: Evidence, verdict: Verdict) -> None:
    """Checks the calls to a partner that is back from an outage, in each window of its fall_time."""
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in evidence.books.arrivals:
        arrivals[arrival.endpoint].append(arrival)
    for returned in evidence.returned:
        endpoint = evidence.endpoints[returned.endpoint]
        window = endpoint.fall_time
        times = sorted(
            arrival.at
            for arrival in arrivals[returned.endpoint]
            if 0.0 <= arrival.at - returned.at <= endpoint.cold_time
        )
        for i, at in enumerate(times):
            share = (
                endpoint.cold_share + (1.0 - endpoint.cold_share) * (at - returned.at) / endpoint.cold_time
            )
            allowed = endpoint.weight * share * endpoint.fall_factor * window
            calls = sum(at - window < t <= at for t in times[: i + 1])
            if calls > budget(allowed):
                what = f"{calls} calls in {window:g} s, {allowed:.1f} allowed"
                verdict.add("budget", returned.endpoint, f"{at - returned.at:.2f} s after its return {what}")
                break
