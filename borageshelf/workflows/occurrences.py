"""The occurrences of a workflow whose tasks are in memory.

A workflow may repeat thousands of times over days. Its tasks exist from the
time when they are due until their occurrence is complete and has no run left,
so that memory grows with what waits and runs, and not with what has been
accepted.
"""

from collections import abc
import math
from typing import Final, Generic, TypeVar

from borageshelf.model import workflows
from borageshelf.workflows import number_ranges

# Further occurrences that are due come into memory once fewer tasks wait.
# Most of them wait after an outage, or if many are due at the same time.
WAITING_TASKS_LIMIT: Final = 200

Groups = TypeVar('Groups')


class Occurrences(Generic[Groups]):
    """Opens the occurrences of a workflow, and closes those that are over.

    :param workflow: the workflow, which has been validated
    :param make_groups: makes the tasks of an occurrence, given its number
    :ivar open: the occurrences in memory by number, in order
    """

    def __init__(
        self,
        workflow: workflows.Workflow,
        make_groups: abc.Callable[[int], Groups],
    ) -> None:
        self._workflow = workflow
        self._make_groups = make_groups
        self._complete = number_ranges.NumberRanges()
        # All before are open or complete; later ones only if restored.
        self._next_number = 0
        # None that is not known is due before; spares each scheduling pass the
        # search for the next one.
        self._next_due_ms: float = 0
        self.open: dict[int, Groups] = {}

    @property
    def are_complete(self) -> bool:
        """Tell whether all occurrences are complete."""
        return len(self._complete) == self._workflow.occurrences

    @property
    def has_unopened(self) -> bool:
        """Tell whether some are not complete and not in memory."""
        self._skip_known()
        return self._next_number < self._workflow.occurrences

    def open_next(self, wall_ms: int) -> Groups | None:
        """Open the next occurrence and return it; None if none is due.

        :param wall_ms: Unix time
        """
        if not self.count_due_unopened(wall_ms):
            return None
        return self.open_one(self._next_number)

    def open_one(self, number: int) -> Groups:
        """Return an occurrence; it is opened if it is not.

        :raises IndexError: if the workflow does not repeat so often
        """
        if not 0 <= number < self._workflow.occurrences:
            raise IndexError(f'there is no occurrence {number}')
        if number not in self.open:
            is_last = number > max(self.open, default=-1)
            self.open[number] = self._make_groups(number)
            if not is_last:
                self.open = dict(sorted(self.open.items()))
        return self.open[number]

    def mark_complete(self, number: int) -> None:
        """Note that all steps of an occurrence are complete."""
        self._complete.add(number)

    def close(self, number: int) -> None:
        """Forget the tasks of an occurrence that is over."""
        self.open.pop(number, None)

    def count_due_unopened(self, wall_ms: int) -> int:
        """Return how many are due and not in memory, an upper bound."""
        if wall_ms < self._next_due_ms:
            return 0
        if not self.has_unopened:
            self._next_due_ms = math.inf
            return 0
        self._next_due_ms = self._compute_due_ms(self._next_number)
        return max(self._count_due(wall_ms) - self._next_number, 0)

    def list_complete(self) -> tuple[tuple[int, int], ...]:
        """Return the first and last number of each range of complete ones."""
        return self._complete.list_ranges()

    def restore(self, complete: abc.Iterable[tuple[int, int]]) -> None:
        """Take over which occurrences are complete.

        :raises ValueError: if the workflow does not repeat so often
        """
        self._complete = number_ranges.NumberRanges(complete)
        if any(
            not 0 <= first <= last < self._workflow.occurrences
            for first, last in self._complete.list_ranges()
        ):
            raise ValueError('an occurrence that does not exist is complete')
        self.open = {
            number: groups
            for number, groups in self.open.items()
            if number not in self._complete
        }

    def _skip_known(self) -> None:
        while True:
            number = self._complete.find_absent(self._next_number)
            if number == self._next_number and number not in self.open:
                return
            self._next_number = number + (number in self.open)

    def _compute_due_ms(self, number: int) -> int:
        workflow = self._workflow
        if not workflow.has_due_times:
            return 0
        return workflow.first_start_ms + number * max(workflow.period_ms, 0)

    def _count_due(self, wall_ms: int) -> int:
        workflow = self._workflow
        if not workflow.has_due_times or workflow.period_ms <= 0:
            is_due = wall_ms >= workflow.first_start_ms
            return workflow.occurrences if is_due else 0
        since_first_ms = wall_ms - workflow.first_start_ms
        return min(
            max(since_first_ms // workflow.period_ms + 1, 0),
            workflow.occurrences,
        )
