"""Virtual executor: answers the calls of a service after a simulated run.

Implements ``borageshelf.ports.executor.Executor`` with a bounded number
of slots, streamed answers, jitter that reorders the answers, injected faults,
and an audit of all executions of each call.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import random
from typing import Final

import msgspec

from borageshelf import errors
from borageshelf.ports import executor as executor_interface
from standins import clocks
from standins import faults

OnChunk = abc.Callable[[bytes], abc.Awaitable[None]]

CHUNK_BYTES: Final = 16_384


class CallPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The JSON document in the body of a call; other bodies are echoed.

    :param run_ms: time that the call occupies a slot before the answer starts
    :param answer_bytes: length of the answer; see ``make_answer``
    :param chunk_bytes: length of each chunk of the answer
    :param chunk_ms: pause before each further chunk
    :param fail: whether the call fails after its run time
    :param break_after_bytes: length after which the answer breaks off, -1 for
        never
    """

    run_ms: int
    answer_bytes: int = 0
    chunk_bytes: int = CHUNK_BYTES
    chunk_ms: int = 0
    fail: bool = False
    break_after_bytes: int = -1


class ExecutorSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Size and behaviour of the executor.

    :param jitter_ms: maximum of the random time that is added to each run
    """

    service: str = 'service'
    slots: int = 8
    connections: int = 60
    jitter_ms: int = 0


class Execution(msgspec.Struct, forbid_unknown_fields=True):
    """One execution of a call; ``end_ms`` is 0 until it ends."""

    call_id: str
    start_ms: int
    end_ms: int = 0


@dataclasses.dataclass(frozen=True)
class _Answer:
    body: bytes
    chunk_bytes: int
    chunk_ms: int
    break_after_bytes: int


class VirtualExecutor:
    """The simulated executor.

    :ivar noise: relative slowdown of its runs
    """

    def __init__(
        self,
        settings: ExecutorSettings,
        clock: clocks.Clock | None = None,
        seed: int = 0,
    ) -> None:
        self.settings = settings
        self.audit: list[Execution] = []
        self.peak_busy = 0
        # Set from the load of the worker on the same VM.
        self.noise = 0.0
        self._clock = clock or clocks.SystemClock()
        self.fault_injector = faults.FaultInjector(
            self._clock, seed, errors.NO_TARGET, errors.OUTCOME_UNKNOWN
        )
        self._random = random.Random(seed)
        self._slots = asyncio.Semaphore(settings.slots)
        self._busy_slots = 0
        self._late_runs: set[asyncio.Task[None]] = set()

    async def describe(self) -> executor_interface.ExecutorDescription:
        """Return the service and the limits of slots and connections."""
        await self.fault_injector.admit('describe', False)
        return executor_interface.ExecutorDescription(
            self.settings.service,
            self.settings.slots,
            self.settings.connections,
        )

    async def call(
        self, request: executor_interface.CallRequest, on_chunk: OnChunk
    ) -> executor_interface.CallStatus:
        """Run a call and pass the chunks of its answer on in order."""
        try:
            await self.fault_injector.admit('call', True)
        except errors.BorageshelfError as error:
            return _make_status(error.code, error.detail)
        if request.service != self.settings.service:
            return _make_status(errors.UNKNOWN_SERVICE, request.service)
        fate = self.fault_injector.draw_write_fate()
        if fate is faults.WriteFate.ANSWERED:
            return await self._run(request, on_chunk)
        if fate is faults.WriteFate.LOST_ANSWER:
            await self._run(request, _discard_chunk)
        if fate is faults.WriteFate.LATE:
            self._run_late(request)
        return _make_status(errors.OUTCOME_UNKNOWN, fate.value)

    def count_executions(self) -> dict[str, int]:
        """Return how often each call was executed."""
        counts: dict[str, int] = {}
        for item in self.audit:
            counts[item.call_id] = counts.get(item.call_id, 0) + 1
        return counts

    async def _run(
        self, request: executor_interface.CallRequest, on_chunk: OnChunk
    ) -> executor_interface.CallStatus:
        async with self._slots:
            # Checked once the slot is free, so that a call that waited past
            # its deadline is provably not run.
            now_ms = self._clock.read_ms()
            if now_ms >= request.deadline_ms:
                return _make_status(errors.DEADLINE_PASSED, request.call_id)
            execution = Execution(request.call_id, now_ms)
            self.audit.append(execution)
            with self._count_busy_slot():
                status = await self._execute(request, on_chunk)
            execution.end_ms = self._clock.read_ms()
            return status

    @contextlib.contextmanager
    def _count_busy_slot(self) -> abc.Iterator[None]:
        self._busy_slots += 1
        self.peak_busy = max(self.peak_busy, self._busy_slots)
        try:
            yield
        finally:
            self._busy_slots -= 1

    async def _execute(
        self, request: executor_interface.CallRequest, on_chunk: OnChunk
    ) -> executor_interface.CallStatus:
        plan = _read_plan(request.body)
        await self._clock.pause(self._draw_run_ms(plan))
        if plan is not None and plan.fail:
            return _make_status(errors.EXECUTOR_FAILED, request.call_id)
        answer = _make_planned_answer(request, plan)
        return await self._send(answer, on_chunk)

    def _draw_run_ms(self, plan: CallPlan | None) -> int:
        run_ms = plan.run_ms if plan is not None else 0
        jitter_ms = self._random.randint(0, self.settings.jitter_ms)
        return int(run_ms * (1 + self.noise)) + jitter_ms

    async def _send(
        self, answer: _Answer, on_chunk: OnChunk
    ) -> executor_interface.CallStatus:
        end = len(answer.body)
        if answer.break_after_bytes >= 0:
            end = min(end, answer.break_after_bytes)
        for start in range(0, end, answer.chunk_bytes):
            if start and answer.chunk_ms:
                await self._clock.pause(answer.chunk_ms)
            await on_chunk(
                answer.body[start : min(start + answer.chunk_bytes, end)]
            )
        if answer.break_after_bytes >= 0:
            return _make_status(errors.ANSWER_TRUNCATED, 'planned')
        return _make_status(errors.OK, '')

    def _run_late(self, request: executor_interface.CallRequest) -> None:
        delay_ms = self.fault_injector.plan.late_ms

        async def wait_and_run() -> None:
            await self._clock.pause(delay_ms)
            await self._run(request, _discard_chunk)

        task = asyncio.ensure_future(wait_and_run())
        self._late_runs.add(task)
        task.add_done_callback(self._late_runs.discard)


def make_answer(call_id: str, answer_bytes: int) -> bytes:
    """Return the answer of a planned call: its id, repeated and truncated.

    Readers can check that an answer is complete and belongs to their call.
    """
    unit = f'{call_id};'.encode()
    return (unit * (answer_bytes // len(unit) + 1))[:answer_bytes]


def _read_plan(body: bytes) -> CallPlan | None:
    try:
        return msgspec.json.decode(body, type=CallPlan)
    except msgspec.MsgspecError:
        return None


def _make_planned_answer(
    request: executor_interface.CallRequest, plan: CallPlan | None
) -> _Answer:
    if plan is None:
        return _Answer(request.body, CHUNK_BYTES, 0, -1)
    body = make_answer(request.call_id, plan.answer_bytes)
    return _Answer(
        body, plan.chunk_bytes, plan.chunk_ms, plan.break_after_bytes
    )


def _make_status(
    code: errors.ResultCode, detail: str
) -> executor_interface.CallStatus:
    has_run = code.category is not errors.Category.NOT_RUN
    return executor_interface.CallStatus(code.number, has_run, detail)


async def _discard_chunk(chunk: bytes) -> None:
    """Discard a chunk of an answer that is lost."""
