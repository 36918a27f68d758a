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
MIX_HISTORY: Final = 16
MIX_LIFETIME_MS: Final = 120_000
# Without other evidence the blame is one half each; then a failure counts
# for the job.
TARGET_BLAME_SHARE: Final = 0.75


class Learning:
    """The learned tables of one entry."""

    def __init__(self) -> None:
        self.book = estimates.Book()
        self.table = interference.Table()
        self.failures = quarantine.FailureTable()
        self._mixes: dict[str, list[interference.Mix]] = {}
        self._measured_at_ms: dict[str, int] = {}

    def note_report(
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
        self.table = interference.observe(self.table, seen)

    def note_end(
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
            self.book = estimates.observe_finished(
                self.book,
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
        before_ms = self.find_quarantine(target_id)
        self.failures = quarantine.record_outcome(
            self.failures,
            quarantine.AttemptOutcome(
                target_id, status.family, has_succeeded, now_ms
            ),
            fleet_size,
        )
        return self.find_quarantine(target_id) > before_ms

    def is_target_to_blame(
        self, target_id: str, family: str, now_ms: int
    ) -> bool:
        """Tell whether a failure is the target's fault rather than the job's.

        Without this, three broken workers could end a good job.
        """
        blame = quarantine.find_target_blame(
            self.failures, target_id, family, now_ms
        )
        return blame >= TARGET_BLAME_SHARE

    def find_quarantine(self, target_id: str) -> int:
        """Return the time until which a target gets no work, or 0."""
        state = quarantine.find_state(self.failures, target_id)
        return state.quarantined_until_deadline_ms

    def forget_target(self, target_id: str) -> None:
        """Drop what is known of a VM that was replaced."""
        self.failures = quarantine.remove_target(self.failures, target_id)
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
                self.book = estimates.observe_running(
                    self.book, item.family, _divide(used, item.attempts)
                )
        history = self._mixes.setdefault(target_id, [])
        history.append(interference.Mix(now_ms, shares))
        is_full = len(history) > MIX_HISTORY
        if is_full or history[0].since_ms < now_ms - MIX_LIFETIME_MS:
            # The oldest mix that still holds must stay.
            if len(history) > 1:
                del history[0]


def _divide(total: resources.Resources, parts: int) -> resources.Resources:
    return resources.Resources(
        total.processor_millicores // parts,
        total.memory_mb // parts,
        total.accelerators // parts,
    )
