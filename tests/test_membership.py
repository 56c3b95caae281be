"""The maximum age of the list: how long a silent registry may delay a change in each mode of discovery, and
what is not sent once the list is older."""

import asyncio
import json

from hypothesis import given
from hypothesis import strategies as st

from ryestack import interface
from ryestack.brain import Brain
from ryestack.interface import EndpointStatus, Result
from ryestack.membership import following
from ryestack.wire.platform import PlatformClient
from ryestack.wire.registry_watch import watch

from .helpers import brain, end, http, listed, members, pushes, settings, stand_in, take

DRAIN_GRACE_S = 2.0  # that the platform gives a drain, in its tightest settings


# The registry's behaviour over time: how it meets a call, and for how many seconds.
BEHAVIOURS = st.sampled_from(["up", "refuses", "silent", "malformed", "moved"])
PHASES = st.lists(st.tuples(BEHAVIOURS, st.floats(0.01, 9.0)), max_size=25)
MODES, DELAYS = st.sampled_from(["push", "ask", "never"]), st.floats(0.0, following.GRACE_S - 0.01)


class Registry:
    """A model of the registry on simulated time. A call that overlaps a silent phase gets no answer."""

    def __init__(self, phases):
        self.phases, time = [], 0.0
        for behaviour, seconds in phases:
            self.phases.append((time, time := time + seconds, behaviour))
        self.end = time

    def behaviour(self, time):
        return next((behaviour for begins, ends, behaviour in self.phases if begins <= time < ends), "up")

    def up_since(self, time):
        """Since when it can be reached without a break at that time; None if it cannot."""
        if self.behaviour(time) not in ("up", "moved"):
            return None
        outages = [ends for _, ends, how in self.phases if how not in ("up", "moved") and ends <= time]
        return max([0.0, *outages])

    def call(self, time, hold, timeout):
        """When the call ends, and whether it is answered."""
        if self.behaviour(time) in ("refuses", "malformed"):
            return time + 0.01, False
        end = time + hold
        if any(begins < end and time < ends for begins, ends, how in self.phases if how == "silent"):
            return time + timeout, False
        return end, True


def refresh_delay(module, now, sure_at=0.0):
    """Seconds from a failure until the decision module asks for the list."""
    time, actions = now, module.round(now, [interface.ListUpdate(failed=True, confirmed_at=sure_at)])
    while not any(isinstance(action, interface.AskForList) for action in actions):
        time += next((action.after for action in actions if isinstance(action, interface.SetTimer)), 0.01)
        actions = module.round(time, [interface.TimerFired()])
    return time - now


def list_requests(phases, seed, mode, delay):
    """Begin, end and success of each request, with the real state machine and decision module and answers
    after delay seconds; in the mode "never" the decision module never asks."""
    registry, state, now, requests = Registry(phases), following.WatchState(0.0), 0.0, []
    module = Brain(settings(asks_for_list=mode == "ask"), seed)
    while now < registry.end + 30.0:
        ended, answered = registry.call(now, state.hold() + delay, state.timeout())
        requests.append((now, ended, answered))
        state.update("told" if answered else "failed", ended)
        wait = 0.1
        if not answered:
            wait = state.max_retry_delay
            if mode != "never":
                wait = min(wait, refresh_delay(module, ended, state.confirmed_at))
        else:
            module.round(ended, [interface.ListUpdate()])
        now = max(ended + wait, requests[-1][0] + 0.1)
    return registry, requests


@given(PHASES, st.integers(0, 2**32), MODES, DELAYS)
def test_a_change_is_known_within_the_maximum_age_whatever_failed_before(
    phases, seed, mode, delay
):
    """A change is known MAX_AGE_S after it, or after the registry became reachable, if it stays so."""
    registry, requests = list_requests(phases, seed, mode, delay)
    for begins, ends, _ in [*registry.phases, (registry.end, registry.end + 12.0, "up")]:
        for change in (begins, (begins + ends) / 2, ends - 1e-3):
            since = registry.up_since(change)
            due = max(change, since if since is not None else 0.0) + following.MAX_AGE_S
            if since is None or registry.up_since(due) != since:
                continue  # the registry was unreachable again before then
            # A request that began once it was reachable, or that was open at the change and succeeded, brings
            # it.
            successful = [(began, ended) for began, ended, answered in requests if answered]
            known = min(ended for began, ended in successful if ended >= change and began >= since - 1e-9)
            assert known <= due, (change, since, known)


@given(st.integers(0, 2**32), st.integers(2, 8))
def test_the_requests_of_a_fleet_after_an_outage_are_spread_over_seconds(seed, fails):
    """200 relays whose requests failed together: no tenth of a second gets a fifth of their next ones."""
    delays = []
    for relay in range(200):
        module, now = Brain(settings(asks_for_list=True), seed + relay), 10.0
        module.round(5.0, [interface.TimerFired()])  # the first request of each start
        for _ in range(fails):
            delay = refresh_delay(module, now)
            assert delay <= following.MAX_RETRY_DELAY_BY_STATE_S["unsure"] + 0.03
            now += delay + 1.0
        delays.append(delay)
    assert max(sum(start <= delay < start + 0.1 for delay in delays) for start in delays) < 40


@given(st.lists(st.sampled_from(["told", "failed", "moved", "older"]), max_size=30))
def test_a_request_is_held_only_after_a_successful_one(events):
    state = following.WatchState(0.0)
    for time, event in enumerate(events, 1):
        state.update(event, float(time))
    assert (state.hold() > 0.0) == (bool(events) and events[-1] == "told")
    answered_at = max((time for time, event in enumerate(events, 1) if event == "told"), default=0)
    assert state.confirmed_at == float(answered_at)
    assert state.timeout() <= following.HOLD_S + following.GRACE_S


@given(st.integers(0, 2**32), st.integers(1, 30))
def test_a_local_agent_is_asked_again_within_the_grace_of_a_drain_however_long_it_was_down(seed, fails):
    module, now = Brain(settings(), seed), 10.0
    for _ in range(fails):
        actions = module.round(now, [interface.ListUpdate(failed=True)])
        failed = now
        while not any(isinstance(action, interface.AskForList) for action in actions):
            now += 0.01
            actions = module.round(now, [interface.TimerFired()])
        assert Brain.AGENT_RETRY_S / 2 - 1e-9 <= now - failed <= Brain.AGENT_RETRY_S + 0.02
    # The agent may come back just after a request began that it does not answer any more.
    assert following.GRACE_S + Brain.AGENT_RETRY_S < DRAIN_GRACE_S


def test_beyond_the_maximum_age_a_route_gets_new_work_only_after_a_recent_delivery():
    module = brain(asks_for_list=True)
    module.round(1.0, [interface.ListUpdate(failed=True, confirmed_at=0.0)])
    assert pushes(module.round(5.9, [take("n0")])) == [("n0", "a")]
    module.round(6.1, [end("n0", "a", Result.DELIVERED)])  # sent at 5.9: a counts as alive until 11.9
    module.round(6.2, [interface.ListUpdate(failed=True, confirmed_at=0.0)])
    assert pushes(module.round(11.8, [take("n1")])) == [("n1", "a")]
    module.round(11.85, [end("n1", "a", Result.ERROR)])
    for i in range(20):
        assert not pushes(module.round(12.0 + i / 10, [take(f"m{i}", due=40.0), interface.TimerFired()]))
    assert pushes(module.round(14.1, [interface.ListUpdate()]))  # unchanged: the list is valid again


def test_where_lists_are_pushed_a_silent_agent_does_not_stop_pushes():
    module = brain()
    module.round(1.0, [interface.ListUpdate(failed=True, confirmed_at=0.0)])
    assert pushes(module.round(60.0, [take("n", due=80.0)]))


def test_a_silent_watch_is_replaced_and_the_change_it_missed_is_known_in_time():
    """An agent leaves one watch unanswered: the drain that it missed is known within the six seconds."""
    drained = json.dumps(
        {"index": 2, "snapshot": False, "endpoints": [{"name": "a", "status": "draining"}]}
    ).encode()

    async def run():
        loop, heads, updates = asyncio.get_running_loop(), [], asyncio.Queue()

        def agent(head, _):
            heads.append(head)
            if len(heads) == 1:
                return http(200, json.dumps({**listed(), "endpoints": [], "snapshot": False}).encode())
            return b"" if len(heads) == 2 else http(200, drained)  # b"": open, and never answered

        server, address = await stand_in(agent)
        platform, endpoints, module = PlatformClient(address), members(), Brain(settings(), 3)
        task = asyncio.ensure_future(watch(platform, endpoints, updates.put_nowait))
        began, update = loop.time(), None
        while update is None or not update.endpoints:
            update = await asyncio.wait_for(updates.get(), 6.0)
            actions = module.round(loop.time(), [update])
            while update.failed and not any(isinstance(a, interface.AskForList) for a in actions):
                await asyncio.sleep(0.05)
                actions = module.round(loop.time(), [interface.TimerFired()])
            platform.refresh_requested.set()
        task.cancel()
        await platform.close()
        server.close()
        return loop.time() - began, update, heads

    elapsed, update, heads = asyncio.run(run())
    assert update.endpoints[0].status is EndpointStatus.DRAINING
    assert b"hold_ms=0" in heads[0] and b"hold_ms=1500" in heads[1] and b"hold_ms=0" in heads[2]
    assert elapsed < Brain.MAX_LIST_AGE_S
