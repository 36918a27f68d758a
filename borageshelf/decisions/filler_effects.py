"""What fillers do to the tail latency of serving tasks, by pair of images.

Most fillers disturb a serving task not at all and a few do so severely; which
ones depends on both images. A serving task's own load, which nobody reports,
moves its quiet latency within a known range for seconds. So a latency only
bounds the rise by the fillers beside it: it is at least what exceeds the top
of the range and at most what exceeds its bottom. An estimate outside of these
bounds is moved to the nearer one. A pair that is harmless is so cleared
whenever the load is low, on any target.

``interference`` solves the same problem where the load is measured.
"""

from collections import abc
import dataclasses
import math
from typing import Final

# Effects are kept for a quarter of a VM: the prior then says that a filler of
# sixteen cores of 64 raises the latency by a third.
_SHARE_SCALE: Final = 4.0
UNKNOWN_EFFECT: Final = 0.3
LARGEST_EFFECT: Final = 8.0
# Log of the ratio between the highest and the lowest quiet latency; the
# users' serving tasks swing between 0.28 and 0.7 of their target.
_LOAD_RANGE: Final = 0.95
# The lowest latency seen is forgotten slowly, as loads change.
_FLOOR_DRIFT: Final = 0.002
_FIRST_UNCERTAINTY: Final = 1.0
_LEAST_UNCERTAINTY: Final = 0.05
# Each report that agrees with a pair makes it this much more certain.
_CERTAINTY_FACTOR: Final = 0.97
# A report moves the estimates only by this part of the way, because the
# measured latency is rough.
_STEP: Final = 0.6
# Latency as a share of its target, where none has been reported.
DEFAULT_LATENCY_SHARE: Final = 0.5
# An expected share above this is no place for a filler.
RISK_LIMIT: Final = 1.0
# Below this, targets are equally good.
RISK_FREE: Final = 0.8


@dataclasses.dataclass(frozen=True)
class Sample:
    """One report of a serving task.

    :param latency_share: tail latency as a share of its target
    :param used_shares: processors in use by each filler image, as a share of
        the VM, in the time that the latency covers
    """

    serving_image: str
    latency_share: float
    used_shares: abc.Mapping[str, float]


@dataclasses.dataclass(frozen=True)
class _Pair:
    """Effect of one pair; the uncertainty divides the blame."""

    effect: float = UNKNOWN_EFFECT
    uncertainty: float = _FIRST_UNCERTAINTY


class FillerEffects:
    """Learned effects of all pairs."""

    def __init__(self) -> None:
        self._pairs: dict[tuple[str, str], _Pair] = {}
        self._floors: dict[str, float] = {}

    def observe(self, sample: Sample) -> None:
        """Include one report."""
        image = sample.serving_image
        value = math.log(max(sample.latency_share, 0.01))
        floor = min(self._floors.get(image, value) + _FLOOR_DRIFT, value)
        self._floors[image] = floor
        shares = {
            filler: share * _SHARE_SCALE
            for filler, share in sample.used_shares.items()
            if share > 0
        }
        pairs = {
            filler: self._pairs.get((image, filler), _Pair())
            for filler in shares
        }
        rise = sum(
            pairs[filler].effect * share for filler, share in shares.items()
        )
        least = max(value - floor - _LOAD_RANGE, 0.0)
        most = max(value - floor, 0.0)
        error = min(max(rise, least), most) - rise
        weight = sum(
            pairs[filler].uncertainty * share * share
            for filler, share in shares.items()
        )
        for filler, share in shares.items():
            pair = pairs[filler]
            effect = pair.effect
            if weight:
                part = pair.uncertainty * share / weight
                effect += _STEP * error * part
            uncertainty = pair.uncertainty
            if error <= 0:
                uncertainty *= _CERTAINTY_FACTOR
            self._pairs[(image, filler)] = _Pair(
                min(max(effect, 0.0), LARGEST_EFFECT),
                max(uncertainty, _LEAST_UNCERTAINTY),
            )

    def get_effect(self, serving_image: str, filler_image: str) -> float:
        """Return the rise of the log latency for a quarter of a VM."""
        pair = self._pairs.get((serving_image, filler_image))
        return pair.effect if pair else UNKNOWN_EFFECT

    def compute_baseline_limit(self, serving_image: str) -> float:
        """Return the highest latency that the load alone explains.

        :return: as a share of the target, by the lowest latency seen
        """
        floor = self._floors.get(serving_image)
        if floor is None:
            return DEFAULT_LATENCY_SHARE
        return math.exp(floor + _LOAD_RANGE)

    def list_effects(self) -> tuple[tuple[str, str, float], ...]:
        """Return serving image, filler image and effect of known pairs."""
        return tuple(
            (serving, filler, round(known.effect, 2))
            for (serving, filler), known in self._pairs.items()
        )

    def predict_latency_share(
        self,
        quiet_shares: abc.Mapping[str, float],
        filler_sizes: abc.Mapping[str, float],
    ) -> float:
        """Return the expected latency, as a share of the target.

        :param quiet_shares: share of each serving image without fillers
        :param filler_sizes: sizes of the fillers by image, as shares of the
            VM, the new one included
        """
        worst = 0.0
        for image, quiet in quiet_shares.items():
            rise = sum(
                find_log_rise(self.get_effect(image, filler), size)
                for filler, size in filler_sizes.items()
            )
            worst = max(worst, quiet * math.exp(rise))
        return worst


def find_log_rise(effect: float, size_share: float) -> float:
    """Return by how much a filler raises the log latency."""
    return effect * size_share * _SHARE_SCALE


def compute_baseline_share(
    latency_share: float,
    effects: abc.Mapping[str, float],
    used_shares: abc.Mapping[str, float],
) -> float:
    """Return what a latency would be without the fillers.

    :param effects: by filler image
    """
    rise = sum(
        find_log_rise(effects[image], share)
        for image, share in used_shares.items()
    )
    return latency_share * math.exp(-rise)
