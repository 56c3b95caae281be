"""The clock of the list: what a silence may cost in each mode of discovery, and what is not sent past it."""

import asyncio
import json

from hypothesis import given
from hypothesis import strategies as st

from ryestack import interface as it
from ryestack.brain import Brain
from ryestack.interface import Listed, Result
from ryestack.membership import following
from ryestack.wire.members import watch
from ryestack.wire.platform import PlatformClient

from .helpers import brain, end, http, listed, members, pushes, settings, stand_in, take

DRAIN = 2.0  # seconds of grace that the platform gives a drain, in its tightest settings on these days


# What becomes of the registry, piece by piece: how it meets a call, and for how long (seconds).
HOWS = st.sampled_from(["up", "refuses", "silent", "spoilt", "moved"])
PIECES = st.lists(st.tuples(HOWS, st.floats(0.01, 9.0)), max_size=25)
MODES, DELAYS = st.sampled_from(["push", "ask", "never"]), st.floats(0.0, following.GRACE_S - 0.01)


class Registry:
    """A registry on a clock of its own. A call that meets a silence hears nothing at all."""

    def __init__(self, pieces):
        self.pieces, at = [], 0.0
        for how, span in pieces:
            self.pieces.append((at, at := at + span, how))
        self.end = at

    def how(self, at):
        return next((how for begins, ends, how in self.pieces if begins <= at < ends), "up")

    def up_since(self, at):
        """From when on it could be reached, without a break, up to that time; None: it can't be."""
        if self.how(at) not in ("up", "moved"):
            return None
        downs = [ends for _, ends, how in self.pieces if how not in ("up", "moved") and ends <= at]
        return max([0.0, *downs])

    def call(self, at, hold, limit):
        """When the call is over, and whether it was answered."""
        if self.how(at) in ("refuses", "spoilt"):
            return at + 0.01, False
        over = at + hold
        if any(begins < over and at < ends for begins, ends, how in self.pieces if how == "silent"):
            return at + limit, False
        return over, True


def asked_after(module, now, sure_at=0.0):
    """Seconds from a failure until the decisions ask."""
    at, acts = now, module.round(now, [it.ListUpdate(failed=True, sure_at=sure_at)])
    while not any(isinstance(a, it.AskForList) for a in acts):
        at += next((a.after for a in acts if isinstance(a, it.Wake)), 0.01)
        acts = module.round(at, [it.Woken()])
    return at - now


def askings(pieces, seed, mode, delay):
    """Begin, end and success of each asking: the real table and decisions, answers after delay; or the
    decisions never ask."""
    registry, made, now, out = Registry(pieces), following.WatchState(0.0), 0.0, []
    module = Brain(settings(asks_for_list=mode == "ask"), seed)
    while now < registry.end + 30.0:
        over, told = registry.call(now, made.hold() + delay, made.timeout())
        out.append((now, over, told))
        made.update("told" if told else "failed", over)
        wait = 0.1
        if not told:
            wait = made.max_retry_delay
            if mode != "never":
                wait = min(wait, asked_after(module, over, made.confirmed_at))
        else:
            module.round(over, [it.ListUpdate()])
        now = max(over + wait, out[-1][0] + 0.1)
    return registry, out


@given(PIECES, st.integers(0, 2**32), MODES, DELAYS)
def test_whatever_came_before_a_change_is_known_within_the_clock_of_the_moment_it_could_be(
    pieces, seed, mode, delay
):
    """A change is known CLOCK after it, or after the registry could be reached, if that goes on."""
    registry, out = askings(pieces, seed, mode, delay)
    for begins, ends, _ in [*registry.pieces, (registry.end, registry.end + 12.0, "up")]:
        for change in (begins, (begins + ends) / 2, ends - 1e-3):
            since = registry.up_since(change)
            due = max(change, since if since is not None else 0.0) + following.MAX_AGE_S
            if since is None or registry.up_since(due) != since:
                continue  # it was lost again before the clock was over
            # An asking that began once it was up, or that was open and well at the change, brings it.
            brought = [over for began, over, told in out if told and over >= change and began >= since - 1e-9]
            known = min(brought)
            assert known <= due, (change, since, known)


@given(st.integers(0, 2**32), st.integers(2, 8))
def test_a_fleet_that_asks_after_one_outage_asks_spread_over_seconds(seed, fails):
    """200 relays whose calls failed together: no tenth of a second gets a fifth of them."""
    after = []
    for relay in range(200):
        made, now = Brain(settings(asks_for_list=True), seed + relay), 10.0
        made.round(5.0, [it.Woken()])  # the asking that each start begins with
        for _ in range(fails):
            after_last = asked_after(made, now)
            assert after_last <= following.MAX_RETRY_DELAY_BY_STATE_S["unsure"] + 0.03
            now += after_last + 1.0
        after.append(after_last)
    assert max(sum(at <= each < at + 0.1 for each in after) for at in after) < 40


@given(st.lists(st.sampled_from(["told", "failed", "moved"]), max_size=30))
def test_only_a_list_that_was_told_last_is_waited_on(heard):
    made = following.WatchState(0.0)
    for at, what in enumerate(heard, 1):
        made.update(what, float(at))
    assert (made.hold() > 0.0) == (bool(heard) and heard[-1] == "told")
    answered_at = max((at for at, what in enumerate(heard, 1) if what == "told"), default=0)
    assert made.confirmed_at == float(answered_at)
    assert made.timeout() <= following.HOLD_S + following.GRACE_S


@given(st.integers(0, 2**32), st.integers(1, 30))
def test_an_agent_beside_us_is_asked_again_within_the_grace_of_a_drain_however_long_it_was_out(seed, fails):
    made, now = Brain(settings(), seed), 10.0
    for _ in range(fails):
        asked = [a for a in made.round(now, [it.ListUpdate(failed=True)]) if isinstance(a, it.AskForList)]
        failed = now
        while not asked:
            now += 0.01
            asked = [a for a in made.round(now, [it.Woken()]) if isinstance(a, it.AskForList)]
        assert Brain.NEAR / 2 - 1e-9 <= now - failed <= Brain.NEAR + 0.02
    # The agent may come back a moment after an asking began that it does not answer any more.
    assert following.GRACE_S + Brain.NEAR < DRAIN


def test_past_the_clock_a_route_gets_new_work_only_while_a_delivery_of_late_speaks_for_it():
    made = brain(asks_for_list=True)
    made.round(1.0, [it.ListUpdate(failed=True, sure_at=0.0)])
    assert pushes(made.round(5.9, [take("n0")])) == [("n0", "a")]
    made.round(6.1, [end("n0", "a", Result.DELIVERED)])  # it went at 5.9: it speaks for a until 11.9
    made.round(6.2, [it.ListUpdate(failed=True, sure_at=0.0)])
    assert pushes(made.round(11.8, [take("n1")])) == [("n1", "a")]
    made.round(11.85, [end("n1", "a", Result.ERROR)])
    for i in range(20):
        assert not pushes(made.round(12.0 + i / 10, [take(f"m{i}", due=40.0), it.Woken()]))
    assert pushes(made.round(14.1, [it.ListUpdate()]))  # nothing had changed: all of it holds again


def test_where_lists_are_pushed_a_silent_agent_stops_nothing():
    made = brain()
    made.round(1.0, [it.ListUpdate(failed=True, sure_at=0.0)])
    assert pushes(made.round(60.0, [take("n", due=80.0)]))


def test_a_watch_that_fell_silent_is_begun_anew_and_what_it_missed_is_here_before_it_counts():
    """An agent that drops one open watch: the drain that it hid is known within the six seconds."""
    drained = json.dumps(
        {"index": 2, "snapshot": False, "endpoints": [{"name": "a", "status": "draining"}]}
    ).encode()

    async def play():
        loop, heads, told = asyncio.get_running_loop(), [], asyncio.Queue()

        def agent(head, _):
            heads.append(head)
            if len(heads) == 1:
                return http(200, json.dumps({**listed(), "endpoints": [], "snapshot": False}).encode())
            return b"" if len(heads) == 2 else http(200, drained)  # b"": open, and silent for good

        server, address = await stand_in(agent)
        platform, at, module = PlatformClient(address), members(), Brain(settings(), 3)
        task = asyncio.ensure_future(watch(platform, at, told.put_nowait))
        began, update = loop.time(), None
        while update is None or not update.endpoints:
            update = await asyncio.wait_for(told.get(), 6.0)
            acts = module.round(loop.time(), [update])
            while update.failed and not any(isinstance(a, it.AskForList) for a in acts):
                await asyncio.sleep(0.05)
                acts = module.round(loop.time(), [it.Woken()])
            platform.refresh_requested.set()
        task.cancel()
        await platform.close()
        server.close()
        return loop.time() - began, update, heads

    took, update, heads = asyncio.run(play())
    assert update.endpoints[0].listed is Listed.DRAINING
    assert b"hold_ms=0" in heads[0] and b"hold_ms=1500" in heads[1] and b"hold_ms=0" in heads[2]
    assert took < Brain.TOLD
