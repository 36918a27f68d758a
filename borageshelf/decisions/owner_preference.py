"""Which entry should own the workflows, by the processors that it may use.

Any entry can be the owner, but entries differ in size, and the owner's work
grows with the number of targets. An owner with too little processor time
starts work late and answers late. So a small entry leaves a takeover to larger
ones for a moment, and an owner that is too small for its fleet hands over to a
larger entry. Neither needs more coordination than the takeover itself.
"""

from typing import Final

# Processor time of the owner for each target at the planned peak of 24 starts
# a second; docs/CAPACITY.md has the measurements.
MILLICORES_PER_TARGET: Final = 10
# Handing over costs callers a fraction of a second, so the other entry must
# be larger by this factor.
HAND_OVER_RATIO: Final = 1.5
# Longest delay of a takeover by a small entry. The death of an owner takes
# longer to notice, and taking over takes a few store calls.
MAX_TAKEOVER_DELAY_MS: Final = 120


def compute_takeover_delay_ms(
    own_millicores: int, largest_millicores: int
) -> int:
    """Return how long an entry leaves a takeover to larger ones.

    :param largest_millicores: processors of the largest entry that the former
        owner knew, itself excluded; 0 if unknown
    """
    if own_millicores >= largest_millicores:
        return 0
    missing_share = 1 - own_millicores / largest_millicores
    return round(MAX_TAKEOVER_DELAY_MS * missing_share)


def should_hand_over(
    own_millicores: int, largest_millicores: int, target_count: int
) -> bool:
    """Tell whether the owner should hand over to a larger entry.

    :param largest_millicores: processors of the largest other entry that the
        owner is connected to; 0 without any
    """
    if own_millicores >= target_count * MILLICORES_PER_TARGET:
        return False
    return largest_millicores >= own_millicores * HAND_OVER_RATIO
