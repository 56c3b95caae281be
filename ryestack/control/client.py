"""A relay's HTTP client for the control machines: one request at a time, with limits on time and size.

`Subscriber` decides what to request and how to handle the answer; this module does the I/O. Clients can share
one HTTP session, so that a process can run hundreds of them.
"""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

import aiohttp

from . import messages
from .holdings import HoldingsSnapshot, Update
from .messages import MAX_MESSAGE_BYTES, PATH, Answer, BadMessage, Entry, Rejection
from .order import Machine
from .subscriber import Subscriber
from .subscription import Identity, Input, PendingRequest

# Headers that aiohttp adds by default; omitted because an idle relay sends a request every few seconds.
OMITTED_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
IDLE_TIMEOUT_SECONDS = 30.0  # until an unused connection is closed
FAILOVER_INPUTS = (Input.FAILED, Input.BEHIND)  # inputs after which another machine is asked
MAX_REASON_BYTES = 200  # of an error response that are reported

Apply = Callable[[list[Entry], list[str], int], None]
"""apply(entries, removed, version): puts a version in force as a whole, given the new or changed entries and
the removed keys."""
Check = Callable[[list[Entry]], Rejection | None]
"""check(entries): None if all can be applied, else the rejection of one of them; its version is ignored."""
OnFailure = Callable[[str], None]
"""on_failure(why): called when a machine gives no usable answer, and with "" once one does again."""


class _RequestFailed(Exception):
    """The machine answered with a status other than 200, or the answer exceeds the size limit."""


class ControlClient:
    """Keeps the scope of one relay up to date; `run` does so until it is cancelled.

    hold: seconds for which a poll may be held; clock: the event loop's clock in seconds; session: a shared
    session, which the client does not close; snapshot: the holdings of the previous process; on_commit:
    called once a version is in force, before it is acknowledged.
    """

    def __init__(
        self,
        identity: Identity,
        machines: Sequence[Machine],
        apply: Apply,
        check: Check,
        *,
        hold: float,
        clock: Callable[[], float],
        rng: Random,
        session: aiohttp.ClientSession | None = None,
        snapshot: HoldingsSnapshot | None = None,
        on_failure: OnFailure | None = None,
        on_commit: Callable[[], None] = lambda: None,
    ) -> None:
        self._apply, self._check, self._clock = apply, check, clock
        self._on_failure, self._failing, self._on_commit = on_failure, False, on_commit
        self._owns_session, self._session = session is None, session or new_session()
        self.subscriber = Subscriber(identity, machines, hold, rng, clock(), snapshot)
        self.requests, self.failures = 0, 0

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self.subscriber.holdings.version

    def entries(self) -> list[Entry]:
        """All entries in force."""
        return list(self.subscriber.holdings.by_key.values())

    def age(self) -> float:
        """Seconds since the version in force was last confirmed as the newest, inf if it never was."""
        return self.subscriber.age(self._clock())

    async def run(self) -> None:
        """Keeps the scope up to date; ends only by cancellation."""
        while True:
            step = self.subscriber.step(self._clock())
            if isinstance(step, PendingRequest):
                await self._send(step)
            elif isinstance(step, Update):
                self._apply_or_reject(step)
            else:
                await asyncio.sleep(max(0.0, self.subscriber.wake_at - self._clock()))

    async def close(self) -> None:
        """Closes the session unless it is shared."""
        if self._owns_session:
            await self._session.close()

    def _apply_or_reject(self, update: Update) -> None:
        rejection = self._check(update.entries)
        if rejection is None:
            self._apply(update.entries, update.removed, update.version)
            self.subscriber.commit(self._clock())
            self._on_commit()
        else:
            self.subscriber.reject(rejection.key, rejection.reason, self._clock())

    async def _send(self, ask: PendingRequest) -> None:
        self.requests += 1
        try:
            async with asyncio.timeout(ask.timeout):
                answer = await self._post(ask)
        except (_RequestFailed, BadMessage, aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            self.failures += 1
            self.subscriber.failed(ask.number, self._clock())
            self._report_failure(f"{ask.machine.name}: {error or type(error).__name__}")
        else:
            trigger = self.subscriber.handle_answer(ask.number, answer, self._clock())
            self._report_failure(
                f"{ask.machine.name}: {_describe(answer)}" if trigger in FAILOVER_INPUTS else ""
            )

    async def _post(self, ask: PendingRequest) -> Answer:
        url, body = f"http://{ask.machine.address}{PATH}", messages.encode(ask.request)
        async with self._session.post(url, data=body, skip_auto_headers=OMITTED_HEADERS) as response:
            answer = bytearray()
            async for chunk in response.content.iter_any():
                answer += chunk
                if len(answer) > MAX_MESSAGE_BYTES:
                    raise _RequestFailed(f"an answer of more than {MAX_MESSAGE_BYTES} bytes")
            if response.status != 200:
                reason = bytes(answer[:MAX_REASON_BYTES]).decode(errors="replace").strip()
                raise _RequestFailed(f"status {response.status}: {reason}")
            return messages.decode_answer(bytes(answer))

    def _report_failure(self, why: str) -> None:
        if self._on_failure is not None and (why or self._failing):
            self._on_failure(why)
        self._failing = bool(why)


def _describe(answer: Answer) -> str:
    if isinstance(answer, messages.Unavailable):
        return answer.reason
    return f"its {type(answer).__name__} does not go with what was asked, or it is behind"


def new_session() -> aiohttp.ClientSession:
    """A session that any number of clients can share: no connection limit, no cookies."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_TIMEOUT_SECONDS)
    return aiohttp.ClientSession(connector=connector, cookie_jar=aiohttp.DummyCookieJar())
