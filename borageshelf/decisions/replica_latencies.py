"""Latency that the tasks of one serving workflow have without fillers.

The tasks of a workflow share its load, so at one moment their latencies differ
by what runs beside them only. The load itself is not reported. The common part
of the latencies that the targets of a workflow have just reported, less what
their fillers are known to add, is therefore the baseline of each of them.
"""

import dataclasses
from typing import Final

# Agents report every 400 ms. The load changes little in this time.
READING_AGE_LIMIT_MS: Final = 600
# Variance of the log of a latency, which is reported in whole milliseconds.
READING_VARIANCE: Final = 0.01
# More targets hardly improve a baseline; bounds memory and time.
TARGETS_LIMIT: Final = 32
# Further workflows have no baseline; bounds memory.
WORKFLOWS_LIMIT: Final = 200
_CLEANUP_INTERVAL_MS: Final = 1_000


@dataclasses.dataclass(frozen=True)
class Reading:
    """A latency with the known effects of the fillers removed.

    :param log_baseline: log of the latency, as a share of its target, less
        the rise that the fillers are expected to cause
    :param variance: uncertainty of that rise
    :param expiry_ms: elapsed time from which it is too old
    """

    log_baseline: float
    variance: float
    expiry_ms: int


@dataclasses.dataclass(frozen=True)
class Baseline:
    """Estimated log of the latency without fillers, as a share of the target.

    :param variance: square of its standard error
    """

    log_latency: float
    variance: float


class ReplicaLatencies:
    """The last readings of the targets of each serving workflow."""

    def __init__(self) -> None:
        self._readings: dict[str, dict[str, Reading]] = {}
        self._next_cleanup_ms = 0

    def record(
        self,
        workflow_id: str,
        target_id: str,
        log_baseline: float,
        variance: float,
        now_ms: int,
    ) -> None:
        """Record what a target has reported for a workflow.

        :param variance: uncertainty of the effects that were removed
        """
        self._forget_expired(now_ms)
        readings = self._readings.get(workflow_id)
        if readings is None:
            if len(self._readings) >= WORKFLOWS_LIMIT:
                return
            readings = self._readings[workflow_id] = {}
        if target_id in readings or len(readings) < TARGETS_LIMIT:
            readings[target_id] = Reading(
                log_baseline,
                READING_VARIANCE + variance,
                now_ms + READING_AGE_LIMIT_MS,
            )

    def estimate_baseline(
        self, workflow_id: str, excluded_target_id: str, now_ms: int
    ) -> Baseline | None:
        """Return the baseline as the other targets show it; None if none do.

        Each reading has a weight of the inverse of its variance.
        """
        weight_sum = weighted_sum = 0.0
        for target_id, reading in self._readings.get(workflow_id, {}).items():
            if target_id == excluded_target_id or now_ms >= reading.expiry_ms:
                continue
            weight = 1 / reading.variance
            weight_sum += weight
            weighted_sum += weight * reading.log_baseline
        if not weight_sum:
            return None
        return Baseline(weighted_sum / weight_sum, 1 / weight_sum)

    def _forget_expired(self, now_ms: int) -> None:
        if now_ms < self._next_cleanup_ms:
            return
        self._next_cleanup_ms = now_ms + _CLEANUP_INTERVAL_MS
        for workflow_id, readings in list(self._readings.items()):
            fresh = {
                target_id: reading
                for target_id, reading in readings.items()
                if now_ms < reading.expiry_ms
            }
            if fresh:
                self._readings[workflow_id] = fresh
            else:
                del self._readings[workflow_id]
