"""Reads a hand-in: its headers as the platform's protocol has them, made a notification."""

from .. import interface as it
from . import forms


class NotServed(Exception):
    """A destination that this relay does not serve, though another may."""


class HandInReader:
    """terms: lookup(topic type, now) -> terms and number of pushes, or None; customers: names, () for any."""

    def __init__(self, terms, members, clock):
        self.terms, self.members, self.clock = terms, members, clock
        self.customers: set[str] = set()

    def read(self, headers, came_at: float) -> tuple[it.Notification, str]:
        """The notification and its idempotency key; raises BadForm or NotServed.

        came_at: when its last byte got here, from which its time runs, however late it is read.
        """
        now = self.clock()
        name = forms.token(headers.get("X-Request-Id", ""), "X-Request-Id")
        topic, most = self.terms.lookup(headers.get("X-Class", ""), now)
        if topic is None:
            raise forms.BadForm("X-Class names no topic type")
        customer = headers.get("X-Tenant", "")
        if self.customers and customer not in self.customers:
            raise forms.BadForm("X-Tenant names no customer")
        span = forms.seconds(headers.get("X-Deadline", ""))
        destination = forms.destination(headers.get("X-Envelope", ""))
        if not self.members.has(destination):
            wrong = NotServed if self.members.scoped else forms.BadForm
            raise wrong(f"no destination {destination}")
        key = self.key_of(headers, topic)
        order_key = headers.get("X-Key", "")
        if order_key:
            forms.token(order_key, "X-Key")
        told = {"terms": topic, "most": most, "late": max(0.0, now - came_at)}
        head = name, came_at + span, destination, topic.name, customer, order_key
        return it.Notification(*head, **told), key

    @staticmethod
    def key_of(headers, topic: it.TopicType) -> str:
        key = headers.get("Idempotency-Key", "")
        if key or topic.effect is it.Effect.COLLAPSIBLE:
            forms.token(key, "Idempotency-Key")
        return key
