"""What an entry learns from the reports of agents.

Sizes and run times per family, the effect of families on services, and the
cross table of failures. All of it is soft state: another entry, or this one
after a restart, learns it again.
"""

from collections import abc
from typing import Final

from borageshelf.decisions import estimates
from borageshelf.decisions import interference
from borageshelf.decisions import quarantine
from borageshelf.model import resources
from borageshelf.protocol import convert
from borageshelf.protocol import inner_pb2

# A mix older than this is not needed by any measurement that still arrives.
MAX_MIXES_PER_TARGET: Final = 16
MIX_RETENTION_MS: Final = 120_000
# Without other evidence the blame is one half each; then a failure counts
# for the job.
MIN_TARGET_BLAME_SHARE: Final = 0.75


class Learning:
    """The learned tables of one entry."""

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
        """Learn from the usage and the latency of a report."""
        if report.has_usage:
            self._note_usage(target_id, capacity, report.usage, now_ms)
        measured_at_ms = report.service_measured_at_ms
        is_new = measured_at_ms > self._measured_at_ms.get(target_id, 0)
        if not service or not report.service_p99_ms or not is_new:
            return
        self._measured_at_ms[target_id] = measured_at_ms
        seen = interference.Observation(
            service,
            report.service_p99_ms,
            report.running_calls / max(slots, 1),
            interference.find_mix(
                self._mixes.get(target_id, ()), measured_at_ms
            ),
            measured_at_ms,
        )
        self.interference_table = interference.observe(
            self.interference_table, seen
        )

    def record_end(
        self,
        target_id: str,
        status: inner_pb2.AttemptStatus,
        fleet_size: int,
        now_ms: int,
    ) -> bool:
        """Learn from the end of an attempt.

        :return: whether its target was quarantined by it
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
        before_ms = self.find_quarantine_deadline_ms(target_id)
        self.failure_table = quarantine.record_outcome(
            self.failure_table,
            quarantine.AttemptOutcome(
                target_id, status.family, has_succeeded, now_ms
            ),
            fleet_size,
        )
        return self.find_quarantine_deadline_ms(target_id) > before_ms

    def is_target_at_fault(
        self, target_id: str, family: str, now_ms: int
    ) -> bool:
        """Tell whether a failure is the target's fault rather than the job's.

        Without this, three broken workers could end a good job.
        """
        blame = quarantine.find_target_blame(
            self.failure_table, target_id, family, now_ms
        )
        return blame >= MIN_TARGET_BLAME_SHARE

    def find_quarantine_deadline_ms(self, target_id: str) -> int:
        """Return the time until which a target gets no work, or 0."""
        state = quarantine.find_state(self.failure_table, target_id)
        return state.quarantined_until_deadline_ms

    def forget_target(self, target_id: str) -> None:
        """Drop what is known of a VM that was replaced."""
        self.failure_table = quarantine.remove_target(
            self.failure_table, target_id
        )
        self._mixes.pop(target_id, None)
        self._measured_at_ms.pop(target_id, None)

    def _note_usage(
        self,
        target_id: str,
        capacity: resources.Resources,
        usage: abc.Iterable[inner_pb2.Usage],
        now_ms: int,
    ) -> None:
        shares: dict[str, float] = {}
        whole = max(capacity.processor_millicores, 1)
        for item in usage:
            used = convert.unpack_resources(item.used)
            share = used.processor_millicores / whole
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
            # The oldest mix that still holds must stay.
            if len(history) > 1:
                del history[0]


def _divide(total: resources.Resources, parts: int) -> resources.Resources:
    return resources.Resources(
        total.processor_millicores // parts,
        total.memory_mb // parts,
        total.accelerators // parts,
    )
