"""Calls on the agent's side: the last admission decision and execution.

Entries send calls over their streams; this module queues them, runs them on
the executor and streams the answers back. It owns no socket: messages come
in through ``receive`` and go out through the ``send`` function of each
attached entry. It may assume one event loop and one thread.
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
# Ids of calls are remembered for this long after the deadline. A repeat that
# arrives later is refused because of its deadline; the margin is the bound
# on clock skew.
MEMORY_MARGIN_MS: Final = 2_000
# The remembered ids are looked through once a second, not in each tick.
FORGET_INTERVAL_MS: Final = 1_000
# A cancellation without a deadline keeps its tombstone this long.
TOMBSTONE_MS: Final = 600_000
# Beyond this many tombstones a cancellation gets no proof, so that a burst
# cannot exhaust the memory.
TOMBSTONES_LIMIT: Final = 65_536
SAMPLES_LIMIT: Final = 2_000
# The control of batch work acts on the p99, so the window must be short
# enough to show its effect and long enough for a p99.
SAMPLE_WINDOW_MS: Final = 5_000
FEWEST_SAMPLES: Final = 20

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
    * ``drain(deadline_ms)`` on a planned stop, after the report with the
      leaving flag.

    Guarantees: at most ``slots`` calls run and at most ``connections`` are
    held; a call is started at most once and never after its deadline;
    ``ran`` is False in a ``CallEnd`` only if the call has not started and
    never will.

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
        self._sends: dict[str, Send] = {}
        self._queue: list[held_calls.HeldCall] = []
        self._held: dict[str, held_calls.HeldCall] = {}
        self._running = 0
        self._started: dict[str, int] = {}
        self._tombstones: dict[str, int] = {}
        self._forget_at_ms = 0
        self._samples: collections.deque[tuple[int, float]] = (
            collections.deque(maxlen=SAMPLES_LIMIT)
        )
        self._idle = asyncio.Event()
        self._idle.set()
        self._wakeup = asyncio.Event()

    def attach(self, entry_id: str, send: Send) -> None:
        """Register the stream to an entry; a new one replaces the old."""
        if entry_id in self._sends:
            self.detach(entry_id)
        self._sends[entry_id] = send

    def detach(self, entry_id: str) -> None:
        """Drop the stream to an entry.

        Its waiting calls are dropped, because nobody can receive their
        answers. Running calls continue, so that their effect is whole.
        """
        self._sends.pop(entry_id, None)
        mine = [
            held for held in self._held.values() if held.entry_id == entry_id
        ]
        for held in mine:
            if held.task is None:
                self._drop(held)
            else:
                self._discard(held)

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
        """Return the figures for the next report."""
        since_ms = self._clock() - SAMPLE_WINDOW_MS
        while self._samples and self._samples[0][0] < since_ms:
            self._samples.popleft()
        samples = sorted(sample for _, sample in self._samples)
        p99_ms = 0.0
        if len(samples) >= FEWEST_SAMPLES:
            p99_ms = samples[math.ceil(len(samples) * 0.99) - 1]
        return held_calls.CallLoad(
            len(self._queue), self._running, p99_ms, self.leaving
        )

    def tick(self) -> None:
        """Refuse waiting calls past their deadline; forget old ids."""
        now_ms = self._clock()
        late = [
            held for held in self._queue if held.call.deadline_ms <= now_ms
        ]
        for held in late:
            self._refuse(held, errors.DEADLINE_PASSED)
        if now_ms < self._forget_at_ms:
            return
        self._forget_at_ms = now_ms + FORGET_INTERVAL_MS
        for memory in (self._started, self._tombstones):
            old = [
                key for key, until_ms in memory.items() if until_ms < now_ms
            ]
            for key in old:
                del memory[key]

    async def serve(self) -> None:
        """Call ``tick`` until cancelled; seldom while there is no call."""
        while True:
            if not self._held:
                await loop.wait_for_event(self._wakeup, IDLE_TICK_MS)
            self._wakeup.clear()
            await asyncio.sleep(TICK_MS / 1000)
            self.tick()

    async def drain(self, deadline_ms: int) -> bool:
        """Refuse new calls and wait until the held ones have ended.

        Calls that still wait at the deadline are refused with proof; those
        that still run are cut off and reported as unknown.

        :return: whether every call ended in time
        """
        self.leaving = True
        remaining_ms = max(deadline_ms - self._clock(), 0)
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                await self._idle.wait()
        except TimeoutError:
            logging.warning(
                '%d calls have not ended at the drain deadline',
                len(self._held),
            )
        finished = not self._held
        for held in list(self._held.values()):
            if held.task is None:
                self._refuse(held, errors.LEAVING)
            else:
                held.task.cancel()
        # The ends of the cut calls are sent by their callbacks.
        await asyncio.sleep(0)
        return finished

    def _receive_call(self, entry_id: str, call: inner_pb2.Call) -> None:
        if call.call_id in self._held or call.call_id in self._started:
            # A repeated message: the first one is answered.
            return
        self._wakeup.set()
        held = held_calls.HeldCall(entry_id, call)
        if refusal := self._find_refusal(call):
            self._send_refusal(held, refusal)
            return
        if len(self._held) >= self._connections:
            displaced = self._queue[-1] if self._queue else None
            if displaced is None or displaced.rank <= held.rank:
                self._send_refusal(held, errors.OVERLOADED)
                return
            self._refuse(displaced, errors.OVERLOADED)
        self._held[call.call_id] = held
        self._idle.clear()
        bisect.insort(self._queue, held, key=lambda other: other.rank)
        self._start_calls()

    def _find_refusal(self, call: inner_pb2.Call) -> errors.ResultCode | None:
        if call.call_id in self._tombstones:
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
            self._bury(entry_id, cancel)
        elif held.task is None:
            self._refuse(held, errors.CANCELLED)
        elif held.call.idempotent:
            held.task.cancel()
        else:
            # Stopping it half way would leave its effect unknown.
            self._discard(held)

    def _bury(self, entry_id: str, cancel: inner_pb2.CallCancel) -> None:
        """Record that a call which has not arrived must never start."""
        now_ms = self._clock()
        deadline_ms = cancel.deadline_ms or now_ms + TOMBSTONE_MS
        is_old = deadline_ms + MEMORY_MARGIN_MS < now_ms
        if cancel.call_id in self._started or is_old:
            # It has ended, or is too old to tell.
            return
        if len(self._tombstones) >= TOMBSTONES_LIMIT:
            return
        call = inner_pb2.Call(call_id=cancel.call_id, deadline_ms=deadline_ms)
        held = held_calls.HeldCall(entry_id, call)
        self._send_refusal(held, errors.CANCELLED)

    def _receive_credit(self, credit: inner_pb2.CallCredit) -> None:
        held = self._held.get(credit.call_id)
        if held is not None:
            held.window_bytes += credit.window_bytes
            held.credit.set()

    def _start_calls(self) -> None:
        while self._queue and self._running < self._slots:
            held = self._queue.pop(0)
            if held.call.deadline_ms <= self._clock():
                self._refuse(held, errors.DEADLINE_PASSED)
                continue
            self._running += 1
            call = held.call
            self._started[call.call_id] = call.deadline_ms + MEMORY_MARGIN_MS
            held.started_at_ms = self._clock()
            held.task = asyncio.get_running_loop().create_task(self._run(held))
            held.task.add_done_callback(functools.partial(self._finish, held))

    async def _run(self, held: held_calls.HeldCall) -> held_calls.Ending:
        held.begun = True
        try:
            return await self._execute(held)
        except errors.BorageshelfError as error:
            ran = error.code.category is not errors.Category.NOT_RUN
            return held_calls.Ending(error.code, ran, error.detail)
        except Exception as error:
            logging.exception('call %s failed', held.call.call_id)
            detail = type(error).__name__
            return held_calls.Ending(errors.OUTCOME_UNKNOWN, True, detail)

    async def _execute(self, held: held_calls.HeldCall) -> held_calls.Ending:
        call = held.call
        request = executor_interface.CallRequest(
            call.call_id, call.service, call.deadline_ms, call.body
        )

        async def pass_chunk(data: bytes) -> None:
            await self._pass_chunk(held, data)

        status = await self._executor.call(request, pass_chunk)
        code = errors.find(status.code)
        ran = status.ran or code is errors.OK
        return held_calls.Ending(code, ran, status.detail)

    async def _pass_chunk(
        self, held: held_calls.HeldCall, data: bytes
    ) -> None:
        """Send data as credits allow; waits for more if they are used up.

        A discarded chunk counts, so that the end shows the answer as
        incomplete.
        """
        rest = memoryview(data)
        while rest:
            if held.window_bytes <= 0:
                if held.discards:
                    held.chunks += 1
                    return
                held.credit.clear()
                await held.credit.wait()
                continue
            size = min(len(rest), held.window_bytes, limits.CHUNK_LIMIT_BYTES)
            chunk = inner_pb2.CallChunk(
                call_id=held.call.call_id,
                sequence=held.chunks,
                data=bytes(rest[:size]),
            )
            held.window_bytes -= size
            held.chunks += 1
            rest = rest[size:]
            self._send(held, inner_pb2.AgentMessage(call_chunk=chunk))

    def _finish(
        self, held: held_calls.HeldCall, task: asyncio.Task[held_calls.Ending]
    ) -> None:
        """Release the slot and send the end of a call.

        Runs as the task's callback: a task that is cancelled before its
        first step executes none of its own code.
        """
        self._running -= 1
        self._drop(held)
        if not task.cancelled():
            ending = task.result()
        elif held.begun:
            ending = held_calls.Ending(
                errors.STOPPED, True, 'stopped by the agent'
            )
        else:
            ending = held_calls.Ending(errors.CANCELLED, False, '')
        service_ms = max(self._clock() - held.started_at_ms, 0)
        if ending.code is errors.OK:
            self._samples.append((self._clock(), service_ms))
        ran = ending.ran or held.chunks > 0
        self._send_end(held, ending.code, ran, ending.detail, service_ms)
        self._start_calls()

    def _refuse(
        self, held: held_calls.HeldCall, code: errors.ResultCode
    ) -> None:
        """End a call that has not started."""
        self._drop(held)
        self._send_refusal(held, code)

    def _send_refusal(
        self, held: held_calls.HeldCall, code: errors.ResultCode
    ) -> None:
        """State that a call has not started and never will.

        The tombstone makes this true if the request arrives (again) later.
        """
        call = held.call
        self._tombstones[call.call_id] = call.deadline_ms + MEMORY_MARGIN_MS
        self._send_end(held, code, ran=False)

    def _drop(self, held: held_calls.HeldCall) -> None:
        self._held.pop(held.call.call_id, None)
        if held in self._queue:
            self._queue.remove(held)
        if not self._held:
            self._idle.set()

    def _discard(self, held: held_calls.HeldCall) -> None:
        """Let a call run on without waiting for its reader."""
        held.discards = True
        held.credit.set()

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
            chunks=held.chunks,
            detail=detail,
            ran=ran,
            held_calls=len(self._held),
            service_ms=service_ms,
        )
        self._send(held, inner_pb2.AgentMessage(call_end=end))

    def _send(
        self, held: held_calls.HeldCall, message: inner_pb2.AgentMessage
    ) -> None:
        send = self._sends.get(held.entry_id)
        if send is not None:
            send(message)
