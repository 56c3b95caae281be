"""Notifications: how each is held, hops over its routes and ends, and the order of keys.

Every push passes the checks of `guard`.
"""

from math import inf

from .. import interface
from .guard import AGAIN, Guard
from .routes import Destination

# Results that prove that the push never ran.
NEVER_RAN = {interface.Result.FULL, interface.Result.NO_CONNECTION, interface.Result.NOT_SENT}
# Results after which the push may still run: its ordered key rests then.
MAY_STILL_RUN = {interface.Result.TIMED_OUT, interface.Result.BROKEN, interface.Result.CANCELLED}

# Transitions of a notification: (state, trigger) -> (next state, effect).
NOTIFICATION_TRANSITIONS = {
    ("parked", "pushed"): ("in flight", None),
    ("parked", "given up"): ("over", "give_up"),
    ("parked", "ended"): ("over", "forget"),
    ("in flight", "ended"): ("over", "forget"),
    ("in flight", "failed"): ("parked", "park_or_give_up"),
}


class HeldNotification:
    """A notification from its acceptance to its final answer, or one of another process ("remote")."""

    def __init__(self, n, dest, topic, benefit, max_pushes):
        self.id, self.due = n.id, n.due - n.read_delay
        self.dest, self.topic, self.benefit = dest, topic, benefit
        self.key, self.state, self.in_flight = n.key if topic.keep_order else "", "parked", 0
        self.pushes, self.may_have_run_at = n.pushes, n.may_have_run_at
        self.max_pushes = n.max_pushes or max_pushes
        # The next hop goes to a route after last_route, in the order of ids.
        self.hops, self.last_route, self.rests_until = 0, "", 0.0
        # Zone of the first push that may have run; whether the last push was refused by a used-up limit.
        self.may_have_run_zone, self.refused = "", False


class Notifications(Guard):
    """Holds notifications, and chooses which to give up when there are too many."""

    # Seconds until a notification that has tried all routes begins again with the first, in which a few calls
    # end; hops after which it does so too.
    CYCLE_REST_S, MAX_HOPS = 0.6, 2
    QUOTA_BURST_S = 5.0  # seconds of its share cap that a customer may be ahead
    # Share of the hold that is filled before notifications are given up. Giving one up earlier than in the
    # last LAST_PHASE of its time costs EARLY_END_PRICE of its benefit.
    MAX_FILL, LAST_PHASE, EARLY_END_PRICE = 0.95, 0.3, 0.3

    def change_notification(self, held, trigger):
        """Makes the transition of a notification for that trigger."""
        held.state, effect = NOTIFICATION_TRANSITIONS.get((held.state, trigger), (held.state, None))
        if effect:
            getattr(self, effect)(held)

    def on_notification(self, n):
        """Holds a new notification; past the hold's limit, gives up the one that costs least."""
        topic = n.terms or self.topics[n.topic_type]
        dest = self.destinations.get(n.destination) or self.add_destination(n.destination)
        benefit = topic.benefit
        if n.customer in self.quotas:
            row = self.quotas[n.customer]  # [share cap a second, notifications ahead of it, when updated]
            row[1], row[2] = max(0.0, row[1] - row[0] * (self.now - row[2])), self.now
            burst = row[0] * self.QUOTA_BURST_S
            over = row[1] > burst + 2.0 * burst**0.5 + 1.0  # a relay's part varies at random
            benefit *= self.settings.over_share_benefit if over else 1.0
            row[1] += 0.0 if over else 1.0
        held = self.notifications[n.id] = HeldNotification(n, dest, topic, benefit, self.settings.max_pushes)
        dest.add_credit(self.now, 1)
        if held.key:
            # key -> [notifications in order by id, until when the key rests]
            self.keys.setdefault(held.key, [{}, 0.0])[0][held.id] = held
        self.park_or_give_up(held)
        # If it is not parked, giving it up frees no place.
        if held.state == "parked" and len(self.notifications) > self.settings.max_open * self.MAX_FILL:
            longest = max(self.waiting.values(), key=lambda d: (len(d.parked), -d.created)).parked.values()
            self.change_notification(
                min(longest, key=lambda n: self.cost_of_giving_up(n, n is held)), "given up"
            )

    def park(self, held):
        """Parks it until a route takes it, with a timer for the latest time at which it can be given up."""
        if not held.dest.parked:
            held.dest.waiting_since = held.due - held.topic.ttl
        held.dest.parked[held.id], self.waiting[held.dest.created] = held, held.dest
        # The end of its time less a push's duration, or of its window if that is sooner.
        ends = min(held.due - held.dest.expected_duration(), self.now + self.begin_timeout(held))
        self.schedule(ends, lambda self, held: self.change_notification(held, "given up"), held)
        self.mark_changed(held.dest)
        if held.last_route and (
            held.hops > self.MAX_HOPS
            or held.last_route >= max((r.id for r in held.dest.route_list), default="")
        ):
            # All routes were tried, or hops are used up: it begins again with the first route.
            held.hops, held.last_route, held.rests_until = 0, "", self.now + self.CYCLE_REST_S
            self.schedule(held.rests_until, Notifications.mark_changed, held.dest)

    def unpark(self, held):
        """Removes it from its destination's parked ones."""
        if held.dest.parked.pop(held.id, None) and not held.dest.parked:
            del self.waiting[held.dest.created]

    def park_or_give_up(self, held):
        """Parks it for another push, or gives it up if no further push is allowed or can end in time."""
        zones = {r.zone for r in held.dest.route_list if r.state != "draining"} or {held.may_have_run_zone}
        stuck = held.may_have_run_at < inf and not any(self.may_repeat(held, zone) for zone in zones)
        if stuck or held.pushes >= held.max_pushes or self.now + held.dest.expected_duration() >= held.due:
            self.change_notification(held, "given up")
        else:
            self.park(held)

    def give_up(self, held):
        """Sends the final answer at once, with a time to come back where one is known."""
        routes = [r for r in held.dest.route_list if r.state != "draining"]
        ends = [max(r.open_until if r.state == "open" else 0.0, r.limiter.wait_until) for r in routes]
        retry_after = min(self.settings.max_retry_after, max(0.0, min(ends, default=0.0) - self.now))
        self.actions.append(
            interface.Throttle(held.id, retry_after) if self.may_throttle(held) else interface.Expire(held.id)
        )
        self.forget(held)

    def forget(self, held):
        """Drops it; its key's next notification may go."""
        self.notifications.pop(held.id, None)
        self.unpark(held)
        self.release_key(held)

    def release_key(self, held):
        """Takes it out of its key's order once it is over and no push of it is in flight."""
        if held.key and held.state == "over" and not held.in_flight:
            queue, rests_until = self.keys[held.key]
            queue.pop(held.id, None)
            for other in queue.values():
                self.mark_changed(other.dest)
            if not queue:
                self.schedule(rests_until, Notifications.drop_key, held.key)

    def drop_key(self, key):
        """Forgets a key that nothing is held of, once its rest is over."""
        if key in self.keys and not self.keys[key][0] and self.now >= self.keys[key][1]:
            del self.keys[key]

    def on_sibling_key_claim(self, claim):
        """Keeps the place of another process's notification; if that is handed over, it keeps the place."""
        dest, topic = Destination(self, 0), interface.TopicType("", AGAIN, 0.0, 0.0, keep_order=True)
        remote = HeldNotification(
            interface.Notification(claim.id, inf, 0, "", key=claim.key), dest, topic, 0.0, 1
        )
        row = self.keys.setdefault(claim.key, [{}, 0.0])
        row[0].setdefault(claim.id, remote)
        remote.state, row[1] = "over" if claim.released else "remote", max(row[1], claim.rests_until)
        for other in row[0].values():
            self.schedule(row[1], Notifications.mark_changed, other.dest)
        self.release_key(remote)

    def cost_of_giving_up(self, held, new):
        """Sort key: the benefit that it may still win, plus a price if accepted and early in its time."""
        early = not new and held.due - self.now > held.topic.ttl * self.LAST_PHASE
        return (
            self.priority(held)[0]
            + early * self.EARLY_END_PRICE * held.benefit / held.dest.expected_duration(),
            -held.due,
        )

    def priority(self, held):
        """Sort key: the benefit that a push now wins for each second of a slot; among equals, the older."""
        topic, duration = held.topic, held.dest.expected_duration()
        late = self.now + duration - (held.due - topic.ttl) - topic.objective
        share = self.now + duration < held.due
        if late > 0.0 and self.settings.late_benefit is interface.LateBenefit.HALVES:
            share *= max(topic.late_share, 0.5 ** (late / max(topic.objective, 1e-3)))
        elif late > 0.0:
            share *= 1.0 - (1.0 - topic.late_share) * late / max(topic.ttl - topic.objective, 1e-3)
        return held.benefit * share / duration, -held.due
