"""Views of all attached targets, kept up to date for placement.

The view of a target is replaced when its agent reports, when a task is
assigned to it and when an attempt on it ends, so that the cost of a placement
decision does not grow with the number of targets.
"""

from collections import abc
import dataclasses
from typing import Final

from borageshelf.decisions import quarantine
from borageshelf.decisions import views
from borageshelf.entry import learning as learning_module
from borageshelf.entry import sessions
from borageshelf.model import objects
from borageshelf.model import resources
from borageshelf.protocol import convert
from borageshelf.protocol import inner_pb2

SILENCE_CHECK_INTERVAL_MS: Final = 1000


class TargetViews:
    """Placement views of the targets that can run batch tasks."""

    def __init__(
        self,
        registry: sessions.SessionRegistry,
        learning: learning_module.Learning,
        find_configuration: abc.Callable[[], objects.Configuration],
    ) -> None:
        self._registry = registry
        self._learning = learning
        self._find_configuration = find_configuration
        self._views: list[views.TargetView] = []
        self._index_by_target: dict[str, int] = {}
        self._running: dict[str, tuple[views.RunningView, ...]] = {}
        self._pending_by_team: dict[str, dict[str, resources.Resources]] = {}
        self._silence_checked_at_ms = 0

    @property
    def count(self) -> int:
        """Number of targets that can run batch tasks."""
        return len(self._views)

    def list_views(self, now_ms: int) -> abc.Sequence[views.TargetView]:
        """Return the views; silent targets are marked as leaving."""
        if now_ms >= self._silence_checked_at_ms + SILENCE_CHECK_INTERVAL_MS:
            self._silence_checked_at_ms = now_ms
            self._mark_silent_targets(now_ms)
        return self._views

    def record_report(
        self,
        session: sessions.AgentSession,
        report: inner_pb2.Report,
        now_ms: int,
    ) -> None:
        """Update the view of a target."""
        target_id = session.identity.target_id
        if session.capacity == resources.NOTHING:
            return
        if report.has_usage:
            self._running[target_id] = tuple(
                map(_make_running_view, report.usage)
            )
        self._pending_by_team.pop(target_id, None)
        if target_id not in self._index_by_target:
            self._index_by_target[target_id] = len(self._views)
            self._views.append(self._make_view(session, now_ms))
        else:
            self.refresh(session, now_ms)

    def refresh(self, session: sessions.AgentSession, now_ms: int) -> None:
        """Rebuild the view of a known target after an outcome on it."""
        index = self._index_by_target.get(session.identity.target_id)
        if index is not None:
            self._views[index] = self._make_view(session, now_ms)

    def add_pending_start(
        self,
        target_id: str,
        task_id: str,
        team: str,
        size: resources.Resources,
    ) -> None:
        """Reserve the size of a start that no report includes yet."""
        session = self._registry.find(target_id)
        if session is not None:
            session.add_pending_start(task_id, size)
        pending = self._pending_by_team.setdefault(target_id, {})
        pending[team] = pending.get(team, resources.NOTHING).plus(size)
        index = self._index_by_target[target_id]
        view = self._views[index]
        self._views[index] = dataclasses.replace(
            view, free=view.free.minus(size)
        )

    def remove(self, target_id: str) -> None:
        """Remove a target whose stream has ended."""
        index = self._index_by_target.pop(target_id, None)
        self._running.pop(target_id, None)
        self._pending_by_team.pop(target_id, None)
        if index is None:
            return
        last_view = self._views.pop()
        if last_view.target_id != target_id:
            self._views[index] = last_view
            self._index_by_target[last_view.target_id] = index

    def compute_team_usage(self) -> dict[str, resources.Resources]:
        """Return what each team holds, as reported or pending."""
        usage: dict[str, resources.Resources] = {}
        for running in self._running.values():
            for item in running:
                used = usage.get(item.team, resources.NOTHING)
                usage[item.team] = used.plus(item.reserved)
        for pending in self._pending_by_team.values():
            for team, size in pending.items():
                used = usage.get(team, resources.NOTHING)
                usage[team] = used.plus(size)
        return usage

    def _mark_silent_targets(self, now_ms: int) -> None:
        interval_ms = self._registry.compute_report_interval_ms()
        for index, view in enumerate(self._views):
            session = self._registry.find(view.target_id)
            if session is None or session.is_silent(interval_ms):
                self._views[index] = dataclasses.replace(view, leaving=True)
            elif view.failure_share or view.leaving:
                # The failure share decays with time, so the view changes even
                # if no report does.
                self._views[index] = self._make_view(session, now_ms)

    def _make_view(
        self, session: sessions.AgentSession, now_ms: int
    ) -> views.TargetView:
        target_id = session.identity.target_id
        state = quarantine.find_state(self._learning.failure_table, target_id)
        service = session.hello.service.service
        return views.TargetView(
            target_id=target_id,
            data_centre=session.hello.data_centre,
            rack=session.hello.rack,
            vm_boot_id=session.identity.vm_boot_id,
            agent_boot_id=session.identity.agent_boot_id,
            capacity=session.capacity,
            free=session.compute_free_capacity(),
            leaving=session.is_leaving,
            quarantined_until_deadline_ms=state.quarantined_until_deadline_ms,
            service=service,
            running=self._running.get(target_id, ()),
            service_p99_ratio=self._compute_p99_ratio(service, session),
            failure_share=quarantine.compute_failure_share(
                self._learning.failure_table, target_id, now_ms
            ),
            on_probation=state.on_probation,
        )

    def _compute_p99_ratio(
        self, service: str, session: sessions.AgentSession
    ) -> float:
        service_settings = self._find_configuration().services.get(service)
        if service_settings is None or service_settings.target_p99_ms <= 0:
            return 0.0
        return session.report.service_p99_ms / service_settings.target_p99_ms


def _make_running_view(usage: inner_pb2.Usage) -> views.RunningView:
    """Return one view for all attempts of a family and urgency.

    Placement only sums up what can be preempted and what runs beside a
    service, so it need not distinguish the attempts.
    """
    return views.RunningView(
        task_id=f'{usage.family}:{usage.urgency}',
        family=usage.family,
        team=usage.team,
        urgency=usage.urgency,
        reserved=convert.unpack_resources(usage.held),
        used=convert.unpack_resources(usage.used),
        is_movable=usage.movable,
    )
