"""Checks what hostile clients must not achieve: an id that runs twice, a relay past its memory. No I/O."""

from collections import defaultdict

from .returning_model import ReturnedRequest
from .verdict import Evidence, Verdict


def check_returned(evidence: Evidence, verdict: Verdict) -> None:
    """No once-only id that is handed in again runs twice."""
    runs = defaultdict(list)
    for run in evidence.books.runs:
        runs[run.id].append(run)
    for request in evidence.returned_requests:
        verdict.counts["returned"] += 1
        if request.effect == "once-only" and len(runs[request.id]) > 1:
            times = ", ".join(f"{run.at - request.hand_ins[0].sent:.3f}" for run in runs[request.id])
            verdict.add("run twice", request.id, f"at {times} s from its first hand-in, {_summary(request)}")


def _summary(request: ReturnedRequest) -> str:
    """The hand-ins in seconds from the first, with the status of each answer."""
    first = request.hand_ins[0].sent
    return "; ".join(f"{h.sent - first:.3f} to {h.left - first:.3f}: {h.status}" for h in request.hand_ins)


def check_memory(evidence: Evidence, verdict: Verdict) -> None:
    """No process passes the limit of its configuration, nor all of a relay together the platform's."""
    for each in evidence.memory:
        if each.peak > each.limit:
            what = f"process {each.process} had {each.peak / 1e6:.1f} MB, {each.limit / 1e6:g} MB allowed"
            verdict.add("memory", f"relay {each.relay}", what)
    for relay in evidence.relay_memory:
        if relay.peak > relay.limit:
            what = f"its processes had {relay.peak / 1e6:.1f} MB, {relay.limit / 1e6:g} MB allowed"
            verdict.add("memory", f"relay {relay.relay}", what)
