"""A relay's phases from start to exit, as one table, and its times. Pure."""

# (phase, what happened) -> (next phase, effect)
PHASES = {
    ("starting", "begun"): ("recovering", "recover"),
    ("recovering", "recovered"): ("serving", "open_listeners"),
    ("serving", "asked to stop"): ("leaving", "announce_stop"),
    ("serving", "relieved"): ("draining", "hand_over_listeners"),
    ("emptying", "relieved"): ("draining", "hand_over_listeners"),
    ("empty", "relieved"): ("draining", "hand_over_listeners"),
    ("serving", "told to drain"): ("emptying", "send_away"),
    ("emptying", "sent away long enough"): ("empty", "end_idle"),
    ("emptying", "told to resume"): ("serving", "resume"),
    ("empty", "told to resume"): ("serving", "resume"),
    ("emptying", "asked to stop"): ("leaving", "announce_stop"),
    ("empty", "asked to stop"): ("leaving", "announce_stop"),
    ("leaving", "accepted long enough"): ("draining", "close_listeners"),
    ("serving", "told to reread"): ("serving", "reread"),
    ("emptying", "told to reread"): ("emptying", "reread"),
    ("empty", "told to reread"): ("empty", "reread"),
    ("leaving", "told to reread"): ("leaving", "reread"),
    ("draining", "told to reread"): ("draining", "reread"),
    ("draining", "settled"): ("winding up", "wind_up"),
    ("draining", "time is short"): ("winding up", "wind_up"),
    ("winding up", "wound up"): ("ended", "end"),
}
# What staff ask for -> the phases in which it cannot be had. With no row in PHASES it holds already.
REFUSED = {"told to drain": set(), "told to resume": {"leaving", "draining", "winding up", "ended"}}
READY = {"serving", "emptying", "empty"}  # phases in which this process can serve
ACCEPT = 0.45  # seconds after SIGTERM: new connections come for 0.4 by the protocol, and take a moment
SHORT = 3.2  # after SIGTERM: SIGKILL may come after 3.7, and calls, notices and the exit take some time
LOOK = 0.05  # seconds between looks at whether all is settled
