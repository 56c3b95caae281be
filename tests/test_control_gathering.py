"""A control machine without a vote applies only complete versions, whichever machines answer."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ryestack.control import publisher as publishing
from ryestack.control.catalogue import Catalogue
from ryestack.control.gathering import BadAnswer, Gathering, NotAhead
from ryestack.control.messages import Delta, Entry, Piece, TooOld
from ryestack.control.publisher import Publisher

from .consensus_net import examples

KEYS = [f"setting/s{n}" for n in range(6)]


class Log:
    """Changes by version, and the state at each version."""

    def __init__(self, rng: random.Random):
        self.rng, self.entries, self.states = rng, [[]], [{}]

    def add_version(self) -> None:
        version = len(self.entries)
        keys = self.rng.sample(KEYS, self.rng.randint(0, 3))
        changes = [
            Entry(key, version, "*", self.rng.choice([None, b'"%d"' % version])) for key in sorted(keys)
        ]
        state = dict(self.states[-1])
        for entry in changes:
            state.pop(entry.key, None)
            if entry.value is not None:
                state[entry.key] = entry.value
        self.entries.append(changes)
        self.states.append(state)


class Source:
    """A machine that is some versions behind the log."""

    def __init__(self, log: Log):
        self.log, self.now, self.tokens = log, 0.0, 0
        self.publisher = Publisher("c", Catalogue(max_tombstones=3), 2, random.Random(1), 4)

    def catch_up(self, versions: int) -> None:
        for _ in range(versions):
            version = self.publisher.catalogue.version + 1
            if version < len(self.log.entries):
                self.publisher.apply(version, self.log.entries[version], self.now)

    def ask(self, request):
        self.tokens += 1
        self.now += 1.0
        answer = self.publisher.handle(request, self.now, self.tokens)
        if answer is None:  # held: wait until it is due
            self.now += 100.0
            (answer,) = [answer for token, answer in self.publisher.due(self.now) if token == self.tokens]
        return answer


class Machine:
    """A machine without a vote and its catalogue."""

    def __init__(self, log: Log):
        self.log, self.gathering, self.catalogue = log, Gathering("c", "f", 1.0), Catalogue()

    def ask(self, source: Source) -> None:
        try:
            gathered = self.gathering.receive(source.ask(self.gathering.request()))
        except NotAhead:
            return
        if gathered is None:
            return
        assert gathered.version > self.catalogue.version
        if gathered.catalogue is not None:
            self.catalogue = gathered.catalogue
        else:
            self.catalogue.apply(gathered.version, gathered.entries)
        self.gathering.applied(gathered)
        self.check()

    def check(self) -> None:
        state = {entry.key: entry.value for entry in self.catalogue.live("*")}
        assert state == self.log.states[self.catalogue.version]


@pytest.fixture(autouse=True)
def small_answers(monkeypatch):
    monkeypatch.setattr(publishing, "MAX_BATCH_BYTES", 80)


@settings(max_examples=examples(150))
@given(st.integers(0, 2**32))
def test_only_complete_versions_are_applied_from_machines_at_different_versions(seed):
    rng = random.Random(seed)
    log = Log(rng)
    sources, machine = [Source(log) for _ in range(3)], Machine(log)
    for _ in range(rng.randint(10, 120)):
        if rng.random() < 0.4:
            for _ in range(rng.randint(1, 6)):
                log.add_version()
        for source in sources:
            source.catch_up(rng.choice((0, 0, 1, 3, 20)))
        machine.ask(rng.choice(sources))
    sources[0].catch_up(len(log.entries))
    for _ in range(100):
        machine.ask(sources[0])
    assert machine.catalogue.version == len(log.entries) - 1


@pytest.mark.parametrize("answer", [Piece("**", 3, [], True), Delta(5, 9, [], 9), Delta(0, 0, [], 9, True)])
def test_an_answer_that_does_not_match_the_request_is_refused(answer):
    gathering = Gathering("c", "f", 1.0)
    with pytest.raises(BadAnswer):
        gathering.receive(answer)


def test_an_empty_piece_that_is_not_the_last_is_refused():
    gathering = Gathering("c", "f", 1.0)
    gathering.receive(TooOld(3))
    with pytest.raises(BadAnswer):
        gathering.receive(Piece("**", 3, [], False))
