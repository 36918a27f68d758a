"""Drives the executor beside the agent for the owner of the workflows.

Each session has a fencing token. A session begins with an inspection under
its token; from then on no order of an earlier session can be carried out, so
the inspection shows everything that exists. The agent is the last to check
capacity, draining and the grant, whatever an owner believes.
"""

import asyncio
from collections import abc
import dataclasses
from typing import Final

from borageshelf.agent.workflows import pacer as pacer_module
from borageshelf.agent.workflows import runs as runs_module
from borageshelf import clock
from borageshelf.decisions import pacing
from borageshelf import events as events_module
from borageshelf import loop as loop_module
from borageshelf import measurements
from borageshelf.model import resources
from borageshelf.model import targets
from borageshelf.ports import task_executor
from borageshelf.workflows import messages

# An inspection waits this long for an end, and extends the lease then.
INSPECTION_WAIT_MS: Final = 1_000
# Tail latencies cover half a second.
PACED_WAIT_MS: Final = 400
RETRY_PAUSE_MS: Final = 120
GONE_PAUSE_MS: Final = 400
# A commit of the ends takes a few milliseconds.
ACKNOWLEDGE_WAIT_MS: Final = 150
START_TRIES: Final = 4
GRANT_WAIT_MS: Final = 1_000
# The executor's clock may run 2% slow.
EXECUTOR_CLOCK_SHARE: Final = 0.975
# A lease that is shorter would end before its task has begun.
LEAST_LEASE_MS: Final = 300
LEASE_SLACK_MS: Final = 300


@dataclasses.dataclass(frozen=True)
class _ClockReading:
    """The executor's clock, and the own clock when the answer arrived."""

    executor_ms: int
    elapsed_ms: int


class ExecutorDriver:
    """The executor beside the agent.

    :param send: sends a message to the owner, if there is a stream
    :param ask_session: asks the owner for a new session
    :param lease_limit_ms: longest lease that the executor takes
    """

    def __init__(
        self,
        executor: task_executor.TaskExecutor,
        events: events_module.EventLog,
        send: abc.Callable[[messages.AnyMessage], None],
        ask_session: abc.Callable[[], None],
        lease_limit_ms: int,
    ) -> None:
        self._executor = executor
        self._events = events
        self._send = send
        self._ask_session = ask_session
        self.announcement: targets.Announcement | None = None
        self._token = 0
        self._is_ready = False
        self._grant_ms = 0
        self._grant_deadline_ms = 0
        # A former process of this agent may have extended the lease just
        # before this one began.
        self._lease_end_ms = clock.read_elapsed_ms() + lease_limit_ms
        self._clock: _ClockReading | None = None
        self._seen_end_number = 0
        self._acknowledged_end_number = 0
        self._acknowledged = asyncio.Event()
        self._runs: dict[tuple[str, int], runs_module.AgentRun] = {}
        self._specs: dict[str, str] = {}
        self._lost_since_ms = 0
        self._is_gone = False
        self._pacer = pacer_module.FillerPacer(
            executor, events, lambda: self._runs.values()
        )
        self._reported_state: messages.TargetState | None = None
        self._session_tasks = loop_module.TaskGroup()
        self._background = loop_module.TaskGroup()

    @property
    def incarnation(self) -> str:
        """Life of the executor that is driven; '' if none has announced."""
        announcement = self.announcement
        return announcement.incarnation if announcement else ''

    async def stop(self) -> None:
        """Stop driving; the executor goes on until its lease ends."""
        await self._session_tasks.stop()
        await self._background.stop()

    # Announcements of the executor.

    def note_announcement(self, found: targets.Announcement) -> None:
        """Note the newest report of the executor about itself."""
        before = self.announcement
        if before is not None and not found.replaces(before):
            return
        self.announcement = found
        if before is None or before.incarnation != found.incarnation:
            self._events.record_state(
                'executor announced',
                incarnation=found.incarnation,
                former=before.incarnation if before else '',
            )
            self._note_gone(before, 'replaced')
            self._renew_session()
        elif found.is_draining and not before.is_draining:
            self._events.record_state(
                'executor drains', incarnation=found.incarnation
            )
            self.send_report()

    def note_left(self, instance_id: str) -> None:
        """Note that the executor ends now."""
        found = self.announcement
        if found is not None and found.instance_id == instance_id:
            self._events.record_state(
                'executor left', incarnation=found.incarnation
            )
            self._note_gone(found, 'left')

    # Sessions.

    def begin_session(self, welcome: messages.Welcome) -> None:
        """Begin a session under a new token."""
        self._token = welcome.token
        self._grant_ms = welcome.grant_ms
        self._is_ready = False
        self._reported_state = None
        self._specs.clear()
        stopping = self._session_tasks
        self._session_tasks = loop_module.TaskGroup()
        self._background.start(stopping.stop())
        self._session_tasks.start_lasting(
            lambda: self._run_session(welcome.token),
            self._events.record_failure,
        )

    def end_session(self) -> None:
        """End the session; its stream is gone.

        The lease is not extended without a session, since no owner grants
        it, but ends are kept for the next session.
        """
        self._token = 0
        self._is_ready = False
        stopping = self._session_tasks
        self._session_tasks = loop_module.TaskGroup()
        self._background.start(stopping.stop())

    def note_grant(self, answer: messages.Answer) -> None:
        """Extend the grant from the time at which it was asked for."""
        if answer.is_granted:
            deadline_ms = answer.sent_at_elapsed_ms + self._grant_ms
            self._grant_deadline_ms = max(self._grant_deadline_ms, deadline_ms)

    def send_report(self) -> None:
        """Tell the owner about the runs, and ask for a grant."""
        if not self._token:
            return
        state = None
        if self._is_ready:
            state = self._make_state()
            if state == self._reported_state:
                state = None
            else:
                self._reported_state = state
        rows = tuple(
            _make_row(run.row, run.pace_percent)
            for run in self._runs.values()
            if run.row is not None and not run.terms.is_lasting
        )
        self._send(
            messages.Report(
                self._token,
                clock.read_elapsed_ms(),
                rows,
                state,
                self._pacer.make_samples(),
                self._pacer.find_shares(),
            )
        )

    async def _run_session(self, token: int) -> None:
        """Inspect the executor, report everything, then follow it."""
        is_first = True
        while self._token == token:
            wait_ms = 0 if is_first else INSPECTION_WAIT_MS
            if wait_ms and self._pacer.is_needed:
                wait_ms = PACED_WAIT_MS
            begun_at_ms = clock.read_elapsed_ms()
            lease_ms = 0 if is_first else self._find_lease_deadline_ms()
            if self._is_gone or self._lost_since_ms:
                wait_ms = 0
            try:
                found = await self._executor.inspect(
                    self._find_instance_id(),
                    token,
                    self._acknowledged_end_number,
                    lease_ms,
                    wait_ms,
                )
            except task_executor.ExecutorLost as error:
                await self._note_lost(error)
                continue
            except task_executor.OrderRefused as error:
                if await self._note_order_refused(error):
                    return
                continue
            if self._token != token:
                return
            self._note_clock(found.clock_ms)
            self._lost_since_ms = 0
            if not self._is_same_life(found):
                return
            if self._is_gone:
                # It had only been silent; what it runs is told anew.
                self._is_gone = False
                self._renew_session()
                return
            if is_first:
                is_first = False
                self._report_snapshot(found)
                continue
            self._apply_inspection(found, begun_at_ms)
            await self._pace_fillers()
            if self._seen_end_number > self._acknowledged_end_number:
                self._acknowledged.clear()
                await loop_module.wait_for_event(
                    self._acknowledged, ACKNOWLEDGE_WAIT_MS
                )

    def _report_snapshot(self, found: task_executor.Inspection) -> None:
        known = self._runs
        self._runs = {}
        for row in found.running:
            key = (row.task, row.attempt)
            run = known.get(key)
            if run is None:
                run = runs_module.AgentRun(
                    _make_unknown_terms(row.task, row.attempt),
                    runs_module.RunState.RUNNING,
                )
            run.state = runs_module.RunState.RUNNING
            run.row = row
            run.settled_at_ms = clock.read_elapsed_ms()
            self._runs[key] = run
        self._seen_end_number = max(
            (end.number for end in found.ended),
            default=self._acknowledged_end_number,
        )
        state = self._make_state()
        self._reported_state = state
        self._is_ready = True
        self._send(
            messages.Snapshot(
                self._token,
                state,
                tuple(_make_row(row) for row in found.running),
                tuple(_make_end(end) for end in found.ended),
            )
        )
        self.send_report()

    def _renew_session(self) -> None:
        """Ask for a new token, under which everything is told anew."""
        self.end_session()
        self._ask_session()

    # Orders of the owner.

    def order_start(self, order: messages.Start) -> None:
        """Start a run, or refuse it."""
        if order.token != self._token or not self._is_ready:
            return
        if order.spec is not None:
            self._specs[order.workflow_id] = order.spec
        refusal = self._find_refusal(order)
        if refusal:
            self._refuse(order.terms, refusal)
            return
        run = runs_module.AgentRun(order.terms, runs_module.RunState.STARTING)
        self._runs[run.key] = run
        # Kept with the run, since the workflow may be forgotten while a
        # start without an answer is repeated.
        spec = self._specs[order.workflow_id]
        self._session_tasks.start(self._start(run, order, spec))

    def order_stop(self, order: messages.Stop) -> None:
        """Stop a run, also one whose start is under way."""
        if order.token != self._token:
            return
        key = (order.task, order.attempt)
        run = self._runs.get(key)
        if run is None:
            terms = _make_unknown_terms(order.task, order.attempt)
            run = runs_module.AgentRun(terms, runs_module.RunState.STOPPING)
            self._runs[key] = run
        run.state = runs_module.RunState.STOPPING
        self._session_tasks.start(self._stop(run, order.token))

    def acknowledge(self, order: messages.Acknowledged) -> None:
        """Let the executor forget ends from the next inspection on."""
        if order.token == self._token:
            self._acknowledged_end_number = max(
                self._acknowledged_end_number, order.number
            )
            if self._acknowledged_end_number >= self._seen_end_number:
                self._acknowledged.set()

    def note_known(self, known: messages.Known) -> None:
        """Learn what the owner knows of the runs of the snapshot."""
        for terms in known.runs:
            run = self._runs.get((terms.task, terms.attempt))
            if run is not None:
                run.terms = terms

    def forget(self, workflow_id: str) -> None:
        """Drop the specification of an ended workflow."""
        self._specs.pop(workflow_id, None)

    def _find_refusal(self, order: messages.Start) -> str:
        """Return why a start is not possible, or ''."""
        announcement = self.announcement
        if announcement is None or self._is_gone:
            return 'no executor'
        if announcement.is_draining:
            return 'draining'
        if order.workflow_id not in self._specs:
            return 'no specification'
        total = order.terms.reserved
        for run in self._runs.values():
            total = total.plus(run.terms.reserved)
        if not total.fits_in(announcement.capacity):
            return 'no room'
        return ''

    def _refuse(
        self,
        terms: messages.RunTerms,
        reason: str,
        is_unhealthy: bool = False,
    ) -> None:
        measurements.STARTS_REFUSED.labels(reason).inc()
        self._events.record(
            'start refused',
            task=terms.task,
            attempt=terms.attempt,
            reason=reason,
        )
        self._send(
            messages.StartRefused(
                self._token, terms.task, terms.attempt, reason, is_unhealthy
            )
        )

    async def _start(
        self, run: runs_module.AgentRun, order: messages.Start, spec: str
    ) -> None:
        """Order a start until it is answered.

        Repeating it is safe, because the executor knows the attempt.
        """
        token = order.token
        for number in range(START_TRIES):
            if run.state is runs_module.RunState.STOPPING:
                return
            lease_ms = await self._wait_for_grant()
            if self._token != token or run.key not in self._runs:
                return
            if not lease_ms:
                run.refusal = 'no grant'
                break
            try:
                outcome = await self._executor.start(
                    self._find_instance_id(),
                    task_executor.StartOrder(
                        order.terms.task,
                        order.terms.attempt,
                        spec,
                        token,
                        lease_ms,
                        order.checkpoint,
                    ),
                )
            except task_executor.ExecutorLost as error:
                measurements.EXECUTOR_FAILURES.inc()
                self._events.record(
                    'start not answered',
                    task=order.terms.task,
                    attempt=order.terms.attempt,
                    tries=number + 1,
                    detail=str(error),
                )
                run.refusal = 'not answered'
                run.is_unhealthy = True
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)
                continue
            if outcome is task_executor.StartOutcome.TOO_LATE:
                self._clock = None
                run.refusal = outcome.value
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)
                continue
            self._note_outcome(run, outcome, number)
            if (
                run.terms.is_filler
                and run.state is runs_module.RunState.RUNNING
            ):
                # A task works at full pace from its start on.
                await self._pace_fillers()
            return
        # It may still be carried out, so a stop has to prevent that.
        if run.state is runs_module.RunState.STARTING:
            run.state = runs_module.RunState.STOPPING
            await self._stop(run, token)

    def _note_outcome(
        self,
        run: runs_module.AgentRun,
        outcome: task_executor.StartOutcome,
        failures: int,
    ) -> None:
        started = task_executor.StartOutcome.STARTED
        superseded = task_executor.StartOutcome.SUPERSEDED
        if outcome is started or (outcome is superseded and failures):
            # After a lost answer the run may have started and ended; the
            # next inspection shows it.
            run.settled_at_ms = clock.read_elapsed_ms()
            if run.state is runs_module.RunState.STARTING:
                run.state = runs_module.RunState.RUNNING
            run.refusal = 'absent'
            run.is_unhealthy = False
            return
        if outcome is task_executor.StartOutcome.FENCED:
            self._renew_session()
            return
        if outcome is task_executor.StartOutcome.OTHER_INSTANCE:
            return
        self._runs.pop(run.key, None)
        self._refuse(
            run.terms,
            outcome.value,
            outcome is task_executor.StartOutcome.UNHEALTHY,
        )

    async def _wait_for_grant(self) -> int:
        """Return the lease to ask for; 0 if there is no grant."""
        deadline_ms = clock.read_elapsed_ms() + GRANT_WAIT_MS
        while True:
            lease_ms = self._find_lease_deadline_ms()
            if lease_ms or clock.read_elapsed_ms() >= deadline_ms:
                return lease_ms
            await asyncio.sleep(0.02)

    async def _stop(self, run: runs_module.AgentRun, token: int) -> None:
        """Order a stop until it is answered."""
        while self._token == token and run.key in self._runs:
            try:
                await self._executor.stop(
                    self._find_instance_id(),
                    run.terms.task,
                    run.terms.attempt,
                    token,
                )
            except task_executor.ExecutorLost:
                measurements.EXECUTOR_FAILURES.inc()
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)
                continue
            except task_executor.OrderRefused as error:
                self._events.record(
                    'stop refused',
                    task=run.terms.task,
                    attempt=run.terms.attempt,
                    reason=error.outcome.value,
                )
                if error.outcome is task_executor.StartOutcome.FENCED:
                    self._renew_session()
                    return
            run.settled_at_ms = clock.read_elapsed_ms()
            return

    # News of the executor.

    def _apply_inspection(
        self, found: task_executor.Inspection, begun_at_ms: int
    ) -> None:
        news = [
            end for end in found.ended if end.number > self._seen_end_number
        ]
        for end in news:
            self._seen_end_number = max(self._seen_end_number, end.number)
            self._runs.pop((end.task, end.attempt), None)
            measurements.RUNS_ENDED.labels(end.kind.value).inc()
            self._events.record(
                'end seen',
                task=end.task,
                attempt=end.attempt,
                how=end.kind.value,
                number=end.number,
            )
        if news:
            self._send(
                messages.Ends(
                    self._token, tuple(_make_end(end) for end in news)
                )
            )
        listed = set()
        for row in found.running:
            key = (row.task, row.attempt)
            listed.add(key)
            run = self._runs.get(key)
            if run is None:
                # Carried out late, after it was reported as refused.
                self.order_stop(
                    messages.Stop(self._token, row.task, row.attempt)
                )
                continue
            run.row = row
        self._pacer.note_use(self._find_capacity())
        for key, run in list(self._runs.items()):
            is_settled = 0 < run.settled_at_ms < begun_at_ms
            if is_settled and key not in listed:
                del self._runs[key]
                self._refuse(run.terms, run.refusal, run.is_unhealthy)

    async def _note_lost(self, error: task_executor.ExecutorLost) -> None:
        """Handle an inspection without an answer."""
        measurements.EXECUTOR_FAILURES.inc()
        now_ms = clock.read_elapsed_ms()
        if not self._lost_since_ms:
            self._lost_since_ms = now_ms
            self._events.record_state('executor lost', detail=str(error))
        if not self._is_gone:
            if error.is_refused:
                self._note_gone(self.announcement, 'nothing listens')
            elif now_ms > self._lease_end_ms + LEASE_SLACK_MS:
                self._note_gone(self.announcement, 'lease ended')
        pause_ms = GONE_PAUSE_MS if self._is_gone else RETRY_PAUSE_MS
        await asyncio.sleep(pause_ms / 1000)

    async def _note_order_refused(
        self, error: task_executor.OrderRefused
    ) -> bool:
        """Handle a refused inspection; tell whether the session is over."""
        self._events.record_state(
            'inspection refused', reason=error.outcome.value
        )
        await asyncio.sleep(RETRY_PAUSE_MS / 1000)
        if error.outcome is task_executor.StartOutcome.FENCED:
            self._renew_session()
            return True
        if error.outcome is task_executor.StartOutcome.OTHER_INSTANCE:
            self._note_gone(self.announcement, 'replaced')
        return False

    def _is_same_life(self, found: task_executor.Inspection) -> bool:
        """Tell whether the executor is the one that has announced itself."""
        announcement = self.announcement
        if announcement is None or not found.born_at_ms:
            return True
        if found.born_at_ms == announcement.born_at_ms:
            return True
        self._note_gone(announcement, 'started again')
        self.announcement = dataclasses.replace(
            announcement, born_at_ms=found.born_at_ms, sequence=0
        )
        self._renew_session()
        return False

    def _note_gone(
        self, announcement: targets.Announcement | None, cause: str
    ) -> None:
        """Note that nothing runs on the executor any more."""
        if announcement is None:
            return
        self._is_gone = cause not in ('replaced', 'started again')
        self._runs.clear()
        self._seen_end_number = 0
        self._acknowledged_end_number = 0
        self._clock = None
        if self._token:
            self._events.record_state(
                'executor gone',
                incarnation=announcement.incarnation,
                cause=cause,
            )
            self._send(
                messages.ExecutorGone(
                    self._token, announcement.incarnation, cause
                )
            )

    # Leases.

    def _note_clock(self, executor_ms: int) -> None:
        self._clock = _ClockReading(executor_ms, clock.read_elapsed_ms())

    def _find_lease_deadline_ms(self) -> int:
        """Return the end of the grant on the executor's clock; 0 for none.

        The clock was read before the answer arrived and may run slow, so
        the lease ends before the grant does.
        """
        reading = self._clock
        now_ms = clock.read_elapsed_ms()
        if reading is None or self._lost_since_ms:
            return 0
        if self._grant_deadline_ms - now_ms < LEAST_LEASE_MS:
            return 0
        left_ms = self._grant_deadline_ms - reading.elapsed_ms
        self._lease_end_ms = max(self._lease_end_ms, self._grant_deadline_ms)
        return reading.executor_ms + int(left_ms * EXECUTOR_CLOCK_SHARE)

    # Helpers.

    async def _pace_fillers(self) -> None:
        await self._pacer.pace(
            self._find_capacity(), self._find_instance_id(), self._token
        )

    def note_effects(self, found: messages.Effects) -> None:
        """Learn which fillers disturb which serving tasks."""
        self._pacer.note_effects(found)

    def _find_capacity(self) -> resources.Resources:
        announcement = self.announcement
        return announcement.capacity if announcement else resources.NOTHING

    def _find_instance_id(self) -> str:
        announcement = self.announcement
        return announcement.instance_id if announcement else ''

    def _make_state(self) -> messages.TargetState:
        found = self.announcement
        if found is None:
            return messages.TargetState('', '', resources.NOTHING, (), True, 0)
        left_ms = 0
        if found.is_draining:
            now_ms = clock.read_elapsed_ms()
            left_ms = max(found.leaves_deadline_ms - now_ms, 0)
            # Coarse, so that reports do not differ each time.
            left_ms -= left_ms % 500
        return messages.TargetState(
            found.incarnation,
            found.service,
            found.capacity,
            found.labels,
            found.is_draining,
            left_ms,
        )


def _make_unknown_terms(task: str, attempt: int) -> messages.RunTerms:
    return messages.RunTerms(task, attempt, resources.NOTHING)


def _make_row(
    row: task_executor.RunningTask,
    pace_percent: int = pacing.FULL_PACE_PERCENT,
) -> messages.Row:
    return messages.Row(
        row.task,
        row.attempt,
        row.checkpoint,
        row.progress_percent,
        pace_percent,
    )


def _make_end(end: task_executor.EndedRun) -> messages.Ended:
    return messages.Ended(
        end.number, end.task, end.attempt, end.kind, end.checkpoint
    )
