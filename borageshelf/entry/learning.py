"""Statistics that an entry learns from the reports of agents.

They are the sizes and run times of job families, the effect of families on
the latency of services, and the contingency table of attempt outcomes. All of
it is soft state: another entry, or this one after a restart, learns it again.
"""

from collections import abc
from typing import Final

from borageshelf.decisions import estimates
from borageshelf.decisions import interference
from borageshelf.decisions import quarantine
from borageshelf.model import resources
from borageshelf.protocol import convert
from borageshelf.protocol import inner_pb2

# Bounds of the mixes of job families that are kept for each target. No
# measurement that still arrives refers to an older mix.
MAX_MIXES_PER_TARGET: Final = 16
MIX_RETENTION_MS: Final = 120_000
# Without other evidence the target and the job are each to blame by one half;
# such a failure counts against the job.
MIN_TARGET_BLAME_SHARE: Final = 0.75


class Learning:
    """The learned statistics of one entry."""

    def __init__(self) -> None:
        self.size_estimates = estimates.Book()
        self.interference_table = interference.Table()
        self.failure_table = quarantine.FailureTable()
        self._mixes: dict[str, list[interference.Mix]] = {}
        self._measured_at_ms: dict[str, int] = {}

    def record_report(
        self,
        target_id: str,
        service: str,
        slots: int,
        capacity: resources.Resources,
        report: inner_pb2.Report,
        now_ms: int,
    ) -> None:
        """Update the statistics from the usage and latency in a report."""
        if report.has_usage:
            self._record_usage(target_id, capacity, report.usage, now_ms)
        measured_at_ms = report.service_measured_at_ms
        is_new = measured_at_ms > self._measured_at_ms.get(target_id, 0)
        if not service or not report.service_p99_ms or not is_new:
            return
        self._measured_at_ms[target_id] = measured_at_ms
        observation = interference.Observation(
            service,
            report.service_p99_ms,
            report.running_calls / max(slots, 1),
            interference.find_mix(
                self._mixes.get(target_id, ()), measured_at_ms
            ),
            measured_at_ms,
        )
        self.interference_table = interference.observe(
            self.interference_table, observation
        )

    def record_end(
        self,
        target_id: str,
        status: inner_pb2.AttemptStatus,
        fleet_size: int,
        now_ms: int,
    ) -> bool:
        """Update the statistics from the end of an attempt.

        :param fleet_size: number of attached targets
        :return: whether this outcome puts the target into quarantine
        """
        has_succeeded = status.state == inner_pb2.ATTEMPT_SUCCEEDED
        if has_succeeded and status.started_at_ms:
            self.size_estimates = estimates.observe_finished(
                self.size_estimates,
                status.family,
                convert.unpack_resources(status.used),
                max(now_ms - status.started_at_ms, 1),
            )
        was_refused = (
            status.state == inner_pb2.ATTEMPT_NEVER_STARTED and status.code
        )
        has_failed = status.state == inner_pb2.ATTEMPT_FAILED or was_refused
        if not has_succeeded and not has_failed:
            return False
        previous_deadline_ms = self.find_quarantine_deadline_ms(target_id)
        self.failure_table = quarantine.record_outcome(
            self.failure_table,
            quarantine.AttemptOutcome(
                target_id, status.family, has_succeeded, now_ms
            ),
            fleet_size,
        )
        return (
            self.find_quarantine_deadline_ms(target_id) > previous_deadline_ms
        )

    def is_target_at_fault(
        self, target_id: str, family: str, now_ms: int
    ) -> bool:
        """Tell whether a failure is the target's fault rather than the job's.

        Without this distinction, three broken workers could end a sound job.
        """
        blame = quarantine.compute_target_blame(
            self.failure_table, target_id, family, now_ms
        )
        return blame >= MIN_TARGET_BLAME_SHARE

    def find_quarantine_deadline_ms(self, target_id: str) -> int:
        """Return the Unix time until which a target gets no work, or 0."""
        state = quarantine.find_state(self.failure_table, target_id)
        return state.quarantined_until_deadline_ms

    def forget_target(self, target_id: str) -> None:
        """Remove the statistics of a VM that was replaced."""
        self.failure_table = quarantine.remove_target(
            self.failure_table, target_id
        )
        self._mixes.pop(target_id, None)
        self._measured_at_ms.pop(target_id, None)

    def _record_usage(
        self,
        target_id: str,
        capacity: resources.Resources,
        usage: abc.Iterable[inner_pb2.Usage],
        now_ms: int,
    ) -> None:
        shares: dict[str, float] = {}
        capacity_millicores = max(capacity.processor_millicores, 1)
        for item in usage:
            used = convert.unpack_resources(item.used)
            share = used.processor_millicores / capacity_millicores
            shares[item.family] = shares.get(item.family, 0.0) + share
            if item.attempts:
                self.size_estimates = estimates.observe_running(
                    self.size_estimates,
                    item.family,
                    _divide(used, item.attempts),
                )
        history = self._mixes.setdefault(target_id, [])
        history.append(interference.Mix(now_ms, shares))
        is_full = len(history) > MAX_MIXES_PER_TARGET
        if is_full or history[0].since_ms < now_ms - MIX_RETENTION_MS:
            # The only mix still applies, whatever its age, and is kept.
            if len(history) > 1:
                del history[0]


def _divide(total: resources.Resources, count: int) -> resources.Resources:
    return resources.Resources(
        total.processor_millicores // count,
        total.memory_mb // count,
        total.accelerators // count,
    )
