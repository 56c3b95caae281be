"""Reads a submission: turns the headers of the platform's protocol into a notification."""

from .. import interface
from . import forms


class NotServed(Exception):
    """The destination is not served by this relay, though another relay may serve it."""


class SubmissionReader:
    """Reads the headers of submissions.

    terms: lookup(topic type, now) -> terms and number of pushes, or None. customers: the known names; if
    empty, any name is accepted.
    """

    def __init__(self, terms, members, clock):
        self.terms, self.members, self.clock = terms, members, clock
        self.customers: set[str] = set()

    def read(self, headers, received_at: float) -> tuple[interface.Notification, str]:
        """The notification and its idempotency key; raises BadForm or NotServed.

        received_at: when its last byte was received; its time runs from there, however late it is read.
        """
        now = self.clock()
        name = forms.check_token(headers.get("X-Request-Id", ""), "X-Request-Id")
        topic, max_pushes = self.terms.lookup(headers.get("X-Class", ""), now)
        if topic is None:
            raise forms.BadForm("X-Class names no topic type")
        customer = forms.check_text(headers.get("X-Tenant", ""), "X-Tenant")
        if self.customers and customer not in self.customers:
            raise forms.BadForm("X-Tenant names no customer")
        ttl = forms.parse_duration(headers.get("X-Deadline", ""))
        destination = forms.parse_destination(headers.get("X-Envelope", ""))
        if not self.members.has(destination):
            error = NotServed if self.members.scoped else forms.BadForm
            raise error(f"no destination {destination}")
        key = self.idempotency_key(headers, topic)
        order_key = headers.get("X-Key", "")
        if order_key:
            forms.check_token(order_key, "X-Key")
        details = {"terms": topic, "max_pushes": max_pushes, "read_delay": max(0.0, now - received_at)}
        required = name, received_at + ttl, destination, topic.name, customer, order_key
        return interface.Notification(*required, **details), key

    @staticmethod
    def idempotency_key(headers, topic: interface.TopicType) -> str:
        """The idempotency key, "" if none; raises BadForm. A collapsible topic type requires one."""
        key = headers.get("Idempotency-Key", "")
        if key or topic.effect is interface.Effect.COLLAPSIBLE:
            forms.check_token(key, "Idempotency-Key")
        return key
