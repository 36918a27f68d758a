"""Interface of the executor that runs the tasks of workflows on a VM.

The executor remembers the ends of runs until they are acknowledged, refuses
fencing tokens below the highest it has seen, and ends everything when its
lease deadline passes. All times are milliseconds of the executor's own
steady clock.
"""

import dataclasses
import enum
from typing import Protocol


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lease expired'
    GANG_BROKEN = 'gang broken'
    GANG_INCOMPLETE = 'gang incomplete'


class StartOutcome(enum.Enum):
    """Answer to a start."""

    STARTED = 'started'
    FENCED = 'fenced'
    SUPERSEDED = 'superseded'
    TOO_LATE = 'too late'
    NO_ROOM = 'no room'
    NO_TICKET = 'no ticket'
    UNHEALTHY = 'unhealthy'
    OTHER_INSTANCE = 'other instance'
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """One attempt of a task to start.

    :param lease_deadline_ms: on the executor's clock; extends the lease of
        everything that runs there
    """

    task: str
    attempt: int
    spec: str
    token: int
    lease_deadline_ms: int
    checkpoint: str = ''


@dataclasses.dataclass(frozen=True)
class RunningTask:
    """A run as the executor lists it.

    :param progress_percent: share of the work done; for a lasting task 100
        once it is at work
    :param measured: tail latency in ms of a task that serves, otherwise the
        processor time in use in millicores
    """

    task: str
    attempt: int
    checkpoint: str
    progress_percent: int
    measured: int


@dataclasses.dataclass(frozen=True)
class EndedRun:
    """An end that is not acknowledged yet; ``number`` counts up from 1."""

    number: int
    task: str
    attempt: int
    kind: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True)
class Inspection:
    """What the executor runs and which runs have ended.

    :param born_at_ms: Unix time of the executor's start, or 0 if not told
    """

    clock_ms: int
    born_at_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]


class ExecutorUnavailable(Exception):
    """No answer arrived; an order may have been carried out or not.

    :param is_connection_refused: nothing listens there, so certainly nothing
        was done
    """

    def __init__(
        self, detail: str, is_connection_refused: bool = False
    ) -> None:
        super().__init__(detail)
        self.is_connection_refused = is_connection_refused


class OrderRefused(Exception):
    """The executor refused an order other than a start."""

    def __init__(self, outcome: StartOutcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome


class TaskExecutor(Protocol):
    """The executor of one VM; each call may raise ``ExecutorUnavailable``."""

    async def start(self, instance_id: str, order: StartOrder) -> StartOutcome:
        """Start an attempt; repeating the same attempt has no effect."""

    async def stop(
        self, instance_id: str, task: str, attempt: int, token: int
    ) -> None:
        """Stop an attempt, also one whose start is still under way.

        :raises OrderRefused: if the token is too low
        """

    async def inspect(
        self,
        instance_id: str,
        token: int,
        acknowledged: int,
        lease_deadline_ms: int,
        wait_ms: int,
    ) -> Inspection:
        """List runs and ends; forget ends up to ``acknowledged``.

        :param lease_deadline_ms: extends the lease; 0 leaves it alone
        :param wait_ms: how long to wait for an end
        :raises OrderRefused: if the token is too low
        """

    async def pace(
        self,
        instance_id: str,
        task: str,
        attempt: int,
        percent: int,
        token: int,
    ) -> None:
        """Let a task work at a share of its speed.

        :raises OrderRefused: if the token is too low
        """
