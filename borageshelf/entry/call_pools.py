"""Queue and executors of one service in one entry.

Combines admission, routing, hedging, retries and outlier ejection into one
state machine without I/O. The call engine drives it with messages of agents;
the benchmark of calls drives it with simulated events. Times are passed in as
Unix milliseconds.
"""

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import random
from typing import Final

from borageshelf.decisions import admission
from borageshelf.decisions import ejection
from borageshelf.decisions import hedging
from borageshelf.decisions import retries
from borageshelf.decisions import routing
from borageshelf import errors

# Retry delay of a call without a target: a target may have attached to a new
# entry within this time.
NO_TARGET_RETRY_MS: Final = 1_000


class CallPool:
    """Admission, routing and retries of the calls of one service.

    :param data_centre: data centre of the entry
    :param entry_count: number of entries that share the executors
    """

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        limits: admission.Limits = admission.Limits(),
        entry_count: int = 1,
    ) -> None:
        self.budget = retries.Budget()
        self.latency = hedging.LatencyEstimate()
        self._data_centre = data_centre
        self._rng = rng
        self._limits = limits
        self._entry_count = entry_count
        self._admission_state = admission.AdmissionState(limits=limits)
        self._views: dict[str, routing.ExecutorView] = {}
        self._outcome_statistics: dict[str, ejection.OutcomeStatistics] = {}

    @property
    def admission_state(self) -> admission.AdmissionState:
        """Return the waiting and running calls and their limits."""
        return self._admission_state

    @property
    def views(self) -> tuple[routing.ExecutorView, ...]:
        """Return the state of each attached executor."""
        return tuple(self._views.values())

    def configure(self, limits: admission.Limits, entry_count: int) -> None:
        """Set the admission limits and the number of entries."""
        self._limits = limits
        self._entry_count = max(entry_count, 1)
        self._update_slots()

    def add_executor(
        self,
        target_id: str,
        data_centre: str,
        slots: int,
        connections: int,
        now_ms: int,
    ) -> None:
        """Add an executor.

        An executor that returns goes through slow start again, and an
        ejection that has not ended stays in force.
        """
        self._views[target_id] = routing.ExecutorView(
            target_id=target_id,
            data_centre=data_centre,
            slots=slots,
            outstanding_calls=0,
            joined_at_ms=now_ms,
            connections=connections,
        )
        statistics = self._outcome_statistics.get(target_id)
        if statistics is None:
            statistics = ejection.OutcomeStatistics(target_id)
        self._outcome_statistics[target_id] = statistics
        ejected_until_ms = statistics.ejected_until_deadline_ms
        self._update_view(
            target_id, ejected_until_deadline_ms=ejected_until_ms
        )
        self._update_slots()

    def remove_executor(self, target_id: str) -> None:
        """Remove an executor whose stream has ended."""
        self._views.pop(target_id, None)
        self._update_slots()

    def mark_leaving(self, target_id: str) -> None:
        """Assign no more calls to an executor that is leaving.

        Its calls in progress go on.
        """
        self._update_view(target_id, leaving=True)
        self._update_slots()

    def record_report(
        self, target_id: str, held_calls: int, now_ms: int
    ) -> None:
        """Record how many calls, from all entries, an agent holds."""
        view = self._views.get(target_id)
        if view is not None:
            self._update_view(
                target_id,
                reported_calls=held_calls,
                reported_at_ms=now_ms,
                outstanding_calls_at_report=view.outstanding_calls,
            )

    def offer(
        self, call: admission.QueuedCall, now_ms: int
    ) -> admission.Admitted | admission.Refused:
        """Admit a call to the queue or refuse it at once."""
        refused = self.find_refusal(call, now_ms)
        if refused is not None:
            return refused
        self._admission_state, answer = admission.offer(
            self._admission_state, call, now_ms
        )
        if isinstance(answer, admission.Admitted):
            self.budget = retries.earn_budget(self.budget)
        return answer

    def find_refusal(
        self, call: admission.QueuedCall, now_ms: int
    ) -> admission.Refused | None:
        """Return the refusal that ``offer`` would return now, if any."""
        if not routing.find_usable(self.views, now_ms):
            return admission.Refused(
                errors.NO_TARGET,
                'no executor of the service is connected',
                now_ms + NO_TARGET_RETRY_MS,
            )
        _, answer = admission.offer(self._admission_state, call, now_ms)
        return answer if isinstance(answer, admission.Refused) else None

    def assign_next_call(
        self, now_ms: int
    ) -> tuple[admission.QueuedCall, str] | None:
        """Assign the next waiting call to an open executor, if both exist.

        :return: the call and the target id
        """
        state, call = admission.take(self._admission_state, now_ms)
        if call is None:
            return None
        target_id = self.reserve_executor(now_ms)
        if target_id is None:
            return None
        self._admission_state = state
        return call, target_id

    def reserve_executor(
        self, now_ms: int, tried_target_ids: Collection[str] = ()
    ) -> str | None:
        """Reserve a place on an executor for one try of a call.

        :param tried_target_ids: targets to avoid while another is usable
        :return: target id, or None if no executor is open
        """
        views = [
            view
            for view in self.views
            if view.target_id not in tried_target_ids
        ]
        if not routing.find_usable(views, now_ms):
            views = list(self.views)
        return self._reserve(views, now_ms)

    def reserve_hedge_executor(
        self, now_ms: int, tried_target_ids: Collection[str]
    ) -> str | None:
        """Reserve a free slot for a hedge, on a target not yet tried.

        :return: target id, or None if no other executor has a free slot
        """
        views = [
            view
            for view in self.views
            if view.target_id not in tried_target_ids
            and routing.estimate_load(view, now_ms) < view.slots
        ]
        return self._reserve(views, now_ms)

    def finish_try(
        self,
        target_id: str,
        failed: bool | None,
        service_ms: float,
        now_ms: int,
    ) -> tuple[ejection.Ejection, ...]:
        """Release the place of a try and record its outcome.

        :param failed: None if the outcome does not depend on the executor
        :return: executors that are ejected because of the outcome
        """
        view = self._views.get(target_id)
        if view is None:
            return ()
        self._update_view(
            target_id, outstanding_calls=max(view.outstanding_calls - 1, 0)
        )
        if failed is None:
            return ()
        return self.record_outcome(target_id, failed, service_ms, now_ms)

    def record_outcome(
        self, target_id: str, failed: bool, service_ms: float, now_ms: int
    ) -> tuple[ejection.Ejection, ...]:
        """Record the outcome of a try and eject outliers among executors."""
        if target_id not in self._views:
            return ()
        self._outcome_statistics[target_id] = ejection.record_outcome(
            self._outcome_statistics[target_id], failed, service_ms, now_ms
        )
        return self._eject_outliers(now_ms)

    def finish_call(
        self,
        call: admission.QueuedCall,
        now_ms: int,
        ran: bool,
        service_ms: float | None = None,
    ) -> None:
        """Release the admission slot of a call that has its result.

        :param ran: whether the call may have run; if not, its duration says
            nothing about latency and service time
        :param service_ms: time in the executor, if the agent reported it
        """
        running_call = self._admission_state.running.get(call.call_id)
        if running_call is not None and ran:
            self.latency = hedging.record_latency(
                self.latency, now_ms - running_call.taken_at_ms
            )
        self._admission_state = admission.finish(
            self._admission_state, call, now_ms, ran, service_ms
        )

    def spend_retry(self) -> bool:
        """Take one retry or hedge from the retry budget, if it has one."""
        budget = retries.spend_budget(self.budget)
        if budget is None:
            return False
        self.budget = budget
        return True

    def may_hedge(self) -> bool:
        """Return whether budget and queue allow a hedge now."""
        return hedging.may_hedge(self.budget, len(self._admission_state.queue))

    def expire(self, now_ms: int) -> tuple[admission.QueuedCall, ...]:
        """Remove the waiting calls that can no longer end in time."""
        self._admission_state, expired = admission.expire(
            self._admission_state, now_ms
        )
        return expired

    def remove_waiting_call(self, call_id: str) -> None:
        """Remove a call from the queue, if it is there."""
        self._admission_state = admission.remove(
            self._admission_state, call_id
        )

    def _reserve(
        self, views: Sequence[routing.ExecutorView], now_ms: int
    ) -> str | None:
        view = routing.choose_executor(
            views, self._data_centre, now_ms, self._rng
        )
        if view is None:
            return None
        self._update_view(
            view.target_id, outstanding_calls=view.outstanding_calls + 1
        )
        return view.target_id

    def _eject_outliers(self, now_ms: int) -> tuple[ejection.Ejection, ...]:
        candidates = [
            self._outcome_statistics[view.target_id]
            for view in self._views.values()
            if not view.leaving
        ]
        ejections = ejection.choose_ejections(candidates, now_ms)
        for new_ejection in ejections:
            self._outcome_statistics[new_ejection.target_id] = (
                ejection.apply_ejection(
                    self._outcome_statistics[new_ejection.target_id],
                    new_ejection,
                    now_ms,
                )
            )
            self._update_view(
                new_ejection.target_id,
                ejected_until_deadline_ms=new_ejection.until_deadline_ms,
            )
        return ejections

    def _update_view(self, target_id: str, **changes: int | bool) -> None:
        view = self._views.get(target_id)
        if view is not None:
            self._views[target_id] = dataclasses.replace(
                view,
                **changes,  # type: ignore[arg-type]
            )

    def _update_slots(self) -> None:
        """Limit running calls to this entry's share of the slots.

        Slots of leaving executors do not count.
        """
        slots = sum(
            view.slots for view in self._views.values() if not view.leaving
        )
        self._admission_state = admission.configure(
            self._admission_state, self._limits, slots // self._entry_count
        )
