"""Checks the promise that no task is started again without proof.

The monitor sees what happens on the executors, which neither the owner nor the
agents see. It follows rule TWICE of the users' platform for tasks that are not
speculative, and rule UNASKED for workflows that are cancelled before their
submissions arrive.
"""

import dataclasses


@dataclasses.dataclass
class DoneEnd:
    """A run that has ended ``done``.

    :ivar is_acknowledged: whether ``LastSeen`` has reached the end
    :ivar is_excused: whether the executor's lease lapsed before that
    :ivar is_followed: whether the task was started again afterwards
    """

    task: str
    attempt: int
    executor: str
    number: int
    is_acknowledged: bool = False
    is_excused: bool = False
    is_followed: bool = False


class Monitor:
    """Observes all executors of a history.

    :param runs_limit: number of runs that a task may have at a time; those
        that may have two are speculative
    :ivar violation: what broke the promise; '' as long as it holds
    """

    def __init__(self, runs_limit: int = 1) -> None:
        self.runs_limit = runs_limit
        self.violation = ''
        self.running: dict[tuple[str, str, int], None] = {}
        self.ends: list[DoneEnd] = []
        self.cancelled_ids: set[str] = set()

    def note_cancelled(self, workflow_id: str) -> None:
        """Note that a cancellation is acknowledged."""
        self.cancelled_ids.add(workflow_id)

    def note_start(self, executor: str, task: str, attempt: int) -> None:
        """Check the start of a run."""
        if task.partition('.')[0] in self.cancelled_ids:
            self._report(
                f'{task} started on {executor} after its cancellation was'
                f' acknowledged'
            )
        others = [run for run in self.running if run[1] == task]
        if len(others) >= self.runs_limit:
            other_executor, _, other_attempt = others[0]
            self._report(
                f'{task} attempt {attempt} started on {executor} while'
                f' attempt {other_attempt} runs on {other_executor}'
            )
        for end in self.ends:
            if end.task == task:
                end.is_followed = True
                self._check_end(end)
        self.running[(executor, task, attempt)] = None

    def note_end(
        self, executor: str, task: str, attempt: int, number: int, how: str
    ) -> None:
        """Note the end of a run."""
        self.running.pop((executor, task, attempt), None)
        if how == 'done':
            self.ends.append(DoneEnd(task, attempt, executor, number))

    def note_lapse(self, executor: str) -> None:
        """Note that the lease of an executor has expired."""
        for end in self.ends:
            if end.executor == executor and not end.is_acknowledged:
                end.is_excused = True

    def note_acknowledgement(self, executor: str, number: int) -> None:
        """Check the acknowledgement of all ends up to a number."""
        for end in self.ends:
            if end.executor == executor and end.number <= number:
                end.is_acknowledged = True
                self._check_end(end)

    def note_crash(self, executor: str) -> None:
        """Note that an executor has gone with all that it knew."""
        for key in list(self.running):
            if key[0] == executor:
                del self.running[key]
        self.ends = [
            end
            for end in self.ends
            if end.executor != executor or end.is_acknowledged
        ]

    def _check_end(self, end: DoneEnd) -> None:
        if self.runs_limit > 1:
            # A copy may have been on its way.
            return
        if end.is_followed and end.is_acknowledged and not end.is_excused:
            self._report(
                f'{end.task} was started again after attempt {end.attempt}'
                f' had ended done on {end.executor}, and that end is'
                f' acknowledged'
            )

    def _report(self, violation: str) -> None:
        self.violation = self.violation or violation
