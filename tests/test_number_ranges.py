"""Sets of numbers that are kept as ranges."""

import hypothesis
from hypothesis import strategies
import pytest

from borageshelf.workflows import number_ranges

NUMBERS = strategies.integers(0, 40)


@hypothesis.given(strategies.lists(NUMBERS), strategies.lists(NUMBERS))
def test_ranges_hold_what_was_added(
    numbers: list[int], later: list[int]
) -> None:
    ranges = number_ranges.NumberRanges((number, number) for number in numbers)
    for number in later:
        ranges.add(number)
    expected = {*numbers, *later}
    assert {number for number in range(42) if number in ranges} == expected
    assert len(ranges) == len(expected)
    assert ranges.find_absent(0) == min({*range(42)} - expected)
    found = ranges.list_ranges()
    assert list(found) == sorted(found)
    assert all(
        first[1] + 1 < second[0]
        for first, second in zip(found, found[1:], strict=False)
    )
    again = number_ranges.NumberRanges(found)
    assert again.list_ranges() == found


def test_range_that_ends_before_it_begins_is_refused() -> None:
    with pytest.raises(ValueError, match='3 to 2'):
        number_ranges.NumberRanges([(3, 2)])
