"""Estimates of the time that a call occupies an executor slot.

Admission computes the expected wait of a call from them.
"""

import dataclasses
from typing import Final

# Weight of one call in the moving averages.
ESTIMATE_GAIN: Final = 0.05


@dataclasses.dataclass(frozen=True)
class ServiceTimeEstimate:
    """Moving averages of the service time of one kind of call.

    :param mean_ms: mean service time, 0 before the first call
    :param deviation_ms: mean absolute deviation from the mean
    """

    mean_ms: float = 0.0
    deviation_ms: float = 0.0


def update_estimate(
    estimate: ServiceTimeEstimate, service_ms: float
) -> ServiceTimeEstimate:
    """Return the estimate after one more call (RFC 6298, section 2)."""
    if estimate.mean_ms <= 0:
        return ServiceTimeEstimate(service_ms, service_ms / 2)
    error_ms = service_ms - estimate.mean_ms
    deviation_error_ms = abs(error_ms) - estimate.deviation_ms
    return ServiceTimeEstimate(
        estimate.mean_ms + ESTIMATE_GAIN * error_ms,
        estimate.deviation_ms + ESTIMATE_GAIN * deviation_error_ms,
    )
