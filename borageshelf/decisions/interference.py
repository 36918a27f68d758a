"""Effect of each (service, batch family) pair on the service's latency.

The model is ``log p99 = quiet(load) + sum over families of effect * share``,
where ``share`` is the part of the VM's processors that the family uses and
``quiet`` is piecewise linear in the load of the executor. Each unknown has a
mean and a variance, updated by a Kalman filter that ignores correlations
(only the diagonal of the covariance is kept, so an update costs as much as
the families on one VM). Placement reads the effect and its uncertainty;
control reads the effect to choose what to throttle. A ``Table`` is
immutable, and every observation returns a new one.

The latency in an observation was measured some time ago, so the caller pairs
it with the mix that ran at that time (``find_mix``).
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math
from typing import Final

# Effect assumed for a family that was never measured beside the service:
# half of the VM raises the p99 by about a fifth.
PRIOR_EFFECT: Final = 0.4
PRIOR_VARIANCE: Final = 0.64
# Without measurements the variance returns to the prior in this time, so a
# pair that was bad in one phase of a job is tried again later.
FORGET_MS: Final = 600_000
# Variance of a measured log p99 around the model: the noise of a p99 over
# a few seconds of calls and the error of the model.
MEASUREMENT_VARIANCE: Final = 0.0225
# A pair counts as measured below this variance.
KNOWN_VARIANCE: Final = 0.1
LARGEST_EFFECT: Final = 8.0
# The quiet latency is kept at this many intervals of the load.
LOAD_STEPS: Final = 16
QUIET_VARIANCE: Final = 0.5
# The quiet latency drifts slowly, as code and callers change.
QUIET_FORGET_MS: Final = 36_000_000


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Mean and variance of one unknown."""

    mean: float
    variance: float
    updated_at_ms: int


@dataclasses.dataclass(frozen=True)
class Table:
    """Effects by (service, family) and quiet log p99 by (service, step)."""

    pairs: Mapping[tuple[str, str], Estimate] = dataclasses.field(
        default_factory=dict
    )
    quiet: Mapping[tuple[str, int], Estimate] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class Observation:
    """One late measurement of a service on one VM.

    :param load: load of the executor when measured, 0 to 1
    :param shares: processor share of the VM by family when measured
    """

    service: str
    p99_ms: float
    load: float
    shares: Mapping[str, float]
    measured_at_ms: int


@dataclasses.dataclass(frozen=True)
class Mix:
    """Processor shares by family from a time on."""

    since_ms: int
    shares: Mapping[str, float]


def find_mix(history: Sequence[Mix], at_ms: int) -> Mapping[str, float]:
    """Return the shares that ran at a time in the past.

    :param history: mixes in the order of their time
    """
    found: Mapping[str, float] = {}
    for mix in history:
        if mix.since_ms > at_ms:
            break
        found = mix.shares
    return found


def find_effect(
    table: Table, service: str, family: str, now_ms: int
) -> tuple[float, float]:
    """Return the expected effect and its standard deviation.

    The estimate returns to the prior if it is not measured any more.
    """
    pair = _find_pair(table, service, family, now_ms)
    return pair.mean, math.sqrt(pair.variance)


def is_known(table: Table, service: str, family: str, now_ms: int) -> bool:
    """Tell whether the pair was measured enough and recently enough."""
    pair = _find_pair(table, service, family, now_ms)
    return pair.variance <= KNOWN_VARIANCE


def observe(table: Table, seen: Observation) -> Table:
    """Include one measurement.

    The error of the prediction is divided among the unknowns by their
    variance and their part in the prediction.
    """
    if seen.p99_ms <= 0:
        return table
    value = math.log(seen.p99_ms)
    nodes = {
        (seen.service, step): (
            part,
            _find_quiet(table, seen.service, step, value, seen.measured_at_ms),
        )
        for step, part in _split_load(seen.load)
    }
    pairs = {
        (seen.service, family): (
            share,
            _find_pair(table, seen.service, family, seen.measured_at_ms),
        )
        for family, share in seen.shares.items()
        if share > 0
    }
    terms = [*nodes.values(), *pairs.values()]
    error = value - sum(part * known.mean for part, known in terms)
    spread = MEASUREMENT_VARIANCE + sum(
        part * part * known.variance for part, known in terms
    )
    new_quiet = {
        key: _correct(known, part, error, spread)
        for key, (part, known) in nodes.items()
    }
    new_pairs = {
        key: _clip(_correct(known, part, error, spread))
        for key, (part, known) in pairs.items()
    }
    return Table({**table.pairs, **new_pairs}, {**table.quiet, **new_quiet})


def _correct(
    known: Estimate, part: float, error: float, spread: float
) -> Estimate:
    gain = known.variance * part / spread
    return Estimate(
        known.mean + gain * error,
        known.variance * (1.0 - gain * part),
        known.updated_at_ms,
    )


def _clip(known: Estimate) -> Estimate:
    mean = min(max(known.mean, 0.0), LARGEST_EFFECT)
    return dataclasses.replace(known, mean=mean)


def _split_load(load: float) -> list[tuple[int, float]]:
    """Return the two nearest steps of the load with their weights."""
    position = min(max(load, 0.0), 1.0) * LOAD_STEPS
    step = min(int(position), LOAD_STEPS - 1)
    part = position - step
    return [(step, 1.0 - part), (step + 1, part)]


def _find_pair(
    table: Table, service: str, family: str, now_ms: int
) -> Estimate:
    """Return the pair's estimate as it counts at a time."""
    known = table.pairs.get((service, family))
    if known is None:
        return Estimate(PRIOR_EFFECT, PRIOR_VARIANCE, now_ms)
    age = max(now_ms - known.updated_at_ms, 0) / FORGET_MS
    mean = PRIOR_EFFECT + (known.mean - PRIOR_EFFECT) * math.exp(-age)
    variance = min(known.variance + PRIOR_VARIANCE * age, PRIOR_VARIANCE)
    return Estimate(mean, variance, max(now_ms, known.updated_at_ms))


def _find_quiet(
    table: Table, service: str, step: int, value: float, now_ms: int
) -> Estimate:
    """Return the quiet latency of a step of the load.

    A new one starts as its lower neighbour or, without any, as the value.
    """
    known = table.quiet.get((service, step))
    if known is not None:
        age = max(now_ms - known.updated_at_ms, 0) / QUIET_FORGET_MS
        variance = min(known.variance + QUIET_VARIANCE * age, QUIET_VARIANCE)
        return Estimate(known.mean, variance, now_ms)
    below = table.quiet.get((service, step - 1))
    mean = value if below is None else below.mean
    return Estimate(mean, QUIET_VARIANCE, now_ms)
