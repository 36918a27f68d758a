"""Calls on the agent's side: final admission, queueing and execution.

Entries send calls over their streams; this module queues them, runs them on
the executor and streams the answers back. It owns no socket: messages come
in through ``receive`` and go out through the ``send`` function of each
attached entry. Not thread-safe: all methods run in one event loop.
"""

import asyncio
import bisect
import collections
from collections.abc import Callable
import functools
import math
from typing import Final

from absl import logging

from borageshelf.agent import held_calls
from borageshelf import errors
from borageshelf import loop
from borageshelf.ports import executor as executor_interface
from borageshelf.protocol import inner_pb2
from borageshelf.protocol import limits

TICK_MS: Final = 20
IDLE_TICK_MS: Final = 1_000
# Call ids are kept for this long after the deadline of their call. A repeated
# message that arrives later is refused because its deadline has passed; the
# margin is the bound on clock skew.
CALL_ID_MARGIN_MS: Final = 2_000
# Expired call ids are searched for once a second, not in each tick.
EXPIRY_INTERVAL_MS: Final = 1_000
# Lifetime of the tombstone of a cancellation that carries no deadline.
TOMBSTONE_LIFETIME_MS: Final = 600_000
# Bounds the memory that a burst of cancellations can use: beyond this many
# tombstones, a cancellation of an unknown call is not answered.
TOMBSTONES_LIMIT: Final = 65_536
LATENCY_SAMPLES_LIMIT: Final = 2_000
# The control loop of batch work acts on the p99, so the window must be short
# enough to show the effect of an action and long enough to yield a p99.
LATENCY_WINDOW_MS: Final = 5_000
MIN_SAMPLES_FOR_P99: Final = 20

Send = Callable[[inner_pb2.AgentMessage], None]


class AgentCalls:
    """Queue and execution of the calls of one target.

    Use from the agent process:

    * ``attach(entry_id, send)`` when a stream to an entry opens and
      ``detach(entry_id)`` when it breaks. ``send`` queues one
      ``AgentMessage`` on the stream and returns at once.
    * ``receive(entry_id, message)`` for each ``EntryMessage`` whose kind is
      ``call``, ``call_cancel`` or ``call_credit``; others are ignored.
    * ``measure_load()`` for the fields of each ``Report``.
    * ``serve()`` as a background task; it calls ``tick()`` at intervals.
    * ``drain(deadline_ms)`` on a planned stop, after a report with the
      leaving flag has been sent.

    Guarantees: at most ``slots`` calls run, and at most ``connections`` are
    queued or running; a call is started at most once and never after its
    deadline; ``ran`` is False in a ``CallEnd`` only if the call has not
    started and never will.

    :ivar leaving: whether new calls are refused because of a planned stop
    :param clock: returns the wall-clock time in Unix milliseconds
    """

    def __init__(
        self,
        executor: executor_interface.Executor,
        slots: int,
        connections: int,
        clock: Callable[[], int],
    ) -> None:
        self.leaving = False
        self._executor = executor
        self._slots = slots
        self._connections = connections
        self._clock = clock
        self._senders: dict[str, Send] = {}
        self._queue: list[held_calls.HeldCall] = []
        self._held: dict[str, held_calls.HeldCall] = {}
        self._running_count = 0
        self._started_expiry_ms: dict[str, int] = {}
        self._tombstone_expiry_ms: dict[str, int] = {}
        self._next_expiry_at_ms = 0
        self._latency_samples: collections.deque[tuple[int, float]] = (
            collections.deque(maxlen=LATENCY_SAMPLES_LIMIT)
        )
        self._idle = asyncio.Event()
        self._idle.set()
        self._call_arrived = asyncio.Event()

    def attach(self, entry_id: str, send: Send) -> None:
        """Register the stream to an entry; it replaces an earlier stream."""
        if entry_id in self._senders:
            self.detach(entry_id)
        self._senders[entry_id] = send

    def detach(self, entry_id: str) -> None:
        """Remove the stream to an entry.

        Its queued calls are dropped, because their answers cannot be
        delivered. Running calls continue to their end, so that none of them
        takes effect only in part.
        """
        self._senders.pop(entry_id, None)
        calls = [
            held for held in self._held.values() if held.entry_id == entry_id
        ]
        for held in calls:
            if held.task is None:
                self._remove(held)
            else:
                self._discard_output(held)

    def receive(self, entry_id: str, message: inner_pb2.EntryMessage) -> None:
        """Handle one message of an entry."""
        match message.WhichOneof('kind'):
            case 'call':
                self._receive_call(entry_id, message.call)
            case 'call_cancel':
                self._receive_cancel(entry_id, message.call_cancel)
            case 'call_credit':
                self._receive_credit(message.call_credit)

    def measure_load(self) -> held_calls.CallLoad:
        """Return the load and the latency for the next report.

        The p99 is 0 while the window holds too few samples.
        """
        window_start_ms = self._clock() - LATENCY_WINDOW_MS
        while (
            self._latency_samples
            and self._latency_samples[0][0] < window_start_ms
        ):
            self._latency_samples.popleft()
        samples = sorted(sample for _, sample in self._latency_samples)
        p99_ms = 0.0
        if len(samples) >= MIN_SAMPLES_FOR_P99:
            p99_ms = samples[math.ceil(len(samples) * 0.99) - 1]
        return held_calls.CallLoad(
            len(self._queue), self._running_count, p99_ms, self.leaving
        )

    def tick(self) -> None:
        """Refuse queued calls past their deadline; remove expired ids."""
        now_ms = self._clock()
        expired = [
            held for held in self._queue if held.call.deadline_ms <= now_ms
        ]
        for held in expired:
            self._refuse(held, errors.DEADLINE_PASSED)
        if now_ms < self._next_expiry_at_ms:
            return
        self._next_expiry_at_ms = now_ms + EXPIRY_INTERVAL_MS
        for expiries in (self._started_expiry_ms, self._tombstone_expiry_ms):
            old = [
                key
                for key, expiry_ms in expiries.items()
                if expiry_ms < now_ms
            ]
            for key in old:
                del expiries[key]

    async def serve(self) -> None:
        """Call ``tick`` until cancelled, less often without any call."""
        while True:
            if not self._held:
                await loop.wait_for_event(self._call_arrived, IDLE_TICK_MS)
            self._call_arrived.clear()
            await asyncio.sleep(TICK_MS / 1000)
            self.tick()

    async def drain(self, deadline_ms: int) -> bool:
        """Refuse new calls and wait until the held ones have ended.

        Calls that are still queued at the deadline are refused and reported
        as not run. Those that still run are cancelled, and their outcome is
        reported as unknown.

        :return: whether every call ended before the deadline
        """
        self.leaving = True
        remaining_ms = max(deadline_ms - self._clock(), 0)
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                await self._idle.wait()
        except TimeoutError:
            logging.warning(
                'drain deadline passed with %d calls; queued ones are refused,'
                ' running ones are cancelled',
                len(self._held),
            )
        is_finished = not self._held
        for held in list(self._held.values()):
            if held.task is None:
                self._refuse(held, errors.LEAVING)
            else:
                held.task.cancel()
        # Lets the callbacks of the cancelled calls run; they send the ends.
        await asyncio.sleep(0)
        return is_finished

    def _receive_call(self, entry_id: str, call: inner_pb2.Call) -> None:
        if (
            call.call_id in self._held
            or call.call_id in self._started_expiry_ms
        ):
            # A repeated message; the answer to the first one is enough.
            return
        self._call_arrived.set()
        held = held_calls.HeldCall(entry_id, call)
        if refusal := self._find_refusal(call):
            self._send_refusal(held, refusal)
            return
        if len(self._held) >= self._connections:
            last = self._queue[-1] if self._queue else None
            if last is None or last.rank <= held.rank:
                self._send_refusal(held, errors.OVERLOADED)
                return
            self._refuse(last, errors.OVERLOADED)
        self._held[call.call_id] = held
        self._idle.clear()
        bisect.insort(self._queue, held, key=lambda other: other.rank)
        self._start_calls()

    def _find_refusal(self, call: inner_pb2.Call) -> errors.ResultCode | None:
        if call.call_id in self._tombstone_expiry_ms:
            return errors.CANCELLED
        if call.deadline_ms <= self._clock():
            return errors.DEADLINE_PASSED
        if self.leaving:
            return errors.LEAVING
        return None

    def _receive_cancel(
        self, entry_id: str, cancel: inner_pb2.CallCancel
    ) -> None:
        held = self._held.get(cancel.call_id)
        if held is None:
            self._cancel_unknown(entry_id, cancel)
        elif held.task is None:
            self._refuse(held, errors.CANCELLED)
        elif held.call.idempotent:
            held.task.cancel()
        else:
            # Cancelling it while it runs would leave its effect unknown.
            self._discard_output(held)

    def _cancel_unknown(
        self, entry_id: str, cancel: inner_pb2.CallCancel
    ) -> None:
        """Add a tombstone for a call that has not arrived yet."""
        now_ms = self._clock()
        deadline_ms = cancel.deadline_ms or now_ms + TOMBSTONE_LIFETIME_MS
        is_expired = deadline_ms + CALL_ID_MARGIN_MS < now_ms
        if cancel.call_id in self._started_expiry_ms or is_expired:
            # The call has started already, or is so old that its id may have
            # been removed, so it cannot be reported as not run.
            return
        if len(self._tombstone_expiry_ms) >= TOMBSTONES_LIMIT:
            return
        call = inner_pb2.Call(call_id=cancel.call_id, deadline_ms=deadline_ms)
        held = held_calls.HeldCall(entry_id, call)
        self._send_refusal(held, errors.CANCELLED)

    def _receive_credit(self, credit: inner_pb2.CallCredit) -> None:
        held = self._held.get(credit.call_id)
        if held is not None:
            held.window_bytes += credit.window_bytes
            held.credit_changed.set()

    def _start_calls(self) -> None:
        while self._queue and self._running_count < self._slots:
            held = self._queue.pop(0)
            if held.call.deadline_ms <= self._clock():
                self._refuse(held, errors.DEADLINE_PASSED)
                continue
            self._running_count += 1
            call = held.call
            self._started_expiry_ms[call.call_id] = (
                call.deadline_ms + CALL_ID_MARGIN_MS
            )
            held.started_at_ms = self._clock()
            held.task = asyncio.get_running_loop().create_task(self._run(held))
            held.task.add_done_callback(functools.partial(self._finish, held))

    async def _run(self, held: held_calls.HeldCall) -> held_calls.Ending:
        held.is_started = True
        try:
            return await self._execute(held)
        except errors.BorageshelfError as error:
            ran = error.code.category is not errors.Category.NOT_RUN
            return held_calls.Ending(error.code, ran, error.detail)
        except Exception as error:
            logging.exception(
                'call %s failed unexpectedly; its outcome is unknown',
                held.call.call_id,
            )
            detail = type(error).__name__
            return held_calls.Ending(errors.OUTCOME_UNKNOWN, True, detail)

    async def _execute(self, held: held_calls.HeldCall) -> held_calls.Ending:
        call = held.call
        request = executor_interface.CallRequest(
            call.call_id, call.service, call.deadline_ms, call.body
        )

        async def send_chunks(data: bytes) -> None:
            await self._send_chunks(held, data)

        status = await self._executor.call(request, send_chunks)
        code = errors.find(status.code)
        ran = status.ran or code is errors.OK
        return held_calls.Ending(code, ran, status.detail)

    async def _send_chunks(
        self, held: held_calls.HeldCall, data: bytes
    ) -> None:
        """Send data within the flow-control window; wait for more credit.

        A discarded chunk is counted, so that the number of chunks in the
        ``CallEnd`` shows that the answer is incomplete.
        """
        rest = memoryview(data)
        while rest:
            if held.window_bytes <= 0:
                if held.discards_output:
                    held.chunk_count += 1
                    return
                held.credit_changed.clear()
                await held.credit_changed.wait()
                continue
            size = min(len(rest), held.window_bytes, limits.CHUNK_LIMIT_BYTES)
            chunk = inner_pb2.CallChunk(
                call_id=held.call.call_id,
                sequence=held.chunk_count,
                data=bytes(rest[:size]),
            )
            held.window_bytes -= size
            held.chunk_count += 1
            rest = rest[size:]
            self._send(held, inner_pb2.AgentMessage(call_chunk=chunk))

    def _finish(
        self, held: held_calls.HeldCall, task: asyncio.Task[held_calls.Ending]
    ) -> None:
        """Release the slot and send the end of a call.

        A callback of the task and not part of it, because a task that is
        cancelled before its first step executes none of its own code.
        """
        self._running_count -= 1
        self._remove(held)
        if not task.cancelled():
            ending = task.result()
        elif held.is_started:
            ending = held_calls.Ending(
                errors.STOPPED, True, 'call was cancelled by the agent'
            )
        else:
            ending = held_calls.Ending(errors.CANCELLED, False, '')
        service_ms = max(self._clock() - held.started_at_ms, 0)
        if ending.code is errors.OK:
            self._latency_samples.append((self._clock(), service_ms))
        ran = ending.ran or held.chunk_count > 0
        self._send_end(held, ending.code, ran, ending.detail, service_ms)
        self._start_calls()

    def _refuse(
        self, held: held_calls.HeldCall, code: errors.ResultCode
    ) -> None:
        """End a call that has not started."""
        self._remove(held)
        self._send_refusal(held, code)

    def _send_refusal(
        self, held: held_calls.HeldCall, code: errors.ResultCode
    ) -> None:
        """Report that a call has not started and never will.

        The tombstone keeps this true if the request arrives later or again.
        """
        call = held.call
        self._tombstone_expiry_ms[call.call_id] = (
            call.deadline_ms + CALL_ID_MARGIN_MS
        )
        self._send_end(held, code, ran=False)

    def _remove(self, held: held_calls.HeldCall) -> None:
        self._held.pop(held.call.call_id, None)
        if held in self._queue:
            self._queue.remove(held)
        if not self._held:
            self._idle.set()

    def _discard_output(self, held: held_calls.HeldCall) -> None:
        """Let a call run to its end and discard the rest of its answer."""
        held.discards_output = True
        held.credit_changed.set()

    def _send_end(
        self,
        held: held_calls.HeldCall,
        code: errors.ResultCode,
        ran: bool,
        detail: str = '',
        service_ms: float = 0.0,
    ) -> None:
        end = inner_pb2.CallEnd(
            call_id=held.call.call_id,
            code=code.number,
            chunks=held.chunk_count,
            detail=detail,
            ran=ran,
            held_calls=len(self._held),
            service_ms=service_ms,
        )
        self._send(held, inner_pb2.AgentMessage(call_end=end))

    def _send(
        self, held: held_calls.HeldCall, message: inner_pb2.AgentMessage
    ) -> None:
        send = self._senders.get(held.entry_id)
        if send is not None:
            send(message)
