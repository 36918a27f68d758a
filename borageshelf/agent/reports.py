"""Builds the hello and the reports that an agent sends to entries."""

import dataclasses

from borageshelf.agent import agent_state
from borageshelf.agent import links
from borageshelf.agent import reservations
from borageshelf.agent import usage_summary
from borageshelf import clock
from borageshelf.protocol import convert
from borageshelf.protocol import inner_pb2


@dataclasses.dataclass(frozen=True)
class _RenewalTime:
    """Time from which an attempt is reported so that its grant is renewed.

    :param grant_deadline_ms: end of the grant for which the time was set
    """

    grant_deadline_ms: int
    renew_at_ms: int


class ReportMaker:
    """Builds the messages that describe the target to the entries."""

    def __init__(self, state: agent_state.AgentState) -> None:
        self._state = state
        self._renewal_times: dict[reservations.AttemptKey, _RenewalTime] = {}

    def make_hello(self) -> inner_pb2.Hello:
        hello = inner_pb2.Hello(
            target_id=self._state.options.target_id,
            vm_boot_id=self._state.description.boot_id,
            agent_boot_id=self._state.boot_id,
            data_centre=self._state.options.data_centre,
            rack=self._state.description.rack or self._state.options.rack,
            capacity=convert.pack_resources(self._state.description.capacity),
            config_version=self._state.config_version,
            report=self._make_base_report(),
        )
        if self._state.service is not None:
            hello.service.CopyFrom(
                inner_pb2.ServiceSlots(
                    service=self._state.service.service,
                    slots=self._state.service.slots,
                    connections=self._state.service.connections,
                )
            )
        return hello

    def _make_base_report(self) -> inner_pb2.Report:
        report = inner_pb2.Report(
            leaving=self._state.stopping.is_set(),
            config_version=self._state.config_version,
        )
        if self._state.tasks is not None:
            free = self._state.tasks.ledger.compute_free_resources()
            report.free.CopyFrom(convert.pack_resources(free))
        if self._state.calls is not None:
            load = self._state.calls.measure_load()
            report.queued_calls = load.queued
            report.running_calls = load.running
            report.service_p99_ms = load.service_p99_ms
            report.service_measured_at_ms = clock.read_wall_clock_ms()
        return report

    def make_report(
        self, link: links.EntryLink, is_complete: bool = False
    ) -> inner_pb2.Report:
        """Return the report for one entry.

        It lists attempts of the shards that the entry owns: those that have
        ended and those whose grant is to be renewed.

        :param is_complete: whether to list all attempts of these shards
        """
        report = self._make_base_report()
        if self._state.tasks is None:
            return report
        self._add_usage(link, report)
        now_ms = clock.read_wall_clock_ms()
        held_attempts = self._state.tasks.ledger.list_held()
        self._drop_released(held_attempts)
        for held in held_attempts:
            if not self._is_owner(link, held.spec.shard):
                continue
            if is_complete or self._must_report(held, now_ms):
                report.attempts.append(convert.pack_attempt_status(held))
        return report

    def _must_report(
        self, held: reservations.HeldAttempt, now_ms: int
    ) -> bool:
        """Tell whether an attempt belongs into the report.

        An ended attempt always does. An active one does once a third of the
        rest of its grant has passed: listing all of them in each report cost
        an entry 145 ms/s with 5,900 tasks.
        """
        if not held.is_active:
            return True
        renewal = self._renewal_times.get(held.spec.key)
        if (
            renewal is None
            or renewal.grant_deadline_ms != held.grant_deadline_ms
        ):
            remaining_ms = held.grant_deadline_ms - now_ms
            renewal = _RenewalTime(
                held.grant_deadline_ms, now_ms + remaining_ms // 3
            )
            self._renewal_times[held.spec.key] = renewal
        return now_ms >= renewal.renew_at_ms

    def _drop_released(
        self, held_attempts: tuple[reservations.HeldAttempt, ...]
    ) -> None:
        """Remove the renewal times of attempts that were released."""
        if len(self._renewal_times) <= len(held_attempts):
            return
        keys = {held.spec.key for held in held_attempts}
        self._renewal_times = {
            key: renewal
            for key, renewal in self._renewal_times.items()
            if key in keys
        }

    def _add_usage(
        self, link: links.EntryLink, report: inner_pb2.Report
    ) -> None:
        """Add the usage if it differs from what this entry was sent last."""
        assert self._state.tasks is not None
        usage = usage_summary.summarise(self._state.tasks.ledger.list_held())
        fingerprint = usage_summary.make_fingerprint(usage)
        if fingerprint == link.usage_fingerprint:
            return
        link.usage_fingerprint = fingerprint
        report.has_usage = True
        report.usage.extend(usage)

    def _is_owner(self, link: links.EntryLink, shard: int) -> bool:
        """Tell whether the entry owns a shard under its highest epoch."""
        assert self._state.tasks is not None
        epoch = link.epochs.get(shard, -1)
        return epoch == self._state.tasks.ledger.find_epoch(shard)
