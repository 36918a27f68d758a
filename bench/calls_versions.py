"""The three versions that the measurement of calls compares.

``run_pools`` uses the product's decisions, ``run_naive`` the naive ones and
``run_ideal`` a single queue before all slots without network or overload
control. All three get the same arrivals and service times.
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
GRACE_MS = 500.0
# Simulated times start here, so that 0 keeps its meaning "never".
EPOCH_MS = 1_000_000


@dataclasses.dataclass
class _Call:
    arrival: calls_model.Arrival
    queued: admission.QueuedCall
    jobs: dict[str, calls_model.Job] = dataclasses.field(default_factory=dict)
    tried: list[str] = dataclasses.field(default_factory=list)
    sent_at_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    hedge_at_ms: int | None = None
    is_ended: bool = False
    may_have_run: bool = False


class _Entry:
    """One entry that decides with ``CallPool``."""

    def __init__(
        self,
        events: calls_model.Events,
        data_centre: str,
        fleet: list[calls_model.ExecutorModel],
        scenario: calls_model.Scenario,
        tally: calls_model.Tally,
        seed: int,
    ) -> None:
        self._events = events
        self._data_centre = data_centre
        self._fleet = {model.target_id: model for model in fleet}
        self._warm_ms = scenario.warm_ms
        self._tally = tally
        limits = admission.Limits(
            kind_shares=dict(scenario.kind_shares),
            team_shares=dict(scenario.team_shares),
        )
        self.pool = call_pools.CallPool(data_centre, random.Random(seed))
        self.pool.configure(limits, len(calls_model.DATA_CENTRES))
        for model in fleet:
            self.pool.add_executor(
                model.target_id,
                model.data_centre,
                calls_model.SLOTS,
                60,
                self.clock(),
            )
        self._calls: dict[str, _Call] = {}
        self._retrying: list[_Call] = []
        events.after(TICK_MS, self.tick)

    def clock(self) -> int:
        """Return the simulated wall-clock time."""
        return EPOCH_MS + int(self._events.now_ms)

    def arrive(self, arrival: calls_model.Arrival) -> None:
        """Offer a call."""
        queued = admission.QueuedCall(
            call_id=str(arrival.number),
            team=arrival.kind.team,
            kind=arrival.kind.name,
            urgency=arrival.kind.urgency,
            deadline_ms=EPOCH_MS + int(arrival.deadline_ms),
            offered_at_ms=self.clock(),
        )
        answer = self.pool.offer(queued, self.clock())
        if isinstance(answer, admission.Refused):
            self._count('refused', arrival)
            return
        self._calls[queued.call_id] = _Call(arrival, queued)
        if answer.displaced is not None:
            self._refuse(self._calls[answer.displaced.call_id])
        self.pump()

    def pump(self) -> None:
        """Send waiting calls while executors are open."""
        now_ms = self.clock()
        for call in list(self._retrying):
            target_id = None
            if not call.is_ended:
                target_id = self.pool.reserve_executor(now_ms, call.tried)
            if call.is_ended or target_id is not None:
                self._retrying.remove(call)
            if target_id is not None:
                self._send(call, target_id)
        while taken := self.pool.assign_next_call(now_ms):
            self._send(self._calls[taken[0].call_id], taken[1])

    def tick(self) -> None:
        """Act on deadlines and hedges."""
        self._events.after(TICK_MS, self.tick)
        now_ms = self.clock()
        for call in list(self._calls.values()):
            deadline_ms = call.queued.deadline_ms
            if now_ms >= deadline_ms + GRACE_MS:
                for target_id in call.jobs:
                    self.pool.record_outcome(target_id, True, 0, now_ms)
                self._finish(call, ran=True)
                self._count('late', call.arrival)
            elif now_ms >= deadline_ms:
                self._cancel_jobs(call)
            elif call.hedge_at_ms is not None and now_ms >= call.hedge_at_ms:
                self._hedge(call, now_ms)
        for queued in self.pool.expire(now_ms):
            self._refuse(self._calls[queued.call_id])
        self.pump()

    def report(self, target_id: str, held: int, leaving: bool) -> None:
        """Receive a report."""
        self.pool.record_report(target_id, held, self.clock())
        if leaving:
            self.pool.mark_leaving(target_id)
        self.pump()

    def find_delay_ms(self, target_id: str) -> float:
        """Return the one-way latency to a target."""
        if self._fleet[target_id].data_centre == self._data_centre:
            return calls_model.LOCAL_MS
        return calls_model.REMOTE_MS

    def _hedge(self, call: _Call, now_ms: int) -> None:
        if not self.pool.may_hedge():
            return
        target_id = self.pool.reserve_hedge_executor(now_ms, call.tried)
        if target_id is not None and self.pool.spend_retry():
            self._tally.hedges += 1
            self._send(call, target_id)

    def _send(self, call: _Call, target_id: str) -> None:
        call.tried.append(target_id)
        call.sent_at_ms[target_id] = self._events.now_ms
        call.hedge_at_ms = hedging.compute_hedge_time_ms(
            self.pool.latency,
            call.arrival.idempotent,
            len(call.tried),
            self.clock(),
            call.queued.deadline_ms,
        )
        job = calls_model.Job(
            call.arrival, functools.partial(self._end_at_agent, target_id)
        )
        call.jobs[target_id] = job
        self._events.after(
            self.find_delay_ms(target_id),
            lambda: self._fleet[target_id].receive(job),
        )

    def _end_at_agent(
        self, target_id: str, job: calls_model.Job, ending: str
    ) -> None:
        held = self._fleet[target_id].held
        self._events.after(
            self.find_delay_ms(target_id),
            lambda: self._end_job(target_id, job, ending, held),
        )

    def _end_job(
        self, target_id: str, job: calls_model.Job, ending: str, held: int
    ) -> None:
        now_ms = self.clock()
        failed = {'done': False, 'stopped': False, 'failed': True}.get(ending)
        self.pool.finish_try(target_id, failed, job.service_ms, now_ms)
        self.pool.record_report(target_id, held, now_ms)
        if ending == 'leaving':
            self.pool.mark_leaving(target_id)
        call = self._calls.get(str(job.arrival.number))
        if call is not None:
            call.jobs.pop(target_id, None)
            self._end_call(call, ending, job.service_ms)
        self.pump()

    def _end_call(self, call: _Call, ending: str, service_ms: float) -> None:
        if ending == 'done':
            self._finish(call, ran=True, service_ms=service_ms)
            if call.arrival.at_ms >= self._warm_ms:
                self._tally.record(call.arrival, self._events.now_ms)
            return
        ran = ending in ('failed', 'stopped')
        call.may_have_run = call.may_have_run or ran
        if call.jobs:
            return
        may_retry = retries.may_retry(
            call.arrival.idempotent,
            call.may_have_run,
            0,
            self.clock(),
            call.queued.deadline_ms,
        )
        if may_retry and self.pool.spend_retry():
            self._tally.retries += 1
            self._retrying.append(call)
            return
        self._finish(call, ran)
        name = {'failed': 'failed', 'stopped': 'late'}.get(ending, 'refused')
        self._count(name, call.arrival)

    def _refuse(self, call: _Call) -> None:
        self.pool.remove_waiting_call(call.queued.call_id)
        self._finish(call, ran=False)
        self._count('refused', call.arrival)

    def _finish(
        self, call: _Call, ran: bool, service_ms: float | None = None
    ) -> None:
        call.is_ended = True
        del self._calls[call.queued.call_id]
        self.pool.finish_call(call.queued, self.clock(), ran, service_ms)
        self._cancel_jobs(call)

    def _cancel_jobs(self, call: _Call) -> None:
        for target_id, job in call.jobs.items():
            self._events.after(
                self.find_delay_ms(target_id),
                functools.partial(self._fleet[target_id].cancel, job),
            )

    def _count(self, name: str, arrival: calls_model.Arrival) -> None:
        if arrival.at_ms >= self._warm_ms:
            setattr(self._tally, name, getattr(self._tally, name) + 1)


def run_pools(scenario: calls_model.Scenario, seed: int) -> calls_model.Tally:
    """Run the product's decisions."""
    events = calls_model.Events()
    tally = calls_model.Tally()
    fleet = calls_model.make_executors(events, scenario, bounded=True)
    entries = [
        _Entry(events, name, fleet, scenario, tally, seed + number)
        for number, name in enumerate(calls_model.DATA_CENTRES)
    ]
    for number, model in enumerate(fleet):
        # Reports of the executors do not coincide.
        offset_ms = REPORT_INTERVAL_MS * number / len(fleet)
        events.at(
            offset_ms, functools.partial(_report, events, entries, model)
        )
    _schedule(
        events,
        scenario,
        seed,
        tally,
        lambda arrival: entries[arrival.entry].arrive(arrival),
    )
    for model in fleet[: scenario.leaving]:
        middle_ms = scenario.duration_ms / 2
        events.at(middle_ms, functools.partial(_leave, events, entries, model))
    events.run(scenario.duration_ms + 5_000)
    return tally


def _report(
    events: calls_model.Events,
    entries: list[_Entry],
    model: calls_model.ExecutorModel,
) -> None:
    _send_reports(events, entries, model)
    events.after(REPORT_INTERVAL_MS, lambda: _report(events, entries, model))


def _leave(
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
        events.after(
            entry.find_delay_ms(model.target_id),
            functools.partial(
                entry.report, model.target_id, model.held, model.leaving
            ),
        )


def _schedule(
    events: calls_model.Events,
    scenario: calls_model.Scenario,
    seed: int,
    tally: calls_model.Tally,
    arrive: Callable[[calls_model.Arrival], None],
) -> None:
    for arrival in calls_model.make_arrivals(scenario, seed):
        tally.arrived += arrival.at_ms >= scenario.warm_ms
        events.at(arrival.at_ms, functools.partial(arrive, arrival))


def run_naive(scenario: calls_model.Scenario, seed: int) -> calls_model.Tally:
    """Run the naive decisions: random target, up to two blind retries."""
    events = calls_model.Events()
    tally = calls_model.Tally()
    rng = random.Random(seed)
    fleet = calls_model.make_executors(events, scenario, bounded=False)
    models = {model.target_id: model for model in fleet}
    views = [
        routing.ExecutorView(
            model.target_id, model.data_centre, calls_model.SLOTS, 0
        )
        for model in fleet
    ]
    ended: set[int] = set()

    def send(arrival: calls_model.Arrival, tries: int) -> None:
        if arrival.number in ended or tries > 2:
            return
        view = naive_calls.choose_executor(views, '', 0, rng)
        assert view is not None
        tally.retries += tries > 0

        def end(job: calls_model.Job, ending: str) -> None:
            if arrival.number in ended:
                return
            if ending == 'failed':
                send(arrival, tries + 1)
                return
            ended.add(arrival.number)
            if arrival.at_ms >= scenario.warm_ms:
                tally.record(arrival, events.now_ms)

        models[view.target_id].receive(calls_model.Job(arrival, end))
        # Nothing cancels the earlier try.
        events.after(calls_model.DEADLINE_MS, lambda: send(arrival, tries + 1))

    for model in fleet[: scenario.leaving]:
        events.at(
            scenario.duration_ms / 2,
            functools.partial(setattr, model, 'leaving', True),
        )
    _schedule(events, scenario, seed, tally, lambda call: send(call, 0))
    events.run(scenario.duration_ms + 5_000)
    return tally


def run_ideal(scenario: calls_model.Scenario, seed: int) -> calls_model.Tally:
    """Run one queue in order of arrival before all slots."""
    tally = calls_model.Tally()
    slots = [0.0] * (calls_model.EXECUTORS * calls_model.SLOTS)
    for arrival in calls_model.make_arrivals(scenario, seed):
        start_ms = max(heapq.heappop(slots), arrival.at_ms)
        end_ms = start_ms + arrival.service_ms
        heapq.heappush(slots, end_ms)
        if arrival.at_ms >= scenario.warm_ms:
            tally.arrived += 1
            tally.record(arrival, end_ms)
    return tally
