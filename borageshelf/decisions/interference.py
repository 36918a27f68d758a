"""Learned effects of batch families on the p99 of services on the same VM.

The model is
``log p99 = baseline(load) + sum over families of effect * share``,
where ``share`` is the part of the VM's processors that the family uses and
``baseline`` is piecewise linear in the load of the executor. Each effect and
each node of the baseline has a mean and a variance, which a Kalman filter
updates. The filter keeps only the diagonal of the covariance, so the cost of
an update grows with the number of families on one VM. Placement reads effects
and their uncertainty; control reads effects to choose the attempts to
throttle. A ``Table`` is immutable; every observation returns a new one.

The latency in an observation was measured some time ago, so the caller pairs
it with the mix that ran at that time (``find_mix``).
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math
from typing import Final

# Effect of a family that was never measured beside the service: using half
# of the VM raises the p99 by about a fifth.
PRIOR_EFFECT: Final = 0.4
PRIOR_VARIANCE: Final = 0.64
# Without measurements an estimate returns to the prior over this time, so a
# pair that was harmful in one phase of a job is tried again later.
EFFECT_RETURN_MS: Final = 600_000
# Variance of a measured log p99 around the model: the noise of a p99 over a
# few seconds of calls plus the error of the model.
MEASUREMENT_VARIANCE: Final = 0.0225
# The effect of a pair counts as known up to this variance.
MAX_KNOWN_VARIANCE: Final = 0.1
MAX_EFFECT: Final = 8.0
# Number of intervals between the nodes of the load.
LOAD_INTERVALS: Final = 16
BASELINE_PRIOR_VARIANCE: Final = 0.5
# The baseline drifts slowly as the service's code and its callers change; its
# variance returns to the prior over this time.
BASELINE_RETURN_MS: Final = 36_000_000


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Mean and variance of one parameter of the model."""

    mean: float
    variance: float
    updated_at_ms: int


@dataclasses.dataclass(frozen=True)
class Table:
    """Learned parameters of the model.

    :param pairs: effects by (service, family)
    :param baseline: log p99 without batch work by (service, node)
    """

    pairs: Mapping[tuple[str, str], Estimate] = dataclasses.field(
        default_factory=dict
    )
    baseline: Mapping[tuple[str, int], Estimate] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class Observation:
    """One delayed measurement of a service on one VM.

    :param load: load of the executor at the time of the measurement, 0 to 1
    :param shares: share of the VM's processors by family at that time
    """

    service: str
    p99_ms: float
    load: float
    shares: Mapping[str, float]
    measured_at_ms: int


@dataclasses.dataclass(frozen=True)
class Mix:
    """Processor shares by family that apply from a time on."""

    since_ms: int
    shares: Mapping[str, float]


def find_mix(history: Sequence[Mix], at_ms: int) -> Mapping[str, float]:
    """Return the processor shares by family at a time in the past.

    :param history: mixes in ascending order of ``since_ms``
    """
    found: Mapping[str, float] = {}
    for mix in history:
        if mix.since_ms > at_ms:
            break
        found = mix.shares
    return found


def estimate_effect(
    table: Table, service: str, family: str, now_ms: int
) -> tuple[float, float]:
    """Return the expected effect of a pair and its standard deviation.

    The estimate returns to the prior while the pair is not measured.
    """
    pair = _get_pair(table, service, family, now_ms)
    return pair.mean, math.sqrt(pair.variance)


def is_known(table: Table, service: str, family: str, now_ms: int) -> bool:
    """Tell whether the effect of a pair was measured well and recently."""
    pair = _get_pair(table, service, family, now_ms)
    return pair.variance <= MAX_KNOWN_VARIANCE


def observe(table: Table, observation: Observation) -> Table:
    """Return the table after one measurement.

    The error of the prediction is divided among the parameters by their
    variance and their part in the prediction.
    """
    if observation.p99_ms <= 0:
        return table
    log_p99 = math.log(observation.p99_ms)
    baseline_terms = {
        (observation.service, node): (
            coefficient,
            _get_baseline(
                table,
                observation.service,
                node,
                log_p99,
                observation.measured_at_ms,
            ),
        )
        for node, coefficient in _interpolate_load(observation.load)
    }
    effect_terms = {
        (observation.service, family): (
            share,
            _get_pair(
                table, observation.service, family, observation.measured_at_ms
            ),
        )
        for family, share in observation.shares.items()
        if share > 0
    }
    terms = [*baseline_terms.values(), *effect_terms.values()]
    error = log_p99 - sum(
        coefficient * estimate.mean for coefficient, estimate in terms
    )
    prediction_variance = MEASUREMENT_VARIANCE + sum(
        coefficient * coefficient * estimate.variance
        for coefficient, estimate in terms
    )
    new_baseline = {
        key: _update(estimate, coefficient, error, prediction_variance)
        for key, (coefficient, estimate) in baseline_terms.items()
    }
    new_pairs = {
        key: _clip_effect(
            _update(estimate, coefficient, error, prediction_variance)
        )
        for key, (coefficient, estimate) in effect_terms.items()
    }
    return Table(
        {**table.pairs, **new_pairs}, {**table.baseline, **new_baseline}
    )


def _update(
    estimate: Estimate,
    coefficient: float,
    error: float,
    prediction_variance: float,
) -> Estimate:
    gain = estimate.variance * coefficient / prediction_variance
    return Estimate(
        estimate.mean + gain * error,
        estimate.variance * (1.0 - gain * coefficient),
        estimate.updated_at_ms,
    )


def _clip_effect(estimate: Estimate) -> Estimate:
    mean = min(max(estimate.mean, 0.0), MAX_EFFECT)
    return dataclasses.replace(estimate, mean=mean)


def _interpolate_load(load: float) -> list[tuple[int, float]]:
    """Return the two nodes around the load with their weights."""
    position = min(max(load, 0.0), 1.0) * LOAD_INTERVALS
    node = min(int(position), LOAD_INTERVALS - 1)
    coefficient = position - node
    return [(node, 1.0 - coefficient), (node + 1, coefficient)]


def _get_pair(
    table: Table, service: str, family: str, now_ms: int
) -> Estimate:
    """Return the effect of a pair, aged towards the prior."""
    estimate = table.pairs.get((service, family))
    if estimate is None:
        return Estimate(PRIOR_EFFECT, PRIOR_VARIANCE, now_ms)
    age_ratio = max(now_ms - estimate.updated_at_ms, 0) / EFFECT_RETURN_MS
    mean = PRIOR_EFFECT + (estimate.mean - PRIOR_EFFECT) * math.exp(-age_ratio)
    variance = min(
        estimate.variance + PRIOR_VARIANCE * age_ratio, PRIOR_VARIANCE
    )
    return Estimate(mean, variance, max(now_ms, estimate.updated_at_ms))


def _get_baseline(
    table: Table, service: str, node: int, log_p99: float, now_ms: int
) -> Estimate:
    """Return the baseline at a node of the load.

    A new node starts with the mean of its lower neighbour or, without one,
    with the measured log p99.
    """
    estimate = table.baseline.get((service, node))
    if estimate is not None:
        age_ratio = (
            max(now_ms - estimate.updated_at_ms, 0) / BASELINE_RETURN_MS
        )
        variance = min(
            estimate.variance + BASELINE_PRIOR_VARIANCE * age_ratio,
            BASELINE_PRIOR_VARIANCE,
        )
        return Estimate(estimate.mean, variance, now_ms)
    lower_node = table.baseline.get((service, node - 1))
    mean = log_p99 if lower_node is None else lower_node.mean
    return Estimate(mean, BASELINE_PRIOR_VARIANCE, now_ms)
