"""Learned time that a call holds a slot.

Used by admission, which converts waiting calls into an expected wait.
"""

import dataclasses
from typing import Final

# Weight of one call in the estimates.
ESTIMATE_STEP: Final = 0.05


@dataclasses.dataclass(frozen=True)
class ServiceEstimate:
    """Learned time that a call of one kind holds a slot."""

    mean_ms: float = 0.0
    deviation_ms: float = 0.0


def learn(estimate: ServiceEstimate, service_ms: float) -> ServiceEstimate:
    """Return the estimate after one call (RFC 6298, section 2)."""
    if estimate.mean_ms <= 0:
        return ServiceEstimate(service_ms, service_ms / 2)
    error_ms = service_ms - estimate.mean_ms
    deviation_ms = abs(error_ms) - estimate.deviation_ms
    return ServiceEstimate(
        estimate.mean_ms + ESTIMATE_STEP * error_ms,
        estimate.deviation_ms + ESTIMATE_STEP * deviation_ms,
    )
