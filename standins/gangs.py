"""Gangs of the stand-in executors: runs that work only all together."""

from collections import abc
import dataclasses
from typing import Final

GANG_MARK: Final = '&'
WAIT_LIMIT_MS: Final = 4_000


def parse_size(spec: str) -> tuple[str, int]:
    """Return a specification without its mark of a gang, and the gang's size.

    ``300&4`` stands for members that work for 300 ms once all four are there.
    The size is 0 for a task that is in no gang.
    """
    rest, _, size = spec.partition(GANG_MARK)
    return rest, int(size or 0)


@dataclasses.dataclass
class _Attempt:
    """One attempt of a gang.

    :ivar present: the checkpoint of each member that has a run
    :ivar is_complete: whether all were present together, so that they work
    :ivar end: how the first run ended, '' before
    """

    present: dict[str, str] = dataclasses.field(default_factory=dict)
    is_complete: bool = False
    end: str = ''


class Gangs:
    """The gangs whose members run on any of several executors."""

    def __init__(self) -> None:
        self._attempts: dict[tuple[str, int], _Attempt] = {}

    def join(
        self, task: str, attempt: int, size: int, checkpoint: str
    ) -> None:
        """Note the run of a member; all must carry the same checkpoint."""
        found = self._find(task, attempt)
        found.present[task] = checkpoint
        found.is_complete = found.is_complete or (
            len(found.present) == size and len({*found.present.values()}) == 1
        )

    def leave(self, task: str, attempt: int, outcome: str) -> None:
        """Note the end of the run of a member."""
        found = self._find(task, attempt)
        found.present.pop(task, None)
        found.end = found.end or outcome

    def is_complete(self, task: str, attempt: int) -> bool:
        """Tell whether all members have been there together."""
        return self._find(task, attempt).is_complete

    def find_end(self, task: str, attempt: int) -> str:
        """Return how a run ends because of another member's, '' if not."""
        end = self._find(task, attempt).end
        return end if end in ('', 'done') else 'broken'

    def _find(self, task: str, attempt: int) -> _Attempt:
        key = (find_gang(task), attempt)
        return self._attempts.setdefault(key, _Attempt())


def find_gang(task: str) -> str:
    """Return the name of the step of a task, which its gang shares."""
    return task.rpartition('.')[0]


def count_failed_attempts(
    failed: abc.Iterable[tuple[str, int]], is_gang: bool
) -> int:
    """Return the most failed attempts of any one task, or of any one gang.

    :param failed: tasks and attempts of the runs that failed
    """
    attempts: dict[str, set[int]] = {}
    for task, attempt in failed:
        name = find_gang(task) if is_gang else task
        attempts.setdefault(name, set()).add(attempt)
    return max(map(len, attempts.values()), default=0)
