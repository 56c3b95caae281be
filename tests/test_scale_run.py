"""A short scale run with real processes keeps every rule and leaves no process, also when it is cancelled."""

import asyncio

from ryestack.lab.scale import ScaleRun
from ryestack.lab.scale_judge import left_behind
from ryestack.lab.scale_plan import make_plan
from ryestack.lab.scale_stories import Lengths
from ryestack.lab.scale_usage import limits, runs


def test_a_short_run_keeps_every_rule_and_leaves_no_process(tmp_path):
    plan = make_plan(150, 3, 1, limits())
    stories = ["ordinary", "burst", "tenth_restarted", "leader_killed", "link_cut_one_way"]

    async def play():
        lengths = Lengths(ordinary=3.0, fault=3.0, parted=3.0)
        return await ScaleRun(tmp_path, plan, 1, lengths, print, hold=2.0).run(stories)

    result = asyncio.run(play())
    assert [story.story for story in result.stories if not story.caught_up] == []
    assert [(s.story, s.shared.never, s.scoped.never) for s in result.stories] == [(s, 0, 0) for s in stories]
    assert (result.older_after_newer.lines, result.lost_changes.lines, result.left_behind.lines) == (
        [],
        [],
        [],
    )
    assert result.changes > 100 and result.notifications["taken"] > 0
    assert result.notifications["good"], result.notifications["broken"]


def test_a_run_that_is_cancelled_leaves_no_process(tmp_path):
    plan = make_plan(40, 1, 1, limits())

    async def play():
        run = ScaleRun(tmp_path, plan, 1, Lengths(), print)
        task = asyncio.ensure_future(run.run(["ordinary"]))
        while len(run.processes.process_ids) < len(plan.machines):
            await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return run.processes.process_ids

    ids = asyncio.run(play())
    assert len(ids) >= len(plan.machines) and left_behind(ids, runs).count == 0
