"""How many calls a connection to an endpoint may carry.

HTTP/1.1 ties an answer to its call by its place on the connection. The place is proven for the first call of
a connection, and for a last one whose request asks for the close: the endpoint marks that answer, and none
before it, with `Connection: close` (RFC 9112, 9.6). An answer to a call in between might belong to an earlier
call, so there is none in between.
"""

from collections.abc import Callable

CALLS_WITHOUT_PROOF, CALLS_WITH_PROOF = 1, 2


class ConnectionReuse:
    """Decides it for each endpoint, from how it answered a request that asked for the close.

    Before an endpoint has answered one, the others of its kind speak for it, as long as all of them mark such
    answers.

    kept_open: whether the settings let connections stay open between calls. kind_of: the kind of an endpoint,
    None if it is unknown.
    """

    def __init__(self, kept_open: bool, kind_of: Callable[[str], str | None]):
        self.kept_open, self.kind_of = kept_open, kind_of
        self.marking_endpoints: dict[str, bool] = {}
        self.marking_kinds: dict[str | None, bool] = {}

    def max_calls(self, endpoint: str) -> int:
        """Calls that a connection to the endpoint may carry."""
        marks = self.marking_endpoints.get(endpoint)
        if marks is None:
            marks = self.marking_kinds.get(self.kind_of(endpoint), False)
        return CALLS_WITH_PROOF if self.kept_open and marks else CALLS_WITHOUT_PROOF

    def record_last_answer(self, endpoint: str, marked: bool) -> None:
        """The endpoint answered a request that asked for the close. marked: whether it marked its answer."""
        kind = self.kind_of(endpoint)
        self.marking_endpoints[endpoint] = marked
        self.marking_kinds[kind] = marked and self.marking_kinds.get(kind, True)

    def forget(self, endpoints: set[str]) -> None:
        """The endpoints were removed."""
        for endpoint in endpoints:
            self.marking_endpoints.pop(endpoint, None)
