"""Runs on the agent's executor, as the agent knows them."""

import enum

from borageshelf import clock
from borageshelf.decisions import evacuation
from borageshelf.decisions import pacing
from borageshelf.model import resources
from borageshelf.ports import task_executor
from borageshelf.workflows import messages


class RunState(enum.Enum):
    """State of a run, as the agent knows it."""

    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'


class AgentRun:
    """A run on the executor.

    :ivar confirmed_at_ms: elapsed time at which the executor answered an order
        to start or stop the run, or listed it in a snapshot; 0 before. An
        inspection that begins later and does not list the run proves that it
        does not exist.
    :ivar is_known: whether the owner has told the terms of the run
    :ivar may_have_arrived: whether the executor may have received its start
    :ivar open_tries: number of tries of its start without an answer, each of
        which may still be carried out
    :ivar ordered_at_running_ms: when the last try was sent, on the clock
        without suspensions
    :ivar is_dated: whether its only start was answered by the incarnation that
        the agent has inspected
    :ivar is_pace_known: whether the last order of a pace was answered
    :ivar row: the run in the last inspection that listed it
    :ivar is_stop_accepted: whether the executor has accepted a stop of it
    :ivar reported_percent: progress that the last snapshot or report has told
        the owner; None before the first one
    :ivar refusal_reason: reported to the owner if the run does not exist
    :ivar is_unhealthy: whether that report calls the executor unhealthy
    """

    def __init__(
        self,
        terms: messages.RunTerms,
        state: RunState,
        is_known: bool = True,
    ) -> None:
        self.terms = terms
        self.state = state
        self.is_known = is_known
        self.confirmed_at_ms = 0
        self.may_have_arrived = False
        self.open_tries = 0
        self.ordered_at_running_ms = 0
        self.pace_percent = pacing.FULL_PACE_PERCENT
        self.is_pace_known = True
        self.row: task_executor.RunningTask | None = None
        self.is_dated = False
        self.is_stop_accepted = False
        self.reported_percent: int | None = None
        self.refusal_reason = 'absent'
        self.is_unhealthy = False

    @property
    def key(self) -> tuple[str, int]:
        """Task and attempt, which identify the run."""
        return self.terms.task, self.terms.attempt

    @property
    def may_exist(self) -> bool:
        """Whether the executor may have it, now or once a late start arrives.

        Others order the starts of unknown runs.
        """
        return (
            self.may_have_arrived or self.row is not None or not self.is_known
        )

    def is_being_stopped(self) -> bool:
        """Tell whether a stop was ordered, so that no start may follow."""
        return self.state is RunState.STOPPING

    def needs_report(self) -> bool:
        """Tell whether the owner has to learn the progress of a lasting run.

        It needs to know that the run is listed, and then that it is at work.
        """
        if self.row is None:
            return False
        return self.reported_percent is None or (
            self.reported_percent
            < evacuation.AT_WORK_PERCENT
            <= self.row.progress_percent
        )

    def note_report(self) -> None:
        """Note that the owner is told of the run."""
        if self.row is not None:
            self.reported_percent = self.row.progress_percent

    def note_accepted_stop(self) -> None:
        """Note that the executor has just accepted a stop of the run."""
        self.is_stop_accepted = True
        self.confirmed_at_ms = clock.read_elapsed_ms()

    def may_start_later(self, proved_at_ms: int) -> bool:
        """Tell whether the next incarnation of the executor may have it.

        An answer without a date proves the end of the run only together with
        a later proof, because an executor may restart under its id between
        two orders.

        :param proved_at_ms: begin of the last inspection that the present
            incarnation has answered, or of one that was refused and after
            which no incarnation was listed as up
        """
        if self.open_tries:
            return True
        has_ended = (
            self.row is not None
            or self.is_dated
            or 0 < self.confirmed_at_ms <= proved_at_ms
        )
        return self.may_have_arrived and not has_ended


def make_unknown_run(task: str, attempt: int, state: RunState) -> AgentRun:
    """Return a run of which only the name is known."""
    terms = messages.RunTerms(task, attempt, resources.NOTHING)
    return AgentRun(terms, state, is_known=False)


def make_row(
    row: task_executor.RunningTask,
    pace_percent: int = pacing.FULL_PACE_PERCENT,
    is_start_open: bool = False,
) -> messages.Row:
    """Return a listed run as the owner is told of it."""
    return messages.Row(
        row.task,
        row.attempt,
        row.checkpoint,
        row.progress_percent,
        pace_percent,
        is_start_open,
    )


def make_end(end: task_executor.EndedRun) -> messages.Ended:
    """Return the end of a run as the owner is told of it."""
    return messages.Ended(
        end.number, end.task, end.attempt, end.kind, end.checkpoint
    )
