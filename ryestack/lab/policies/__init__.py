"""Reference policies by name, for comparison in the lab only: no relay runs them.

All of them keep the guarantees to clients: final answers in time, no repeated effects, requested waits,
drains and order. They differ in the choice of the route and in retries. None of them implements rule 4.
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
