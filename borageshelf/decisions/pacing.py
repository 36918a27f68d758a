"""How fast fillers may work beside tasks that serve their own users.

Answers fillers that disturb serving tasks by amounts that nobody knows and
that change within seconds. The tail latency of the worst serving task steers
one common pace of all fillers on the target: down quickly above the target,
up slowly when there is a margin. At pace 0 fillers disturb nothing, so a task
that is still over its target then has other reasons.
"""

from typing import Final

# A new filler begins at this pace beside serving tasks.
FIRST_PACE_PERCENT: Final = 50
FULL_PACE_PERCENT: Final = 100
# Shares of the latency target. The measured figure is rough, so the pace
# sinks before the target is reached.
_FAR_OVER: Final = 1.15
_NEAR: Final = 0.85
_RELAXED: Final = 0.7
_STEP_PERCENT: Final = 8
_SLOW_STEP_PERCENT: Final = 3
# Below this a pace is as good as none.
_LEAST_PERCENT: Final = 5


def find_pace(pace_percent: int, worst_share: float) -> int:
    """Return the next pace of the fillers.

    :param worst_share: highest tail latency of a serving task, as a share of
        its target
    """
    if worst_share > _FAR_OVER:
        lowered = pace_percent // 4
    elif worst_share > _NEAR:
        lowered = pace_percent * 6 // 10
    elif worst_share > _RELAXED:
        return min(pace_percent + _SLOW_STEP_PERCENT, FULL_PACE_PERCENT)
    else:
        return min(pace_percent + _STEP_PERCENT, FULL_PACE_PERCENT)
    return lowered if lowered >= _LEAST_PERCENT else 0
