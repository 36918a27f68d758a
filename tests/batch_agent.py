"""Fakes of a worker and a small driver of ``Reservations``.

The driver does what an agent process must do with its reservations and its
worker; it has no event loop, and requests to the worker can be held back,
also beyond the death of the agent that sent them.
"""

import collections
from collections import abc
import dataclasses
import itertools
from typing import Any

from borageshelf.agent import reservations
from borageshelf import errors
from borageshelf.model import resources
from borageshelf.platform import worker as worker_interface
from borageshelf.shards import effects
from borageshelf.shards import owner
from borageshelf.shards import transitions

Held = reservations.Held
HeldState = reservations.HeldState
Key = reservations.AttemptKey
RUNNING = worker_interface.TaskState.RUNNING

BOOTS = itertools.count(1)


class Violation(AssertionError):
    """A property that must always hold does not."""


@dataclasses.dataclass
class Execution:
    """One start of a task on a worker, as it really happened."""

    key: Key
    request: worker_interface.StartRequest
    target_id: str
    state: worker_interface.TaskState = RUNNING
    lease_deadline_ms: int = 0
    result: bytes = b''
    checkpoint: str = ''
    is_dead: bool = False

    @property
    def runs(self) -> bool:
        """Tell whether the task is running."""
        return self.state is RUNNING and not self.is_dead


class FakeWorker:
    """A worker that enforces its leases by its own clock."""

    def __init__(
        self,
        target_id: str,
        capacity: resources.Resources,
        on_start: abc.Callable[[Execution], None],
    ) -> None:
        self.target_id = target_id
        self.boot_id = f'vm{next(BOOTS)}'
        self.capacity = capacity
        self.tasks: dict[Key, Execution] = {}
        self._on_start = on_start

    def enforce(self, now_ms: int) -> None:
        """Stop tasks whose lease has passed."""
        for task in self.tasks.values():
            if task.runs and task.lease_deadline_ms <= now_ms:
                task.state = worker_interface.TaskState.STOPPED

    def die(self) -> None:
        """Lose the VM with all that runs on it."""
        for task in self.tasks.values():
            task.is_dead = True
        self.tasks = {}

    def end(self, key: Key, is_success: bool) -> None:
        """Let a running task end by itself."""
        task = self.tasks.get(key)
        if task is not None and task.runs:
            states = worker_interface.TaskState
            task.state = states.SUCCEEDED if is_success else states.FAILED
            task.result = f'{key.task_id}:{key.attempt}'.encode()

    def list(self) -> tuple[worker_interface.WorkerTask, ...]:
        """Return what the worker knows."""
        return tuple(
            worker_interface.WorkerTask(
                key.task_id,
                key.attempt,
                task.request.owner,
                task.request.family,
                task.request.declared,
                task.state,
                task.lease_deadline_ms,
                task.result,
                task.checkpoint,
            )
            for key, task in self.tasks.items()
        )

    def start(
        self, request: worker_interface.StartRequest, now_ms: int
    ) -> bool:
        """Start a task; refuse if its lease has passed."""
        key = Key(request.task_id, request.attempt)
        if key in self.tasks:
            return True
        if request.lease_deadline_ms <= now_ms:
            return False
        task = Execution(key, request, self.target_id)
        task.lease_deadline_ms = request.lease_deadline_ms
        self._on_start(task)
        self.tasks[key] = task
        return True

    def renew(self, key: Key, deadline_ms: int, now_ms: int) -> None:
        """Extend a lease."""
        task = self.tasks.get(key)
        if task is not None:
            task.lease_deadline_ms = max(task.lease_deadline_ms, deadline_ms)

    def stop(self, key: Key, checkpoint: bool) -> Execution | None:
        """Stop a task, after a checkpoint if wanted."""
        task = self.tasks.get(key)
        if task is not None and task.runs:
            task.state = worker_interface.TaskState.STOPPED
            if checkpoint:
                task.checkpoint = f'{key.task_id}@{key.attempt}'
        return task


@dataclasses.dataclass(frozen=True)
class Epoch:
    """An entry announces the epoch under which it owns a shard."""

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True)
class Hello:
    """First message of a stream."""

    agent: owner.AgentIdentity


@dataclasses.dataclass(frozen=True)
class Report:
    """Attempts of one shard; all of them if an epoch is given."""

    agent: owner.AgentIdentity
    shard: int
    attempts: tuple[owner.AttemptReport, ...]
    epoch: int = 0


@dataclasses.dataclass(frozen=True)
class Ended:
    """The end of one attempt."""

    agent: owner.AgentIdentity
    shard: int
    task_id: str
    event: transitions.AttemptEvent


class Agent:
    """One agent process."""

    def __init__(
        self,
        worker: FakeWorker,
        reservations_type: type[reservations.Reservations],
        on_release: abc.Callable[[Key, HeldState], None],
        on_stop: abc.Callable[[Key], None],
    ) -> None:
        self.worker = worker
        self.identity = owner.AgentIdentity(
            worker.target_id, worker.boot_id, f'agent{next(BOOTS)}'
        )
        self.ledger = reservations_type(worker.capacity)
        self.ledger.adopt(worker.list())
        self.requests: collections.deque[
            tuple[abc.Callable[[int], Any], abc.Callable[[Any, int], None]]
        ] = collections.deque()
        self.is_alive = True
        self.is_held_back = False
        self.outbox: list[Ended | Report] = []
        self._stops: dict[Key, bool] = {}
        self._on_release = on_release
        self._on_stop = on_stop

    def serve_requests(self, now_ms: int) -> None:
        """Let the worker serve the requests of this process."""
        while self.requests and not self.is_held_back:
            act, handle = self.requests.popleft()
            answer = act(now_ms)
            if self.is_alive:
                handle(answer, now_ms)

    def poll(self, now_ms: int) -> None:
        """Compare the ledger with the worker's list."""
        self.ledger.expire_tombstones(now_ms)
        for task in self.worker.list():
            key = Key(task.task_id, task.attempt)
            held = self.ledger.find(key)
            if held is None:
                self.ledger.adopt((task,))
            elif held.occupies:
                self._note(key, self.worker.tasks[key])

    def handle(self, message: Any, now_ms: int) -> None:
        """Handle a message of an entry."""
        if isinstance(message, Epoch):
            if self.ledger.observe_epoch(message.shard, message.epoch):
                self.report(message.shard, message.epoch)
        elif isinstance(message, effects.SendStart):
            self._start(message, now_ms)
        elif isinstance(message, effects.SendStop):
            self._stop(message, now_ms)
        elif isinstance(message, effects.SendRelease):
            self._release(message)
        elif isinstance(message, effects.SendGrants):
            for grant in message.grants:
                self._renew(grant)

    def report(self, shard: int, epoch: int = 0) -> None:
        """Send the attempts of a shard."""
        attempts = tuple(
            owner.AttemptReport(
                held.offer.key.task_id,
                held.offer.key.attempt,
                make_event(held),
            )
            for held in self.ledger.list_held()
            if held.offer.shard == shard
        )
        self.outbox.append(Report(self.identity, shard, attempts, epoch))

    def evict(self, key: Key) -> None:
        """Checkpoint and stop an attempt to make room."""
        held = self.ledger.find(key)
        if held is not None and held.occupies:
            self._request_stop(key, True)

    def _start(self, message: effects.SendStart, now_ms: int) -> None:
        attempt = message.grant.attempt
        task = message.task
        key = Key(attempt.task_id, attempt.attempt)
        offer = reservations.StartOffer(
            key,
            attempt.shard,
            attempt.epoch,
            task.family,
            task.declared,
            message.grant.grant_deadline_ms,
            task.urgency,
            task.idempotent,
        )
        try:
            held = self.ledger.offer_start(offer, now_ms)
        except errors.BorageshelfError as error:
            if error.code is not errors.STALE_EPOCH:
                self._say_never_started(attempt)
            return
        if held is None:
            return
        request = worker_interface.StartRequest(
            key.task_id,
            key.attempt,
            reservations.format_owner(offer),
            task.family,
            task.declared,
            offer.grant_deadline_ms,
            task.checkpoint,
        )

        def handle(is_started: bool, now_ms: int) -> None:
            if not is_started:
                self.ledger.bury(key, now_ms)
                self.ledger.update(key, state=HeldState.NEVER_STARTED)
                self._say_never_started(attempt)
                return
            self._note(key, self.worker.tasks.get(key))
            if key in self._stops:
                self._request_stop(key, self._stops[key])

        self.requests.append(
            (lambda now_ms: self.worker.start(request, now_ms), handle)
        )

    def _stop(self, message: effects.SendStop, now_ms: int) -> None:
        attempt = message.attempt
        key = Key(attempt.task_id, attempt.attempt)
        if not self.ledger.observe_epoch(attempt.shard, attempt.epoch):
            return
        held = self.ledger.find(key)
        if held is None:
            self.ledger.bury(key, now_ms)
            self._say_never_started(attempt)
        elif held.occupies:
            if message.only_unstarted:
                return
            self._on_stop(key)
            self._stops[key] = message.checkpoint
            if held.state is HeldState.RUNNING:
                self._request_stop(key, message.checkpoint)
        else:
            self._say_ended(held)

    def _request_stop(self, key: Key, checkpoint: bool) -> None:
        def handle(task: Execution | None, now_ms: int) -> None:
            self._note(key, task)

        self.requests.append(
            (lambda now_ms: self.worker.stop(key, checkpoint), handle)
        )

    def _release(self, message: effects.SendRelease) -> None:
        attempt = message.attempt
        key = Key(attempt.task_id, attempt.attempt)
        held = self.ledger.find(key)
        if not self.ledger.release(key, attempt.shard, attempt.epoch):
            return
        assert held is not None
        self._on_release(key, held.state)
        self.requests.append(
            (
                lambda now_ms: self.worker.tasks.pop(key, None),
                lambda answer, now_ms: None,
            )
        )

    def _renew(self, grant: effects.Grant) -> None:
        attempt = grant.attempt
        key = Key(attempt.task_id, attempt.attempt)
        deadline_ms = grant.grant_deadline_ms
        if self.ledger.renew(key, attempt.shard, attempt.epoch, deadline_ms):
            self.requests.append(
                (
                    lambda now_ms: self.worker.renew(key, deadline_ms, now_ms),
                    lambda answer, now_ms: None,
                )
            )

    def _note(self, key: Key, task: Execution | None) -> None:
        """Take over what the worker says about an attempt."""
        held = self.ledger.find(key)
        if task is None or held is None or not held.occupies:
            return
        state = HeldState(task.state.value)
        held = self.ledger.update(
            key, state=state, result=task.result, checkpoint=task.checkpoint
        )
        if held is not None and not held.occupies:
            self._say_ended(held)

    def _say_ended(self, held: Held) -> None:
        event = make_event(held)
        assert event is not None
        self.outbox.append(
            Ended(
                self.identity, held.offer.shard, held.offer.key.task_id, event
            )
        )

    def _say_never_started(self, attempt: effects.AttemptId) -> None:
        event = transitions.NeverStarted(attempt.attempt)
        self.outbox.append(
            Ended(self.identity, attempt.shard, attempt.task_id, event)
        )


def make_event(held: Held) -> transitions.AttemptEvent | None:
    """Return the event that a held attempt stands for."""
    attempt = held.offer.key.attempt
    if held.occupies:
        return None
    if held.state is HeldState.SUCCEEDED:
        return transitions.Succeeded(attempt, held.result)
    if held.state is HeldState.FAILED:
        return transitions.Failed(attempt, errors.TASK_FAILED.number)
    if held.state is HeldState.NEVER_STARTED:
        return transitions.NeverStarted(attempt)
    return transitions.Stopped(attempt, held.checkpoint)
