"""What the decision module is told and what it asks for: types only.

Times are seconds with fractions, ids are kept as they came. Nothing here knows a protocol: an
adapter turns its own messages into the events below and the actions into its own messages.
"""

from .terms import Customer, Effect, Kind, Late, Rules, Settings, TopicType
from .words import (
    Action,
    AskForList,
    CallOff,
    Cancel,
    Endpoint,
    Event,
    Expire,
    HangUp,
    Leaving,
    Listed,
    ListUpdate,
    Notification,
    Outcome,
    Overheard,
    Push,
    Result,
    Retuned,
    Throttle,
    Turn,
    WaitTold,
    Wake,
    Withdrawn,
    Woken,
)
