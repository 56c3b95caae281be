"""Policies to compare with, by name. They are for the lab only: no relay runs them.

All keep what a client may count on (ends in time, effects not twice, waits, drains, order); they differ in
where a push goes and whether it is made again. Rule 4 is none of theirs.
"""

from ...brain import Brain
from .best import Best
from .textbook import (
    AdaptiveConcurrency,
    LeastInFlight,
    OneTry,
    PowerOfTwo,
    RandomRoute,
    RoundRobin,
    TokenBucket,
)

POLICIES = {
    "ryestack": Brain,
    "one-try": OneTry,
    "random": RandomRoute,
    "least-in-flight": LeastInFlight,
    "round-robin": RoundRobin,
    "power-of-two": PowerOfTwo,
    "token-bucket": TokenBucket,
    "adaptive": AdaptiveConcurrency,
    "best": Best,
}
FLOOR, CEILING = "one-try", "best"
