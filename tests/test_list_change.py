"""The cost of a list change depends on the change only: the decision module keeps indexes."""

from hypothesis import given
from hypothesis import settings as given_settings
from hypothesis import strategies as st

from ryestack import interface
from ryestack.brain import Brain
from ryestack.interface import Endpoint, EndpointStatus, ListUpdate, Result
from ryestack.lifecycle import learned_state
from ryestack.lifecycle.watched import Watched

from .helpers import settings

MANY = 40  # destinations, two routes each


class CountedTable(dict):
    """A dict that counts how often it is iterated."""

    scans = 0

    def items(self):
        self.scans += 1
        return super().items()

    def values(self):
        self.scans += 1
        return super().values()

    def __iter__(self):
        self.scans += 1
        return super().__iter__()


def endpoint(destination, part="a", status=EndpointStatus.READY, of=None):
    return Endpoint(f"{destination}-{part}", "z", "shared", destination if of is None else of, status, 50.0)


def module(**more):
    made = Watched(settings(**more), 1)
    listed = tuple(endpoint(number, part) for number in range(MANY) for part in "ab")
    made.round(0.0, [ListUpdate(listed, whole=True)])
    return made


def notification(name, destination, due=20.0):
    return interface.Notification(name, due, destination, "again")


def count_scans(made):
    made.routes, made.destinations = CountedTable(made.routes), CountedTable(made.destinations)
    return lambda: made.routes.scans + made.destinations.scans


def test_change_scans_neither_routes_nor_destinations():
    made = module()
    scans = count_scans(made)
    made.round(1.0, [ListUpdate((endpoint(7, status=EndpointStatus.DRAINING),))])
    made.round(2.0, [ListUpdate((endpoint(7),))])
    for at, part in ((3.0, "a"), (4.0, "b")):
        made.round(at, [ListUpdate((endpoint(8, part, EndpointStatus.GONE),))])
    assert 8 not in made.destinations and 7 in made.destinations
    assert "8-a" not in made.routes and scans() == 0


def pushes(actions):
    return [(act.id, act.endpoint) for act in actions if isinstance(act, interface.Push)]


def test_endpoint_under_another_destination_gets_no_message_of_its_former_one():
    # Its route kept the destination that it was first listed under: messages went to another firm's endpoint.
    made = module()
    assert pushes(made.round(1.0, [notification("first", 7)])) == [("first", "7-a")]
    actions = made.round(2.0, [ListUpdate((endpoint(7, "a", of=8),)), notification("second", 7)])
    assert interface.CancelUnsent("7-a") in actions  # a call that still connects is called off
    assert pushes(actions) == [("second", "7-b")]
    made.round(3.0, [interface.Outcome("first", 0, "7-a", Result.DELIVERED, 0.1)])
    made.round(4.0, [ListUpdate((endpoint(8, "a", EndpointStatus.DRAINING), endpoint(8, "b", of=3)))])
    assert pushes(made.round(5.0, [notification("third", 8)])) == [("third", "7-a")]
    assert made.destinations[7].calls == 1 and [r.id for r in made.destinations[7].route_list] == ["7-b"]


def test_full_hold_scans_only_destinations_with_parked_notifications():
    made = module(max_open=10, slots=1)
    scans = count_scans(made)
    acts = made.round(1.0, [notification(f"n{n}", 3) for n in range(12)])
    assert any(isinstance(act, interface.Throttle) for act in acts)
    assert scans() == 0


def test_drain_restored_from_the_previous_process_ends_normally():
    made, draining = module(), endpoint(7, status=EndpointStatus.DRAINING)
    made.round(0.0, [interface.WaitRequested("7-a", 5.0), ListUpdate((draining,))])
    learned = learned_state.export(module())["routes"]["7-a"]
    learned_state.restore(made, {"routes": {"7-a": [{**learned[0], "state": "draining"}, *learned[1:]]}})
    assert list(made.draining) == ["7-a"]
    made.round(100.0, [ListUpdate((endpoint(9),))])
    assert "7-a" not in made.routes


def test_endpoint_that_drained_before_the_restart_and_is_up_again_gets_messages():
    # What was learnt overruled the list: messages for a healthy endpoint were handed back.
    made = module()
    learned = learned_state.export(module())["routes"]["7-a"]
    learned_state.restore(made, {"routes": {"7-a": [{**learned[0], "state": "draining"}, *learned[1:]]}})
    assert pushes(made.round(1.0, [notification("n", 7)])) == [("n", "7-a")] and not made.draining


EVENTS = st.lists(
    st.one_of(
        st.tuples(
            st.just("list"), st.integers(0, 3), st.sampled_from("ab"), st.sampled_from(list(EndpointStatus))
        ),
        st.tuples(st.just("moved"), st.integers(0, 3), st.integers(0, 4)),
        st.tuples(st.just("whole"), st.sets(st.integers(0, 3))),
        st.tuples(st.just("new"), st.integers(0, 4)),
        st.tuples(st.just("end"), st.sampled_from(list(Result))),
        st.tuples(st.just("wait"), st.sampled_from([0.05, 1.0, 70.0])),
    ),
    max_size=40,
)


@given_settings(deadline=None)
@given(EVENTS)
def test_indexes_match_a_scan_of_everything(events):
    made, now, count = Brain(settings(slots=3, max_open=8), 1), 0.0, 0
    for what, *values in events:
        received = []
        if what == "list":
            received = [ListUpdate((endpoint(*values),))]
        elif what == "moved":
            received = [ListUpdate((endpoint(values[0], of=values[1]),))]
        elif what == "whole":
            received = [ListUpdate(tuple(endpoint(number) for number in sorted(values[0])), whole=True)]
        elif what == "new":
            count += 1
            received = [notification(f"n{count}", values[0], now + 20.0)]
        elif what == "end" and made.in_flight:
            (name, push), (call, _) = next(iter(made.in_flight.items()))
            received = [interface.Outcome(name, push, call.route.id, values[0], 0.1)]
        now += values[0] if what == "wait" else 0.01
        made.round(now, received)
        assert set(made.waiting.values()) == {dest for dest in made.destinations.values() if dest.parked}
        assert set(made.draining.values()) == {r for r in made.routes.values() if r.state == "draining"}
        assert made.routeless == {n: dest for n, dest in made.destinations.items() if not dest.route_list}
        for update in received if what in ("list", "moved", "whole") else ():
            kept = [each for each in update.endpoints if each.id in made.routes]
            assert all(made.routes[each.id].dest.number == each.destination for each in kept)
        if what in ("list", "moved", "whole"):
            assert all(dest.route_list or dest.parked or dest.calls for dest in made.destinations.values())
