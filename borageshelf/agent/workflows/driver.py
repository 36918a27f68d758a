"""Carries out the owner's orders on the executor beside the agent.

Each session has a fencing token and begins with an inspection under it. From
then on the executor refuses orders of earlier sessions, so the inspection
shows every run that exists. The agent makes the final check of capacity,
draining and the grant before each start, regardless of what the owner assumes.
"""

import asyncio
from collections import abc
import dataclasses
from typing import Final

from borageshelf.agent.workflows import evacuation_gate
from borageshelf.agent.workflows import executor_ends
from borageshelf.agent.workflows import executor_lease
from borageshelf.agent.workflows import grant_watch
from borageshelf.agent.workflows import lease_lapse
from borageshelf.agent.workflows import pacer
from borageshelf.agent.workflows import rivals
from borageshelf.agent.workflows import runs
from borageshelf.agent.workflows import target_state
from borageshelf import clock
from borageshelf import events
from borageshelf import loop
from borageshelf import measurements
from borageshelf.model import resources
from borageshelf.model import targets
from borageshelf.ports import task_executor
from borageshelf.workflows import end_proofs
from borageshelf.workflows import messages

# Each inspection waits up to this long for the end of a run, and extends the
# lease.
INSPECTION_WAIT_MS: Final = 1_000
# Applies while fillers run beside serving tasks. The tail latencies of serving
# tasks cover half a second, so inspections must be more frequent.
PACED_INSPECTION_WAIT_MS: Final = 400
# An inspection waits up to a second for an end.
INSPECTION_AGE_LIMIT_MS: Final = 1_600
# The users' platform counts a capacity that has shrunk from 3 s and one
# heartbeat (1.1 s or more) on. An older announcement permits no start.
ANNOUNCEMENT_AGE_LIMIT_MS: Final = 4_000
# A request that fails sooner than this met a broken connection.
SILENCE_MIN_MS: Final = 500
RETRY_PAUSE_MS: Final = 120
GONE_RETRY_PAUSE_MS: Final = 400
# Time for the owner to commit reported ends, which takes a few milliseconds.
ACKNOWLEDGEMENT_WAIT_MS: Final = 150
START_TRIES: Final = 4
GRANT_WAIT_LIMIT_MS: Final = 1_000
# Between two inspections until the lease has lapsed.
LAPSE_PAUSE_MS: Final = 100
LAPSE_REASON: Final = 'lease outlives its grant'
# Answers after which this try of a start has certainly done nothing.
_REFUSALS: Final = (
    task_executor.StartOutcome.NO_ROOM,
    task_executor.StartOutcome.NO_TICKET,
    task_executor.StartOutcome.UNHEALTHY,
    task_executor.StartOutcome.INVALID,
)


class ExecutorDriver:
    """Starts, stops and inspects runs on the executor beside the agent.

    :param send: sends a message to the owner, if there is a stream
    :param request_session: asks the owner for a new session
    :param former_grant_ms: longest grant of a former process of this agent
    :param needs_answers: whether starts need a recent answer of the owner
    """

    def __init__(
        self,
        executor: task_executor.TaskExecutor,
        event_log: events.EventLog,
        send: abc.Callable[[messages.AnyMessage], None],
        request_session: abc.Callable[[], None],
        former_grant_ms: int,
        needs_answers: bool = False,
    ) -> None:
        self._executor = executor
        self._event_log = event_log
        self._send = send
        self._request_session = request_session
        self.announcement: targets.Announcement | None = None
        self._rival = rivals.Rival()
        self._evacuation = evacuation_gate.EvacuationGate(
            needs_answers, event_log
        )
        self._token = 0
        self._is_ready = False
        self._grant_ms = 0
        self._lease = executor_lease.ExecutorLease(former_grant_ms)
        self._lapse = lease_lapse.LeaseLapse(self._lease, event_log)
        self._grant_watch = grant_watch.GrantWatch(
            executor,
            event_log,
            self._lease,
            former_grant_ms,
            lambda: (*self._runs.values(), *self._ends.runs),
            self._get_instance_id,
            self._lapse,
        )
        self._is_watching_grant = False
        self._seen_end_number = 0
        self._acknowledged_end_number = 0
        self._recorded_end_number = 0
        # The last number that an answered inspection has acknowledged.
        self._forgotten_end_number = 0
        self._ends_acknowledged = asyncio.Event()
        self._runs: dict[tuple[str, int], runs.AgentRun] = {}
        self._ends = executor_ends.ExecutorEnds()
        self._departed_incarnation = ''
        self._inspection_begun_at_ms = 0
        self._is_snapshot_complete = True
        # Earliest time at which the executor may have stopped answering.
        self._silent_since_ms = 0
        self._specs: dict[str, str] = {}
        self._unanswered_since_ms = 0
        self._inspected_at_ms = 0
        # What has shown that the announced incarnation has gone or may have,
        # until it answers again.
        self._gone_cause: messages.GoneCause | None = None
        # Whether the last inspection was answered with a refusal.
        self._is_refused = False
        self._pacer = pacer.FillerPacer(
            executor, event_log, lambda: self._runs.values()
        )
        self._reported_state: messages.TargetState | None = None
        self._session_tasks = loop.TaskGroup()
        self._background = loop.TaskGroup()

    @property
    def incarnation(self) -> str:
        """Incarnation of the executor; '' before its first announcement."""
        announcement = self.announcement
        return announcement.incarnation if announcement else ''

    async def stop(self) -> None:
        """Stop the background tasks.

        Runs continue on the executor until its lease ends.
        """
        await self._session_tasks.stop()
        await self._background.stop()
        await self._grant_watch.stop()

    # Announcements of the executor.

    def handle_announcement(self, announcement: targets.Announcement) -> None:
        """Apply an announcement of the executor unless it is outdated."""
        former = self.announcement
        if former is not None and not announcement.is_newer_than(former):
            is_rival = former.instance_id != announcement.instance_id
            if not is_rival or not self._rival.has_outlasted(
                announcement, clock.read_elapsed_ms()
            ):
                return
        self._rival.forget()
        self.announcement = announcement
        if former is None or former.incarnation != announcement.incarnation:
            self._event_log.record_state(
                'executor announced',
                incarnation=announcement.incarnation,
                former=former.incarnation if former else '',
            )
            if former is not None:
                self._report_executor_gone(
                    former, messages.GoneCause.OTHER_ANNOUNCED
                )
            self._gone_cause = None
            self._renew_session()
        elif announcement.is_draining and not former.is_draining:
            self._event_log.record_state(
                'executor drains', incarnation=announcement.incarnation
            )
            self.send_report()
        elif announcement.capacity != former.capacity:
            self._record_capacity(former.capacity, announcement.capacity)

    def _record_capacity(
        self, former: resources.Resources, capacity: resources.Resources
    ) -> None:
        self._event_log.record_state(
            'capacity changed',
            former_millicores=former.processor_millicores,
            millicores=capacity.processor_millicores,
            former_memory_mb=former.memory_mb,
            memory_mb=capacity.memory_mb,
        )

    def handle_departure(self, instance_id: str) -> None:
        """Handle an executor's message that it is shutting down."""
        announcement = self.announcement
        if (
            announcement is not None
            and announcement.instance_id == instance_id
        ):
            self._event_log.record_state(
                'executor left', incarnation=announcement.incarnation
            )
            # It runs until its process ends, which the next inspection shows.
            self._departed_incarnation = announcement.incarnation

    # Sessions.

    def begin_session(self, welcome: messages.Welcome) -> None:
        """Begin a session under a new token."""
        self._token = welcome.token
        self._grant_watch.note_token(welcome.token)
        self._grant_ms = welcome.grant_ms
        self._evacuation.note_statement(welcome.service_state)
        if welcome.has_given_up_runs:
            self._lapse.begin()
        self._is_ready = False
        self._reported_state = None
        self._specs.clear()
        former_tasks = self._session_tasks
        self._session_tasks = loop.TaskGroup()
        self._background.start(former_tasks.stop())
        self._session_tasks.start_with_restarts(
            lambda: self._run_session(welcome.token),
            self._handle_session_failure,
        )
        if not self._is_watching_grant:
            self._is_watching_grant = True
            self._background.start_with_restarts(
                self._grant_watch.run, self._event_log.record_failure
            )

    def _handle_session_failure(self, error: Exception) -> None:
        """Go on in a new session, whose token voids the orders of this one."""
        self._event_log.record_failure(error)
        self.end_session()
        self._background.start(self._request_session_later())

    async def _request_session_later(self) -> None:
        """Request a session after a pause, as the next one may fail too."""
        await asyncio.sleep(loop.RESTART_DELAY_MS / 1000)
        if not self._token:
            self._request_session()

    def end_session(self) -> None:
        """End the session.

        Without a session there is no owner to extend the grant, so the lease
        is not extended either. Ends of runs are kept for the next session.
        """
        self._token = 0
        self._is_ready = False
        former_tasks = self._session_tasks
        self._session_tasks = loop.TaskGroup()
        self._background.start(former_tasks.stop())

    def extend_grant(self, answer: messages.Answer) -> None:
        """Extend the grant, counted from the time of the report."""
        self._evacuation.note_statement(
            answer.service_state, answer.sent_at_elapsed_ms
        )
        if answer.is_granted:
            self._grant_watch.extend(
                answer.sent_at_elapsed_ms + self._grant_ms
            )

    def send_report(self) -> None:
        """Report the runs to the owner and request a longer grant."""
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
            runs.make_row(
                run.row,
                run.pace_percent,
                run.terms.is_lasting and bool(run.open_tries),
            )
            for run in self._take_reported_runs()
            if run.row is not None
        )
        self._send(
            messages.Report(
                self._token,
                clock.read_elapsed_ms(),
                rows,
                state,
                self._pacer.make_latency_samples(),
                self._pacer.compute_peak_filler_shares(),
                requests_grant=not self._unanswered_since_ms,
            )
        )

    def _take_reported_runs(self) -> list[runs.AgentRun]:
        """Return the runs whose progress the owner is to learn.

        A lasting run is reported when it is first listed and once it is at
        work.
        """
        if not self._is_inspection_recent():
            return []
        reported = []
        for run in self._runs.values():
            if not run.terms.is_lasting:
                reported.append(run)
            elif run.needs_report():
                run.note_report()
                reported.append(run)
        return reported

    def _is_inspection_recent(self) -> bool:
        """Tell whether the known progress is recent enough to be reported.

        It is not while the executor does not answer, or after this process
        was paused.
        """
        age_ms = clock.read_elapsed_ms() - self._inspected_at_ms
        return age_ms <= INSPECTION_AGE_LIMIT_MS

    async def _run_session(self, token: int) -> None:
        """Report a snapshot of the executor, then the changes on it."""
        self._repeat_report_of_gone_executor()
        is_first = True
        while self._token == token:
            wait_ms = 0 if is_first else INSPECTION_WAIT_MS
            if wait_ms and self._pacer.is_needed:
                wait_ms = PACED_INSPECTION_WAIT_MS
            begun_at_ms = clock.read_elapsed_ms()
            extension = executor_lease.NO_EXTENSION
            # It is not certain that a refused inspection extends no lease, so
            # the lease of an executor that refuses is let run out.
            if not (is_first or self._is_refused or self._gone_cause):
                extension = self._compute_lease_extension()
            if (
                self._gone_cause is not None
                or self._unanswered_since_ms
                or self._lapse.is_awaited
            ):
                wait_ms = 0
            acknowledged_end_number = 0
            if not (is_first or self._unanswered_since_ms):
                # Otherwise another incarnation may answer, whose ends have
                # the same numbers.
                acknowledged_end_number = self._find_due_acknowledgement()
            try:
                inspection = await self._inspect(
                    token, acknowledged_end_number, extension, wait_ms
                )
            except task_executor.ExecutorUnavailable as error:
                self._note_silence(begun_at_ms, wait_ms)
                await self._handle_unanswered_inspection(error, begun_at_ms)
                continue
            except task_executor.OrderRefused as error:
                if await self._handle_refused_inspection(error):
                    return
                continue
            if self._token != token:
                return
            self._is_refused = False
            self._rival.forget()
            self._inspected_at_ms = clock.read_elapsed_ms()
            self._unanswered_since_ms = 0
            self._conclude_from_answer(inspection)
            if not self._check_incarnation(inspection):
                return
            self._forgotten_end_number = max(
                self._forgotten_end_number, acknowledged_end_number
            )
            self._lease.record_clock(inspection.clock_ms)
            self._lapse.note_reading()
            self._inspection_begun_at_ms = begun_at_ms
            self._silent_since_ms = self._inspected_at_ms
            if self._gone_cause is not None:
                # The executor was only unreachable. A new session reports
                # all of its runs again.
                self._gone_cause = None
                self._renew_session()
                return
            if is_first:
                is_first = False
                self._report_snapshot(inspection)
                continue
            self._apply_inspection(inspection, begun_at_ms)
            if inspection.has_all_ends and not self._is_snapshot_complete:
                self._renew_session()
                return
            await self._pace_fillers()
            if self._lapse.is_awaited:
                await asyncio.sleep(LAPSE_PAUSE_MS / 1000)
            elif self._seen_end_number > self._acknowledged_end_number:
                self._ends_acknowledged.clear()
                await loop.wait_for_event(
                    self._ends_acknowledged, ACKNOWLEDGEMENT_WAIT_MS
                )

    async def _inspect(
        self,
        token: int,
        acknowledged_end_number: int,
        extension: executor_lease.Extension,
        wait_ms: int,
    ) -> task_executor.Inspection:
        """Inspect the executor, and note whether this extends the lease."""
        is_without_effect = False
        self._lease.begin_extension(extension)
        try:
            return await self._executor.inspect(
                self._get_instance_id(),
                token,
                acknowledged_end_number,
                extension.lease_deadline_ms,
                wait_ms,
            )
        except task_executor.ExecutorUnavailable as error:
            is_without_effect = error.is_connection_refused
            raise
        finally:
            self._lease.end_extension(extension, is_without_effect)

    def _report_snapshot(self, inspection: task_executor.Inspection) -> None:
        former_runs = self._runs
        if self._ends.incarnation == self.incarnation:
            former_runs |= {run.key: run for run in self._ends.runs}
        self._runs = {}
        for row in inspection.running:
            key = (row.task, row.attempt)
            run = former_runs.get(key)
            if run is None:
                run = runs.make_unknown_run(
                    row.task, row.attempt, runs.RunState.RUNNING
                )
            run.state = runs.RunState.RUNNING
            run.row = row
            run.note_report()
            run.may_have_arrived = True
            run.confirmed_at_ms = clock.read_elapsed_ms()
            self._runs[key] = run
        for end in inspection.ended:
            self._record_end(end)
        self._seen_end_number = max(
            (end.number for end in inspection.ended),
            default=self._acknowledged_end_number,
        )
        self._event_log.record_state(
            'snapshot taken',
            incarnation=self.incarnation,
            token=self._token,
            running=len(inspection.running),
            ended=len(inspection.ended),
            unknown=len(inspection.running)
            - len(former_runs.keys() & self._runs.keys()),
            last_end=self._seen_end_number,
        )
        self._ends.note_snapshot(self.incarnation)
        self._is_snapshot_complete = inspection.has_all_ends
        state = self._make_state()
        self._reported_state = state
        self._is_ready = True
        self._send(
            messages.Snapshot(
                self._token,
                state,
                tuple(runs.make_row(row) for row in inspection.running),
                tuple(runs.make_end(end) for end in inspection.ended),
                inspection.has_all_ends,
            )
        )
        self.send_report()

    def _find_due_acknowledgement(self) -> int:
        """Return up to which number the executor may forget ends; 0 for none.

        An acknowledgement is not sent again once it is answered, because a
        late inspection may reach the next incarnation, whose ends have the
        same numbers.
        """
        if self._forgotten_end_number >= self._acknowledged_end_number:
            return 0
        if self._grant_watch.check_lapse():
            return 0
        self._record_acknowledgement()
        return self._acknowledged_end_number

    def _record_acknowledgement(self) -> None:
        """Log which ends the executor may forget, once for each number."""
        if self._acknowledged_end_number > self._recorded_end_number:
            self._recorded_end_number = self._acknowledged_end_number
            self._event_log.record(
                'ends acknowledged',
                number=self._acknowledged_end_number,
                incarnation=self.incarnation,
                token=self._token,
            )

    def _record_end(self, end: task_executor.EndedRun) -> None:
        self._event_log.record(
            'end seen',
            task=end.task,
            attempt=end.attempt,
            how=end.kind.value,
            number=end.number,
            incarnation=self.incarnation,
        )

    def _renew_session(self) -> None:
        """Request a session with a new token and a new snapshot."""
        self.end_session()
        self._request_session()

    # Orders of the owner.

    def order_start(self, order: messages.Start) -> None:
        """Start a run, or refuse to."""
        if order.token != self._token or not self._is_ready:
            self._event_log.record(
                'start of a former session',
                task=order.terms.task,
                attempt=order.terms.attempt,
                token=order.token,
                session_token=self._token,
            )
            return
        if order.spec is not None:
            self._specs[order.workflow_id] = order.spec
        reason = self._find_refusal_reason(order)
        if reason:
            self._refuse(order.terms, reason)
            return
        run = runs.AgentRun(order.terms, runs.RunState.STARTING)
        self._runs[run.key] = run
        # Looked up now, since the workflow may be forgotten while a start
        # without an answer is repeated.
        spec = self._specs[order.workflow_id]
        self._session_tasks.start(self._start(run, order, spec))

    def order_stop(self, order: messages.Stop) -> None:
        """Stop a run, even if its start is still in progress."""
        if order.token != self._token:
            return
        key = (order.task, order.attempt)
        run = self._runs.get(key)
        if run is None:
            run = runs.make_unknown_run(
                order.task, order.attempt, runs.RunState.STOPPING
            )
            self._runs[key] = run
        run.state = runs.RunState.STOPPING
        self._session_tasks.start(self._stop(run, order.token))

    def acknowledge_ends(self, order: messages.Acknowledged) -> None:
        """Let the executor forget acknowledged ends at the next inspection."""
        # The numbers are those of an incarnation that has gone.
        is_outdated = self._gone_cause is not None
        if order.token == self._token and not is_outdated:
            self._acknowledged_end_number = max(
                self._acknowledged_end_number, order.number
            )
            if self._acknowledged_end_number >= self._seen_end_number:
                self._ends_acknowledged.set()

    def update_run_terms(self, known: messages.Known) -> None:
        """Set the terms of the runs in the snapshot that the owner knows."""
        for terms in known.runs:
            run = self._runs.get((terms.task, terms.attempt))
            if run is not None:
                run.terms = terms
                run.is_known = True

    def forget_workflow(self, workflow_id: str) -> None:
        """Drop the specification of an ended workflow."""
        self._specs.pop(workflow_id, None)

    def _find_refusal_reason(self, order: messages.Start) -> str:
        """Return why a start is refused; '' if it is allowed."""
        announcement = self.announcement
        if self._evacuation.is_evacuated:
            return messages.EVACUATED_REASON
        if announcement is None or self._gone_cause is not None:
            return 'no executor'
        if announcement.is_draining:
            return 'draining'
        if order.workflow_id not in self._specs:
            return 'no specification'
        if not self._has_room(order.terms.reserved, announcement):
            return 'no room'
        if self._grant_watch.check_lapse():
            return LAPSE_REASON
        return ''

    def _has_room(
        self, added: resources.Resources, announcement: targets.Announcement
    ) -> bool:
        """Tell whether all runs and an added size fit.

        Nothing fits beside a listed run of unknown size.
        """
        reserved = added
        for run in self._runs.values():
            if run.row is not None and not run.is_known:
                return False
            reserved = reserved.plus(run.terms.reserved)
        return reserved.fits_in(announcement.capacity)

    def _refuse(
        self,
        terms: messages.RunTerms,
        reason: str,
        is_unhealthy: bool = False,
    ) -> None:
        measurements.STARTS_REFUSED.labels(reason).inc()
        self._evacuation.count_refusal(reason)
        self._event_log.record(
            'start refused',
            task=terms.task,
            attempt=terms.attempt,
            reason=reason,
            incarnation=self.incarnation,
            token=self._token,
        )
        self._send(
            messages.StartRefused(
                self._token,
                terms.task,
                terms.attempt,
                reason,
                is_unhealthy,
                self._lapse.left_ms,
            )
        )

    async def _start(
        self, run: runs.AgentRun, order: messages.Start, spec: str
    ) -> None:
        """Order a start, repeatedly until it is answered.

        This is safe because the executor starts an attempt only once.
        """
        token = order.token
        received_at_ms = clock.read_elapsed_ms()
        for try_index in range(START_TRIES):
            if run.is_being_stopped():
                return
            extension = await self._wait_for_grant()
            if self._token != token or run.key not in self._runs:
                return
            if run.is_being_stopped():
                return
            evacuation_reason = self._evacuation.find_refusal_reason()
            if evacuation_reason or not extension.lease_deadline_ms:
                run.refusal_reason = evacuation_reason or 'no grant'
                if self._lapse.is_awaited:
                    run.refusal_reason = LAPSE_REASON
                run.is_unhealthy = run.is_unhealthy and not evacuation_reason
                break
            if self.announcement is None or self.announcement.is_draining:
                run.refusal_reason = 'draining'
                run.is_unhealthy = False
                break
            if not self._has_room(resources.NOTHING, self.announcement):
                # The capacity has shrunk since the order.
                run.refusal_reason = 'no room'
                run.is_unhealthy = False
                break
            had_arrived, run.may_have_arrived = run.may_have_arrived, True
            run.open_tries += 1
            run.ordered_at_running_ms = clock.read_running_ms()
            self._record_order(
                'start sent',
                run,
                token,
                try_index + 1,
                # The clocks of two VMs differ, so this is for readers only.
                order_age_ms=clock.read_wall_clock_ms()
                - order.ordered_at_wall_ms,
                received_age_ms=clock.read_elapsed_ms() - received_at_ms,
            )
            sent_at_attended_ms = self._lease.read_attended_ms()
            try:
                answer = await self._send_start(
                    task_executor.StartOrder(
                        order.terms.task,
                        order.terms.attempt,
                        spec,
                        token,
                        extension.lease_deadline_ms,
                        order.checkpoint,
                    ),
                    extension,
                )
            except task_executor.ExecutorUnavailable as error:
                measurements.EXECUTOR_FAILURES.inc()
                self._event_log.record(
                    'start not answered',
                    task=order.terms.task,
                    attempt=order.terms.attempt,
                    tries=try_index + 1,
                    detail=str(error),
                )
                if error.is_connection_refused:
                    run.may_have_arrived = had_arrived
                    run.open_tries -= 1
                run.refusal_reason = 'not answered'
                run.is_unhealthy = True
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)
                continue
            run.open_tries -= 1
            outcome = answer.outcome
            self._event_log.record(
                'start answered',
                task=order.terms.task,
                attempt=order.terms.attempt,
                tries=try_index + 1,
                outcome=outcome.value,
            )
            run.is_dated = (
                outcome is task_executor.StartOutcome.STARTED
                and not try_index
                and self._lease.is_same_clock(
                    answer.clock_ms, sent_at_attended_ms
                )
            )
            if outcome is task_executor.StartOutcome.TOO_LATE:
                self._lease.forget_clock()
                run.refusal_reason = outcome.value
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)
                continue
            if try_index and outcome in _REFUSALS:
                # An earlier try may still be carried out.
                run.refusal_reason = outcome.value
                run.is_unhealthy = (
                    outcome is task_executor.StartOutcome.UNHEALTHY
                )
                break
            self._apply_start_outcome(run, outcome, try_index)
            if run.terms.is_filler and run.state is runs.RunState.RUNNING:
                # A task runs at full pace from its start, so a new filler is
                # paced at once.
                await self._pace_fillers()
            return
        if self._runs.get(run.key) is not run:
            return
        if run.state is runs.RunState.STARTING and not run.may_have_arrived:
            del self._runs[run.key]
            is_silent = bool(self._unanswered_since_ms)
            self._refuse(
                run.terms, run.refusal_reason, run.is_unhealthy or is_silent
            )
            return
        # The start may still be carried out, so the run is stopped before
        # it is refused.
        if run.state is runs.RunState.STARTING:
            run.state = runs.RunState.STOPPING
            await self._stop(run, token)

    async def _send_start(
        self,
        order: task_executor.StartOrder,
        extension: executor_lease.Extension,
    ) -> task_executor.StartAnswer:
        """Send a start, and note whether it extends the lease."""
        is_without_effect = False
        self._lease.begin_extension(extension)
        try:
            answer = await self._executor.start(self._get_instance_id(), order)
            is_without_effect = (
                answer.outcome is task_executor.StartOutcome.UNHEALTHY
            )
            return answer
        except task_executor.ExecutorUnavailable as error:
            is_without_effect = error.is_connection_refused
            raise
        finally:
            self._lease.end_extension(extension, is_without_effect)

    def _apply_start_outcome(
        self,
        run: runs.AgentRun,
        outcome: task_executor.StartOutcome,
        failed_tries: int,
    ) -> None:
        started = task_executor.StartOutcome.STARTED
        superseded = task_executor.StartOutcome.SUPERSEDED
        if outcome is started or (outcome is superseded and failed_tries):
            # If an earlier answer was lost, the run may have started and
            # ended since; the next inspection shows it.
            run.confirmed_at_ms = clock.read_elapsed_ms()
            if run.state is runs.RunState.STARTING:
                run.state = runs.RunState.RUNNING
            run.refusal_reason = 'absent'
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

    async def _wait_for_grant(self) -> executor_lease.Extension:
        """Return the lease to request; ``NO_EXTENSION`` if none may start.

        A start needs a grant, a recent answer of the owner and a recent
        announcement of the executor. After a pause of this process, they may
        be outdated.
        """
        deadline_ms = clock.read_elapsed_ms() + GRANT_WAIT_LIMIT_MS
        while True:
            extension = self._compute_lease_extension()
            is_allowed = not self._evacuation.find_refusal_reason()
            if (
                extension.lease_deadline_ms
                and is_allowed
                and self._is_announcement_recent()
            ):
                return extension
            is_late = clock.read_elapsed_ms() >= deadline_ms
            if (
                is_late
                or self._lapse.is_awaited
                or self._evacuation.is_evacuated
            ):
                return executor_lease.NO_EXTENSION
            await asyncio.sleep(0.02)

    def _is_announcement_recent(self) -> bool:
        """Tell whether the executor's capacity is known well enough.

        The age is counted on the executor's clock, because an announcement
        may have waited in a socket while this process was paused.
        """
        announcement, reading = self.announcement, self._lease.clock_reading
        if announcement is None or reading is None:
            return False
        if not announcement.clock_ms:
            return True
        executor_ms = (
            reading.executor_ms + clock.read_elapsed_ms() - reading.elapsed_ms
        )
        age_ms = executor_ms - announcement.clock_ms
        return age_ms <= ANNOUNCEMENT_AGE_LIMIT_MS

    async def _stop(self, run: runs.AgentRun, token: int) -> None:
        """Order a stop, repeatedly until the executor accepts it."""
        tries = 0
        while self._token == token and run.key in self._runs:
            tries += 1
            self._record_order('stop sent', run, token, tries)
            try:
                await self._executor.stop(
                    self._get_instance_id(),
                    run.terms.task,
                    run.terms.attempt,
                    token,
                )
            except task_executor.ExecutorUnavailable as error:
                measurements.EXECUTOR_FAILURES.inc()
                self._event_log.record(
                    'stop not answered',
                    task=run.terms.task,
                    attempt=run.terms.attempt,
                    tries=tries,
                    detail=str(error),
                )
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)
                continue
            except task_executor.OrderRefused as error:
                self._event_log.record(
                    'stop refused',
                    task=run.terms.task,
                    attempt=run.terms.attempt,
                    reason=error.outcome.value,
                )
                if error.outcome is task_executor.StartOutcome.FENCED:
                    self._renew_session()
                    return
                # The executor has done nothing, so a late start may follow.
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)
                continue
            self._event_log.record(
                'stop answered',
                task=run.terms.task,
                attempt=run.terms.attempt,
                tries=tries,
            )
            run.note_accepted_stop()
            return

    def _record_order(
        self,
        event: str,
        run: runs.AgentRun,
        token: int,
        tries: int,
        **fields: int,
    ) -> None:
        """Log an order that is sent to the executor."""
        self._event_log.record_order(
            event,
            task=run.terms.task,
            attempt=run.terms.attempt,
            token=token,
            tries=tries,
            incarnation=self.incarnation,
            **fields,
        )

    # Results of inspections.

    def _apply_inspection(
        self, inspection: task_executor.Inspection, begun_at_ms: int
    ) -> None:
        new_ends = [
            end
            for end in inspection.ended
            if end.number > self._seen_end_number
        ]
        for end in new_ends:
            self._seen_end_number = max(self._seen_end_number, end.number)
            self._runs.pop((end.task, end.attempt), None)
            measurements.RUNS_ENDED.labels(end.kind.value).inc()
            self._record_end(end)
        if new_ends:
            self._send(
                messages.Ends(
                    self._token, tuple(runs.make_end(end) for end in new_ends)
                )
            )
        listed_keys = set()
        for row in inspection.running:
            key = (row.task, row.attempt)
            listed_keys.add(key)
            run = self._runs.get(key)
            if run is None:
                # A late start, carried out after it was reported as refused.
                self._event_log.record(
                    'unknown run listed',
                    task=row.task,
                    attempt=row.attempt,
                    token=self._token,
                    incarnation=self.incarnation,
                )
                self.order_stop(
                    messages.Stop(self._token, row.task, row.attempt)
                )
                run = self._runs[key]
            run.row = row
        self._pacer.record_filler_usage(self._get_capacity())
        if not inspection.has_all_ends:
            return
        for key, run in list(self._runs.items()):
            was_confirmed_before = 0 < run.confirmed_at_ms < begun_at_ms
            if was_confirmed_before and key not in listed_keys:
                del self._runs[key]
                self._refuse(run.terms, run.refusal_reason, run.is_unhealthy)

    def _note_silence(self, begun_at_ms: int, wait_ms: int) -> None:
        """Note when the executor stopped answering, at the earliest.

        A connection breaks at a crash. If it only stays silent, the crash may
        have come at any time since the request.
        """
        if self._unanswered_since_ms:
            return
        now_ms = clock.read_elapsed_ms()
        is_broken = now_ms - begun_at_ms < wait_ms + SILENCE_MIN_MS
        self._silent_since_ms = now_ms if is_broken else begun_at_ms

    async def _handle_unanswered_inspection(
        self, error: task_executor.ExecutorUnavailable, begun_at_ms: int
    ) -> None:
        """Handle an inspection that was not answered.

        All runs have ended once the lease has expired. That nothing listens at
        the executor's address may also be a fault of the path to it.
        """
        measurements.EXECUTOR_FAILURES.inc()
        self._is_refused = False
        now_ms = clock.read_elapsed_ms()
        if not self._unanswered_since_ms:
            self._unanswered_since_ms = now_ms
            self._event_log.record_state('executor lost', detail=str(error))
        if self._lease.has_ended():
            self._report_end_of_lease()
        elif self._gone_cause is None and error.is_connection_refused:
            cause = messages.GoneCause.NOTHING_LISTENS
            if self._departed_incarnation == self.incarnation:
                cause = messages.GoneCause.LEFT
            self._report_executor_gone(self.announcement, cause, begun_at_ms)
        pause_ms = RETRY_PAUSE_MS
        if self._gone_cause is messages.GoneCause.LEASE_ENDED:
            pause_ms = GONE_RETRY_PAUSE_MS
        await asyncio.sleep(pause_ms / 1000)

    async def _handle_refused_inspection(
        self, error: task_executor.OrderRefused
    ) -> bool:
        """Handle a refused inspection; return whether the session ended.

        A refused inspection extends no lease, so the runs end with the lease.
        """
        self._event_log.record_state(
            'inspection refused', reason=error.outcome.value
        )
        await asyncio.sleep(RETRY_PAUSE_MS / 1000)
        if error.outcome is task_executor.StartOutcome.FENCED:
            self._renew_session()
            return True
        is_other = error.outcome is task_executor.StartOutcome.OTHER_INSTANCE
        self._is_refused = not is_other
        if self._lease.has_ended():
            self._report_end_of_lease()
        elif is_other and self._gone_cause is None:
            self._report_executor_gone(
                self.announcement, messages.GoneCause.OTHER_ANSWERS
            )
        return False

    def _report_end_of_lease(self) -> None:
        """Report once that the runs under the lease have ended."""
        cause = messages.GoneCause.LEASE_ENDED
        if self._gone_cause is not cause:
            self._report_executor_gone(
                self._ends.suspect or self.announcement, cause
            )

    def _conclude_from_answer(
        self, inspection: task_executor.Inspection
    ) -> None:
        """Report that a suspected incarnation has gone if another answers."""
        cause = self._ends.find_proof(self.announcement, inspection.born_at_ms)
        if cause is not None:
            # What is known of the announced incarnation stays.
            gone_cause = self._gone_cause
            self._report_executor_gone(self._ends.suspect, cause)
            self._gone_cause = gone_cause

    def _check_incarnation(self, inspection: task_executor.Inspection) -> bool:
        """Return whether the executor is the incarnation that was announced.

        If not, the session is renewed for the new incarnation.
        """
        announcement = self.announcement
        if announcement is None or not inspection.born_at_ms:
            return True
        if inspection.born_at_ms == announcement.born_at_ms:
            return True
        self._report_executor_gone(announcement, messages.GoneCause.RESTARTED)
        self._gone_cause = None
        # The new incarnation may have another capacity and other labels, so
        # nothing fits before its first announcement.
        self.announcement = dataclasses.replace(
            announcement,
            born_at_ms=inspection.born_at_ms,
            sequence=0,
            capacity=resources.NOTHING,
        )
        self._renew_session()
        return False

    def _report_executor_gone(
        self,
        announcement: targets.Announcement | None,
        cause: messages.GoneCause,
        refused_at_ms: int = 0,
    ) -> None:
        """Report that an executor has gone or may have, and order nothing.

        :param refused_at_ms: begin of the inspection that found nothing
            listening; 0 if none did
        """
        if announcement is None:
            return
        self._gone_cause = cause
        is_proved = self._ends.add(
            announcement,
            cause,
            self._runs.values(),
            executor_ends.Evidence(
                self._inspection_begun_at_ms, refused_at_ms
            ),
        )
        self._runs.clear()
        if self._token:
            self._send_executor_gone(announcement.incarnation, cause)
        if is_proved:
            self._forget_executor()

    def _forget_executor(self) -> None:
        """Forget an incarnation that has gone, but for a repeated report."""
        self._seen_end_number = 0
        self._acknowledged_end_number = 0
        self._recorded_end_number = 0
        self._forgotten_end_number = 0
        self._lease.forget_incarnation()
        self._lapse.end()

    def _repeat_report_of_gone_executor(self) -> None:
        """Report it to this owner; the former one may have committed none."""
        inspected = self._ends.incarnation
        if self._ends.cause is not None:
            self._send_executor_gone(inspected, self._ends.cause)
            if inspected == self.incarnation:
                return
        if self._gone_cause is not None:
            self._send_executor_gone(self.incarnation, self._gone_cause)

    def _send_executor_gone(
        self, incarnation: str, cause: messages.GoneCause
    ) -> None:
        is_answering = (
            self._is_refused and cause is messages.GoneCause.LEASE_ENDED
        )
        gone = self._ends.make_report(
            self._token,
            incarnation,
            cause,
            clock.read_elapsed_ms() - self._silent_since_ms,
            is_answering or incarnation == self._departed_incarnation,
        )
        self._event_log.record_state(
            'executor gone',
            incarnation=incarnation,
            cause=cause.value,
            is_proof=end_proofs.is_proof(cause),
            reached=None if gone.reached is None else len(gone.reached),
            unproved=len(gone.unproved),
            elapsed_ms=clock.read_elapsed_ms(),
            running_ms=clock.read_running_ms(),
            attended_ms=self._lease.read_attended_ms(),
            lease_end_attended_ms=self._lease.end_attended_ms,
        )
        self._send(gone)

    # Leases.

    def _compute_lease_extension(self) -> executor_lease.Extension:
        """Return how far an order may extend the lease now."""
        if self._unanswered_since_ms or self._grant_watch.check_lapse():
            return executor_lease.NO_EXTENSION
        return self._lease.compute_extension(self._grant_watch.deadline_ms)

    # Helpers.

    async def _pace_fillers(self) -> None:
        await self._pacer.pace(
            self._get_capacity(), self._get_instance_id(), self._token
        )

    def set_effects(self, effects: messages.Effects) -> None:
        """Set how strongly fillers disturb serving tasks."""
        self._pacer.set_effects(effects)

    def _get_capacity(self) -> resources.Resources:
        announcement = self.announcement
        return announcement.capacity if announcement else resources.NOTHING

    def _get_instance_id(self) -> str:
        announcement = self.announcement
        return announcement.instance_id if announcement else ''

    def _make_state(self) -> messages.TargetState:
        return target_state.make_state(
            self.announcement, self._evacuation.needs_answers
        )
