"""The maximum age of the list: how long a silent registry may delay a change in each mode of discovery, and
what is not sent once the list is older."""

import asyncio
import json
from math import ceil

from hypothesis import given
from hypothesis import strategies as st

from ryestack import interface
from ryestack.brain import Brain
from ryestack.interface import EndpointStatus, Result
from ryestack.membership import following
from ryestack.wire.platform import PlatformClient
from ryestack.wire.registry_watch import watch

from .helpers import brain, end, http, listed, members, pushes, settings, stand_in, take
from .list_requests import Registry, Relay

DRAIN_GRACE_S = 2.0  # that the platform gives a drain, in its tightest settings


# The registry's behaviour over time: how it meets a call, and for how many seconds.
BEHAVIOURS = st.sampled_from(["up", "refuses", "silent", "malformed", "moved"])
PHASES = st.lists(st.tuples(BEHAVIOURS, st.floats(0.01, 9.0)), max_size=25)
MODES, DELAYS = st.sampled_from(["push", "ask", "never"]), st.floats(0.0, following.ANSWER_S)


def refresh_delay(module, now, sure_at=0.0):
    """Seconds from a failure until the decision module asks for the list."""
    time, actions = now, module.round(now, [interface.ListUpdate(failed=True, confirmed_at=sure_at)])
    while not any(isinstance(action, interface.AskForList) for action in actions):
        time += next((action.after for action in actions if isinstance(action, interface.SetTimer)), 0.01)
        actions = module.round(time, [interface.TimerFired()])
    return time - now


@given(PHASES, st.integers(0, 2**32), MODES, DELAYS)
def test_a_change_is_known_within_the_maximum_age_whatever_failed_before(
    phases, seed, mode, delay
):
    """A change is known MAX_AGE_S after it, or after the registry became reachable, if it stays so, also
    where each answer takes as long as a slow registry's may."""
    registry = Registry(phases)
    requests = Relay(registry, seed, mode, delay).play(registry.end + 30.0)
    for begins, ends, _ in [*registry.phases, (registry.end, registry.end + 12.0, "up")]:
        for change in (begins, (begins + ends) / 2, ends - 1e-3):
            since = registry.up_since(change)
            due = max(change, since if since is not None else 0.0) + following.MAX_AGE_S
            if since is None or registry.up_since(due) != since:
                continue  # the registry was unreachable again before then
            # A request that began once it was reachable brings it, if the registry had it before it answered.
            known = min(request.knows_at(change) for request in requests if request.began >= since - 1e-9)
            assert known <= due, (change, since, known)


@given(st.integers(0, 2**32), MODES, st.floats(following.GRACE_S + 0.01, following.ANSWER_S))
def test_a_slow_or_silent_registry_is_asked_more_often_than_a_prompt_one(seed, mode, delay):
    """A prompt one is asked each time that it has held a watch. An agent on the relay's own machine, which
    costs nothing, is asked as often as the decision module wants after an answer is missing."""
    prompt = ceil(20.0 / following.HOLD_S)
    agent = ceil(20.0 / (following.GRACE_S + Brain.AGENT_RETRY_S / 2))
    for phases in ([], [("silent", 60.0)]):
        requests = Relay(Registry(phases), seed, mode, delay, varies=False).play(60.0)
        for start in range(5, 40):
            began = [request for request in requests if start <= request.began < start + 20.0]
            assert len(began) <= (agent if mode == "push" else prompt)


@given(st.integers(0, 2**32), st.integers(2, 8))
def test_the_requests_of_a_fleet_after_an_outage_are_spread_over_seconds(seed, fails):
    """200 relays whose requests failed together: no tenth of a second gets a fifth of their next ones."""
    delays = []
    for relay in range(200):
        module, now = Brain(settings(asks_for_list=True), seed + relay), 10.0
        module.round(5.0, [interface.TimerFired()])  # the first request of each start
        for _ in range(fails):
            delay = refresh_delay(module, now)
            assert delay <= following.REQUEST_INTERVAL_S + 0.03
            now += delay + 1.0
        delays.append(delay)
    assert max(sum(start <= delay < start + 0.1 for delay in delays) for start in delays) < 40


@given(st.lists(st.sampled_from(["told", "late", "failed", "moved", "older"]), max_size=30))
def test_a_request_is_held_only_after_a_prompt_answer(events):
    state = following.WatchState(0.0)
    for time, event in enumerate(events, 1):
        state.update(event, float(time))
    assert (state.hold() > 0.0) == (bool(events) and events[-1] == "told")
    answered_at = max((time for time, event in enumerate(events, 1) if event in ("told", "late")), default=0)
    assert state.confirmed_at == float(answered_at)
    schedule = following.RequestSchedule()
    schedule.begin(0.0, state.hold())
    assert schedule.report_at() <= following.HOLD_S + following.GRACE_S
    assert schedule.due_at() + following.ANSWER_S + following.MARGIN_S <= following.MAX_AGE_S


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
