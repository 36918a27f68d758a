"""Queue and executors of one service in one entry.

Combines the pure call decisions into one state machine without I/O. The call
engine drives it from messages; the measuring driver drives it from a queue of
simulated events. Times are passed in as Unix milliseconds.
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

# Time after which a target may have announced itself to a new entry.
NO_TARGET_RETRY_MS: Final = 1_000


class CallPool:
    """Decisions about the calls of one service.

    :param data_centre: data centre of the entry
    :param entries: entries that share the executors
    """

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        limits: admission.Limits = admission.Limits(),
        entries: int = 1,
    ) -> None:
        self.budget = retries.Budget()
        self.latency = hedging.LatencyEstimate()
        self._data_centre = data_centre
        self._rng = rng
        self._limits = limits
        self._entries = entries
        self._admission_state = admission.AdmissionState(limits=limits)
        self._views: dict[str, routing.ExecutorView] = {}
        self._outcomes: dict[str, ejection.OutcomeStatistics] = {}

    @property
    def admission_state(self) -> admission.AdmissionState:
        """Return the state of the queue."""
        return self._admission_state

    @property
    def views(self) -> tuple[routing.ExecutorView, ...]:
        """Return what is known about the executors."""
        return tuple(self._views.values())

    def configure(self, limits: admission.Limits, entries: int) -> None:
        """Set the bounds and the number of entries."""
        self._limits = limits
        self._entries = max(entries, 1)
        self._update_slots()

    def add_executor(
        self,
        target_id: str,
        data_centre: str,
        slots: int,
        connections: int,
        now_ms: int,
    ) -> None:
        """Add an executor; one that comes back starts slowly again."""
        self._views[target_id] = routing.ExecutorView(
            target_id=target_id,
            data_centre=data_centre,
            slots=slots,
            outstanding_calls=0,
            joined_at_ms=now_ms,
            connections=connections,
        )
        known = self._outcomes.get(target_id)
        if known is None:
            known = ejection.OutcomeStatistics(target_id)
        self._outcomes[target_id] = known
        until_ms = known.ejected_until_deadline_ms
        self._change(target_id, ejected_until_deadline_ms=until_ms)
        self._update_slots()

    def remove_executor(self, target_id: str) -> None:
        """Remove an executor whose stream is gone."""
        self._views.pop(target_id, None)
        self._update_slots()

    def mark_leaving(self, target_id: str) -> None:
        """Send nothing more to an executor that finishes its calls."""
        self._change(target_id, leaving=True)
        self._update_slots()

    def record_report(
        self, target_id: str, held_calls: int, now_ms: int
    ) -> None:
        """Record the calls that an agent holds, from all entries."""
        view = self._views.get(target_id)
        if view is not None:
            self._change(
                target_id,
                reported_calls=held_calls,
                reported_at_ms=now_ms,
                outstanding_calls_at_report=view.outstanding_calls,
            )

    def offer(
        self, call: admission.QueuedCall, now_ms: int
    ) -> admission.Admitted | admission.Refused:
        """Admit a call or refuse it early."""
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
        """Return the refusal that ``offer`` would give now, if any."""
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
        """Assign the next call to an executor, if both exist.

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
        self, now_ms: int, tried: Collection[str] = ()
    ) -> str | None:
        """Reserve a place on an executor for one try.

        :param tried: targets to avoid while there are others
        """
        views = [view for view in self.views if view.target_id not in tried]
        if not routing.find_usable(views, now_ms):
            views = list(self.views)
        return self._reserve(views, now_ms)

    def reserve_hedge_executor(
        self, now_ms: int, tried: Collection[str]
    ) -> str | None:
        """Reserve a free slot for a hedge on a target not yet tried."""
        views = [
            view
            for view in self.views
            if view.target_id not in tried
            and routing.find_load(view, now_ms) < view.slots
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

        :param failed: None if the outcome says nothing about the executor
        :return: ejections that follow from it
        """
        view = self._views.get(target_id)
        if view is None:
            return ()
        self._change(
            target_id, outstanding_calls=max(view.outstanding_calls - 1, 0)
        )
        if failed is None:
            return ()
        return self.record_outcome(target_id, failed, service_ms, now_ms)

    def record_outcome(
        self, target_id: str, failed: bool, service_ms: float, now_ms: int
    ) -> tuple[ejection.Ejection, ...]:
        """Record an outcome and eject the executors that it condemns."""
        if target_id not in self._views:
            return ()
        self._outcomes[target_id] = ejection.record_outcome(
            self._outcomes[target_id], failed, service_ms, now_ms
        )
        return self._eject(now_ms)

    def finish_call(
        self,
        call: admission.QueuedCall,
        now_ms: int,
        ran: bool,
        service_ms: float | None = None,
    ) -> None:
        """Release the slot of a call that has its result.

        :param service_ms: time in the executor, if the agent reported it
        """
        taken = self._admission_state.running.get(call.call_id)
        if taken is not None and ran:
            self.latency = hedging.record_latency(
                self.latency, now_ms - taken.taken_at_ms
            )
        self._admission_state = admission.finish(
            self._admission_state, call, now_ms, ran, service_ms
        )

    def spend_retry(self) -> bool:
        """Take one retry or hedge from the budget, if there is one."""
        budget = retries.spend_budget(self.budget)
        if budget is None:
            return False
        self.budget = budget
        return True

    def may_hedge(self) -> bool:
        """Tell whether a hedge is affordable now."""
        return hedging.may_hedge(self.budget, len(self._admission_state.queue))

    def expire(self, now_ms: int) -> tuple[admission.QueuedCall, ...]:
        """Remove waiting calls that cannot end in time."""
        self._admission_state, expired = admission.expire(
            self._admission_state, now_ms
        )
        return expired

    def remove_waiting_call(self, call_id: str) -> None:
        """Remove a waiting call."""
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
        self._change(
            view.target_id, outstanding_calls=view.outstanding_calls + 1
        )
        return view.target_id

    def _eject(self, now_ms: int) -> tuple[ejection.Ejection, ...]:
        fleet = [
            self._outcomes[view.target_id]
            for view in self._views.values()
            if not view.leaving
        ]
        ejections = ejection.choose_ejections(fleet, now_ms)
        for item in ejections:
            self._outcomes[item.target_id] = ejection.apply_ejection(
                self._outcomes[item.target_id], item, now_ms
            )
            self._change(
                item.target_id,
                ejected_until_deadline_ms=item.until_deadline_ms,
            )
        return ejections

    def _change(self, target_id: str, **changes: int | bool) -> None:
        view = self._views.get(target_id)
        if view is not None:
            self._views[target_id] = dataclasses.replace(
                view,
                **changes,  # type: ignore[arg-type]
            )

    def _update_slots(self) -> None:
        """Size admission by this entry's part of the slots that stay."""
        slots = sum(
            view.slots for view in self._views.values() if not view.leaving
        )
        self._admission_state = admission.configure(
            self._admission_state, self._limits, slots // self._entries
        )
