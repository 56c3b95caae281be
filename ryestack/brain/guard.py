"""What may be sent, repeated and handed back now: the rules, in one place. All pushes and ends pass here."""

from math import inf

from .. import interface as it
from .routes import Circuits

ONCE, AGAIN = it.Effect.ONCE_ONLY, it.Effect.REPEATABLE


class Guard(Circuits):
    EARLY = 0.05  # seconds that we count late: a time is over that much before it is

    def may_push(self, ntf, route):
        """Whether a push may be started now (rules 1, 2, 3, 5 and 6)."""
        if ntf.state != "parked" or ntf.out or self.now + self.EARLY >= ntf.due or ntf.pushes >= ntf.most:
            return False  # rule 1, and never two out
        if not self.takes_new(route) or self.cut_short(ntf):
            return False
        if ntf.key and not self.is_first_of_key(ntf):
            return False
        return ntf.maybe_at == inf or self.repeats(ntf, route.zone)

    def takes_new(self, route):
        """Rules 3 and 6: it does not drain, as far as the list or a delivery says, and told no wait."""
        stale = self.now >= max(self.sure, route.good_at) + self.TOLD
        return not (route.state == "draining" or stale or self.now < route.pacer.wait_until)

    def cut_short(self, ntf):
        """Whether this process ends before a push could: it may have run then (rule 2)."""
        return self.now + ntf.dest.expected() >= self.leaves

    def is_first_of_key(self, ntf):
        """Rule 5: the first of its key, after the rest."""
        turns, rest = self.keys[ntf.key]
        return next(iter(turns)) == ntf.id and (self.now >= rest or ntf.pushes > 0)

    def repeats(self, ntf, zone):
        """Rule 2, of one that may have run: whether it may go to that zone again."""
        if ntf.topic.effect is not it.Effect.COLLAPSIBLE:
            return ntf.topic.effect is AGAIN
        drops = ntf.topic.group == "all" or (ntf.topic.group == "zone" and zone == ntf.maybe_zone != "")
        return drops and self.begin_in(ntf) > 0.0

    def begin_in(self, ntf):
        """Seconds in which a push may begin, also one that connects late: a little less than its window."""
        return ntf.maybe_at - self.now + (inf if ntf.topic.effect is AGAIN else ntf.topic.window - self.EARLY)

    def may_throttle(self, ntf):
        """Whether its client may be told that trying again is harmless."""
        effect, never = ntf.topic.effect, ntf.maybe_at == inf
        return never or effect is AGAIN or (effect is not ONCE and ntf.topic.group == "all")
