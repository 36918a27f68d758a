"""Hedged requests: decides when a slow call gets a second try.

Only idempotent calls are hedged, each at most once. Hedges and retries share
one budget (``retries.Budget``), so that both together stay within a tenth of
the first tries.
"""

import dataclasses
from typing import Final

from borageshelf.decisions import retries

# A call is hedged when it takes longer than this share of recent calls.
HEDGE_QUANTILE: Final = 0.95
# Relative step of the quantile estimate. The estimate adapts to a change of
# load within some hundred calls.
QUANTILE_STEP_RATIO: Final = 0.05
MIN_HEDGE_DELAY_MS: Final = 10.0
# Hedges leave this many retries in the budget, because a retry follows a
# failure and a hedge only a delay.
RESERVED_RETRIES: Final = 2.0


@dataclasses.dataclass(frozen=True)
class LatencyEstimate:
    """Estimate of the ``HEDGE_QUANTILE`` of the latency of calls.

    :param quantile_ms: the estimate, 0 before the first call
    """

    quantile_ms: float = 0.0


def record_latency(
    estimate: LatencyEstimate, latency_ms: float
) -> LatencyEstimate:
    """Return the estimate after one more call.

    The quantile is estimated by stochastic approximation (Robbins and Monro
    1951) with steps relative to the current value.
    """
    current_ms = estimate.quantile_ms
    if current_ms <= 0:
        return LatencyEstimate(max(latency_ms, 1.0) * 2)
    if latency_ms > current_ms:
        factor = 1 + QUANTILE_STEP_RATIO * HEDGE_QUANTILE
    else:
        factor = 1 - QUANTILE_STEP_RATIO * (1 - HEDGE_QUANTILE)
    return LatencyEstimate(current_ms * factor)


def compute_hedge_time_ms(
    estimate: LatencyEstimate,
    idempotent: bool,
    tries: int,
    sent_at_ms: int,
    deadline_ms: int,
) -> int | None:
    """Return the time from which a call may be hedged, or None for never.

    :param tries: number of tries sent so far, including the first
    :param sent_at_ms: time at which the latest try was sent
    """
    if not idempotent or tries != 1 or estimate.quantile_ms <= 0:
        return None
    delay_ms = max(estimate.quantile_ms, MIN_HEDGE_DELAY_MS)
    hedge_at_ms = sent_at_ms + int(delay_ms)
    if hedge_at_ms >= deadline_ms:
        return None
    return hedge_at_ms


def may_hedge(budget: retries.Budget, waiting_calls: int) -> bool:
    """Tell whether the budget and the load allow a hedge now.

    No hedge is sent while calls wait for a slot: under overload it would
    take capacity that is already missing.

    :param waiting_calls: number of calls in the queue of the service
    """
    return waiting_calls == 0 and budget.tokens >= 1 + RESERVED_RETRIES
