"""Interface of the executor that runs the tasks of workflows on a VM.

The executor keeps a record of each ended run until it is acknowledged, refuses
fencing tokens below the highest that it has received, and ends all runs when
its lease deadline passes. Times are milliseconds of the executor's own
monotonic clock unless stated otherwise.
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

    :param progress_percent: share of the work that is done; a long-running
        task reports 100 as soon as it is working
    :param measured: tail latency in ms of a serving task, otherwise the
        processor use in millicores
    """

    task: str
    attempt: int
    checkpoint: str
    progress_percent: int
    measured: int


@dataclasses.dataclass(frozen=True)
class EndedRun:
    """A run that has ended and is not yet acknowledged.

    :param number: consecutive number of the end, from 1
    """

    number: int
    task: str
    attempt: int
    kind: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True)
class Inspection:
    """The running tasks and the ended runs of the executor.

    :param clock_ms: present time of the executor's clock
    :param born_at_ms: start of the executor in Unix milliseconds, or 0 if it
        is not reported
    :param has_all_ends: whether no ended run is left out; otherwise a run
        that is not listed may have ended
    """

    clock_ms: int
    born_at_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    has_all_ends: bool = True


@dataclasses.dataclass(frozen=True)
class StartAnswer:
    """The answer to a start.

    :param clock_ms: time of the executor's clock, 0 if it is not reported
    """

    outcome: StartOutcome
    clock_ms: int = 0


class ExecutorUnavailable(Exception):
    """The executor did not answer; an order may have been carried out.

    :param is_connection_refused: whether the connection was refused, so that
        the order was certainly not carried out; the executor may go on
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

    async def start(self, instance_id: str, order: StartOrder) -> StartAnswer:
        """Start an attempt; a repeated start has no effect."""

    async def stop(
        self, instance_id: str, task: str, attempt: int, token: int
    ) -> None:
        """Stop an attempt, even if its start is still in progress.

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
        """List the running tasks and the ended runs.

        :param acknowledged: number up to which the executor deletes its
            records of ended runs
        :param lease_deadline_ms: extends the lease to this time; 0 leaves the
            lease unchanged
        :param wait_ms: how long to wait for a run to end
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
        """Limit a task to a share of its speed.

        :param percent: share of the full speed

        :raises OrderRefused: if the token is too low
        """
