"""Settings of the relays of an outage play in simulated time. Pure."""

from ... import interface
from ...interface import Effect
from .plays import OutagePlay

DESTINATION = 7
ROUTES = ("a", "b")
TOPICS = (
    interface.TopicType("again", Effect.REPEATABLE, 2.0, 16.0),
    interface.TopicType("merge", Effect.COLLAPSIBLE, 2.0, 16.0, window=6.0),
    interface.TopicType("once", Effect.ONCE_ONLY, 4.0, 20.0),
)


def settings_of(play: OutagePlay) -> interface.Settings:
    """The settings of each relay of the play."""
    rules = play.slow_start
    return interface.Settings(
        TOPICS,
        (interface.Kind("k", per_route=play.per_route),),
        interface.Rules(rules.share, rules.seconds, rules.factor, rules.window),
        slots=12, max_open=200, relays=play.relays, rough_rates=True, connection_idle=15.0, max_pushes=12,
        may_cancel=True,
    )  # fmt: skip
