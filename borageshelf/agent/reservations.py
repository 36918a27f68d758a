"""Deterministic core of an agent: capacity ledger, grants and fencing.

The agent makes the final decision on what its VM runs. It refuses a start
that exceeds the free capacity, that carries the epoch of an earlier owner of
the shard, whose grant has expired, or for an attempt that it has already
reported as never started. A restarted agent calls ``adopt`` with the worker's
list before anything else.

A start request of an earlier agent process on the same VM may reach the
worker after the new process has read the worker's list. Therefore a start
request carries a short first lease, which is extended to the end of the grant
once the start is answered, and a new process accepts no starts until
``START_ACCEPT_DELAY_MS`` have passed and it has read the list again.
"""

import dataclasses
import enum
from typing import Final

from borageshelf import errors
from borageshelf.model import resources
from borageshelf.ports import worker as worker_interface

# Outlives the longest grant horizon: a start that arrives later is refused
# because its grant has expired, so older tombstones are not needed.
TOMBSTONE_LIFETIME_MS: Final = 61 * 60 * 1000
# Length of the lease in a start request: a worker that handles the request
# later than this refuses or stops the attempt.
FIRST_LEASE_MS: Final = 2_000
# Covers the first lease of a start that an earlier process sent, and a step
# of the VM's clock by the bound on clock skew.
START_ACCEPT_DELAY_MS: Final = FIRST_LEASE_MS + 2_000


class HeldState(enum.Enum):
    """State of an attempt in the agent's ledger."""

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
    """An attempt as the owner of its shard requests it.

    :param epoch: fencing epoch of the shard's owner
    :param declared: resources that the owner requests for the attempt
    :param grant_deadline_ms: end of the first grant, Unix milliseconds; the
        attempt may run until then
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
    """An attempt that the agent keeps until its owner releases it.

    :param grant_deadline_ms: end of the current grant, Unix milliseconds
    :param used: last measured use; zero once the attempt has ended
    :param peak: highest measured use of each resource
    :param code: result code of a failed or refused attempt, or 0
    """

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
        """The larger of declared and measured use, for each resource."""
        return self.spec.declared.maximum(self.used)


class Reservations:
    """Capacity ledger of one VM and the shard epochs that it has seen.

    Requests that carry an epoch lower than the highest one seen for their
    shard are refused, so that an owner that has been replaced cannot start,
    renew or release attempts.

    :param accepts_starts: False for a new agent process, which calls
        ``accept_starts`` later; until then the VM counts as full
    """

    def __init__(
        self, capacity: resources.Resources, accepts_starts: bool = True
    ) -> None:
        self._capacity = capacity
        self._accepts_starts = accepts_starts
        self._held: dict[AttemptKey, HeldAttempt] = {}
        self._epochs: dict[int, int] = {}
        self._tombstones: dict[AttemptKey, int] = {}
        self._is_draining = False

    @property
    def is_draining(self) -> bool:
        """Tell whether starts are refused because of a planned stop."""
        return self._is_draining

    def begin_drain(self) -> None:
        """Refuse new starts from now on."""
        self._is_draining = True

    def accept_starts(self) -> None:
        """Accept starts from now on.

        To be called when ``START_ACCEPT_DELAY_MS`` have passed since the
        start of the process and ``adopt`` has been called with a list that
        the worker made after that delay.
        """
        self._accepts_starts = True

    def adopt(self, tasks: tuple[worker_interface.WorkerTask, ...]) -> None:
        """Add the attempts that the worker already holds to the ledger."""
        for task in tasks:
            key = AttemptKey(task.task_id, task.attempt)
            spec = parse_attempt_spec(task, key)
            self._held[key] = HeldAttempt(
                spec,
                _ADOPTED_STATES[task.state],
                task.lease_deadline_ms,
                result=task.result,
                checkpoint=task.checkpoint,
            )
            self.observe_epoch(spec.shard, spec.epoch)

    def observe_epoch(self, shard: int, epoch: int) -> bool:
        """Record the epoch of a shard's owner.

        :return: False if a higher epoch has been seen, so that the sender is
            no longer the owner
        """
        highest = self._epochs.get(shard, 0)
        if epoch < highest:
            return False
        self._epochs[shard] = epoch
        return True

    def find_epoch(self, shard: int) -> int:
        """Return the highest epoch seen for a shard, or 0."""
        return self._epochs.get(shard, 0)

    def find(self, key: AttemptKey) -> HeldAttempt | None:
        """Return an attempt in the ledger, or None."""
        return self._held.get(key)

    def list_held(self) -> tuple[HeldAttempt, ...]:
        """Return all attempts in the ledger."""
        return tuple(self._held.values())

    def set_capacity(self, capacity: resources.Resources) -> None:
        """Set the capacity of the VM, which may shrink and grow.

        Attempts that run already are not affected.
        """
        self._capacity = capacity

    def compute_free_resources(self) -> resources.Resources:
        """Return the capacity that no active attempt occupies.

        Components may be negative, because attempts may use more than they
        declared.
        """
        if not self._accepts_starts:
            return resources.NOTHING
        free = self._capacity
        for held in self._held.values():
            if held.is_active:
                free = free.minus(held.charged)
        return free

    def reserve(self, spec: AttemptSpec, now_ms: int) -> HeldAttempt | None:
        """Reserve capacity for a start.

        :return: the new reservation, or None if the attempt is already in
            the ledger
        :raises BorageshelfError: ``STALE_EPOCH``, ``CANCELLED``,
            ``DEADLINE_PASSED``, ``LEAVING`` or ``NO_CAPACITY``; a refused
            attempt is never started later
        """
        if not self.observe_epoch(spec.shard, spec.epoch):
            raise errors.BorageshelfError(
                errors.STALE_EPOCH,
                f'epoch {spec.epoch} of shard {spec.shard} is stale; epoch '
                f'{self._epochs[spec.shard]} has been seen',
            )
        if spec.key in self._held:
            return None
        if spec.key in self._tombstones:
            raise errors.BorageshelfError(
                errors.CANCELLED, 'attempt was cancelled before it started'
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
        """Guarantee that an attempt is never started on this VM."""
        self._tombstones[key] = now_ms + TOMBSTONE_LIFETIME_MS

    def update(self, key: AttemptKey, **changes: object) -> HeldAttempt | None:
        """Replace fields of an attempt; return it, or None if unknown."""
        held = self._held.get(key)
        if held is None:
            return None
        held = dataclasses.replace(held, **changes)  # type: ignore[arg-type]
        self._held[key] = held
        return held

    def renew(
        self, key: AttemptKey, shard: int, epoch: int, deadline_ms: int
    ) -> bool:
        """Extend a grant; tell whether the worker's lease must be extended."""
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
        """Remove an ended attempt; tell whether it was removed."""
        if not self.observe_epoch(shard, epoch):
            return False
        held = self._held.get(key)
        if held is None or held.is_active:
            return False
        del self._held[key]
        return True

    def expire_tombstones(self, now_ms: int) -> None:
        """Remove tombstones that are older than any valid start request."""
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
        if self._is_draining:
            return errors.LEAVING
        has_active_attempt = any(
            held.spec.key.task_id == spec.key.task_id and held.is_active
            for held in self._held.values()
        )
        if not self._accepts_starts or has_active_attempt:
            return errors.NO_CAPACITY
        if not spec.declared.fits_in(self.compute_free_resources()):
            return errors.NO_CAPACITY
        return None


def compute_first_lease_deadline_ms(spec: AttemptSpec, now_ms: int) -> int:
    """Return the deadline of the lease in a start request."""
    return min(spec.grant_deadline_ms, now_ms + FIRST_LEASE_MS)


def format_owner_reference(spec: AttemptSpec) -> str:
    """Return the owner reference that the worker stores with a task.

    It holds what a restarted agent needs and the worker's list does not
    contain.
    """
    idempotent = int(spec.idempotent)
    return f'{spec.shard}:{spec.epoch}:{spec.urgency}:{idempotent}:{spec.team}'


def parse_attempt_spec(
    task: worker_interface.WorkerTask, key: AttemptKey
) -> AttemptSpec:
    """Return the specification with which a listed task was started.

    :raises ValueError: if the owner reference is malformed
    """
    shard, epoch, urgency, idempotent, team = task.owner.split(':', 4)
    return AttemptSpec(
        key,
        int(shard),
        int(epoch),
        task.family,
        task.declared,
        task.lease_deadline_ms,
        int(urgency),
        idempotent == '1',
        team,
    )


_ADOPTED_STATES: Final = {
    worker_interface.TaskState.RUNNING: HeldState.RUNNING,
    worker_interface.TaskState.SUCCEEDED: HeldState.SUCCEEDED,
    worker_interface.TaskState.FAILED: HeldState.FAILED,
    worker_interface.TaskState.STOPPED: HeldState.STOPPED,
}
