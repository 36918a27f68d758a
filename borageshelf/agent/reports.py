"""Makes the hello and the reports that an agent sends to entries."""

import dataclasses

from borageshelf.agent import agent_state
from borageshelf.agent import links
from borageshelf.agent import reservations
from borageshelf.agent import usage_summary
from borageshelf import clock
from borageshelf.protocol import convert
from borageshelf.protocol import inner_pb2


@dataclasses.dataclass(frozen=True)
class _Due:
    """When the grant of an attempt is to be renewed."""

    grant_deadline_ms: int
    renew_at_ms: int


class ReportMaker:
    """Describes the target to the entries."""

    def __init__(self, parts: agent_state.AgentState) -> None:
        self._parts = parts
        self._due: dict[reservations.AttemptKey, _Due] = {}

    def make_hello(self) -> inner_pb2.Hello:
        hello = inner_pb2.Hello(
            target_id=self._parts.options.target_id,
            vm_boot_id=self._parts.description.boot_id,
            agent_boot_id=self._parts.boot_id,
            data_centre=self._parts.options.data_centre,
            rack=self._parts.description.rack or self._parts.options.rack,
            capacity=convert.pack_resources(self._parts.description.capacity),
            config_version=self._parts.config_version,
            report=self._make_base_report(),
        )
        if self._parts.service is not None:
            hello.service.CopyFrom(
                inner_pb2.ServiceSlots(
                    service=self._parts.service.service,
                    slots=self._parts.service.slots,
                    connections=self._parts.service.connections,
                )
            )
        return hello

    def _make_base_report(self) -> inner_pb2.Report:
        report = inner_pb2.Report(
            leaving=self._parts.stopping.is_set(),
            config_version=self._parts.config_version,
        )
        if self._parts.tasks is not None:
            free = self._parts.tasks.ledger.compute_free_resources()
            report.free.CopyFrom(convert.pack_resources(free))
        if self._parts.calls is not None:
            load = self._parts.calls.measure_load()
            report.queued_calls = load.queued
            report.running_calls = load.running
            report.service_p99_ms = load.service_p99_ms
            report.service_measured_at_ms = clock.read_wall_clock_ms()
        return report

    def make_report(
        self, link: links.EntryLink, is_complete: bool = False
    ) -> inner_pb2.Report:
        """Return the report for one entry.

        It lists attempts of the entry's shards only: those that have ended
        and those whose grant is due for renewal, or all of them.
        """
        report = self._make_base_report()
        if self._parts.tasks is None:
            return report
        self._add_usage(link, report)
        now_ms = clock.read_wall_clock_ms()
        held_attempts = self._parts.tasks.ledger.list_held()
        self._forget(held_attempts)
        for held in held_attempts:
            if not self._obeys(link, held.spec.shard):
                continue
            if is_complete or self._is_due(held, now_ms):
                report.attempts.append(convert.pack_attempt_status(held))
        return report

    def _is_due(self, held: reservations.HeldAttempt, now_ms: int) -> bool:
        """Tell whether the owner must hear of an attempt now.

        A running one is listed from a third of its grant on. Listing all of
        them in each report cost an entry 145 ms/s with 5,900 tasks.
        """
        if not held.is_active:
            return True
        due = self._due.get(held.spec.key)
        if due is None or due.grant_deadline_ms != held.grant_deadline_ms:
            left_ms = held.grant_deadline_ms - now_ms
            due = _Due(held.grant_deadline_ms, now_ms + left_ms // 3)
            self._due[held.spec.key] = due
        return now_ms >= due.renew_at_ms

    def _forget(
        self, held_attempts: tuple[reservations.HeldAttempt, ...]
    ) -> None:
        """Drop the times of attempts that were released."""
        if len(self._due) <= len(held_attempts):
            return
        keys = {held.spec.key for held in held_attempts}
        self._due = {key: due for key, due in self._due.items() if key in keys}

    def _add_usage(
        self, link: links.EntryLink, report: inner_pb2.Report
    ) -> None:
        """Add what the attempts hold, if this entry does not know it."""
        assert self._parts.tasks is not None
        usage = usage_summary.summarise(self._parts.tasks.ledger.list_held())
        fingerprint = usage_summary.make_fingerprint(usage)
        if fingerprint == link.usage_fingerprint:
            return
        link.usage_fingerprint = fingerprint
        report.has_usage = True
        report.usage.extend(usage)

    def _obeys(self, link: links.EntryLink, shard: int) -> bool:
        assert self._parts.tasks is not None
        epoch = link.epochs.get(shard, -1)
        return epoch == self._parts.tasks.ledger.find_epoch(shard)
