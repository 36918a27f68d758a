"""How fast fillers may work beside tasks that serve their own users.

Answers fillers that disturb serving tasks by amounts that differ between
images and change within seconds. When the worst tail latency comes near its
target, the fillers that are most to blame are slowed down; the others go on.
With a margin all recover, those to blame slowly. At pace 0 a filler disturbs
nothing, so a task that is still over its target then has other reasons.
"""

from collections import abc
import dataclasses
from typing import Final

FULL_PACE_PERCENT: Final = 100
# Shares of the latency target. The measured figure is rough and half a second
# old, so the pace sinks before the target is reached.
_FAR_OVER: Final = 1.2
_NEAR: Final = 0.9
_RELAXED: Final = 0.78
# Fillers with at least this part of the highest blame are slowed down.
_BLAMED_PART: Final = 0.5
_STEP_PERCENT: Final = 20
_BLAMED_STEP_PERCENT: Final = 4
# A rise of the log latency below this is noise.
_BLAME_FLOOR: Final = 0.05
# Below this a pace is as good as none.
_LEAST_PERCENT: Final = 5


@dataclasses.dataclass(frozen=True)
class Filler:
    """A filler on the target.

    :param blame: estimated rise of the log latency at full pace
    """

    key: tuple[str, int]
    blame: float
    pace_percent: int


def find_paces(
    fillers: abc.Sequence[Filler], worst_share: float
) -> dict[tuple[str, int], int]:
    """Return the next pace of each filler.

    :param worst_share: highest tail latency of a serving task, as a share of
        its target
    """
    highest = max(
        (filler.blame for filler in fillers if filler.pace_percent),
        default=0.0,
    )
    paces = {}
    for filler in fillers:
        pace = filler.pace_percent
        is_blamed = filler.blame >= highest * _BLAMED_PART
        if worst_share > _NEAR:
            if is_blamed:
                pace = pace // 4 if worst_share > _FAR_OVER else pace * 6 // 10
                pace = pace if pace >= _LEAST_PERCENT else 0
        elif worst_share < _RELAXED:
            is_harmful = filler.blame > _BLAME_FLOOR and is_blamed
            step = _BLAMED_STEP_PERCENT if is_harmful else _STEP_PERCENT
            pace = min(pace + step, FULL_PACE_PERCENT)
        paces[filler.key] = pace
    return paces
