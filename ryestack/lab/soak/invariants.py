"""Checks a soak test from the records of clients, partners and platform, and the relays' logs. No I/O.

The rules are the protocol's: each accepted notification has a final outcome, no effect takes place twice,
each request that was read is answered, drains and waits are respected, and a partner that is back from an
outage is not overloaded.
"""

import re
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from math import sqrt

from ...standins.books import Arrival, Books
from ...standins.stage import Endpoint
from ..oracle import Handed, judge
from .model import INCOMPLETE, MUST_ANSWER, Answer, Attempt, Behaviour, Disturbed, Drained, Restart, Returned

END_TOLERANCE_S = 0.35  # allowed delay of a final outcome: 300 ms, and 50 ms for the sockets
RESTART_GRACE_S = 1.5  # after a restarted relay is ready, no outcome counts as late
INCOMPLETE_REQUEST_TIMEOUT_S = 3.0  # for the relay to answer or close after an incomplete request
LIST_PROPAGATION_S = 6.0  # after which relays must know of a change of the endpoint list
IN_FLIGHT_GRACE_S = 2.0  # in which calls that were begun before may still arrive
WAIT_PROPAGATION_S = 0.1  # after a wait was sent, in which calls may still arrive
MAX_LINK_DELAY_S = 1.0  # of a late link, in either direction
RESTART_MARGIN_S = 0.25  # around a restart, in which connections may break during requests
SMALL_BUDGET_CALLS = 30
LOG_FAULT_PATTERNS = (
    ("traceback", re.compile(r"^Traceback ", re.MULTILINE)),
    ("call fault", re.compile(r" call\.fault ")),
    ("relay fault", re.compile(r" relay\.fault")),
    ("loop error", re.compile(r" loop\.error")),
    ("invariant violated", re.compile(r" invariant\.violated ")),
)
ORACLE_ANSWERS = {
    Answer.TAKEN: "taken", Answer.THROTTLED: "throttled", Answer.EXPIRED: "expired",
    Answer.MALFORMED: "malformed",
}  # fmt: skip


@dataclass(slots=True)
class Evidence:
    """All observations from outside the relays. logs: by relay number; endpoints: as in the stage, by name;
    problems: of processes; window: collapse window in seconds; now: wall-clock time of the check."""

    attempts: list[Attempt]
    books: Books
    endpoints: dict[str, Endpoint]
    restarts: list[Restart]
    drained: list[Drained]
    returned: list[Returned]
    disturbed: list[Disturbed]
    logs: dict[int, str]
    problems: list[str]
    window: float
    now: float


@dataclass(slots=True)
class Finding:
    """A broken rule. subject: the notification, endpoint or relay that it concerns."""

    rule: str
    subject: str
    what: str


@dataclass(slots=True)
class Verdict:
    """Result of the check: all broken rules, and counts of what happened."""

    findings: list[Finding] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)

    def add(self, rule: str, subject: str, what: str) -> None:
        self.findings.append(Finding(rule, subject, what))
        self.counts[f"broken: {rule}"] += 1


def judge_soak(evidence: Evidence) -> Verdict:
    """Checks all rules against the evidence."""
    verdict = Verdict()
    _check_outcomes_and_effects(evidence, verdict)
    _check_late_outcomes(evidence, verdict)
    for attempt in evidence.attempts:
        verdict.counts[f"answer {attempt.answer.value}"] += 1
        _check_answer(evidence, attempt, verdict)
    _check_drains(evidence, verdict)
    _check_waits(evidence, verdict)
    _check_budgets(evidence, verdict)
    for relay, log in evidence.logs.items():
        for name, pattern in LOG_FAULT_PATTERNS:
            if count := len(pattern.findall(log)):
                verdict.add(name, f"relay {relay}", f"{count} in its log")
    for problem in evidence.problems:
        verdict.add("process", "", problem)
    return verdict


def _check_outcomes_and_effects(evidence: Evidence, verdict: Verdict) -> None:
    """Checks outcomes and effects with the oracle that all trials share."""
    handed = [
        Handed(
            attempt.id,
            attempt.topic,
            attempt.effect,
            attempt.key,
            attempt.sent,
            attempt.due,
            ORACLE_ANSWERS.get(attempt.answer, "unheard"),
            attempt.ended,
        )  # fmt: skip
        for attempt in evidence.attempts
        if attempt.behaviour not in INCOMPLETE
    ]
    books = evidence.books
    result = judge(handed, books.runs, books.notices, evidence.now, evidence.window, books.whole)
    for name in ("handed", "taken", "delivered", "throttled", "expired", "at_the_door", "unheard", "pending"):
        verdict.counts[name] = getattr(result, name)
    for name in ("lost", "twice", "late", "after_its_end", "two_ends", "false_ends"):
        if count := getattr(result, name):
            verdict.counts[f"broken: {name}"] += count
    verdict.findings += [Finding("notification", line.partition(":")[0], line) for line in result.broken]
    if not result.whole:
        verdict.add("books", "", "rows were dropped from the records: this run can't be checked")


def _check_late_outcomes(evidence: Evidence, verdict: Verdict) -> None:
    """Finds final outcomes that came later than the deadline allows and that no restart excuses."""
    first: dict[str, float] = {}
    for run in evidence.books.runs:
        if run.answered:
            first[run.id] = min(run.answered, first.get(run.id, run.answered))
    for notice in evidence.books.notices:
        first[notice.id] = min(notice.at, first.get(notice.id, notice.at))
    for attempt in evidence.attempts:
        at = first.get(attempt.id)
        if attempt.answer is not Answer.TAKEN or at is None or at <= attempt.due + END_TOLERANCE_S:
            continue
        excused = [
            restart for restart in evidence.restarts
            if restart.relay == attempt.relay and restart.begin <= at
            and attempt.due + END_TOLERANCE_S >= restart.begin - END_TOLERANCE_S
            and at <= restart.ready + RESTART_GRACE_S + END_TOLERANCE_S
        ]  # fmt: skip
        if not excused:
            verdict.add("late end", attempt.id, f"final outcome {at - attempt.due:.3f} s after its deadline")


def _check_answer(evidence: Evidence, attempt: Attempt, verdict: Verdict) -> None:
    near_restart = [
        restart for restart in evidence.restarts
        if restart.relay == attempt.relay and restart.begin - RESTART_MARGIN_S <= attempt.ended
        and attempt.sent <= restart.ready + RESTART_MARGIN_S
    ]  # fmt: skip
    if attempt.behaviour in MUST_ANSWER:
        if attempt.answer is Answer.CLOSED and attempt.fresh and not near_restart:
            what = f"{attempt.behaviour.value}: read, then closed without an answer"
            verdict.add("unanswered", attempt.id, f"{what} after {attempt.ended - attempt.sent:.3f} s")
        # a request that is read together with the garbage behind it may be rejected
        may_be_rejected = attempt.behaviour is Behaviour.GARBAGE_BEHIND
        if attempt.answer is Answer.MALFORMED and not may_be_rejected:
            verdict.add("unanswered", attempt.id, f"{attempt.behaviour.value}: a valid request was rejected")
        if attempt.answer is Answer.RESET and not near_restart:
            verdict.counts["reset under a request"] += 1
    elif attempt.behaviour is not Behaviour.LEAVES and not near_restart:
        waited = attempt.ended - attempt.sent
        if attempt.answer is Answer.TIMED_OUT and waited > INCOMPLETE_REQUEST_TIMEOUT_S:
            verdict.add(
                "left open", attempt.id, f"{attempt.behaviour.value}: still open after {waited:.1f} s"
            )


def _check_drains(evidence: Evidence, verdict: Verdict) -> None:
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


def _check_waits(evidence: Evidence, verdict: Verdict) -> None:
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


def budget(allowed: float) -> float:
    """Maximum calls to a cold partner in a window in which its settings allow this mean number.

    The margin for random variation is 2 standard deviations and 2 calls, below SMALL_BUDGET_CALLS 3 and 3.
    """
    return allowed + (
        3.0 * sqrt(allowed) + 3.0 if allowed < SMALL_BUDGET_CALLS else 2.0 * sqrt(allowed) + 2.0
    )


def _check_budgets(evidence: Evidence, verdict: Verdict) -> None:
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
