"""Counts the failed attempts of a task, or of a gang.

The members of a gang share their attempts: however many of them fail in one,
the gang has failed once. Ends are reported in any order, again by a later
session, and to the next owner, so each attempt counts by its number.
"""

from collections import abc


class FailedAttempts:
    """Failed attempts of one task, or of all members of one gang."""

    __slots__ = ('_numbers', '_unnumbered_count')

    def __init__(self) -> None:
        self._numbers: set[int] = set()
        # Counted by an owner that stored no numbers.
        self._unnumbered_count = 0

    def add(self, attempt: int) -> bool:
        """Count a failed attempt; return whether it was not counted before."""
        is_new = attempt not in self._numbers
        self._numbers.add(attempt)
        return is_new

    @property
    def count(self) -> int:
        """Number of failed attempts."""
        return len(self._numbers) + self._unnumbered_count

    @property
    def numbers(self) -> tuple[int, ...]:
        """Numbers of the failed attempts, in ascending order."""
        return tuple(sorted(self._numbers))

    def restore(
        self, count: int, numbers: abc.Collection[int], attempts: int
    ) -> None:
        """Load what is stored of one task.

        All members of a gang store the same. A former version counted an
        attempt once for each member that failed in it.

        :param attempts: highest attempt number used so far
        """
        self._numbers.update(numbers)
        self._unnumbered_count = max(
            self._unnumbered_count, min(count, attempts) - len(numbers)
        )
