"""Which destinations there are: what is kept by destination says the same as a walk over all rows."""

from hypothesis import given
from hypothesis import strategies as st

from ryestack.wire.members import EMPTY_DESTINATION_TTL_S, Members, read_list

NAMES, DESTINATIONS = ("a", "b", "c", "d"), range(4)
STATUSES = st.sampled_from(["up", "draining", "removed"])
GROUPS = st.sampled_from([0, 1, 2, "2", 3])  # a number may come as its text
ROWS = st.fixed_dictionaries(
    {"name": st.sampled_from(NAMES), "status": STATUSES},
    optional={"group": GROUPS, "zone": st.just("z"), "type": st.just("shared"), "address": st.just("h:1")},
)
LISTS = st.fixed_dictionaries({"snapshot": st.booleans(), "endpoints": st.lists(ROWS, max_size=6)})
STEPS = st.one_of(
    st.tuples(st.just("learn"), LISTS),
    st.tuples(st.just("leave"), st.none()),
    st.tuples(st.just("wait"), st.sampled_from([0.5, EMPTY_DESTINATION_TTL_S / 2, EMPTY_DESTINATION_TTL_S])),
)


class Walked:
    """The plain form: one dictionary of rows, looked through whole each time."""

    def __init__(self, clock):
        self.rows, self.emptied_at, self.clock = {}, {}, clock

    def apply_list(self, told):
        _, update, rows = read_list(told, self.rows)
        if update.whole:
            for name in set(self.rows) - set(rows):
                rows[name] = {**self.rows[name], "status": "removed"}
        self.rows.update(rows)
        return update

    def drop_removed(self):
        gone = {name for name, row in self.rows.items() if row["status"] == "removed"}
        for name in gone:
            self.emptied_at[int(self.rows.pop(name)["group"])] = self.clock()
        return gone

    def has(self, destination):
        now, ttl = self.clock(), EMPTY_DESTINATION_TTL_S
        self.emptied_at = {d: since for d, since in self.emptied_at.items() if now < since + ttl}
        listed = any(int(row["group"]) == destination for row in self.rows.values())
        return destination in self.emptied_at or listed


@given(st.lists(STEPS, max_size=30))
def test_any_lists_leave_the_same_destinations_as_a_walk_over_all_rows(steps):
    now = 0.0
    indexed, walked = Members(lambda: now), Walked(lambda: now)
    for index, (what, value) in enumerate(steps):
        if what == "wait":
            now += value
        elif what == "leave":
            assert indexed.drop_removed() == walked.drop_removed()
        else:
            told = {"index": index, **value}
            assert indexed.apply_list(told) == walked.apply_list(told)
        assert [indexed.has(d) for d in DESTINATIONS] == [walked.has(d) for d in DESTINATIONS]
        assert (indexed.rows, indexed.emptied_at) == (walked.rows, walked.emptied_at)


def test_a_destination_that_loses_its_endpoints_again_hides_no_older_one():
    now = 0.0
    at = Members(lambda: now)
    row = {"zone": "z", "type": "shared", "address": "h:1"}
    for now, number in ((0.0, 1), (10.0, 2), (50.0, 1)):
        for status in ("up", "removed"):
            told = {**row, "name": f"e{number}", "group": number, "status": status}
            at.apply_list({"index": 1, "snapshot": False, "endpoints": [told]})
        at.drop_removed()
    now = 75.0
    assert (at.has(1), at.has(2), at.emptied_at) == (True, False, {1: 50.0})


class CountedRows(dict):
    """Rows that count how often they are looked through."""

    walks = 0

    def items(self):
        self.walks += 1
        return super().items()

    values = items


def test_neither_an_event_nor_a_change_looks_through_the_list():
    at = Members(lambda: 0.0)
    row = {"zone": "z", "type": "shared", "address": "h:1", "status": "up"}
    rows = [{**row, "name": f"e{number}", "group": number} for number in range(50)]
    at.apply_list({"index": 1, "snapshot": True, "endpoints": rows})
    at.rows = CountedRows(at.rows)
    at.apply_list({"index": 2, "snapshot": False, "endpoints": [{"name": "e7", "status": "removed"}]})
    assert at.drop_removed() == {"e7"}
    assert (at.has(7), at.has(8), at.has(99)) == (True, True, False)
    assert at.rows.walks == 0
