"""How fast fillers may work beside tasks that serve their own users.

Answers fillers that disturb serving tasks by amounts that differ between
images and change within seconds. From the learned effects it follows how much
of each filler a serving task bears; fillers without effect are left alone.
Where the model is wrong and a latency still comes near its target, a gain
slows all fillers with any effect further, and recovers slowly. At pace 0 a
filler disturbs nothing, so a task that is over its target then has other
reasons.
"""

from collections import abc
import dataclasses
import math
from typing import Final

from borageshelf.decisions import filler_effects

FULL_PACE_PERCENT: Final = 100
# Expected latency, as a share of its target, up to which fillers may work.
# The rest is for the load, which moves the latency by a third.
_AIM_SHARE: Final = 0.82
# Above this the model is taken to be wrong.
_NEAR_SHARE: Final = 0.93
_FAR_SHARE: Final = 1.15
_RELAXED_SHARE: Final = 0.8
_GAIN_STEP: Final = 0.06
# A rise of the log latency below this, at full pace, is no effect.
_EFFECT_FLOOR: Final = 0.04
# Below this a pace is as good as none.
_LEAST_PERCENT: Final = 4


@dataclasses.dataclass(frozen=True)
class Filler:
    """A filler on the target.

    :param size_share: its processors as a share of the VM
    """

    key: tuple[str, int]
    image: str
    size_share: float


@dataclasses.dataclass(frozen=True)
class ServingImage:
    """A serving image on the target.

    :param latency_share: tail latency as a share of its target
    """

    image: str
    latency_share: float


Effects = abc.Mapping[tuple[str, str], float]


def compute_next_gain(gain: float, worst_share: float) -> float:
    """Return the next gain; 1 trusts the model."""
    if worst_share > _FAR_SHARE:
        return gain * 0.3
    if worst_share > _NEAR_SHARE:
        return gain * 0.6
    if worst_share < _RELAXED_SHARE:
        return min(gain + _GAIN_STEP, 1.0)
    return gain


def compute_paces(
    fillers: abc.Sequence[Filler],
    servings: abc.Sequence[ServingImage],
    used_shares: abc.Mapping[str, float],
    effects: Effects,
    gain: float,
) -> dict[tuple[str, int], int]:
    """Return the pace of each filler.

    :param used_shares: processors in use by each filler image, as a share of
        the VM, in the time that the latencies cover
    """
    sizes: dict[str, float] = {}
    for filler in fillers:
        size = sizes.get(filler.image, 0.0) + filler.size_share
        sizes[filler.image] = size
    allowed = dict.fromkeys(sizes, 1.0)
    for serving in servings:
        rises = {
            image: filler_effects.find_log_rise(
                _find_effect(effects, serving.image, image), size
            )
            for image, size in sizes.items()
        }
        quiet = filler_effects.compute_baseline_share(
            serving.latency_share,
            {
                image: _find_effect(effects, serving.image, image)
                for image in used_shares
            },
            used_shares,
        )
        budget = max(math.log(_AIM_SHARE / max(quiet, 0.01)), 0.0)
        harmful = {
            image: rise
            for image, rise in rises.items()
            if rise > _EFFECT_FLOOR
        }
        # The one that disturbs most for each processor gives way first.
        excess = sum(harmful.values()) - budget
        for image in sorted(
            harmful, key=lambda name: -rises[name] / sizes[name]
        ):
            part = 1.0
            if excess > 0:
                cut = min(excess, harmful[image])
                part = 1 - cut / harmful[image]
                excess -= cut
            allowed[image] = min(allowed[image], part * gain)
    paces = {}
    for filler in fillers:
        pace = round(allowed[filler.image] * FULL_PACE_PERCENT)
        paces[filler.key] = pace if pace >= _LEAST_PERCENT else 0
    return paces


def _find_effect(effects: Effects, serving: str, filler: str) -> float:
    return effects.get((serving, filler), filler_effects.UNKNOWN_EFFECT)
