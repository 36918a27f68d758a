"""What the agent knows of the runs on its executor."""

import enum

from borageshelf.decisions import pacing
from borageshelf.ports import task_executor
from borageshelf.workflows import messages


class RunState(enum.Enum):
    """What the agent knows of a run."""

    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'


class AgentRun:
    """One run on the executor.

    :ivar settled_at_ms: elapsed time since which an inspection that does not
        list the run proves that it does not exist; 0 for not yet
    """

    def __init__(self, terms: messages.RunTerms, state: RunState) -> None:
        self.terms = terms
        self.state = state
        self.settled_at_ms = 0
        self.pace_percent = pacing.FULL_PACE_PERCENT
        self.row: task_executor.RunningTask | None = None
        self.refusal = 'absent'
        self.is_unhealthy = False

    @property
    def key(self) -> tuple[str, int]:
        """Identity of the run."""
        return self.terms.task, self.terms.attempt
