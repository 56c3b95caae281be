"""The decisions, with what becomes of circuits told to the log. It decides nothing and changes nothing."""

from ..brain import Brain
from ..observe.log import event

TOLD = {"open": "route.opened", "closed": "route.closed", "draining": "route.drained"}
BY = {"tripped": "failures", "failed": "a failed trial", "wait": "a told wait"}


class Watched(Brain):
    def turn(self, route, heard, span=0.0):
        before = route.state
        super().turn(route, heard, span)
        if route.state != before and route.state in TOLD:
            why = {"why": BY.get(heard, heard)} if route.state == "open" else {}
            number = next((n for n, dest in self.dests.items() if dest is route.dest), None)
            event(TOLD[route.state], route=route.id, destination=number, **why)
