"""The newest checkpoint of a task, or of a gang.

The checkpoint of any member of a gang is valid for all of them, and all must
start from the same one. Members report theirs at different times.
"""

from typing import Final

# Ranks the checkpoint of a run that has ended above all of its reports.
ENDED_PERCENT: Final = 101


class Checkpoint:
    """The newest checkpoint of one task, or of all members of one gang.

    :ivar value: '' for none
    """

    __slots__ = ('_rank', 'value')

    def __init__(self) -> None:
        self.value = ''
        self._rank = (0, 0)

    def note(self, value: str, attempt: int, percent: int) -> None:
        """Note a checkpoint; one of less progress than the known is ignored.

        :param percent: progress of the run
        """
        rank = (attempt, percent)
        if value and rank >= self._rank:
            self.value = value
            self._rank = rank

    def restore(self, value: str) -> None:
        """Load what is stored of one task.

        A former version stored different ones of the members of a gang, each
        of which is valid.
        """
        self.value = self.value or value

    def clear(self) -> None:
        """Forget the checkpoint, which nothing needs any more."""
        self.value = ''
