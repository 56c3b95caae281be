"""Assignment: distinct relays, home region first, spread over zones, load bound, no history, few moves."""

import math
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from ryestack.control.assignment import Assignment, RelayMember, UnknownShard, shard_key, shard_of
from ryestack.control.bounded_load import assign_replicas, capacity, fair_shares, load_bound, shard_probes

SHARDS = 24
REGIONS = ("ap-1", "eu-1", "us-1")
ZONES = ("a", "b", "c", "d")

members = st.lists(
    st.builds(
        RelayMember,
        name=st.integers(0, 60).map("relay-{}".format),
        region=st.sampled_from(REGIONS),
        zone=st.sampled_from(ZONES),
        weight=st.sampled_from([0.5, 1.0, 1.0, 2.0, 30.0]),
    ),
    unique_by=lambda member: member.name,
    max_size=30,
)
replica_counts = st.integers(1, 5)
slacks = st.sampled_from([0.01, 0.1, 0.5])


def assign(relays, **changes):
    return Assignment(relays, **({"shards_per_region": SHARDS, "homes": REGIONS} | changes))


def all_shards(assignment, regions=REGIONS):
    return [shard_key(region, n) for region in regions for n in range(assignment.shards_per_region)]


def everything(assignment):
    return {shard: assignment.relays_of(shard) for shard in all_shards(assignment)}


def fleet(count, regions=REGIONS, zones=ZONES[:3]):
    places = [(region, f"{region}{zone}") for region in regions for zone in zones]
    return [RelayMember(f"relay-{n}", *places[n % len(places)]) for n in range(count)]


def moved_replicas(before, after):
    pairs = [(set(before.relays_of(shard)), set(after.relays_of(shard))) for shard in all_shards(before)]
    return sum(len(new - old) for old, new in pairs)


class Properties(unittest.TestCase):
    @given(members, replica_counts, slacks)
    @settings(deadline=None)
    def test_each_shard_has_its_distinct_relays_home_region_first(self, relays, replicas, slack):
        assignment = assign(relays, replicas=replicas, slack=slack)
        region_of = {member.name: member.region for member in relays}
        at_home = Counter(region_of.values())
        for shard, names in everything(assignment).items():
            home = shard.split("/")[0]
            self.assertEqual(len(names), len(set(names)))
            self.assertEqual(len(names), min(replicas, len(relays)))
            self.assertEqual(sum(region_of[name] == home for name in names), min(replicas, at_home[home]))

    @given(members, replica_counts)
    @settings(deadline=None)
    def test_replicas_in_the_home_region_spread_over_zones(self, relays, replicas):
        """Replica counts of two zones differ by one at most, unless all relays of a zone already have one."""
        assignment = assign(relays, replicas=replicas)
        place = {member.name: (member.region, member.zone) for member in relays}
        for shard, names in everything(assignment).items():
            home = shard.split("/")[0]
            sizes = Counter(zone for region, zone in place.values() if region == home)
            replicas_by_name = Counter(place[name][1] for name in names if place[name][0] == home)
            most = max(replicas_by_name.values(), default=0)
            for zone, size in sizes.items():
                self.assertGreaterEqual(replicas_by_name[zone], min(size, most - 1))

    @given(members, replica_counts, slacks)
    @settings(deadline=None)
    def test_no_relay_exceeds_its_load_bound(self, relays, replicas, slack):
        assignment = assign(relays, replicas=replicas, slack=slack)
        for region in REGIONS:
            here = [member for member in relays if member.region == region]
            if len(here) < replicas:
                continue
            replicas_by_name = Counter(
                name for n in range(SHARDS) for name in assignment.relays_of(shard_key(region, n))
            )
            for zone in {member.zone for member in here}:
                weights = {member.name: member.weight for member in here if member.zone == zone}
                total = sum(replicas_by_name[name] for name in weights)
                shares = fair_shares(total, weights, dict.fromkeys(weights, SHARDS))
                for name, share in shares.items():
                    self.assertLessEqual(replicas_by_name[name], load_bound(share, slack, SHARDS))

    @given(members, st.randoms(use_true_random=False), replica_counts)
    @settings(deadline=None)
    def test_the_order_of_joining_does_not_matter(self, relays, rng, replicas):
        shuffled = list(relays)
        rng.shuffle(shuffled)
        self.assertEqual(
            everything(assign(relays, replicas=replicas)), everything(assign(shuffled, replicas=replicas))
        )

    @given(members, members, st.data())
    @settings(deadline=None)
    def test_a_change_gives_the_same_assignment_as_a_full_computation(self, relays, joined, data):
        left = data.draw(st.lists(st.sampled_from([m.name for m in relays]))) if relays else []
        before = assign(relays)
        kept = {member.name: member for member in relays if member.name not in left}
        rebuilt = assign((kept | {member.name: member for member in joined}).values())
        changed = before.with_changes(joined, left)
        self.assertEqual(everything(changed), everything(rebuilt))
        for name in rebuilt.members:
            self.assertEqual(changed.shards_of(name), rebuilt.shards_of(name))
        self.assertEqual(everything(before), everything(assign(relays)))

    @given(members, replica_counts)
    @settings(deadline=None)
    def test_shards_of_and_relays_of_agree(self, relays, replicas):
        assignment = assign(relays, replicas=replicas)
        by_relay = {(name, shard) for name in assignment.members for shard in assignment.shards_of(name)}
        by_shard = {(name, shard) for shard, names in everything(assignment).items() for name in names}
        self.assertEqual(by_relay, by_shard)

    @given(
        st.dictionaries(st.integers(0, 40).map(str), st.sampled_from([0.1, 1.0, 1.7, 9.0]), min_size=2),
        st.integers(1, 40),
        st.data(),
    )
    @settings(deadline=None)
    def test_replicas_can_always_be_assigned_within_the_bound(self, weights, count, data):
        """Even if only relays that a shard already has are free: an earlier shard swaps a relay with it."""
        base = data.draw(st.integers(0, len(weights) - 1))
        counts = {number: base + data.draw(st.integers(0, 1)) for number in range(count)}
        assigned = assign_replicas(weights, counts, 1e-6, shard_probes(count))
        total = sum(counts.values())
        shares = fair_shares(total, weights, dict.fromkeys(weights, count))
        self.assertAlmostEqual(math.fsum(shares.values()), total)
        for number, expected_count in counts.items():
            self.assertEqual(len(set(assigned[number])), expected_count)
            self.assertEqual(len(assigned[number]), expected_count)
        replicas_by_name = Counter(name for names in assigned.values() for name in names)
        for name, share in shares.items():
            self.assertLessEqual(replicas_by_name[name], load_bound(share, 1e-6, count))


class Moves(unittest.TestCase):
    def test_a_leaving_relay_moves_few_replicas_and_none_of_other_regions(self):
        relays = fleet(180)
        before = assign(relays, shards_per_region=512)
        moved = owned = 0
        for leaver in relays[:27]:
            after = before.with_changes(left=[leaver.name])
            owned += len(before.shards_of(leaver.name))
            moved += moved_replicas(before, after)
            for shard in all_shards(before, [region for region in REGIONS if region != leaver.region]):
                self.assertIs(before.relays_of(shard), after.relays_of(shard))
        self.assertLessEqual(moved, 1.8 * owned)

    def test_a_lost_zone_moves_little_more_than_its_own_replicas(self):
        relays = fleet(180)
        before = assign(relays, shards_per_region=512)
        lost = [member.name for member in relays if member.zone == "eu-1a"]
        after = before.with_changes(left=lost)
        owned = sum(len(before.shards_of(name)) for name in lost)
        self.assertEqual(owned, 512)
        self.assertLessEqual(moved_replicas(before, after), 1.15 * owned)

    def test_a_region_without_relays_is_served_from_all_others(self):
        before = assign(fleet(180), shards_per_region=512)
        lost = [name for name, member in before.members.items() if member.region == "eu-1"]
        after = before.with_changes(left=lost)
        serving = Counter(
            after.members[name].region for n in range(512) for name in after.relays_of(shard_key("eu-1", n))
        )
        self.assertEqual(serving.keys(), {"ap-1", "us-1"})
        self.assertGreater(min(serving.values()), 0.4 * 3 * 512)
        for shard in all_shards(before, ["ap-1", "us-1"]):
            self.assertEqual(before.relays_of(shard), after.relays_of(shard))

    def test_capacities_change_for_one_relay_after_another(self):
        """Otherwise, at some sizes, one more relay changes all capacities and moves replicas of all."""
        raised = [
            sum(capacity(f"relay-{n}", share, 0.1, 100) == 7 for n in range(400)) for share in (5.5, 5.8)
        ]
        self.assertTrue(0 < raised[0] < raised[1] < 400, raised)

    def test_a_larger_zone_gets_more_of_the_extra_replicas(self):
        sizes = {"a": 40, "b": 20}
        relays = [RelayMember(f"{z}-{n}", "eu-1", z) for z, size in sizes.items() for n in range(size)]
        assignment = Assignment(relays, replicas=3, shards_per_region=1024)
        in_a = sum(len(assignment.shards_of(member.name)) for member in relays if member.zone == "a")
        self.assertAlmostEqual(in_a / (3 * 1024), 40 / 60, delta=0.02)


class Keys(unittest.TestCase):
    def test_the_probes_of_a_shard_do_not_depend_on_the_number_of_shards(self):
        self.assertEqual(shard_probes(10), shard_probes(30)[:10])

    def test_the_shard_of_a_destination_is_the_same_in_every_release(self):
        self.assertEqual(shard_of("eu-1", "destination-1", 4096), "eu-1/2771")

    def test_an_unknown_shard_is_refused(self):
        assignment = assign(fleet(9), homes=())
        numbers = (str(SHARDS), "-1", "", "007", "²", "٣", "9" * 5000)
        for shard in ("xx-1/0", "eu-1", "", "*", *(f"eu-1/{number}" for number in numbers)):
            with self.assertRaises(UnknownShard):
                assignment.relays_of(shard)
        self.assertEqual(assignment.shards_of("nobody"), ())

    def test_bad_values_are_refused(self):
        for weight in (0, -1.0, 101.0, math.inf, math.nan):
            with self.assertRaises(ValueError):
                RelayMember("relay-1", "eu-1", "a", weight)
        for wrong in ({"replicas": 0}, {"shards_per_region": 0}, {"slack": 0.0}):
            with self.assertRaises(ValueError):
                assign([], **wrong)
        with self.assertRaises(ValueError):
            assign([RelayMember("relay-1", "eu-1", "a"), RelayMember("relay-1", "eu-1", "b")])

    def test_no_relays_at_all(self):
        self.assertEqual(assign([]).relays_of("eu-1/0"), ())
