"""The three versions that the measurement of calls compares.

``run_pools`` uses the product's decisions and ``run_naive`` the naive ones.
``run_ideal`` is a single queue for all slots, without network latency or
overload control. All get the same arrivals and service times.
"""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import random

from bench import calls_model
from borageshelf.decisions import admission
from borageshelf.decisions import hedging
from borageshelf.decisions import naive_calls
from borageshelf.decisions import retries
from borageshelf.decisions import routing
from borageshelf.entry import call_pools

REPORT_INTERVAL_MS = 1_000.0
TICK_MS = 20.0
LATE_ANSWER_GRACE_MS = 500.0
# The simulated clock starts here, because the decisions read 0 as "never".
CLOCK_START_MS = 1_000_000


@dataclasses.dataclass
class _PendingCall:
    arrival: calls_model.Arrival
    queued: admission.QueuedCall
    attempts: dict[str, calls_model.Attempt] = dataclasses.field(
        default_factory=dict
    )
    tried_targets: list[str] = dataclasses.field(default_factory=list)
    sent_at_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    hedge_at_ms: int | None = None
    is_ended: bool = False
    may_have_run: bool = False


class _Entry:
    """An entry of the model that decides with ``CallPool``."""

    def __init__(
        self,
        events: calls_model.Events,
        data_centre: str,
        executors: list[calls_model.ExecutorModel],
        scenario: calls_model.Scenario,
        tally: calls_model.Tally,
        seed: int,
    ) -> None:
        self._events = events
        self._data_centre = data_centre
        self._executors = {model.target_id: model for model in executors}
        self._warm_up_ms = scenario.warm_up_ms
        self._tally = tally
        limits = admission.Limits(
            kind_shares=dict(scenario.kind_shares),
            team_shares=dict(scenario.team_shares),
        )
        self.pool = call_pools.CallPool(data_centre, random.Random(seed))
        self.pool.configure(limits, len(calls_model.DATA_CENTRES))
        for model in executors:
            self.pool.add_executor(
                model.target_id,
                model.data_centre,
                calls_model.SLOTS,
                60,
                self.read_clock_ms(),
            )
        self._calls: dict[str, _PendingCall] = {}
        self._retrying: list[_PendingCall] = []
        events.schedule_after(TICK_MS, self.tick)

    def read_clock_ms(self) -> int:
        """Return the simulated wall-clock time in milliseconds."""
        return CLOCK_START_MS + int(self._events.now_ms)

    def arrive(self, arrival: calls_model.Arrival) -> None:
        """Offer an arriving call to the pool."""
        queued = admission.QueuedCall(
            call_id=str(arrival.number),
            team=arrival.kind.team,
            kind=arrival.kind.name,
            urgency=arrival.kind.urgency,
            deadline_ms=CLOCK_START_MS + int(arrival.deadline_ms),
            offered_at_ms=self.read_clock_ms(),
        )
        answer = self.pool.offer(queued, self.read_clock_ms())
        if isinstance(answer, admission.Refused):
            self._count('refused', arrival)
            return
        self._calls[queued.call_id] = _PendingCall(arrival, queued)
        if answer.displaced is not None:
            self._refuse(self._calls[answer.displaced.call_id])
        self.dispatch_waiting_calls()

    def dispatch_waiting_calls(self) -> None:
        """Send waiting calls while executors accept them."""
        now_ms = self.read_clock_ms()
        for call in list(self._retrying):
            target_id = None
            if not call.is_ended:
                target_id = self.pool.reserve_executor(
                    now_ms, call.tried_targets
                )
            if call.is_ended or target_id is not None:
                self._retrying.remove(call)
            if target_id is not None:
                self._send(call, target_id)
        while taken := self.pool.assign_next_call(now_ms):
            self._send(self._calls[taken[0].call_id], taken[1])

    def tick(self) -> None:
        """Apply deadlines and start hedged requests."""
        self._events.schedule_after(TICK_MS, self.tick)
        now_ms = self.read_clock_ms()
        for call in list(self._calls.values()):
            deadline_ms = call.queued.deadline_ms
            if now_ms >= deadline_ms + LATE_ANSWER_GRACE_MS:
                for target_id in call.attempts:
                    self.pool.record_outcome(target_id, True, 0, now_ms)
                self._finish(call, ran=True)
                self._count('late', call.arrival)
            elif now_ms >= deadline_ms:
                self._cancel_attempts(call)
            elif call.hedge_at_ms is not None and now_ms >= call.hedge_at_ms:
                self._hedge(call, now_ms)
        for queued in self.pool.expire(now_ms):
            self._refuse(self._calls[queued.call_id])
        self.dispatch_waiting_calls()

    def report(self, target_id: str, held_calls: int, leaving: bool) -> None:
        """Process the report of an executor."""
        self.pool.record_report(target_id, held_calls, self.read_clock_ms())
        if leaving:
            self.pool.mark_leaving(target_id)
        self.dispatch_waiting_calls()

    def get_network_latency_ms(self, target_id: str) -> float:
        """Return the one-way network latency to a target."""
        if self._executors[target_id].data_centre == self._data_centre:
            return calls_model.LOCAL_LATENCY_MS
        return calls_model.REMOTE_LATENCY_MS

    def _hedge(self, call: _PendingCall, now_ms: int) -> None:
        if not self.pool.may_hedge():
            return
        target_id = self.pool.reserve_hedge_executor(
            now_ms, call.tried_targets
        )
        if target_id is not None and self.pool.spend_retry():
            self._tally.hedges += 1
            self._send(call, target_id)

    def _send(self, call: _PendingCall, target_id: str) -> None:
        call.tried_targets.append(target_id)
        call.sent_at_ms[target_id] = self._events.now_ms
        call.hedge_at_ms = hedging.compute_hedge_time_ms(
            self.pool.latency,
            call.arrival.idempotent,
            len(call.tried_targets),
            self.read_clock_ms(),
            call.queued.deadline_ms,
        )
        attempt = calls_model.Attempt(
            call.arrival, functools.partial(self._end_at_agent, target_id)
        )
        call.attempts[target_id] = attempt
        self._events.schedule_after(
            self.get_network_latency_ms(target_id),
            lambda: self._executors[target_id].receive(attempt),
        )

    def _end_at_agent(
        self, target_id: str, attempt: calls_model.Attempt, ending: str
    ) -> None:
        held_calls = self._executors[target_id].held_calls
        self._events.schedule_after(
            self.get_network_latency_ms(target_id),
            lambda: self._end_attempt(target_id, attempt, ending, held_calls),
        )

    def _end_attempt(
        self,
        target_id: str,
        attempt: calls_model.Attempt,
        ending: str,
        held_calls: int,
    ) -> None:
        now_ms = self.read_clock_ms()
        failed = {'done': False, 'stopped': False, 'failed': True}.get(ending)
        self.pool.finish_try(target_id, failed, attempt.service_ms, now_ms)
        self.pool.record_report(target_id, held_calls, now_ms)
        if ending == 'leaving':
            self.pool.mark_leaving(target_id)
        call = self._calls.get(str(attempt.arrival.number))
        if call is not None:
            call.attempts.pop(target_id, None)
            self._handle_ending(call, ending, attempt.service_ms)
        self.dispatch_waiting_calls()

    def _handle_ending(
        self, call: _PendingCall, ending: str, service_ms: float
    ) -> None:
        if ending == 'done':
            self._finish(call, ran=True, service_ms=service_ms)
            if call.arrival.at_ms >= self._warm_up_ms:
                self._tally.record(call.arrival, self._events.now_ms)
            return
        ran = ending in ('failed', 'stopped')
        call.may_have_run = call.may_have_run or ran
        if call.attempts:
            return
        may_retry = retries.may_retry(
            call.arrival.idempotent,
            call.may_have_run,
            0,
            self.read_clock_ms(),
            call.queued.deadline_ms,
        )
        if may_retry and self.pool.spend_retry():
            self._tally.retries += 1
            self._retrying.append(call)
            return
        self._finish(call, ran)
        name = {'failed': 'failed', 'stopped': 'late'}.get(ending, 'refused')
        self._count(name, call.arrival)

    def _refuse(self, call: _PendingCall) -> None:
        self.pool.remove_waiting_call(call.queued.call_id)
        self._finish(call, ran=False)
        self._count('refused', call.arrival)

    def _finish(
        self, call: _PendingCall, ran: bool, service_ms: float | None = None
    ) -> None:
        call.is_ended = True
        del self._calls[call.queued.call_id]
        self.pool.finish_call(
            call.queued, self.read_clock_ms(), ran, service_ms
        )
        self._cancel_attempts(call)

    def _cancel_attempts(self, call: _PendingCall) -> None:
        for target_id, attempt in call.attempts.items():
            self._events.schedule_after(
                self.get_network_latency_ms(target_id),
                functools.partial(self._executors[target_id].cancel, attempt),
            )

    def _count(self, name: str, arrival: calls_model.Arrival) -> None:
        if arrival.at_ms >= self._warm_up_ms:
            setattr(self._tally, name, getattr(self._tally, name) + 1)


def run_pools(scenario: calls_model.Scenario, seed: int) -> calls_model.Tally:
    """Run the product's decisions."""
    events = calls_model.Events()
    tally = calls_model.Tally()
    executors = calls_model.make_executors(
        events, scenario, has_overload_control=True
    )
    entries = [
        _Entry(events, name, executors, scenario, tally, seed + number)
        for number, name in enumerate(calls_model.DATA_CENTRES)
    ]
    for number, model in enumerate(executors):
        # Staggers the reports of the executors.
        offset_ms = REPORT_INTERVAL_MS * number / len(executors)
        events.schedule_at(
            offset_ms,
            functools.partial(
                _send_reports_periodically, events, entries, model
            ),
        )
    _schedule_arrivals(
        events,
        scenario,
        seed,
        tally,
        lambda arrival: entries[arrival.entry].arrive(arrival),
    )
    for model in executors[: scenario.leaving_executors]:
        middle_ms = scenario.duration_ms / 2
        events.schedule_at(
            middle_ms,
            functools.partial(_begin_leaving, events, entries, model),
        )
    events.run(scenario.duration_ms + 5_000)
    return tally


def _send_reports_periodically(
    events: calls_model.Events,
    entries: list[_Entry],
    model: calls_model.ExecutorModel,
) -> None:
    _send_reports(events, entries, model)
    events.schedule_after(
        REPORT_INTERVAL_MS,
        lambda: _send_reports_periodically(events, entries, model),
    )


def _begin_leaving(
    events: calls_model.Events,
    entries: list[_Entry],
    model: calls_model.ExecutorModel,
) -> None:
    model.leaving = True
    _send_reports(events, entries, model)


def _send_reports(
    events: calls_model.Events,
    entries: list[_Entry],
    model: calls_model.ExecutorModel,
) -> None:
    for entry in entries:
        events.schedule_after(
            entry.get_network_latency_ms(model.target_id),
            functools.partial(
                entry.report, model.target_id, model.held_calls, model.leaving
            ),
        )


def _schedule_arrivals(
    events: calls_model.Events,
    scenario: calls_model.Scenario,
    seed: int,
    tally: calls_model.Tally,
    arrive: Callable[[calls_model.Arrival], None],
) -> None:
    for arrival in calls_model.make_arrivals(scenario, seed):
        tally.arrived += arrival.at_ms >= scenario.warm_up_ms
        events.schedule_at(arrival.at_ms, functools.partial(arrive, arrival))


def run_naive(scenario: calls_model.Scenario, seed: int) -> calls_model.Tally:
    """Run the naive decisions: random target, up to two retries.

    A call is retried after a failure or a timeout, whatever its idempotence
    and the load.
    """
    events = calls_model.Events()
    tally = calls_model.Tally()
    rng = random.Random(seed)
    executors = calls_model.make_executors(
        events, scenario, has_overload_control=False
    )
    models = {model.target_id: model for model in executors}
    views = [
        routing.ExecutorView(
            model.target_id, model.data_centre, calls_model.SLOTS, 0
        )
        for model in executors
    ]
    ended: set[int] = set()

    def send(arrival: calls_model.Arrival, tries: int) -> None:
        if arrival.number in ended or tries > 2:
            return
        view = naive_calls.choose_executor(views, '', 0, rng)
        assert view is not None
        tally.retries += tries > 0

        def end(attempt: calls_model.Attempt, ending: str) -> None:
            if arrival.number in ended:
                return
            if ending == 'failed':
                send(arrival, tries + 1)
                return
            ended.add(arrival.number)
            if arrival.at_ms >= scenario.warm_up_ms:
                tally.record(arrival, events.now_ms)

        models[view.target_id].receive(calls_model.Attempt(arrival, end))
        # The earlier attempt is not cancelled.
        events.schedule_after(
            calls_model.DEADLINE_MS, lambda: send(arrival, tries + 1)
        )

    for model in executors[: scenario.leaving_executors]:
        events.schedule_at(
            scenario.duration_ms / 2,
            functools.partial(setattr, model, 'leaving', True),
        )
    _schedule_arrivals(
        events, scenario, seed, tally, lambda call: send(call, 0)
    )
    events.run(scenario.duration_ms + 5_000)
    return tally


def run_ideal(scenario: calls_model.Scenario, seed: int) -> calls_model.Tally:
    """Run one first-in, first-out queue for all slots."""
    tally = calls_model.Tally()
    slots = [0.0] * (calls_model.EXECUTORS * calls_model.SLOTS)
    for arrival in calls_model.make_arrivals(scenario, seed):
        start_ms = max(heapq.heappop(slots), arrival.at_ms)
        end_ms = start_ms + arrival.service_ms
        heapq.heappush(slots, end_ms)
        if arrival.at_ms >= scenario.warm_up_ms:
            tally.arrived += 1
            tally.record(arrival, end_ms)
    return tally
