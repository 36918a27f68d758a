"""Pace of the fillers that run on the same target as serving tasks.

The pace limits a filler to a percentage of its full speed. It guards the
latency targets of serving tasks against fillers whose effect differs between
images and changes within seconds. The learned effects determine how much of
each filler a serving task tolerates; fillers without an effect run at full
pace. If the model is wrong and a latency still comes near its target, a gain
below 1 slows down all fillers with an effect on this serving image, and
recovers slowly. At pace 0
a filler has no effect, so a serving task that still exceeds its target does so
for other reasons.
"""

from collections import abc
import dataclasses
import math
from typing import Final

from borageshelf.decisions import filler_effects

FULL_PACE_PERCENT: Final = 100
# Above these shares of the target the model is assumed to underestimate the
# effects, and the gain is reduced, above the second one more strongly.
_SLOWED_SHARE: Final = 0.93
_EXCEEDED_SHARE: Final = 1.15
# Below this share of the target the gain recovers.
_RECOVERY_SHARE: Final = 0.8
_GAIN_RECOVERY_STEP: Final = 0.12
# Fillers of one image that together raise the log latency at full pace by no
# more than this count as having no effect.
_MIN_LOG_RISE: Final = 0.04
# A lower pace is rounded down to 0.
_MIN_PACE_PERCENT: Final = 4


@dataclasses.dataclass(frozen=True)
class Filler:
    """A filler on the target.

    :param key: task name and attempt number
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
    """Return the next gain of a serving image, at most 1.

    A gain of 1 trusts the model.

    :param worst_share: highest latency of the image's tasks on the target, as
        a share of their latency target
    """
    if worst_share > _EXCEEDED_SHARE:
        return gain * 0.45
    if worst_share > _SLOWED_SHARE:
        return gain * 0.6
    if worst_share < _RECOVERY_SHARE:
        return min(gain + _GAIN_RECOVERY_STEP, 1.0)
    return gain


def compute_paces(
    fillers: abc.Sequence[Filler],
    serving_images: abc.Sequence[ServingImage],
    used_shares: abc.Mapping[str, float],
    effects: Effects,
    gains: abc.Mapping[str, float],
) -> dict[tuple[str, int], int]:
    """Return the pace of each filler in percent, by its key.

    :param used_shares: processors in use by each filler image, as a share of
        the VM, in the time window of the latencies
    :param effects: rise of the log latency per quarter of a VM, by serving
        image and filler image
    :param gains: factor on the pace of fillers with an effect on a serving
        image, by serving image; 1 for those that are missing
    """
    size_shares: dict[str, float] = {}
    for filler in fillers:
        size_share = size_shares.get(filler.image, 0.0) + filler.size_share
        size_shares[filler.image] = size_share
    pace_ratios = dict.fromkeys(size_shares, 1.0)
    for serving in serving_images:
        log_rises = {
            image: filler_effects.compute_log_rise(
                _get_effect(effects, serving.image, image), size_share
            )
            for image, size_share in size_shares.items()
        }
        baseline_share = filler_effects.compute_baseline_share(
            serving.latency_share,
            {
                image: _get_effect(effects, serving.image, image)
                for image in used_shares
            },
            used_shares,
        )
        tolerated_rise = max(
            math.log(
                filler_effects.MAX_LATENCY_SHARE / max(baseline_share, 0.01)
            ),
            0.0,
        )
        harmful_rises = {
            image: rise
            for image, rise in log_rises.items()
            if rise > _MIN_LOG_RISE
        }
        gain = gains.get(serving.image, 1.0)
        # The image with the largest effect per processor is slowed first.
        excess_rise = sum(harmful_rises.values()) - tolerated_rise
        for image in sorted(
            harmful_rises,
            key=lambda name: -log_rises[name] / size_shares[name],
        ):
            pace_ratio = 1.0
            if excess_rise > 0:
                removed_rise = min(excess_rise, harmful_rises[image])
                pace_ratio = 1 - removed_rise / harmful_rises[image]
                excess_rise -= removed_rise
            pace_ratios[image] = min(pace_ratios[image], pace_ratio * gain)
    paces = {}
    for filler in fillers:
        pace = round(pace_ratios[filler.image] * FULL_PACE_PERCENT)
        paces[filler.key] = pace if pace >= _MIN_PACE_PERCENT else 0
    return paces


def _get_effect(effects: Effects, serving: str, filler: str) -> float:
    return effects.get((serving, filler), filler_effects.PRIOR_EFFECT)
