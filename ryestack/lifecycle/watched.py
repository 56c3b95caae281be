"""The decisions, with what becomes of circuits told to the log. It decides nothing and changes nothing."""

from math import inf

from .. import interface as it
from ..brain import Brain
from ..observe.log import event

TOLD = {"open": "route.opened", "closed": "route.closed", "draining": "route.drained"}
BY = {"tripped": "failures", "failed": "a failed trial", "wait": "a told wait"}


class Watched(Brain):
    told_turn = staticmethod(
        lambda key, name, over, rest: None
    )  # what another process of this relay must know

    def avoided(self, endpoints: list[str]) -> list[str]:
        """Which of them get nothing now."""
        routes = [self.routes[e] for e in endpoints if e in self.routes]
        return [r.id for r in routes if r.state != "closed" or self.now < r.pacer.wait_until]

    def turns(self) -> list[tuple]:
        return [(key, name, False, rest) for key, (turns, rest) in self.keys.items() for name in turns]

    def on_notification(self, n):
        if (n.terms or self.topics[n.topic_type]).keep_order and n.key:
            self.told_turn(n.key, n.id, False, 0.0)
        super().on_notification(n)

    HEAR = {**Brain.HEAR, it.Notification: on_notification}

    def next_turn(self, ntf):
        ours = ntf.topic.name  # a stand-in for one of theirs has no name: it is not told back
        if ours and ntf.key and ntf.state == "over" and not ntf.out and ntf.id in self.keys[ntf.key][0]:
            self.told_turn(ntf.key, ntf.id, True, self.keys[ntf.key][1])
        super().next_turn(ntf)

    told_failing = staticmethod(lambda: None)  # a route begins to fail, or delivers again

    def judge(self, route, call, o):
        failed = route.pacer.bad_since < inf
        super().judge(route, call, o)
        if failed != (route.pacer.bad_since < inf):
            self.told_failing()

    def overdue(self, call):
        failed = call.route.pacer.bad_since < inf
        super().overdue(call)
        if failed != (call.route.pacer.bad_since < inf):
            self.told_failing()

    def turn(self, route, heard, span=0.0):
        before = route.state
        super().turn(route, heard, span)
        if route.state != before and route.state in TOLD:
            why = {"why": BY.get(heard, heard)} if route.state == "open" else {}
            event(TOLD[route.state], route=route.id, destination=route.dest.number, **why)
