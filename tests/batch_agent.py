"""Simulated agent process around the real ``Reservations``.

It does what an agent process must do with its reservations and its worker,
without an event loop. Requests to the worker can be held back, even past the
death of the agent that sent them.
"""

import collections
from collections import abc
import dataclasses
from typing import Any

from borageshelf.agent import reservations
from borageshelf import errors
from borageshelf.ports import worker as worker_interface
from borageshelf.shards import effects
from borageshelf.shards import shard_owner
from borageshelf.shards import transitions
from tests import batch_worker

HeldAttempt = reservations.HeldAttempt
HeldState = reservations.HeldState
Key = reservations.AttemptKey


@dataclasses.dataclass(frozen=True)
class Epoch:
    """Announcement by an entry of the epoch under which it owns a shard."""

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True)
class Hello:
    """First message of an agent on a stream."""

    agent: shard_owner.AgentIdentity


@dataclasses.dataclass(frozen=True)
class Report:
    """Report of attempts of one shard.

    :param epoch: set if the report is complete; the epoch of the shard owner
        that the agent had observed
    """

    agent: shard_owner.AgentIdentity
    shard: int
    attempts: tuple[shard_owner.AttemptReport, ...]
    epoch: int = 0


@dataclasses.dataclass(frozen=True)
class Ended:
    """Report of the end of one attempt."""

    agent: shard_owner.AgentIdentity
    shard: int
    task_id: str
    event: transitions.AttemptEvent


class Agent:
    """One agent process.

    :param monotonic_ms: time of its start
    :param on_release: called when the agent forgets an ended attempt
    :param on_stop: called when an owner stops an attempt
    """

    def __init__(
        self,
        worker: batch_worker.FakeWorker,
        monotonic_ms: int,
        reservations_type: type[reservations.Reservations],
        on_release: abc.Callable[[Key, HeldState], None],
        on_stop: abc.Callable[[Key], None],
    ) -> None:
        self.worker = worker
        self.identity = shard_owner.AgentIdentity(
            worker.target_id,
            worker.boot_id,
            f'agent{next(batch_worker.BOOTS)}',
        )
        self.ledger = reservations_type(worker.capacity, accepts_starts=False)
        self.ledger.adopt(worker.list())
        self._settles_at_ms = monotonic_ms + reservations.START_ACCEPT_DELAY_MS
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
        """Let the worker serve the queued requests of this process."""
        while self.requests and not self.is_held_back:
            act, handle = self.requests.popleft()
            answer = act(now_ms)
            if self.is_alive:
                handle(answer, now_ms)

    def poll(self, now_ms: int, monotonic_ms: int) -> None:
        """Update the reservations from the worker's list of tasks."""
        self.ledger.expire_tombstones(now_ms)
        for task in self.worker.list():
            key = Key(task.task_id, task.attempt)
            held = self.ledger.find(key)
            if held is None:
                self.ledger.adopt((task,))
            elif held.is_active:
                self._update_reservation(key, self.worker.tasks[key])
        if monotonic_ms > self._settles_at_ms:
            self.ledger.accept_starts()

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
        """Queue a report of the attempts of a shard.

        :param epoch: observed epoch, for a complete report
        """
        attempts = tuple(
            shard_owner.AttemptReport(
                held.spec.key.task_id,
                held.spec.key.attempt,
                make_event(held),
            )
            for held in self.ledger.list_held()
            if held.spec.shard == shard
        )
        self.outbox.append(Report(self.identity, shard, attempts, epoch))

    def evict(self, key: Key) -> None:
        """Checkpoint and stop an attempt to free its resources."""
        held = self.ledger.find(key)
        if held is not None and held.is_active:
            self._request_stop(key, True)

    def _start(self, message: effects.SendStart, now_ms: int) -> None:
        attempt = message.grant.attempt
        task = message.task
        key = Key(attempt.task_id, attempt.attempt)
        spec = reservations.AttemptSpec(
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
            held = self.ledger.reserve(spec, now_ms)
        except errors.BorageshelfError as error:
            if error.code is not errors.STALE_EPOCH:
                self._send_never_started(attempt)
            return
        if held is None:
            return
        request = worker_interface.StartRequest(
            key.task_id,
            key.attempt,
            reservations.format_owner_reference(spec),
            task.family,
            task.declared,
            reservations.compute_first_lease_deadline_ms(spec, now_ms),
            task.checkpoint,
        )

        def handle(is_started: bool, now_ms: int) -> None:
            if not is_started:
                self.ledger.add_tombstone(key, now_ms)
                self.ledger.update(key, state=HeldState.NEVER_STARTED)
                self._send_never_started(attempt)
                return
            self._update_reservation(key, self.worker.tasks.get(key))
            self._extend_lease(key)
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
            self.ledger.add_tombstone(key, now_ms)
            self._send_never_started(attempt)
        elif held.is_active:
            if message.only_unstarted:
                return
            self._on_stop(key)
            self._stops[key] = message.checkpoint
            if held.state is HeldState.RUNNING:
                self._request_stop(key, message.checkpoint)
        else:
            self._send_ended(held)

    def _request_stop(self, key: Key, checkpoint: bool) -> None:
        def handle(task: batch_worker.Execution | None, now_ms: int) -> None:
            self._update_reservation(key, task)

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
            self._extend_lease(key)

    def _extend_lease(self, key: Key) -> None:
        held = self.ledger.find(key)
        if held is None or not held.is_active:
            return
        deadline_ms = held.grant_deadline_ms
        self.requests.append(
            (
                lambda now_ms: self.worker.renew(key, deadline_ms, now_ms),
                lambda answer, now_ms: None,
            )
        )

    def _update_reservation(
        self, key: Key, task: batch_worker.Execution | None
    ) -> None:
        """Apply the worker's state of an attempt to its reservation."""
        held = self.ledger.find(key)
        if task is None or held is None or not held.is_active:
            return
        state = HeldState(task.state.value)
        held = self.ledger.update(
            key, state=state, result=task.result, checkpoint=task.checkpoint
        )
        if held is not None and not held.is_active:
            self._send_ended(held)

    def _send_ended(self, held: HeldAttempt) -> None:
        event = make_event(held)
        assert event is not None
        self.outbox.append(
            Ended(self.identity, held.spec.shard, held.spec.key.task_id, event)
        )

    def _send_never_started(self, attempt: effects.AttemptId) -> None:
        event = transitions.NeverStarted(attempt.attempt)
        self.outbox.append(
            Ended(self.identity, attempt.shard, attempt.task_id, event)
        )


def make_event(held: HeldAttempt) -> transitions.AttemptEvent | None:
    """Return the event that ended an attempt, or None if it is running."""
    attempt = held.spec.key.attempt
    if held.is_active:
        return None
    if held.state is HeldState.SUCCEEDED:
        return transitions.Succeeded(attempt, held.result)
    if held.state is HeldState.FAILED:
        return transitions.Failed(attempt, errors.TASK_FAILED.number)
    if held.state is HeldState.NEVER_STARTED:
        return transitions.NeverStarted(attempt)
    return transitions.Stopped(attempt, held.checkpoint)
