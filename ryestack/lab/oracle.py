"""Judges a run from the records of clients, partners and platform; the relay's own state is not used. No I/O.

Times are seconds of one wall clock. The margins are the protocol's: a notification is lost if it has no
outcome 0.3 s after its deadline, and pushes that were in flight when an outcome was reported are allowed.
"""

from dataclasses import dataclass, field

LOST_AFTER = 0.3  # seconds past the TTL, as the protocol counts
ON_ITS_WAY = 0.25  # seconds after a notice arrived in which a push sent before it may still arrive
EFFECTS = ("repeatable", "collapsible", "once-only")


@dataclass(slots=True)
class Handed:
    """One request as its client saw it.

    answer: taken, throttled, expired, malformed, or unheard if no answer arrived; due: the deadline;
    intended_at: when the request was scheduled to be sent; answered_at: when the answer arrived.
    """

    id: str
    topic: str
    effect: str
    key: str
    intended_at: float
    due: float
    answer: str = "unheard"
    answered_at: float = 0.0


@dataclass(slots=True)
class Judged:
    """Counts of outcomes and violations; broken has a line per violation with the notification's timeline."""

    handed: int = 0
    taken: int = 0
    delivered: int = 0
    throttled: int = 0
    expired: int = 0
    at_the_door: int = 0
    unheard: int = 0
    pending: int = 0  # taken, without an outcome so far, and before the deadline
    lost: int = 0
    twice: int = 0
    late: int = 0
    after_its_end: int = 0
    two_ends: int = 0
    false_ends: int = 0
    whole: bool = True
    to_answer: list[float] = field(default_factory=list)
    to_effect: list[float] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def good(self) -> bool:
        return self.whole and not self.broken


def judge(handed: list[Handed], runs, notices, now: float, window: float, whole: bool = True) -> Judged:
    """Judges all requests. runs: executions from the partners' books; notices: from the platform's books.

    window: seconds in which a partner drops repeats of a collapsible notification's key.
    """
    result, runs_by_id, notices_by_id = Judged(handed=len(handed), whole=whole), {}, {}
    for run in runs:
        runs_by_id.setdefault(run.id, []).append(run)
    for notice in notices:
        notices_by_id.setdefault(notice.id, []).append(notice)
    for request in handed:
        own_runs = sorted(runs_by_id.get(request.id, []), key=lambda r: r.at)
        own_notices = sorted(notices_by_id.get(request.id, []), key=lambda n: n.at)
        _judge_request(result, request, own_runs, own_notices, now)
    _find_duplicates(result, handed, runs_by_id, window)
    return result


def _judge_request(result: Judged, request: Handed, runs: list, notices: list, now: float) -> None:
    def violation(counter: str, why: str) -> None:
        setattr(result, counter, getattr(result, counter) + 1)
        result.broken.append(f"{request.id}: {why}: {timeline(request, runs, notices)}")

    if request.answer == "unheard":
        result.unheard += 1
        return  # any outcome is allowed; only duplicates are counted
    result.to_answer.append(request.answered_at - request.intended_at)
    if request.answer != "taken":
        result.at_the_door += 1
        if runs:
            violation("after_its_end", "refused at once, but executed")
        return
    result.taken += 1
    answered = [r for r in runs if r.answered]
    if answered:
        result.to_effect.append(answered[0].at - request.intended_at)
    if len({n.state for n in notices}) > 1:
        violation("two_ends", "two different outcomes were reported")
    if answered and not notices:
        result.delivered += 1
    elif notices and notices[0].state == "returned":
        result.throttled += 1
        if runs and request.effect == "once-only":
            violation("false_ends", "reported as safe to retry, but executed")
    elif notices:
        result.expired += 1
    elif now < request.due + LOST_AFTER:
        result.pending += 1
    else:
        violation("lost", "taken, but neither delivered nor reported as ended")
    if any(r.came > request.due + LOST_AFTER for r in runs):
        violation("late", "pushed after its deadline")
    if notices and any(r.came > notices[0].at + ON_ITS_WAY for r in runs):
        violation("after_its_end", "pushed after its outcome was reported")


def _find_duplicates(result: Judged, handed: list[Handed], runs_by_id: dict, window: float) -> None:
    """Finds repeated effects: once-only by id, collapsible by key outside the window of one that counted."""
    by_key: dict[str, list] = {}
    requests = {request.id: request for request in handed}
    for name, runs in runs_by_id.items():
        request = requests.get(name)
        if request is None:
            result.broken.append(f"{name}: executed, but no client sent it")
        elif request.effect == "once-only" and len(runs) > 1:
            result.twice += 1
            result.broken.append(
                f"{name}: once-only, executed {len(runs)} times: {timeline(request, runs, [])}"
            )
        elif request.effect == "collapsible":
            by_key.setdefault(request.key, []).extend((r.at, request, runs) for r in runs)
    for rows in by_key.values():
        rows.sort(key=lambda row: row[0])
        if len({request.id for _, request, _ in rows}) > 1:
            continue  # the client sent it again under the same key: not the relay's fault
        counted = rows[0][0]
        for time, request, runs in rows[1:]:
            if time > counted + window:
                counted = time
                result.twice += 1
                result.broken.append(
                    f"{request.id}: executed again outside its window: {timeline(request, runs, [])}"
                )


def timeline(request: Handed, runs: list, notices: list) -> str:
    """All events of one notification in order, in seconds from the time it was scheduled to be sent."""
    rows = [
        (
            request.answered_at or request.intended_at,
            f"sent ({request.topic}, {request.effect}), answer {request.answer}",
        )
    ]
    rows += [(r.at, f"executed at {r.endpoint}{'' if r.answered else ', no answer written'}") for r in runs]
    rows += [(n.at, f"notice {n.state}") for n in notices]
    rows.append((request.due, "deadline"))
    return "; ".join(f"{time - request.intended_at:+.3f} {event}" for time, event in sorted(rows))
