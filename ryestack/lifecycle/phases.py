"""A relay's phases from start to exit as a state table, and its time limits. No I/O.

The names of phases and triggers appear in the event phase.changed.
"""

# (phase, trigger) -> (next phase, name of the Relay method that carries out the transition)
PHASES = {
    ("starting", "begun"): ("recovering", "recover"),
    ("recovering", "recovered"): ("serving", "open_listeners"),
    ("serving", "asked to stop"): ("leaving", "announce_stop"),
    ("serving", "relieved"): ("draining", "hand_over_listeners"),
    ("emptying", "relieved"): ("draining", "hand_over_listeners"),
    ("empty", "relieved"): ("draining", "hand_over_listeners"),
    ("serving", "told to drain"): ("emptying", "begin_drain"),
    ("emptying", "sent away long enough"): ("empty", "close_idle_connections"),
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
# Operators' request -> the phases that refuse it. With no row in PHASES the relay is in that state already.
REFUSED_IN = {"told to drain": set(), "told to resume": {"leaving", "draining", "winding up", "ended"}}
READY = {"serving", "emptying", "empty"}  # phases in which this process can serve
# After SIGTERM: by the protocol new connections arrive for 0.4 s, and accepting them takes a moment.
ACCEPT_AFTER_STOP_S = 0.45
# After SIGTERM: SIGKILL may follow after 3.7 s, and the last calls, notices and the exit take some time.
STOP_DEADLINE_S = 3.2
POLL_INTERVAL_S = 0.05  # between checks for conditions that nothing signals
