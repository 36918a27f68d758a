"""Learned effects of fillers on the tail latency of serving tasks.

A filler is a task that uses processor time which others leave unused; a
serving task has a latency target. Most fillers do not affect a serving task
at all and a few affect it severely, depending on both images, so effects are
learned by pair of images.

The load of a serving task is not reported. It moves the baseline (the latency
without fillers) within a known range for seconds at a time. A measured
latency therefore only bounds the rise that the fillers cause: the rise is at
least the excess over the top of the range and at most the excess over its
bottom. An estimate outside these bounds is corrected towards the nearer one.
So the estimate of a harmless pair falls whenever the load is low, on any
target.

``interference`` solves the same problem where the load is measured.
"""

from collections import abc
import dataclasses
import math
from typing import Final

# An effect is the rise of the log latency caused by a filler that uses a
# quarter of the VM. With the prior, a filler that uses 16 of 64 cores raises
# the latency by a third.
_QUARTERS_PER_VM: Final = 4.0
PRIOR_EFFECT: Final = 0.3
MAX_EFFECT: Final = 8.0
# A filler with this effect that uses a quarter of the VM doubles the latency.
SEVERE_EFFECT: Final = 0.7
# Log of the ratio of the highest to the lowest baseline; that of the users'
# serving tasks varies between 0.28 and 0.7 of their target.
_BASELINE_LOG_RANGE: Final = 0.95
# Rise of the lowest log latency with each report, so that an old minimum is
# forgotten as the load changes.
_LOWEST_RISE_PER_REPORT: Final = 0.002
_INITIAL_UNCERTAINTY: Final = 1.0
_MIN_UNCERTAINTY: Final = 0.05
# A report multiplies the uncertainty of its pairs by this factor unless it
# proves that their effects are larger than estimated.
_UNCERTAINTY_FACTOR: Final = 0.97
# A report corrects only this part of the error, because the measured latency
# is noisy.
_CORRECTION_SHARE: Final = 0.6
# Latency as a share of its target while none has been reported.
DEFAULT_LATENCY_SHARE: Final = 0.5
# No filler is placed where the expected latency share exceeds this.
MAX_LATENCY_SHARE: Final = 1.0
# Targets with an expected latency share below this are equally good.
UNPENALIZED_LATENCY_SHARE: Final = 0.8


@dataclasses.dataclass(frozen=True)
class Sample:
    """One report of a serving task.

    :param latency_share: tail latency as a share of its target; 0 if it has
        not been measured yet
    :param used_shares: processors in use by each filler image, as a share of
        the VM, in the time window of the latency
    """

    serving_image: str
    latency_share: float
    used_shares: abc.Mapping[str, float]


@dataclasses.dataclass(frozen=True)
class _Pair:
    """Estimated effect of one pair.

    :param uncertainty: weight of the pair when an error is divided among the
        pairs of a report
    """

    effect: float = PRIOR_EFFECT
    uncertainty: float = _INITIAL_UNCERTAINTY


class FillerEffects:
    """Learned effects of all pairs of a serving image and a filler image."""

    def __init__(self) -> None:
        self._pairs: dict[tuple[str, str], _Pair] = {}
        self._lowest_log_latencies: dict[str, float] = {}

    def copy(self) -> 'FillerEffects':
        """Return an independent copy of the effects that are known now."""
        other = FillerEffects()
        other._pairs = dict(self._pairs)
        other._lowest_log_latencies = dict(self._lowest_log_latencies)
        return other

    def observe(self, sample: Sample) -> None:
        """Update the effects of the pairs in one report.

        A task that has just begun has no latency yet, which tells nothing.
        """
        if sample.latency_share <= 0:
            return
        image = sample.serving_image
        log_latency = math.log(sample.latency_share)
        lowest_log_latency = min(
            self._lowest_log_latencies.get(image, log_latency)
            + _LOWEST_RISE_PER_REPORT,
            log_latency,
        )
        self._lowest_log_latencies[image] = lowest_log_latency
        used_quarters = {
            filler: share * _QUARTERS_PER_VM
            for filler, share in sample.used_shares.items()
            if share > 0
        }
        pairs = {
            filler: self._pairs.get((image, filler), _Pair())
            for filler in used_quarters
        }
        predicted_rise = sum(
            pairs[filler].effect * quarters
            for filler, quarters in used_quarters.items()
        )
        min_rise = max(
            log_latency - lowest_log_latency - _BASELINE_LOG_RANGE, 0.0
        )
        max_rise = max(log_latency - lowest_log_latency, 0.0)
        error = min(max(predicted_rise, min_rise), max_rise) - predicted_rise
        weight = sum(
            pairs[filler].uncertainty * quarters * quarters
            for filler, quarters in used_quarters.items()
        )
        for filler, quarters in used_quarters.items():
            pair = pairs[filler]
            effect = pair.effect
            if weight:
                error_share = pair.uncertainty * quarters / weight
                effect += _CORRECTION_SHARE * error * error_share
            uncertainty = pair.uncertainty
            if error <= 0:
                uncertainty *= _UNCERTAINTY_FACTOR
            self._pairs[(image, filler)] = _Pair(
                min(max(effect, 0.0), MAX_EFFECT),
                max(uncertainty, _MIN_UNCERTAINTY),
            )

    def get_effect(self, serving_image: str, filler_image: str) -> float:
        """Return the rise of the log latency per quarter of a VM."""
        pair = self._pairs.get((serving_image, filler_image))
        return pair.effect if pair else PRIOR_EFFECT

    def compute_baseline_limit(self, serving_image: str) -> float:
        """Return the highest latency that load alone can explain.

        :return: latency as a share of its target, derived from the lowest
            reported latency
        """
        lowest_log_latency = self._lowest_log_latencies.get(serving_image)
        if lowest_log_latency is None:
            return DEFAULT_LATENCY_SHARE
        return math.exp(lowest_log_latency + _BASELINE_LOG_RANGE)

    def list_effects(self) -> tuple[tuple[str, str, float], ...]:
        """Return (serving image, filler image, effect) of all known pairs."""
        return tuple(
            (serving, filler, round(known.effect, 2))
            for (serving, filler), known in self._pairs.items()
        )

    def describe(self) -> dict[str, float]:
        """Return totals over the known pairs and images, for the log."""
        effects = [pair.effect for pair in self._pairs.values()]
        lowest = self._lowest_log_latencies.values()
        return {
            'known_pairs': len(effects),
            'severe_pairs': sum(effect >= SEVERE_EFFECT for effect in effects),
            'highest_effect': round(max(effects, default=0.0), 2),
            'lowest_latency_share': round(
                math.exp(min(lowest, default=0.0)), 3
            ),
        }

    def predict_latency_share(
        self,
        baseline_shares: abc.Mapping[str, float],
        filler_sizes: abc.Mapping[str, float],
    ) -> float:
        """Return the highest expected latency, as a share of its target.

        :param baseline_shares: baseline of each serving image, as a share of
            its latency target
        :param filler_sizes: size of the fillers by image, as a share of the
            VM, including the filler to place
        """
        worst = 0.0
        for image, baseline_share in baseline_shares.items():
            rise = sum(
                compute_log_rise(self.get_effect(image, filler), size)
                for filler, size in filler_sizes.items()
            )
            worst = max(worst, baseline_share * math.exp(rise))
        return worst


def compute_log_rise(effect: float, size_share: float) -> float:
    """Return the rise of the log latency that a filler causes.

    :param effect: rise of the log latency per quarter of a VM
    :param size_share: processors of the filler as a share of the VM
    """
    return effect * size_share * _QUARTERS_PER_VM


def compute_baseline_share(
    latency_share: float,
    effects: abc.Mapping[str, float],
    used_shares: abc.Mapping[str, float],
) -> float:
    """Return the latency without the fillers, as a share of its target.

    :param latency_share: measured latency as a share of its target
    :param effects: rise of the log latency per quarter of a VM, by filler
        image
    :param used_shares: processors in use by each filler image, as a share of
        the VM
    """
    rise = sum(
        compute_log_rise(effects[image], share)
        for image, share in used_shares.items()
    )
    return latency_share * math.exp(-rise)
