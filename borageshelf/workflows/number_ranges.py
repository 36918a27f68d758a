"""Sets of whole numbers that mostly follow each other."""

import bisect
from collections import abc


class NumberRanges:
    """A set of whole numbers, kept as ranges that do not touch.

    :param ranges: first and last number of each range, in any order
    :raises ValueError: if a range ends before it begins
    """

    def __init__(self, ranges: abc.Iterable[tuple[int, int]] = ()) -> None:
        self._ranges: list[tuple[int, int]] = []
        for first, last in sorted(ranges):
            if last < first:
                raise ValueError(f'the range {first} to {last} is empty')
            if self._ranges and first <= self._ranges[-1][1] + 1:
                first, previous_last = self._ranges.pop()
                last = max(last, previous_last)
            self._ranges.append((first, last))
        self._count = sum(last - first + 1 for first, last in self._ranges)

    def __len__(self) -> int:
        return self._count

    def __contains__(self, number: int) -> bool:
        position = self._find_position(number)
        return position > 0 and number <= self._ranges[position - 1][1]

    def find_absent(self, number: int) -> int:
        """Return the first number from a given one on that is no member."""
        if number not in self:
            return number
        return self._ranges[self._find_position(number) - 1][1] + 1

    def add(self, number: int) -> None:
        """Add a number; nothing changes if it is a member."""
        if number in self:
            return
        position = self._find_position(number)
        first = last = number
        begin = end = position
        if position and self._ranges[position - 1][1] == number - 1:
            begin = position - 1
            first = self._ranges[begin][0]
        if position < len(self._ranges) and (
            self._ranges[position][0] == number + 1
        ):
            end = position + 1
            last = self._ranges[position][1]
        self._ranges[begin:end] = [(first, last)]
        self._count += 1

    def list_ranges(self) -> tuple[tuple[int, int], ...]:
        """Return the first and last number of each range, in order."""
        return tuple(self._ranges)

    def _find_position(self, number: int) -> int:
        """Return the position of the first range that begins later."""
        return bisect.bisect_right(
            self._ranges, number, key=lambda bounds: bounds[0]
        )
