"""Starts and stops attempts through the worker of this VM.

``Reservations`` decides; this module carries its decisions out. Operations
on one attempt are serialised, because a stop must not reach the worker before
the start that it follows.
"""

import asyncio
from collections import abc
from typing import Final

from borageshelf.agent import reservations
from borageshelf import clock as clock_module
from borageshelf.decisions import preemption
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.model import resources
from borageshelf.ports import worker as worker_interface
from borageshelf.protocol import convert
from borageshelf.protocol import inner_pb2

RETRY_PAUSE_MS: Final = 200
# An attempt that has lasted longer is less likely to crash its worker.
YOUNG_ATTEMPT_MS: Final = 1_000
# Results are kept for a day in the shard's value of at most 1 MB. Callers keep
# larger results in their own storage.
RESULT_LIMIT_BYTES: Final = 16_384

_ENDED_STATES: Final = {
    worker_interface.TaskState.SUCCEEDED: reservations.HeldState.SUCCEEDED,
    worker_interface.TaskState.FAILED: reservations.HeldState.FAILED,
    worker_interface.TaskState.STOPPED: reservations.HeldState.STOPPED,
}


class TaskManager:
    """The attempts of one VM.

    :param ledger: capacity, grants and fencing
    :param on_ended: called with the status of each attempt that ends
    :param clock: returns the wall-clock time in Unix milliseconds
    :param clock_skew_ms: bound on the difference between two clocks
    :ivar objective: weights that choose the victims of a preemption
    :ivar start_speeds: for each attempt that was started with a part of its
        processors, that fraction; the control loop removes what it has read
    """

    def __init__(
        self,
        worker: worker_interface.Worker,
        ledger: reservations.Reservations,
        on_ended: abc.Callable[[inner_pb2.AttemptStatus], None],
        clock: clock_module.Clock,
        clock_skew_ms: int,
    ) -> None:
        self._worker = worker
        self.ledger = ledger
        self._on_ended = on_ended
        self._clock = clock
        self._clock_skew_ms = clock_skew_ms
        self.objective = objects.Objective()
        self.start_speeds: dict[reservations.AttemptKey, float] = {}
        self._listed_at_ms = 0
        self._locks: dict[reservations.AttemptKey, asyncio.Lock] = {}

    async def start(self, message: inner_pb2.Start) -> inner_pb2.StartAnswer:
        """Start an attempt, or refuse it permanently."""
        spec = convert.unpack_start(message)
        attempt = message.grant.attempt
        await self._make_room(spec)
        try:
            held = self.ledger.reserve(spec, self._clock())
        except errors.BorageshelfError as error:
            return inner_pb2.StartAnswer(
                attempt=attempt, code=error.code.number, detail=error.detail
            )
        if held is not None:
            async with self._lock(spec.key):
                await self._start_on_worker(spec, message)
        return inner_pb2.StartAnswer(attempt=attempt, code=errors.OK.number)

    async def stop(
        self, stop: inner_pb2.Stop
    ) -> inner_pb2.AttemptStatus | None:
        """Stop an attempt and return its final status.

        The status of an attempt that is not in the ledger is "never started",
        and a tombstone keeps it true.

        :return: None if the request comes from an earlier owner, or if it
            asks for unstarted attempts only and the attempt is in the ledger
        """
        attempt = stop.attempt
        key = reservations.AttemptKey(attempt.task_id, attempt.attempt)
        if not self.ledger.observe_epoch(attempt.shard, attempt.epoch):
            return None
        if self.ledger.find(key) is None:
            self.ledger.add_tombstone(key, self._clock())
            return inner_pb2.AttemptStatus(
                attempt=attempt, state=inner_pb2.ATTEMPT_NEVER_STARTED
            )
        if stop.only_unstarted:
            return None
        async with self._lock(key):
            held = self.ledger.find(key)
            if held is not None and held.is_active:
                await self._stop_on_worker(key, stop.checkpoint)
        held = self.ledger.find(key)
        return convert.pack_attempt_status(held) if held is not None else None

    async def renew(self, grants: abc.Iterable[inner_pb2.Grant]) -> None:
        """Extend grants and the worker's leases."""
        for grant in grants:
            attempt = grant.attempt
            key = reservations.AttemptKey(attempt.task_id, attempt.attempt)
            is_extended = self.ledger.renew(
                key, attempt.shard, attempt.epoch, grant.grant_deadline_ms
            )
            if not is_extended:
                continue
            try:
                await self._worker.renew(
                    key.task_id, key.attempt, grant.grant_deadline_ms
                )
            except errors.BorageshelfError:
                # The next renewal retries; the lease is long enough for it.
                continue

    async def release(self, attempt: inner_pb2.Attempt) -> None:
        """Remove an attempt whose end the owner has committed."""
        key = reservations.AttemptKey(attempt.task_id, attempt.attempt)
        if not self.ledger.release(key, attempt.shard, attempt.epoch):
            return
        self._locks.pop(key, None)
        self.start_speeds.pop(key, None)
        try:
            await self._worker.release(key.task_id, key.attempt)
        except errors.BorageshelfError:
            # The worker keeps the attempt. A restarted agent reports it, and
            # its owner releases it again.
            return

    async def throttle(
        self, attempt: inner_pb2.Attempt, fraction: float
    ) -> None:
        """Limit an attempt to a fraction of its processors, 0 to 1."""
        try:
            await self._worker.throttle(
                attempt.task_id, attempt.attempt, fraction
            )
        except errors.BorageshelfError:
            # The control loop repeats the request while it is needed.
            return

    async def poll(self) -> None:
        """Read from the worker which attempts have ended.

        Sends no request while no attempt runs.

        :raises BorageshelfError: ``WORKER_UNAVAILABLE``
        """
        # An attempt whose start is answered while the list request is pending
        # may be missing from the list, so only those that ran before it are
        # compared.
        running = [
            held.spec.key
            for held in self.ledger.list_held()
            if held.state is reservations.HeldState.RUNNING
        ]
        if not running:
            return
        listed = {
            reservations.AttemptKey(task.task_id, task.attempt): task
            for task in await self._worker.list()
        }
        blamed = self._find_blamed(
            [key for key in running if key not in listed]
        )
        self._listed_at_ms = self._clock()
        for key in running:
            async with self._lock(key):
                self._apply_listed(key, listed.get(key), key in blamed)

    def _find_blamed(
        self, vanished: abc.Sequence[reservations.AttemptKey]
    ) -> frozenset[reservations.AttemptKey]:
        """Return the attempts under which a worker's crash is counted.

        A worker that has crashed does not list its attempts any more. Those
        that had just started are blamed, or all if none had.
        """
        young = []
        for key in vanished:
            held = self.ledger.find(key)
            if held is not None and (
                self._listed_at_ms - held.started_at_ms <= YOUNG_ATTEMPT_MS
            ):
                young.append(key)
        return frozenset(young or vanished)

    def _apply_listed(
        self,
        key: reservations.AttemptKey,
        task: worker_interface.WorkerTask | None,
        is_blamed: bool,
    ) -> None:
        """End an attempt that the worker lists as ended or does not list.

        :param is_blamed: whether the attempt may have crashed the worker
        """
        held = self.ledger.find(key)
        if held is None or not held.is_active:
            return
        if task is None:
            self._end(
                key,
                reservations.HeldState.STOPPED,
                code=errors.TASK_CRASHES_WORKERS if is_blamed else None,
            )
        elif task.state in _ENDED_STATES:
            self._end(
                key, _ENDED_STATES[task.state], task.result, task.checkpoint
            )

    async def measure(self) -> None:
        """Read the latest usage of the active attempts.

        :raises BorageshelfError: ``WORKER_UNAVAILABLE``
        """
        if not any(held.is_active for held in self.ledger.list_held()):
            return
        for sample in await self._worker.usage():
            key = reservations.AttemptKey(sample.task_id, sample.attempt)
            held = self.ledger.find(key)
            if held is not None and held.is_active:
                self.ledger.update(
                    key, used=sample.used, peak=held.peak.maximum(sample.used)
                )

    async def _make_room(self, spec: reservations.AttemptSpec) -> None:
        """Preempt less urgent attempts if the new one does not fit."""
        free = self.ledger.compute_free_resources()
        is_known = self.ledger.find(spec.key) is not None
        if is_known or self.ledger.is_draining:
            return
        if spec.declared.fits_in(free):
            return
        if spec.epoch < self.ledger.find_epoch(spec.shard):
            return
        now_ms = self._clock()
        candidates = [
            preemption.Candidate(
                task_id=held.spec.key.task_id,
                urgency=held.spec.urgency,
                held=held.charged,
                is_movable=held.spec.idempotent,
                run_ms=max(now_ms - held.started_at_ms, 0),
            )
            for held in self.ledger.list_held()
            if held.state is reservations.HeldState.RUNNING
        ]
        victims = preemption.choose_victims(
            spec.declared, free, spec.urgency, candidates, self.objective
        )
        if not victims:
            return
        victim_ids = {victim.task_id for victim in victims}
        await asyncio.gather(
            *(
                self.evict(held.spec.key)
                for held in self.ledger.list_held()
                if held.spec.key.task_id in victim_ids and held.is_active
            )
        )

    async def evict(self, key: reservations.AttemptKey) -> None:
        """Checkpoint and stop an attempt, to be started again elsewhere."""
        async with self._lock(key):
            held = self.ledger.find(key)
            if held is not None and held.is_active:
                await self._stop_on_worker(key, wants_checkpoint=True)

    async def _start_on_worker(
        self, spec: reservations.AttemptSpec, message: inner_pb2.Start
    ) -> None:
        request = worker_interface.StartRequest(
            spec.key.task_id,
            spec.key.attempt,
            reservations.format_owner_reference(spec),
            spec.family,
            spec.declared,
            reservations.compute_first_lease_deadline_ms(spec, self._clock()),
            message.checkpoint,
            message.arguments,
        )
        try:
            await self._worker.start(request)
        except errors.BorageshelfError as error:
            if error.code is errors.WORKER_REFUSED:
                self._end(
                    spec.key,
                    reservations.HeldState.NEVER_STARTED,
                    code=error.code,
                )
                return
            if not await self._resolve_start(spec, request):
                return
        self.ledger.update(spec.key, state=reservations.HeldState.RUNNING)
        await self._extend_first_lease(spec.key)
        if 0 < message.speed < 1:
            self.start_speeds[spec.key] = message.speed
            await self.throttle(message.grant.attempt, message.speed)

    async def _extend_first_lease(self, key: reservations.AttemptKey) -> None:
        """Extend the short first lease to the end of the grant."""
        while True:
            held = self.ledger.find(key)
            if held is None or self._clock() >= held.grant_deadline_ms:
                return
            try:
                await self._worker.renew(
                    key.task_id, key.attempt, held.grant_deadline_ms
                )
                return
            except errors.BorageshelfError as error:
                if error.code is errors.WORKER_REFUSED:
                    # The attempt has ended; the next poll reads its state.
                    return
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def _resolve_start(
        self,
        spec: reservations.AttemptSpec,
        request: worker_interface.StartRequest,
    ) -> bool:
        """Tell whether a start without an answer took effect.

        The worker may still act on the request until the lease in it ends,
        so an unlisted attempt counts as never started only after that.
        """
        lease_ended_at_ms = request.lease_deadline_ms + self._clock_skew_ms
        while True:
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)
            now_ms = self._clock()
            try:
                tasks = await self._worker.list()
            except errors.BorageshelfError:
                continue
            keys = {(task.task_id, task.attempt) for task in tasks}
            if (spec.key.task_id, spec.key.attempt) in keys:
                return True
            if now_ms > lease_ended_at_ms:
                self._end(
                    spec.key,
                    reservations.HeldState.NEVER_STARTED,
                    code=errors.WORKER_UNAVAILABLE,
                )
                return False

    async def _stop_on_worker(
        self, key: reservations.AttemptKey, wants_checkpoint: bool
    ) -> None:
        reference = ''
        if wants_checkpoint:
            reference = await self._checkpoint(key)
        while True:
            try:
                result = await self._worker.stop(key.task_id, key.attempt)
                break
            except errors.BorageshelfError as error:
                if error.code is errors.WORKER_REFUSED:
                    self._end(key, reservations.HeldState.STOPPED)
                    return
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)
        state = _ENDED_STATES.get(result.state, reservations.HeldState.STOPPED)
        if state is reservations.HeldState.STOPPED and reference:
            state = reservations.HeldState.CHECKPOINTED
        self._end(key, state, result.result, reference)

    async def _checkpoint(self, key: reservations.AttemptKey) -> str:
        try:
            saved = await self._worker.checkpoint(key.task_id, key.attempt)
        except errors.BorageshelfError:
            # Without a new checkpoint, the task resumes from its last one.
            return ''
        return saved.reference

    def _end(
        self,
        key: reservations.AttemptKey,
        state: reservations.HeldState,
        result: bytes = b'',
        checkpoint: str = '',
        code: errors.ResultCode | None = None,
    ) -> None:
        if len(result) > RESULT_LIMIT_BYTES:
            state, result = reservations.HeldState.FAILED, b''
            code = errors.RESULT_TOO_LARGE
        held = self.ledger.update(
            key,
            state=state,
            result=result,
            checkpoint=checkpoint,
            code=code.number if code is not None else 0,
            used=resources.NOTHING,
        )
        if held is not None:
            self._on_ended(convert.pack_attempt_status(held))

    def _lock(self, key: reservations.AttemptKey) -> asyncio.Lock:
        return self._locks.setdefault(key, asyncio.Lock())
