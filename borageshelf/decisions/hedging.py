"""Hedging of slow calls: when a second try may be sent.

Only idempotent calls are hedged, each at most once, and hedges are paid from
the same budget as retries (``retries.Budget``), so that both together stay
within a tenth of the first tries.
"""

import dataclasses
from typing import Final

from borageshelf.decisions import retries

# A hedge is sent when the call is slower than this share of recent calls.
HEDGE_QUANTILE: Final = 0.95
# Relative step of the quantile estimate; it follows a shift of the load
# within some hundred calls.
QUANTILE_STEP: Final = 0.05
HEDGE_DELAY_FLOOR_MS: Final = 10.0
# Hedges leave this many retries in the budget: a retry answers a failure, a
# hedge only a delay.
RETRIES_KEPT: Final = 2.0


@dataclasses.dataclass(frozen=True)
class LatencyEstimate:
    """Estimate of the ``HEDGE_QUANTILE`` of call latency, 0 if unknown."""

    quantile_ms: float = 0.0


def record_latency(
    estimate: LatencyEstimate, latency_ms: float
) -> LatencyEstimate:
    """Return the estimate after one more call.

    Stochastic approximation (Robbins and Monro 1951) with steps that are
    relative to the value.
    """
    current_ms = estimate.quantile_ms
    if current_ms <= 0:
        return LatencyEstimate(max(latency_ms, 1.0) * 2)
    if latency_ms > current_ms:
        factor = 1 + QUANTILE_STEP * HEDGE_QUANTILE
    else:
        factor = 1 - QUANTILE_STEP * (1 - HEDGE_QUANTILE)
    return LatencyEstimate(current_ms * factor)


def find_hedge_time_ms(
    estimate: LatencyEstimate,
    idempotent: bool,
    tries: int,
    sent_at_ms: int,
    deadline_ms: int,
) -> int | None:
    """Return the time at which a call may be hedged, or None for never.

    :param tries: tries so far, counting the first
    :param sent_at_ms: time at which the latest try was sent
    """
    if not idempotent or tries != 1 or estimate.quantile_ms <= 0:
        return None
    delay_ms = max(estimate.quantile_ms, HEDGE_DELAY_FLOOR_MS)
    hedge_at_ms = sent_at_ms + int(delay_ms)
    if hedge_at_ms >= deadline_ms:
        return None
    return hedge_at_ms


def may_hedge(budget: retries.Budget, waiting_calls: int) -> bool:
    """Tell whether a hedge is affordable now.

    Calls that wait for a slot come first: a hedge under overload would take
    the capacity that is missing already.
    """
    return waiting_calls == 0 and budget.tokens >= 1 + RETRIES_KEPT
