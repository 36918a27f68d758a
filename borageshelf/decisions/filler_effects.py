"""Learned effects of fillers on the tail latency of serving tasks.

A filler is a task that uses processor time which others leave unused; a
serving task has a latency target. Most fillers do not affect a serving task
at all and a few affect it severely, depending on both images, so effects are
learned by pair of images.

The load of a serving task is not reported. What it does to the latency follows
from the other tasks of the same workflow, which share the load
(``replica_latencies``); the rest of a latency is due to the fillers. The
effects of all fillers beside a task are corrected together, by a Kalman filter
that neglects the covariances of the effects.

Where a workflow has no other target, the load moves the baseline (the latency
without fillers) within a known range, and a latency only bounds the rise that
the fillers cause: it is at least the excess over the top of the range and at
most the excess over its bottom. An estimate outside these bounds is corrected
towards the nearer one.

``interference`` solves the same problem where the load is measured.
"""

from collections import abc
import dataclasses
import math
from typing import Final

from borageshelf.decisions import replica_latencies

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
# Variance of the effects of unknown pairs around the prior: about a third of
# them are severe.
_PRIOR_VARIANCE: Final = 0.4
# Added with each report, because effects change.
_DRIFT_VARIANCE: Final = 0.001
# Variance of a log latency whose baseline and effects are known.
_NOISE_VARIANCE: Final = 0.02
# A larger error, in standard deviations, counts as this one, so that a single
# latency that is far off changes little.
_ERROR_LIMIT: Final = 2.5
# The pairs that were updated least recently are forgotten; bounds memory.
PAIRS_LIMIT: Final = 4_000
# Latency as a share of its target while none has been reported.
DEFAULT_LATENCY_SHARE: Final = 0.5
# No filler is placed where the expected latency share exceeds this, and up to
# it fillers are not slowed. The rest is a reserve for changes of load, which
# move the latency by a third.
MAX_LATENCY_SHARE: Final = 0.82
# Targets with an expected latency share below this are equally good.
UNPENALIZED_LATENCY_SHARE: Final = 0.8


@dataclasses.dataclass(frozen=True)
class Sample:
    """One report of a serving task.

    :param latency_share: tail latency as a share of its target; 0 if it has
        not been measured yet
    :param used_shares: processors in use by each filler image, as a share of
        the VM, in the time window of the latency
    :param workflow_id: workflow of the task; '' if it is not known
    :param at_ms: elapsed time of the report
    """

    serving_image: str
    latency_share: float
    used_shares: abc.Mapping[str, float]
    workflow_id: str = ''
    target_id: str = ''
    at_ms: int = 0


@dataclasses.dataclass(frozen=True)
class _Pair:
    """Estimated effect of one pair, with the variance of its error."""

    effect: float = PRIOR_EFFECT
    variance: float = _PRIOR_VARIANCE


class FillerEffects:
    """Learned effects of all pairs of a serving image and a filler image."""

    def __init__(self) -> None:
        self._pairs: dict[tuple[str, str], _Pair] = {}
        self._lowest_log_latencies: dict[str, float] = {}
        self._replicas = replica_latencies.ReplicaLatencies()

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
        self._note_lowest(image, log_latency)
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
        predicted_variance = sum(
            pairs[filler].variance * quarters * quarters
            for filler, quarters in used_quarters.items()
        )
        baseline = None
        if sample.workflow_id:
            baseline = self._replicas.estimate_baseline(
                sample.workflow_id, sample.target_id, sample.at_ms
            )
            self._replicas.record(
                sample.workflow_id,
                sample.target_id,
                log_latency - predicted_rise,
                predicted_variance,
                sample.at_ms,
            )
        variance = _NOISE_VARIANCE + predicted_variance
        if baseline is not None:
            variance += baseline.variance
            error = log_latency - baseline.log_latency - predicted_rise
        else:
            error = self._compute_error_by_range(
                image, log_latency, predicted_rise
            )
        limit = _ERROR_LIMIT * math.sqrt(variance)
        error = min(max(error, -limit), limit)
        for filler, quarters in used_quarters.items():
            pair = pairs[filler]
            gain = pair.variance * quarters / variance
            self._pairs.pop((image, filler), None)
            self._pairs[(image, filler)] = _Pair(
                min(max(pair.effect + gain * error, 0.0), MAX_EFFECT),
                min(
                    pair.variance * (1 - gain * quarters) + _DRIFT_VARIANCE,
                    _PRIOR_VARIANCE,
                ),
            )
        while len(self._pairs) > PAIRS_LIMIT:
            del self._pairs[next(iter(self._pairs))]

    def _note_lowest(self, image: str, log_latency: float) -> None:
        lowest_log_latency = self._lowest_log_latencies.get(image, log_latency)
        self._lowest_log_latencies[image] = min(
            lowest_log_latency + _LOWEST_RISE_PER_REPORT, log_latency
        )

    def _compute_error_by_range(
        self, image: str, log_latency: float, predicted_rise: float
    ) -> float:
        """Return how far a rise is from what the range of the load allows."""
        max_rise = log_latency - self._lowest_log_latencies[image]
        max_rise = max(max_rise, 0.0)
        min_rise = max(max_rise - _BASELINE_LOG_RANGE, 0.0)
        return min(max(predicted_rise, min_rise), max_rise) - predicted_rise

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
