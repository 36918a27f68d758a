"""Deterministic core of an agent: capacity ledger, grants and fencing.

The agent has the last word on what its VM runs. It refuses a start that does
not fit, that comes from an earlier owner of the shard, whose grant has
expired, or for which it has already said "never started". A restarted agent
calls ``adopt`` with the worker's list before anything else.

A start request that an earlier agent process of the VM sent may reach the
worker after the new process has read the worker's list. So a start request
carries a short first lease, which is renewed up to the grant once the start
is answered, and a new process takes no starts before
``START_ACCEPT_DELAY_MS`` have passed and it has read the list again.
"""

import dataclasses
import enum
from typing import Final

from borageshelf import errors
from borageshelf.model import resources
from borageshelf.ports import worker as worker_interface

# A start that is delayed beyond the longest horizon is refused because its
# grant has expired, so older tombstones are not needed.
TOMBSTONE_LIFETIME_MS: Final = 61 * 60 * 1000
# A worker that answers a start later than this refuses or stops it.
FIRST_LEASE_MS: Final = 2_000
# The first lease and a step of the VM's clock by the skew bound.
START_ACCEPT_DELAY_MS: Final = FIRST_LEASE_MS + 2_000


class HeldState(enum.Enum):
    """State of an attempt that the agent knows."""

    STARTING = 'starting'
    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    CHECKPOINTED = 'checkpointed'
    NEVER_STARTED = 'never started'


ACTIVE_STATES: Final = frozenset({HeldState.STARTING, HeldState.RUNNING})


@dataclasses.dataclass(frozen=True)
class AttemptKey:
    """One attempt of one task."""

    task_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class AttemptSpec:
    """A start that an owner asks for.

    :param epoch: fencing epoch of the shard's owner
    :param grant_deadline_ms: the attempt may run until then
    """

    key: AttemptKey
    shard: int
    epoch: int
    family: str
    declared: resources.Resources
    grant_deadline_ms: int
    urgency: int = 0
    idempotent: bool = True
    team: str = ''


@dataclasses.dataclass(frozen=True)
class HeldAttempt:
    """An attempt that the agent knows until its owner releases it."""

    spec: AttemptSpec
    state: HeldState
    grant_deadline_ms: int
    started_at_ms: int = 0
    used: resources.Resources = resources.NOTHING
    peak: resources.Resources = resources.NOTHING
    result: bytes = b''
    checkpoint: str = ''
    code: int = 0

    @property
    def is_active(self) -> bool:
        """Tell whether the attempt may use resources of the VM."""
        return self.state in ACTIVE_STATES

    @property
    def charged(self) -> resources.Resources:
        """The larger of declared and measured use."""
        return self.spec.declared.maximum(self.used)


class Reservations:
    """What one VM holds and whom it obeys.

    :param accepts_starts: False for a new agent process, which calls
        ``accept_starts`` later; until then the VM counts as full
    """

    def __init__(
        self, capacity: resources.Resources, accepts_starts: bool = True
    ) -> None:
        self._capacity = capacity
        self._is_settled = accepts_starts
        self._held: dict[AttemptKey, HeldAttempt] = {}
        self._epochs: dict[int, int] = {}
        self._tombstones: dict[AttemptKey, int] = {}
        self._leaving = False

    @property
    def is_draining(self) -> bool:
        """Whether new starts are refused because of a planned stop."""
        return self._leaving

    def begin_drain(self) -> None:
        """Refuse new starts from now on."""
        self._leaving = True

    def accept_starts(self) -> None:
        """Take starts from now on.

        Called ``START_ACCEPT_DELAY_MS`` after the start of the process,
        after ``adopt`` with a list that the worker made since then.
        """
        self._is_settled = True

    def adopt(self, tasks: tuple[worker_interface.WorkerTask, ...]) -> None:
        """Take over the attempts that the worker already has."""
        for task in tasks:
            key = AttemptKey(task.task_id, task.attempt)
            spec = parse_attempt_spec(task, key)
            self._held[key] = HeldAttempt(
                spec,
                _STATES[task.state],
                task.lease_deadline_ms,
                result=task.result,
                checkpoint=task.checkpoint,
            )
            self.observe_epoch(spec.shard, spec.epoch)

    def observe_epoch(self, shard: int, epoch: int) -> bool:
        """Remember the epoch; tell whether it is not an earlier one."""
        highest = self._epochs.get(shard, 0)
        if epoch < highest:
            return False
        self._epochs[shard] = epoch
        return True

    def find_epoch(self, shard: int) -> int:
        """Return the highest epoch seen for a shard, or 0."""
        return self._epochs.get(shard, 0)

    def find(self, key: AttemptKey) -> HeldAttempt | None:
        """Return what is known of an attempt."""
        return self._held.get(key)

    def list_held(self) -> tuple[HeldAttempt, ...]:
        """Return all known attempts."""
        return tuple(self._held.values())

    def compute_free_resources(self) -> resources.Resources:
        """Return what is left of the VM."""
        if not self._is_settled:
            return resources.NOTHING
        free = self._capacity
        for held in self._held.values():
            if held.is_active:
                free = free.minus(held.charged)
        return free

    def reserve(self, spec: AttemptSpec, now_ms: int) -> HeldAttempt | None:
        """Reserve capacity for a start.

        :return: the new reservation, or None if the attempt is known already
        :raises BorageshelfError: ``STALE_EPOCH``, ``CANCELLED``,
            ``DEADLINE_PASSED``, ``LEAVING`` or ``NO_CAPACITY``; a refused
            attempt is never started later
        """
        if not self.observe_epoch(spec.shard, spec.epoch):
            raise errors.BorageshelfError(
                errors.STALE_EPOCH,
                f'epoch {spec.epoch} of shard {spec.shard}, have '
                f'{self._epochs[spec.shard]}',
            )
        if spec.key in self._held:
            return None
        if spec.key in self._tombstones:
            raise errors.BorageshelfError(
                errors.CANCELLED, 'the attempt was stopped before its start'
            )
        code = self._find_refusal(spec, now_ms)
        if code is not None:
            self.add_tombstone(spec.key, now_ms)
            raise errors.BorageshelfError(code, spec.key.task_id)
        held = HeldAttempt(
            spec, HeldState.STARTING, spec.grant_deadline_ms, now_ms
        )
        self._held[spec.key] = held
        return held

    def add_tombstone(self, key: AttemptKey, now_ms: int) -> None:
        """Promise that an attempt never starts here."""
        self._tombstones[key] = now_ms + TOMBSTONE_LIFETIME_MS

    def update(self, key: AttemptKey, **changes: object) -> HeldAttempt | None:
        """Replace fields of a known attempt; return the new state."""
        held = self._held.get(key)
        if held is None:
            return None
        held = dataclasses.replace(held, **changes)  # type: ignore[arg-type]
        self._held[key] = held
        return held

    def renew(
        self, key: AttemptKey, shard: int, epoch: int, deadline_ms: int
    ) -> bool:
        """Extend a grant; tell whether the worker's lease must follow."""
        if not self.observe_epoch(shard, epoch):
            return False
        held = self._held.get(key)
        if held is None or not held.is_active:
            return False
        if deadline_ms <= held.grant_deadline_ms:
            return False
        self._held[key] = dataclasses.replace(
            held, grant_deadline_ms=deadline_ms
        )
        return True

    def release(self, key: AttemptKey, shard: int, epoch: int) -> bool:
        """Forget an ended attempt; tell whether it was forgotten."""
        if not self.observe_epoch(shard, epoch):
            return False
        held = self._held.get(key)
        if held is None or held.is_active:
            return False
        del self._held[key]
        return True

    def expire_tombstones(self, now_ms: int) -> None:
        """Drop tombstones that no start can need any more."""
        self._tombstones = {
            key: deadline_ms
            for key, deadline_ms in self._tombstones.items()
            if deadline_ms > now_ms
        }

    def _find_refusal(
        self, spec: AttemptSpec, now_ms: int
    ) -> errors.ResultCode | None:
        if spec.grant_deadline_ms <= now_ms:
            return errors.DEADLINE_PASSED
        if self._leaving:
            return errors.LEAVING
        same_task = any(
            held.spec.key.task_id == spec.key.task_id and held.is_active
            for held in self._held.values()
        )
        if not self._is_settled or same_task:
            return errors.NO_CAPACITY
        if not spec.declared.fits_in(self.compute_free_resources()):
            return errors.NO_CAPACITY
        return None


def compute_first_lease_deadline_ms(spec: AttemptSpec, now_ms: int) -> int:
    """Return the lease deadline that a start request carries."""
    return min(spec.grant_deadline_ms, now_ms + FIRST_LEASE_MS)


def format_owner_reference(spec: AttemptSpec) -> str:
    """Return the reference that the worker keeps with a task.

    It holds what a restarted agent needs to know and the worker's list does
    not give.
    """
    mark = int(spec.idempotent)
    return f'{spec.shard}:{spec.epoch}:{spec.urgency}:{mark}:{spec.team}'


def parse_attempt_spec(
    task: worker_interface.WorkerTask, key: AttemptKey
) -> AttemptSpec:
    """Return the offer from which a listed task was started.

    :raises ValueError: if the reference is malformed
    """
    shard, epoch, urgency, mark, team = task.owner.split(':', 4)
    return AttemptSpec(
        key,
        int(shard),
        int(epoch),
        task.family,
        task.declared,
        task.lease_deadline_ms,
        int(urgency),
        mark == '1',
        team,
    )


_STATES: Final = {
    worker_interface.TaskState.RUNNING: HeldState.RUNNING,
    worker_interface.TaskState.SUCCEEDED: HeldState.SUCCEEDED,
    worker_interface.TaskState.FAILED: HeldState.FAILED,
    worker_interface.TaskState.STOPPED: HeldState.STOPPED,
}
