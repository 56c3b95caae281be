"""Messages between the owner and the other processes of its relay: calls, order of keys, counts."""

from dataclasses import dataclass

from ... import interface
from ...interface import Result
from .claims import Claiming

OUTCOME_FIELDS = (
    "elapsed",
    "ended",
    "wait",
    "limit",
    "stale",
    "limit_left",
)  # in the order of an "ended" message


@dataclass(frozen=True, slots=True)
class RemoteEvent:
    """An event of another process of this relay: the end of one of its pushes, or a retry delay."""

    event: interface.Outcome | interface.WaitRequested


class Siblings(Claiming):
    """The part of the owner that exchanges messages with other processes. A received message becomes an
    event in the owner's queue."""

    def __init__(self):
        super().__init__()
        # The pushes that siblings have in flight: the channel and the endpoint.
        self.remote_pushes: dict[tuple[str, int], tuple[object, str]] = {}
        # Siblings' notifications with an order key, by key and id: the channel.
        self.key_holders: dict[tuple[str, str], object] = {}
        self.held_by_sibling: dict[object, int] = {}  # the number of open notifications of each sibling

    def handle_remote_event(self, event: RemoteEvent):
        """Unwrap a sibling's event for the module; drops the outcome of an unknown push."""
        remote = event.event
        known = isinstance(remote, interface.WaitRequested) or self.remote_pushes.pop(
            (remote.id, remote.push), None
        )
        return remote if known else None

    def handle_wait_told(self, event: interface.WaitRequested):
        """Forward a retry delay to the siblings; returns it for the module."""
        self.notify_siblings("wait", event.endpoint, event.wait)
        return event

    def notify_siblings(self, *message) -> None:
        """Send a message to all siblings."""
        for channel in self.siblings:
            channel.send(*message)

    def notify_began(self, endpoint: str, items: list) -> None:
        """Notify the siblings of a call that began."""
        if self.siblings:
            pushes = [(item.id, item.push, self.ledger.owed[item.id].topic_type) for item in items]
            self.notify_siblings("began", endpoint, pushes)

    def notify_ended(self, outcome: interface.Outcome) -> None:
        """Notify the siblings of the end of a push."""
        facts = [getattr(outcome, name) for name in OUTCOME_FIELDS]
        self.notify_siblings(
            "ended", outcome.id, outcome.push, outcome.endpoint, outcome.result.value, *facts
        )

    def handle_message(self, channel, message: list) -> None:
        """Handle a sibling's message. Unknown kinds are ignored.

        Raises TypeError, ValueError, KeyError or IndexError if the message is invalid.
        """
        kind, *rest = message
        if handle := self.MESSAGE_HANDLERS.get(kind) if isinstance(kind, str) else None:
            handle(self, channel, *rest)

    def on_began(self, channel, endpoint, items) -> None:
        """A sibling's call began: the module counts it with ours."""
        topics = {topic_type.name: topic_type for topic_type in self.settings.topic_types}
        unknown = next(iter(topics.values()))
        self.remote_pushes.update({(name, push): (channel, endpoint) for name, push, _ in items})
        pushes = tuple((name, push, topics.get(topic, unknown)) for name, push, topic in items)
        self.put([interface.SiblingCall(endpoint, pushes)])

    def on_ended(self, channel, name, push, endpoint, result, *facts) -> None:
        """A sibling's push ended."""
        fields = dict(zip(OUTCOME_FIELDS, facts, strict=True))
        self.put([RemoteEvent(interface.Outcome(name, push, endpoint, Result(result), **fields))])

    def on_turn(self, channel, key, name, over, rest_until) -> None:
        """A sibling accepted a notification with an order key, or has ended it (over)."""
        self.key_holders[key, name] = channel
        if over:
            del self.key_holders[key, name]
        if name not in self.ledger.owed:
            self.put([interface.SiblingKeyClaim(key, name, over, rest_until)])

    def on_wait(self, channel, endpoint, seconds, *_) -> None:
        """An endpoint gave a sibling a retry delay."""
        self.put([RemoteEvent(interface.WaitRequested(str(endpoint), float(seconds)))])

    def on_list(self, channel, fields, *_) -> None:
        """A sibling was told a version of the endpoint list: it holds for the whole relay."""
        self.put(self.directory.take_change(fields))

    def on_holds(self, channel, count, *_) -> None:
        """The number of a sibling's open notifications."""
        self.held_by_sibling[channel] = int(count)

    MESSAGE_HANDLERS = {
        "began": on_began,
        "ended": on_ended,
        "turn": on_turn,
        "wait": on_wait,
        "holds": on_holds,
        "list": on_list,
        **Claiming.CLAIM_HANDLERS,
    }

    def calls_in_flight(self) -> list:
        """Our calls in flight, as "began" messages describe them."""
        calls = {id(call): call for call, ntf in self.brain.in_flight.values() if ntf.state != "remote"}
        return [(call.route.id, self.items_in_flight(call)) for call in calls.values()]

    def items_in_flight(self, call) -> list:
        """(id, push, topic type) of each push of the call that is in flight."""
        return [(n.id, push, n.topic.name) for n, push in call.items if (n.id, push) in self.brain.in_flight]

    def sibling_gone(self, channel) -> None:
        """End a dead sibling's pushes; the process that adopts its journal has the history of them."""
        if channel in self.siblings:
            self.siblings.remove(channel)
        self.sibling_left(channel)
        self.held_by_sibling.pop(channel, None)
        pushes = [
            (key, endpoint) for key, (sibling, endpoint) in self.remote_pushes.items() if sibling is channel
        ]
        self.put(
            [RemoteEvent(interface.Outcome(*key, endpoint, Result.CANCELLED)) for key, endpoint in pushes]
        )
        for (name, push), endpoint in pushes:  # also for a third process, which got them through us
            facts = (0.0, False, 0.0, 0.0, False, 1.0)  # OUTCOME_FIELDS
            self.notify_siblings("ended", name, push, endpoint, Result.CANCELLED.value, *facts)

    def adoption_complete(self) -> None:
        """The journals of dead siblings are adopted: release the order keys of notifications not in them."""
        for (key, name), channel in list(self.key_holders.items()):
            if channel not in self.siblings:
                del self.key_holders[key, name]
                if name not in self.ledger.owed:
                    self.put([interface.SiblingKeyClaim(key, name, True)])
