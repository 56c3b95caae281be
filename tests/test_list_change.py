"""A change of the list costs what it changes: the decisions keep what they need of it at hand."""

from hypothesis import given
from hypothesis import settings as given_settings
from hypothesis import strategies as st

from ryestack import interface as it
from ryestack.brain import Brain
from ryestack.interface import EndpointStatus, Result
from ryestack.lifecycle import learned_state
from ryestack.lifecycle.watched import Watched

from .helpers import settings

MANY = 40  # destinations, two routes each


class CountedTable(dict):
    """A table that counts how often it is looked through."""

    walks = 0

    def items(self):
        self.walks += 1
        return super().items()

    def values(self):
        self.walks += 1
        return super().values()

    def __iter__(self):
        self.walks += 1
        return super().__iter__()


def endpoint(destination, part="a", listed=EndpointStatus.READY):
    return it.Endpoint(f"{destination}-{part}", "z", "shared", destination, listed, 50.0)


def module(**more):
    made = Watched(settings(**more), 1)
    listed = tuple(endpoint(number, part) for number in range(MANY) for part in "ab")
    made.round(0.0, [it.ListUpdate(listed, whole=True)])
    return made


def notification(name, destination, due=20.0):
    return it.Notification(name, due, destination, "again")


def count_walks(made):
    made.routes, made.destinations = CountedTable(made.routes), CountedTable(made.destinations)
    return lambda: made.routes.walks + made.destinations.walks


def test_a_change_looks_through_neither_routes_nor_destinations():
    made = module()
    walks = count_walks(made)
    made.round(1.0, [it.ListUpdate((endpoint(7, listed=EndpointStatus.DRAINING),))])
    made.round(2.0, [it.ListUpdate((endpoint(7),))])
    for at, part in ((3.0, "a"), (4.0, "b")):
        made.round(at, [it.ListUpdate((endpoint(8, part, EndpointStatus.GONE),))])
    assert 8 not in made.destinations and 7 in made.destinations
    assert "8-a" not in made.routes and walks() == 0


def test_a_full_hold_looks_only_where_something_waits():
    made = module(max_open=10, slots=1)
    walks = count_walks(made)
    acts = made.round(1.0, [notification(f"n{n}", 3) for n in range(12)])
    assert any(isinstance(act, it.Throttle) for act in acts)
    assert walks() == 0


def test_a_drain_restored_from_the_life_before_ends_like_any_other():
    made = module()
    told = learned_state.export(module())["routes"]["7-a"]
    learned_state.restore(made, {"routes": {"7-a": [{**told[0], "state": "draining"}, *told[1:]]}})
    assert list(made.draining) == ["7-a"]
    made.round(100.0, [it.ListUpdate((endpoint(9),))])
    assert "7-a" not in made.routes


EVENTS = st.lists(
    st.one_of(
        st.tuples(
            st.just("list"), st.integers(0, 3), st.sampled_from("ab"), st.sampled_from(list(EndpointStatus))
        ),
        st.tuples(st.just("whole"), st.sets(st.integers(0, 3))),
        st.tuples(st.just("ask"), st.integers(0, 4)),
        st.tuples(st.just("end"), st.sampled_from(list(Result))),
        st.tuples(st.just("wait"), st.sampled_from([0.05, 1.0, 70.0])),
    ),
    max_size=40,
)


@given_settings(deadline=None)
@given(EVENTS)
def test_what_is_kept_at_hand_is_what_a_walk_over_all_would_find(events):
    made, now, asked = Brain(settings(slots=3, max_open=8), 1), 0.0, 0
    for what, *told in events:
        heard = []
        if what == "list":
            heard = [it.ListUpdate((endpoint(*told),))]
        elif what == "whole":
            heard = [it.ListUpdate(tuple(endpoint(number) for number in sorted(told[0])), whole=True)]
        elif what == "ask":
            asked += 1
            heard = [notification(f"n{asked}", told[0], now + 20.0)]
        elif what == "end" and made.in_flight:
            (name, push), (call, _) = next(iter(made.in_flight.items()))
            heard = [it.Outcome(name, push, call.route.id, told[0], 0.1)]
        now += told[0] if what == "wait" else 0.01
        made.round(now, heard)
        assert set(made.waiting.values()) == {dest for dest in made.destinations.values() if dest.parked}
        assert set(made.draining.values()) == {r for r in made.routes.values() if r.state == "draining"}
        assert made.routeless == {n: dest for n, dest in made.destinations.items() if not dest.route_list}
        if what in ("list", "whole"):
            assert all(dest.route_list or dest.parked or dest.calls for dest in made.destinations.values())
