"""What the decision module is told and what it asks for: types only.

Times are seconds with fractions, ids are kept as they came. Nothing here knows a protocol: an
adapter turns its own messages into the events below and the actions into its own messages.
"""

from .terms import Customer, Effect, Kind, LateBenefit, Rules, Settings, TopicType
from .words import (
    Action,
    AskForList,
    Cancel,
    CancelUnsent,
    CloseIdleConnections,
    Endpoint,
    EndpointStatus,
    Event,
    Expire,
    ListUpdate,
    Notification,
    Outcome,
    Push,
    Result,
    SetTimer,
    SettingsChanged,
    ShuttingDown,
    SiblingCall,
    SiblingKeyClaim,
    Throttle,
    TimerFired,
    WaitRequested,
    Withdrawn,
)
