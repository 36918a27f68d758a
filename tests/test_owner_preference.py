"""Which entry should own the workflows."""

import pytest

from borageshelf.decisions import owner_preference


@pytest.mark.parametrize(
    ('own', 'largest', 'expected_ms'),
    [(516, 2_151, 91), (2_151, 2_151, 0), (2_151, 516, 0), (516, 0, 0)],
)
def test_smaller_entries_leave_a_takeover_to_larger_ones(
    own: int, largest: int, expected_ms: int
) -> None:
    """Guards against a takeover that waits although nobody is larger."""
    delay_ms = owner_preference.compute_takeover_delay_ms(own, largest)
    assert delay_ms == expected_ms


@pytest.mark.parametrize(
    ('own', 'largest', 'targets', 'expected'),
    [
        (516, 2_151, 160, True),
        (516, 2_151, 16, False),
        (516, 600, 160, False),
        (2_151, 2_151, 460, False),
        (516, 0, 160, False),
    ],
)
def test_owner_that_is_too_small_hands_over(
    own: int, largest: int, targets: int, expected: bool
) -> None:
    """Guards against hand-overs without need or without gain."""
    found = owner_preference.should_hand_over(own, largest, targets)
    assert found is expected
