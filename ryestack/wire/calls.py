"""Calls to endpoints: one call carries one message or several, and ends in one outcome for each."""

import asyncio
from collections import Counter
from functools import partial
from math import inf

import aiohttp

from .. import interface
from ..brain.connection_reuse import ConnectionReuse
from ..connection_reasons import EndpointCloseReason
from ..interface import Result
from ..observe.log import fault
from ..ports import PushMessage
from . import forms
from .answers import Answer, batch_answers, read_bounded, seconds_from_ms, single_answer
from .batch import Batch, request_of
from .call_progress import CURRENT_CALL, CallProgress
from .connection_pool import ConnectionPool
from .endpoint_session import open_session
from .sockets import is_local_fault

# Time-outs for the rest of an answer after its first line, which mostly comes with it. After a 200 to one
# message there is nothing more to learn, but a connection given up costs a handshake; other answers tell who
# ran.
REST_OF_200_S, REST_S = 0.05, 0.25


class CallDispatcher:
    """Starts and cancels calls; publish(events) puts their outcomes into the owner's queue together.

    written: messages whose call was written whole. running: the task of the call that carries each push.
    progress: of each call's task, whether the call has begun or not. pool: the connections to endpoints.
    """

    def __init__(self, settings: interface.Settings, members, clock, publish, max_connections: int):
        self.members, self.clock, self.publish = members, clock, publish
        self.running: dict[tuple[str, int], asyncio.Task] = {}
        self.written = 0
        self.pool = ConnectionPool(max_connections)
        self.reuse = ConnectionReuse(settings.connection_idle > 0.0, members.kind)
        self.progress: dict[asyncio.Task, CallProgress] = {}
        self.apply_settings(settings)
        self.session = open_session(settings.connection_idle, self.pool, self.reuse)

    def apply_settings(self, settings: interface.Settings) -> None:
        self.batch_sizes = {k.name: k.batch for k in settings.kinds}
        self.client_timeout = aiohttp.ClientTimeout(total=None, sock_connect=settings.connect_timeout or None)

    def start(self, endpoint: str, messages: list[PushMessage]) -> None:
        """Send the messages of one round, as many in a call as that kind of endpoint takes."""
        batch_size = self.batch_sizes.get(self.members.kind(endpoint), 1)
        for first in range(0, len(messages), batch_size):
            self.start_call(endpoint, messages[first : first + batch_size])

    def start_call(self, endpoint: str, messages: list[PushMessage]) -> None:
        """Start one call. It ends with the first deadline of its messages: whether a later answer holds for
        the others is not for this relay to decide, and the connection must not deliver it."""
        loop = asyncio.get_running_loop()
        progress = CallProgress(endpoint, loop.time(), tuple(message.id for message in messages))
        progress.find_target = partial(self.members.target, endpoint)
        progress.target = progress.find_target()
        task = loop.create_task(self.run(progress, messages, min(message.deadline for message in messages)))
        self.progress[task] = progress
        task.add_done_callback(partial(self.finished, messages))
        for message in messages:
            self.running[message.id, message.push] = task

    def finished(self, messages: list[PushMessage], task: asyncio.Task) -> None:
        """Report pushes as not sent whose task was cancelled before its first step, and so never ran."""
        progress = self.progress.pop(task)
        left = [m for m in messages if self.running.get((m.id, m.push)) is task]
        for message in left:
            del self.running[message.id, message.push]
        if left:
            self.publish([interface.Outcome(m.id, m.push, progress.endpoint, Result.NOT_SENT) for m in left])

    def cancel(self, notification_id: str, push: int) -> None:
        if (notification_id, push) in self.running:
            self.running[notification_id, push].cancel()

    def drop_removed_endpoints(self) -> None:
        """Close the idle connections to where endpoints are no more; calls in flight continue."""
        removed, moved = self.members.drop_removed(), self.members.take_moved()
        self.pool.close_idle(removed | moved, EndpointCloseReason.ENDPOINT_LEFT)
        self.reuse.forget(removed)

    def cancel_unsent(self, endpoint: str) -> None:
        for progress in self.progress.values():
            if progress.endpoint == endpoint:
                self.end_unless_sent(progress)

    def close_idle(self, endpoint: str) -> None:
        self.pool.close_idle({endpoint}, EndpointCloseReason.HUNG_UP)

    def share(self, processes: int) -> None:
        self.pool.share(processes)

    @property
    def skipped_answers(self) -> int:
        return self.pool.skipped_answers

    @property
    def closed_connections(self) -> Counter[EndpointCloseReason]:
        return self.pool.closed

    def in_flight(self) -> int:
        return len(self.running)

    async def close(self) -> None:
        tasks = set(self.running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.session.close()

    async def run(self, progress: CallProgress, messages: list[PushMessage], deadline: float) -> None:
        """Make one call and report the outcome of each message. deadline: a time of the clock."""
        began, batch, answers = self.clock(), Batch(messages), {}
        start_timer = self.prepare(progress, batch, deadline)
        failure = Result.BROKEN
        try:
            async with progress.timeout:
                await batch.wait_until_ready()
                if batch.messages:
                    if progress.too_late:  # cancelled before it began
                        raise TimeoutError
                    answers = await self.post(progress, batch.messages, deadline)
        except asyncio.CancelledError:
            failure = Result.CANCELLED
        except TimeoutError:
            failure = Result.BROKEN if progress.status else Result.TIMED_OUT
        except (aiohttp.ClientError, OSError, ValueError) as error:
            progress.local_fault = is_local_fault(error)
        except Exception:  # the messages get their outcome whatever the fault
            fault("call.fault", endpoint=progress.endpoint)
        finally:
            progress.timeout = progress.connection = (
                None  # the connection may carry another call from here on
            )
            if start_timer:
                start_timer.cancel()
        if not progress.begun or progress.recalled:
            failure = Result.NOT_SENT if progress.not_attempted else Result.NO_CONNECTION
        self.report_outcomes(progress, batch, answers, failure, self.clock() - began)
        batch.release()

    def prepare(self, progress: CallProgress, batch: Batch, deadline: float) -> asyncio.TimerHandle | None:
        """Connect a call's callbacks; returns the timer that ends it if it does not begin in time."""
        begin_by = min(message.begin_by for message in batch.messages)
        progress.start_deadline = min(deadline, begin_by)
        progress.timeout = asyncio.timeout_at(deadline)
        progress.on_status_line = lambda: self.status_line_received(progress, len(batch.messages) == 1)
        progress.on_wait = partial(self.wait_received, progress)
        progress.on_written = lambda: self.call_written(len(batch.messages))
        CURRENT_CALL.set(progress)  # of this task, which makes no other call
        if begin_by >= deadline:  # the end of the whole call is enough
            return None
        return asyncio.get_running_loop().call_at(begin_by, self.end_unless_sent, progress)

    def report_outcomes(
        self,
        progress: CallProgress,
        batch: Batch,
        answers: dict[str, Answer],
        failure: Result,
        elapsed: float,
    ) -> None:
        """Publish the outcome of each message. failure: of those without an answer. elapsed: seconds."""
        if not answers:
            result = Result.DELIVERED if progress.status == 200 and len(batch.messages) == 1 else failure
            answers = dict.fromkeys([m.id for m in batch.messages], Answer(result, wait=progress.wait))
        stale = failure is Result.BROKEN and progress.reused and not progress.bytes_received
        outcomes = [
            interface.Outcome(
                m.id,
                m.push,
                progress.endpoint,
                Result.NOT_SENT,
                elapsed,
                m in batch.unacknowledged,
                attempted=m not in batch.unrecorded,
            )
            for m in batch.unacknowledged + batch.not_permitted + batch.unrecorded
        ]
        for message in batch.messages:
            result, ended, wait, limit, left = answers[message.id]
            details = elapsed, ended, wait, limit, stale and result is failure, left
            outcomes.append(interface.Outcome(message.id, message.push, progress.endpoint, result, *details))
        self.publish([o for o in outcomes if self.running.pop((o.id, o.push), None)])

    def end_unless_sent(self, progress: CallProgress) -> bool:
        """End a call unless its last byte is written; returns whether it may run at the endpoint."""
        if progress.begun and not progress.recall():
            return True
        progress.too_late, progress.start_deadline = True, -inf  # in case it connects in this loop iteration
        if progress.timeout and not progress.timeout.expired():
            progress.timeout.reschedule(asyncio.get_running_loop().time())
        return False

    def wait_received(self, progress: CallProgress, text: str | None) -> None:
        """Publish a wait in the head of an answer: it holds at once, even if the rest never comes."""
        progress.wait = seconds_from_ms(text)
        if progress.wait > 0.0:
            self.publish([interface.WaitRequested(progress.endpoint, progress.wait)])

    def call_written(self, messages: int) -> None:
        self.written += messages

    def status_line_received(self, progress: CallProgress, single: bool) -> None:
        """Shorten the timeout to that of the rest of the answer."""
        rest, timeout = REST_OF_200_S if single and progress.status == 200 else REST_S, progress.timeout
        if timeout and not timeout.expired():
            timeout.reschedule(min(timeout.when(), asyncio.get_running_loop().time() + rest))

    async def post(
        self, progress: CallProgress, messages: list[PushMessage], deadline: float
    ) -> dict[str, Answer]:
        """The answer for each id, once the response is complete. deadline: a time of the clock."""
        if not progress.target_holds():  # the list has changed since the call was decided
            return {message.id: Answer(Result.NOT_SENT) for message in messages}
        self.pool.make_room(len(set(self.running.values())))
        remaining = forms.format_duration(deadline - self.clock())
        path, body, headers = request_of(messages)
        # server_hostname separates connections by endpoint: another one at the same address gets none of
        # them.
        options = {
            "data": body,
            "headers": {"X-Deadline": remaining, **headers},
            "timeout": self.client_timeout,
            "allow_redirects": False,
            "server_hostname": progress.endpoint,
        }
        async with self.session.post(f"http://{progress.target.address}{path}", **options) as response:
            wait = CURRENT_CALL.get().wait
            content = await read_bounded(response)
            if len(messages) > 1 and response.status == 200:
                return batch_answers([m.id for m in messages], content, response.headers, wait)
            return dict.fromkeys(
                [m.id for m in messages], single_answer(response.status, response.headers, wait)
            )
