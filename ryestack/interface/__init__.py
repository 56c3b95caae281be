"""Events that the decision module receives and actions that it returns: types only.

Times are seconds as floats; ids are kept as received. Nothing here depends on a protocol: an adapter
translates its own messages into these events, and the actions into its own messages.
"""

from .messages import (
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
from .terms import Customer, Effect, Kind, LateBenefit, Rules, Settings, TopicType
