"""Effect of each (service, batch family) pair on the service's latency.

The model is ``log(p99 / quiet p99) = sum over families of effect * share``,
where ``share`` is the part of the VM's processors that the family uses and
``quiet p99`` is learned per service and load step. Placement reads the
expected effect and its uncertainty; control reads it to choose what to
throttle. A ``Table`` is immutable, and every observation returns a new one.

The latency in an observation was measured some time ago, so the caller pairs
it with the mix that ran at that time (``find_mix``).
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math
from typing import Final

# Evidence halves in ten minutes, so a pair that was bad in one phase of a
# job is tried again later.
HALF_LIFE_MS: Final = 600_000
# Step size of the normalised least mean squares update (Haykin, Adaptive
# Filter Theory, chapter 6); below 1 it averages noise out.
STEP: Final = 0.3
# Added to the squared shares so that tiny shares do not move the estimate.
REGULARISATION: Final = 0.01
# Effect assumed for a family that was never measured beside the service:
# half of the VM raises the p99 by about a fifth.
PRIOR_EFFECT: Final = 0.4
PRIOR_DEVIATION: Final = 0.8
# Observations with shares that add up to this much count as known.
KNOWN_EVIDENCE: Final = 1.5
LARGEST_EFFECT: Final = 8.0
LOAD_STEPS: Final = 8
BASELINE_STEP: Final = 0.1


@dataclasses.dataclass(frozen=True)
class PairEstimate:
    """Effect of one family on one service.

    :param effect: rise of log p99 per whole VM used by the family
    :param evidence: decayed sum of observed shares
    """

    effect: float = PRIOR_EFFECT
    evidence: float = 0.0
    updated_at_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Table:
    """All pair estimates and the quiet log p99 per load step."""

    pairs: Mapping[tuple[str, str], PairEstimate] = dataclasses.field(
        default_factory=dict
    )
    quiet: Mapping[tuple[str, int], float] = dataclasses.field(
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


UNKNOWN: Final = PairEstimate()


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


def find_evidence(pair: PairEstimate, now_ms: int) -> float:
    """Return the evidence that is left after its decay."""
    age_ms = max(now_ms - pair.updated_at_ms, 0)
    return pair.evidence * math.exp2(-age_ms / HALF_LIFE_MS)


def is_known(table: Table, service: str, family: str, now_ms: int) -> bool:
    """Tell whether the pair was measured enough and recently enough."""
    pair = table.pairs.get((service, family), UNKNOWN)
    return find_evidence(pair, now_ms) >= KNOWN_EVIDENCE


def find_effect(
    table: Table, service: str, family: str, now_ms: int
) -> tuple[float, float]:
    """Return the expected effect and its standard deviation.

    The estimate falls back to the prior as its evidence decays.
    """
    pair = table.pairs.get((service, family), UNKNOWN)
    evidence = find_evidence(pair, now_ms)
    trust = evidence / (evidence + 0.25)
    effect = trust * pair.effect + (1.0 - trust) * PRIOR_EFFECT
    deviation = PRIOR_DEVIATION / math.sqrt(1.0 + 4.0 * evidence)
    return effect, deviation


def observe(table: Table, seen: Observation) -> Table:
    """Include one measurement.

    Without batch work the measurement teaches the quiet latency of its load
    step; otherwise the error of the prediction is divided among the families
    by their shares.
    """
    if seen.p99_ms <= 0:
        return table
    value = math.log(seen.p99_ms)
    key = (seen.service, find_load_step(seen.load))
    shares = {name: share for name, share in seen.shares.items() if share > 0}
    quiet = table.quiet.get(key, value)
    predicted = sum(
        share * find_pair(table, seen, family).effect
        for family, share in shares.items()
    )
    error = value - quiet - predicted
    if sum(shares.values()) < 0.02:
        return _learn_quiet(table, key, quiet + BASELINE_STEP * error)
    # The quiet latency cannot be above what was measured beside batch work.
    table = _learn_quiet(table, key, min(quiet, value))
    return _learn_pairs(table, seen, shares, error)


def find_load_step(load: float) -> int:
    """Return the step of the load for the quiet latency."""
    return min(max(int(load * LOAD_STEPS), 0), LOAD_STEPS)


def find_pair(table: Table, seen: Observation, family: str) -> PairEstimate:
    """Return the pair's estimate."""
    return table.pairs.get((seen.service, family), UNKNOWN)


def _learn_quiet(table: Table, key: tuple[str, int], value: float) -> Table:
    return dataclasses.replace(table, quiet={**table.quiet, key: value})


def _learn_pairs(
    table: Table, seen: Observation, shares: Mapping[str, float], error: float
) -> Table:
    norm = REGULARISATION + sum(share**2 for share in shares.values())
    pairs = dict(table.pairs)
    for family, share in shares.items():
        pair = find_pair(table, seen, family)
        effect = pair.effect + STEP * error * share / norm
        pairs[(seen.service, family)] = PairEstimate(
            min(max(effect, 0.0), LARGEST_EFFECT),
            find_evidence(pair, seen.measured_at_ms) + share,
            max(pair.updated_at_ms, seen.measured_at_ms),
        )
    return dataclasses.replace(table, pairs=pairs)
