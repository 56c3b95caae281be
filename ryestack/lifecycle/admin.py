"""The operators' endpoints at a relay's second address: readiness, metrics, drain and resume."""

import asyncio
from collections import Counter

from ..brain.invariants import REPEAT_PERMISSIONS, Rule
from ..connection_reasons import CloseReason, ConnectionState, EndpointCloseReason, RefusedInput
from ..membership.list_versions import Source
from ..observe import figures
from ..observe.process_memory import resident_bytes
from ..store.folder_times import FOLDER_TIMES, Operation
from .phases import ACCEPT_AFTER_STOP_S, PHASES, READY, REFUSED_IN
from .pushing import Unsent
from .refusals import Refusal

TEXT = "text/plain; charset=utf-8"


class Admin:
    """The part of a relay that answers operators' requests.

    A handler returns the status, the content type and the body.
    """

    async def ready(self) -> tuple[int, str, str]:
        """Whether this process can serve."""
        return (200, TEXT, "ready\n") if self.phase in READY else (503, TEXT, f"not ready: {self.phase}\n")

    async def metrics(self) -> tuple[int, str, str]:
        """The metrics in the Prometheus text format."""
        parts, owner = self.parts, self.owner
        listed = parts.directory.members.listed_names()
        values = {
            "upstream_tries_total": parts.dispatcher.written,
            "skipped_answers_total": parts.dispatcher.skipped_answers,
            "in_progress": owner.in_progress(),
            "known_endpoints": len(listed),
            "skipped_endpoints": len(owner.brain.skipped_endpoints(listed)),
            "loads_total": self.loads["accepted"],
            "load_errors_total": self.loads["rejected"],
            "memory_resident_bytes": resident_bytes(),
            "memory_peak_bytes": resident_bytes(peak=True),
            "memory_limit_bytes": self.config.memory,
            "client_held_bytes": sum(listener.held_bytes for listener in self.parts.listeners),
            "accept_pauses_total": sum(listener.accept_pauses for listener in self.parts.listeners),
            "ids_remembered": len(owner.ledger.ended) + len(owner.known_elsewhere),
            "loop_held_up_total": owner.held_up_count,
            "loop_held_up_seconds_total": round(owner.held_up_seconds, 3),
        }
        if parts.control:
            values |= parts.control.figures()
        if parts.list_saver:
            values |= {**parts.directory.figures(), "list_unsaved": int(parts.list_saver.unsaved)}
        topics = [topic.name for topic in owner.settings.topic_types]
        labelled = {**self.labelled_counts(), **self.list_sources()}
        text = figures.render(owner.ended, topics, values, labelled)
        sampled = owner.brain.health.samples(owner.brain.destinations, self.clock(), owner.brain.late_calls)
        text += "".join(figures.render_samples(name, samples) for name, samples in sampled)
        return 200, figures.CONTENT_TYPE, text

    def list_sources(self) -> dict[str, dict[str, int]]:
        """The figure that tells where the list in force comes from, if a registry is followed."""
        if not self.parts.list_saver:
            return {}
        return {"list_source": {each.value: int(self.parts.directory.source is each) for each in Source}}

    def labelled_counts(self) -> dict[str, dict[str, float]]:
        """The figures that have a label, with a zero for each label value not seen yet."""
        owner = self.owner
        states = sum((listener.connection_states() for listener in self.parts.listeners), Counter())
        refused_input = sum((listener.refused_input for listener in self.parts.listeners), Counter())
        closed = sum((listener.closed_connections for listener in self.parts.listeners), Counter())
        return {
            "invariant_violations_total": {rule.value: owner.invariants.counts[rule] for rule in Rule},
            "refused_total": {why.value: owner.refused[why] for why in Refusal},
            "client_requests_refused_total": {why.value: refused_input[why] for why in RefusedInput},
            "pushes_unsent_total": {why.value: owner.unsent[why] for why in Unsent},
            "repeats_total": {why.value: owner.permissions[why] for why in REPEAT_PERMISSIONS},
            "folder_seconds_total": {o.value: round(FOLDER_TIMES.seconds[o], 6) for o in Operation},
            "folder_slow_total": {o.value: FOLDER_TIMES.slow[o] for o in Operation},
            "retries_total": {after or "a life before": count for after, count in owner.retries.items()},
            "client_connections": {state.value: states[state] for state in ConnectionState},
            "client_connections_closed_total": {why.value: closed[why] for why in CloseReason},
            "endpoint_connections_closed_total": {
                why.value: self.parts.dispatcher.closed_connections[why] for why in EndpointCloseReason
            },
        }

    async def request_transition(self, trigger: str) -> tuple[int, str, str]:
        """Drain or resume, by the trigger's name in PHASES."""
        if self.phase in REFUSED_IN[trigger]:
            return 409, TEXT, f"it is {self.phase}\n"
        if (self.phase, trigger) in PHASES:
            await self.transition(trigger)
        return 200, TEXT, f"{self.phase}\n"

    async def begin_drain(self) -> None:
        """Effect: ask clients to leave, for ACCEPT_AFTER_STOP_S seconds."""
        for listener in self.parts.listeners:
            listener.start_drain()
        loop = asyncio.get_running_loop()
        self.drain_timer = loop.call_later(
            ACCEPT_AFTER_STOP_S, lambda: loop.create_task(self.finish_drain_period())
        )

    async def finish_drain_period(self) -> None:
        """End the drain period, unless a resume came first."""
        if self.phase == "emptying":
            await self.transition("sent away long enough")

    async def close_idle_connections(self) -> None:
        """Effect: accept no more notifications and close the clients' idle connections."""
        self.owner.drained = True
        for listener in self.parts.listeners:
            listener.close_idle_clients()

    async def resume(self) -> None:
        """Effect: serve clients again."""
        self.drain_timer.cancel()
        self.owner.drained = False
        for listener in self.parts.listeners:
            listener.resume()
