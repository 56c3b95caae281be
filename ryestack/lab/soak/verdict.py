"""What is known of a soak test, and what its check found. No I/O."""

from collections import Counter
from dataclasses import dataclass, field

from ...standins.books import Books
from ...standins.stage import Endpoint
from .model import Attempt, Crowded, Disturbed, Drained, MemoryPeak, RelayMemoryPeak, Restart, Returned
from .returning_model import ReturnedRequest


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
    crowded: list[Crowded]
    logs: dict[int, str]
    problems: list[str]
    window: float
    now: float
    memory: list[MemoryPeak] = field(default_factory=list)
    relay_memory: list[RelayMemoryPeak] = field(default_factory=list)
    returned_requests: list[ReturnedRequest] = field(default_factory=list)


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
