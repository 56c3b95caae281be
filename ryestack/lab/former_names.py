"""Names of older revisions: former name -> name of now.

An older decision package is played against today's `ryestack.interface`, and studies name constants of the
decision classes as they were when they were written.
"""

import types

from .. import interface

TYPES = {
    "HangUp": "CloseIdleConnections",
    "CallOff": "CancelUnsent",
    "Overheard": "SiblingCall",
    "Turn": "SiblingKeyClaim",
    "Retuned": "SettingsChanged",
    "Leaving": "ShuttingDown",
    "WaitTold": "WaitRequested",
    "Woken": "TimerFired",
    "Wake": "SetTimer",
    "Listed": "EndpointStatus",
    "Late": "LateBenefit",
}
FIELDS = {
    interface.Endpoint: {"listed": "status"},
    interface.ListUpdate: {"sure_at": "confirmed_at"},
    interface.Notification: {"maybe_at": "may_have_run_at", "most": "max_pushes", "late": "read_delay"},
    interface.Outcome: {"left": "limit_left", "made": "attempted"},
    interface.SiblingKeyClaim: {"over": "released", "rest": "rests_until"},
    interface.Push: {"begin": "begin_timeout"},
    interface.Throttle: {"come_back": "retry_after"},
    interface.Kind: {"apart": "per_route"},
    interface.Settings: {
        "late": "late_benefit",
        "told_rates": "list_has_rates",
        "max_come_back": "max_retry_after",
    },
}
CONSTANTS = {
    "EARLY": "DEADLINE_MARGIN_S",
    "WALK_REST": "CYCLE_REST_S",
    "HOPS": "MAX_HOPS",
    "SHARE_SPAN": "QUOTA_BURST_S",
    "DOOR": "MAX_FILL",
    "LATE": "LAST_PHASE",
    "PRICE": "EARLY_END_PRICE",
    "REST": "OPEN_S",
    "REST_SHORT": "OPEN_SHORT_S",
    "ASK": "LIST_RETRY_S",
    "ASK_LONGEST": "MAX_LIST_RETRY_S",
    "NEAR": "AGENT_RETRY_S",
    "TOLD": "MAX_LIST_AGE_S",
    "REST_LANE": "TOPIC_AVOIDED_S",
    "SHORT": "CONNECTIONS_SHORT_S",
    "SHARE": "SLOT_SHARE",
    "SHARE_SICK": "FAILING_SLOT_SHARE",
    "OVERDUE": "OVERDUE_FACTOR",
    "OVERDUE_ALL": "OVERDUE_FACTOR_ALL",
    "OVERDUE_LEAST": "MAX_MIN_OVERDUE_S",
    "TIMEOUT": "TIMEOUT_FACTOR",
    "TIMEOUT_LEAST": "MIN_TIMEOUT_S",
    "ROOM": "CONCURRENCY_FACTOR",
    "USUAL": "INITIAL_DURATION_S",
    "KEPT": "MIN_IDLE_USES",
    "KEPT_SHORT": "MIN_IDLE_USES_SHORT",
}


def former_interface(name: str) -> types.ModuleType:
    """A module with the former names of the interface's types; the types get their former fields too."""
    module = types.ModuleType(name)
    vars(module).update({key: value for key, value in vars(interface).items() if not key.startswith("__")})
    vars(module).update({former: getattr(interface, today) for former, today in TYPES.items()})
    for kind, names in FIELDS.items():
        for former, today in names.items():
            setattr(kind, former, property(lambda value, today=today: getattr(value, today)))
    return module
