"""Virtual worker: the worker interface over simulated work.

Implements ``borageshelf.ports.worker.Worker`` and enforces the leases. It
does not refuse tasks that exceed its capacity but records them in the audit,
so that a test detects a scheduler that overcommits a VM.
"""

from collections import abc
import dataclasses
from typing import Final, TypeVar
import uuid

import msgspec

from borageshelf import errors
from borageshelf.model import resources
from borageshelf.ports import worker as worker_interface
from standins import audits
from standins import clocks
from standins import faults
from standins import timeline

CHECKPOINT_PREFIX: Final = 'progress-ms:'
# Run time until a task fails on a worker that fails all tasks.
FAILURE_DELAY_MS: Final = 10

Result = TypeVar('Result')


class TaskPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The JSON document in the arguments of a task.

    :param run_ms: total work, as run time at full speed
    :param fail: whether the task fails at its end
    :param used_millicores: actual use; negative for the declared size
    :param used_memory_mb: actual use; negative for the declared size
    :param noise: relative slowdown of executors on its VM, 0 for none
    :param can_checkpoint: False makes every checkpoint empty
    """

    run_ms: int = 1_000
    result: str = ''
    fail: bool = False
    used_millicores: int = -1
    used_memory_mb: int = -1
    noise: float = 0.0
    can_checkpoint: bool = True


class WorkerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Size and behaviour of the worker.

    :param fail_starts: '' starts tasks normally; 'refuse' refuses each start;
        'fail' accepts it and lets the task fail
    :param usage_lag_ms: age of the newest usage report
    """

    name: str = 'worker'
    rack: str = 'rack-1'
    capacity: resources.Resources = resources.Resources(60_000, 250_000, 0)
    fail_starts: str = ''
    usage_lag_ms: int = 2_000


class VirtualWorker:
    """The simulated worker.

    :param on_audit: called when an interval starts and when it ends
    """

    def __init__(
        self,
        settings: WorkerSettings,
        clock: clocks.Clock | None = None,
        seed: int = 0,
        on_audit: abc.Callable[[audits.Interval], None] | None = None,
    ) -> None:
        self.settings = settings
        self._clock = clock or clocks.SystemClock()
        self.fault_injector = faults.FaultInjector(
            self._clock,
            seed,
            errors.WORKER_UNAVAILABLE,
            errors.WORKER_UNAVAILABLE,
        )
        self._boot_id = uuid.uuid4().hex
        self._timeline = timeline.Timeline(
            settings.capacity,
            settings.usage_lag_ms,
            self._clock.read_ms(),
            on_audit or (lambda interval: None),
        )

    @property
    def audit(self) -> abc.Sequence[audits.Interval]:
        """All intervals in which an attempt ran or runs."""
        self.advance_to_now()
        return self._timeline.audit

    async def describe(self) -> worker_interface.WorkerDescription:
        """Return identity and capacity."""
        await self.fault_injector.admit('describe', False)
        return worker_interface.WorkerDescription(
            self._boot_id, self.settings.capacity, self.settings.rack
        )

    async def list(self) -> tuple[worker_interface.WorkerTask, ...]:
        """Return all attempts that have not been released."""
        await self.fault_injector.admit('list', False)
        self.advance_to_now()
        return tuple(map(_describe, self._timeline.attempts.values()))

    async def start(self, request: worker_interface.StartRequest) -> None:
        """Start an attempt; a repeat has no effect."""
        await self._apply_change('start', lambda: self._start(request))

    async def renew(
        self, task_id: str, attempt: int, lease_deadline_ms: int
    ) -> None:
        """Extend a running task's lease; an earlier deadline has no effect."""

        def apply() -> None:
            found = self._find_running(task_id, attempt)
            found.lease_deadline_ms = max(
                found.lease_deadline_ms, lease_deadline_ms
            )

        await self._apply_change('renew', apply)

    async def throttle(
        self, task_id: str, attempt: int, fraction: float
    ) -> None:
        """Limit the task to a fraction of its processors."""

        def apply() -> None:
            if not 0 <= fraction <= 1:
                raise _make_refusal(f'fraction {fraction} is not from 0 to 1')
            self._find_running(task_id, attempt).throttle = fraction

        await self._apply_change('throttle', apply)

    async def checkpoint(
        self, task_id: str, attempt: int
    ) -> worker_interface.Checkpoint:
        """Save the progress of a running task."""

        def apply() -> worker_interface.Checkpoint:
            found = self._find_running(task_id, attempt)
            if found.can_checkpoint:
                found.checkpoint = f'{CHECKPOINT_PREFIX}{int(found.done_ms)}'
            return worker_interface.Checkpoint(found.checkpoint)

        return await self._apply_change('checkpoint', apply)

    async def stop(
        self, task_id: str, attempt: int
    ) -> worker_interface.StopResult:
        """Stop an attempt; one that has ended keeps its state and result."""

        def apply() -> worker_interface.StopResult:
            found = self._find(task_id, attempt)
            if found.state is timeline.State.RUNNING:
                self._timeline.stop(found, 'stopped')
            return worker_interface.StopResult(found.state, found.result)

        return await self._apply_change('stop', apply)

    async def release(self, task_id: str, attempt: int) -> None:
        """Forget an attempt that does not run."""

        def apply() -> None:
            found = self._timeline.attempts.get((task_id, attempt))
            if found is None:
                return
            if found.state is timeline.State.RUNNING:
                raise _make_refusal(f'{task_id} attempt {attempt} is running')
            del self._timeline.attempts[task_id, attempt]

        await self._apply_change('release', apply)

    async def usage(self) -> tuple[worker_interface.UsageSample, ...]:
        """Return the newest samples that are as old as the usage lag."""
        await self.fault_injector.admit('usage', False)
        self.advance_to_now()
        return self._timeline.read_samples()

    def measure_noise(self) -> float:
        """Return the noise of all running tasks, reduced by throttling."""
        self.advance_to_now()
        return sum(
            attempt.noise * attempt.throttle
            for attempt in self._timeline.find_running()
        )

    def replace(self) -> None:
        """Replace the VM: all its attempts end and are forgotten."""
        self.advance_to_now()
        self._timeline.clear('VM replaced')
        self._boot_id = uuid.uuid4().hex

    def advance_to_now(self) -> None:
        """Simulate all events up to the present."""
        self._timeline.advance_to(self._clock.read_ms())

    async def _apply_change(
        self, method: str, apply: abc.Callable[[], Result]
    ) -> Result:
        def advance_and_apply() -> Result:
            self.advance_to_now()
            return apply()

        await self.fault_injector.admit(method, True)
        return self.fault_injector.apply(advance_and_apply)

    def _start(self, request: worker_interface.StartRequest) -> None:
        if (request.task_id, request.attempt) in self._timeline.attempts:
            return
        now_ms = self._timeline.now_ms
        if request.lease_deadline_ms <= now_ms:
            raise _make_refusal('the lease deadline has passed')
        if self.settings.fail_starts == 'refuse':
            raise _make_refusal('the worker refuses every start')
        self._timeline.start(
            _make_attempt(request, self.settings, _read_plan(request), now_ms)
        )

    def _find(self, task_id: str, attempt: int) -> timeline.Attempt:
        found = self._timeline.attempts.get((task_id, attempt))
        if found is None:
            raise _make_refusal(f'{task_id} attempt {attempt} is not known')
        return found

    def _find_running(self, task_id: str, attempt: int) -> timeline.Attempt:
        found = self._find(task_id, attempt)
        if found.state is not timeline.State.RUNNING:
            raise _make_refusal(f'{task_id} attempt {attempt} does not run')
        return found


def _make_refusal(detail: str) -> errors.BorageshelfError:
    return errors.BorageshelfError(errors.WORKER_REFUSED, detail)


def _read_plan(request: worker_interface.StartRequest) -> TaskPlan:
    if not request.arguments:
        return TaskPlan()
    try:
        return msgspec.json.decode(request.arguments, type=TaskPlan)
    except msgspec.MsgspecError as error:
        raise _make_refusal(
            f'arguments of {request.task_id}: {error}'
        ) from error


def _make_attempt(
    request: worker_interface.StartRequest,
    settings: WorkerSettings,
    plan: TaskPlan,
    now_ms: int,
) -> timeline.Attempt:
    used = _find_actual_use(request.declared, plan)
    done_ms = _read_progress_ms(request.checkpoint)
    interval = audits.Interval(
        worker=settings.name,
        task_id=request.task_id,
        attempt=request.attempt,
        family=request.family,
        declared=request.declared,
        used=used,
        start_ms=now_ms,
        work_from_ms=done_ms,
    )
    work_ms = plan.run_ms
    if settings.fail_starts:
        work_ms = min(work_ms, done_ms + FAILURE_DELAY_MS)
    return timeline.Attempt(
        request=request,
        interval=interval,
        used=used,
        work_ms=work_ms,
        done_ms=done_ms,
        will_fail=plan.fail or bool(settings.fail_starts),
        final_result=plan.result.encode(),
        noise=plan.noise,
        can_checkpoint=plan.can_checkpoint,
        lease_deadline_ms=request.lease_deadline_ms,
        checkpoint=request.checkpoint,
    )


def _find_actual_use(
    declared: resources.Resources, plan: TaskPlan
) -> resources.Resources:
    used = declared
    if plan.used_millicores >= 0:
        used = dataclasses.replace(
            used, processor_millicores=plan.used_millicores
        )
    if plan.used_memory_mb >= 0:
        used = dataclasses.replace(used, memory_mb=plan.used_memory_mb)
    return used


def _read_progress_ms(checkpoint: str) -> int:
    if not checkpoint:
        return 0
    text = checkpoint.removeprefix(CHECKPOINT_PREFIX)
    if text == checkpoint or not text.isdigit():
        raise _make_refusal(f'checkpoint {checkpoint!r} is not valid')
    return int(text)


def _describe(attempt: timeline.Attempt) -> worker_interface.WorkerTask:
    request = attempt.request
    return worker_interface.WorkerTask(
        request.task_id,
        request.attempt,
        request.owner,
        request.family,
        request.declared,
        attempt.state,
        attempt.lease_deadline_ms,
        attempt.result,
        attempt.checkpoint,
    )
