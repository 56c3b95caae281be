"""Checks a soak test from the records of clients, partners and platform, and the relays' logs. No I/O.

The rules are the protocol's: each accepted notification has a final outcome, no effect takes place twice,
each request that was read is answered, drains and waits are respected, and a partner that is back from an
outage is not overloaded.
"""

import re

from ..oracle import Handed, judge
from .client_rules import check_memory, check_returned
from .endpoint_rules import budget, check_budgets, check_drains, check_times, check_waits
from .model import INCOMPLETE, MUST_ANSWER, Answer, Attempt, Behaviour
from .verdict import Evidence, Finding, Verdict

END_TOLERANCE_S = 0.35  # allowed delay of a final outcome: 300 ms, and 50 ms for the sockets
RESTART_GRACE_S = 1.5  # after a restarted relay is ready, no outcome counts as late
INCOMPLETE_REQUEST_TIMEOUT_S = 3.0  # for the relay to answer or close after an incomplete request
CROWD_MARGIN_S = 0.5  # after a crowd, in which its last connections end
RESTART_MARGIN_S = 0.25  # around a restart, in which connections may break during requests
LOG_FAULT_PATTERNS = (
    ("traceback", re.compile(r"^Traceback ", re.MULTILINE)),
    ("call fault", re.compile(r" call\.fault ")),
    ("relay fault", re.compile(r" relay\.fault")),
    ("loop error", re.compile(r" loop\.error")),
    ("invariant violated", re.compile(r" invariant\.violated ")),
)
UNRECORDED = re.compile(r"r\d+-(abuse|return)-")  # ids of abusive and of returning clients
ORACLE_ANSWERS = {
    Answer.TAKEN: "taken", Answer.THROTTLED: "throttled", Answer.EXPIRED: "expired",
    Answer.MALFORMED: "malformed",
}  # fmt: skip

__all__ = ["Evidence", "Finding", "Verdict", "budget", "judge_soak"]


def judge_soak(evidence: Evidence) -> Verdict:
    """Checks all rules against the evidence."""
    verdict = Verdict()
    _check_outcomes_and_effects(evidence, verdict)
    _check_late_outcomes(evidence, verdict)
    for attempt in evidence.attempts:
        verdict.counts[f"answer {attempt.answer.value}"] += 1
        _check_answer(evidence, attempt, verdict)
    check_drains(evidence, verdict)
    check_waits(evidence, verdict)
    check_budgets(evidence, verdict)
    check_times(evidence, verdict)
    check_returned(evidence, verdict)
    check_memory(evidence, verdict)
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
    books, names = evidence.books, {request.id for request in handed}
    # Clients that keep no record of each request are judged by what others observe.
    runs = [run for run in books.runs if run.id in names or not UNRECORDED.match(run.id)]
    result = judge(handed, runs, books.notices, evidence.now, evidence.window, books.whole)
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
    crowded = any(
        crowd.relay == attempt.relay
        and crowd.begin <= attempt.ended
        and attempt.sent <= crowd.end + CROWD_MARGIN_S
        for crowd in evidence.crowded
    )
    if attempt.answered_twice:
        verdict.add("answered twice", attempt.id, "a copy of the request got an answer of its own")
    if attempt.behaviour in MUST_ANSWER:
        unanswered = attempt.answer is Answer.CLOSED and attempt.fresh and not near_restart
        if unanswered and crowded:
            verdict.counts["closed unread beside a crowd"] += 1
        elif unanswered:
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
