"""Runs the owner of the workflows: commits, agent sessions and requests.

The decisions are made by the core in ``workflows.owner``; this module performs
its I/O. A process has at most one runtime. ``election`` decides whether this
entry is the owner. A commit that fails because another entry has taken over
ends the runtime.
"""

import asyncio
from collections import abc
import contextlib
import functools
import itertools
from typing import Any, Final

from borageshelf import clock
from borageshelf.entry.workflows import agent_session
from borageshelf.entry.workflows import evacuation_sender
from borageshelf.entry.workflows import evacuations
from borageshelf.entry.workflows import pending_replies
from borageshelf.entry.workflows import presence
from borageshelf import errors
from borageshelf import events
from borageshelf import loop
from borageshelf import measurements
from borageshelf.ports import inventory
from borageshelf.ports import store as store_interface
from borageshelf.workflows import channel
from borageshelf.workflows import effects
from borageshelf.workflows import hand_over
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import owner
from borageshelf.workflows import policy
from borageshelf.workflows import records
from borageshelf.workflows import silence

# Changes that arrive within this time share a commit. 20 ms would be a third
# of the 60 ms target from a submission to its first start.
COMMIT_PAUSE_MS: Final = 15
# Without changes to commit, the owner confirms its ownership this often by an
# empty commit.
CONFIRMATION_INTERVAL_MS: Final = 800
# The owner extends grants only if its ownership was confirmed within this
# time. Longer than the lease, so that a short outage of the store does not
# stop any work.
CONFIRMATION_MAX_AGE_MS: Final = 2_500
# Covers an executor clock that is 2% slow over a grant of a few seconds.
GRANT_CLOCK_MARGIN_MS: Final = 400
# Rule LOST allows tasks that last 7 s from a planned stop to the next run.
RESIGNED_LASTING_LIMIT_MS: Final = 6_700
LEASE_TTL_MS: Final = 2_000
LEASE_RENEWAL_INTERVAL_MS: Final = 500
# An entry that has not loaded the workflows by then lets others try.
LOAD_LIMIT_MS: Final = 15_000
# Agents report every 400 ms.
AGENT_SILENCE_LIMIT_MS: Final = 1_700
# A commit takes a few milliseconds, and 320 ms on a slow store.
STORE_RESPONSE_LIMIT_MS: Final = 600
STORE_RETRY_AFTER_S: Final = 1
STORE_RETRY_PAUSE_MS: Final = 60
IDLE_INTERVAL_MS: Final = 200
EFFECTS_INTERVAL_MS: Final = 700
# Fencing tokens are the epoch times this plus the number of the session, so
# that those of a newer owner are always higher.
SESSIONS_PER_EPOCH: Final = 1_000_000


class OwnerRuntime:
    """Owns all workflows while this entry is the owner.

    Grants are extended only while the ownership has been confirmed recently.
    So the grants of a former owner that has not noticed a takeover end within
    a known time, which the new owner takes into account.

    :param lease_id: lease of the owner's key
    :param list_entries: returns the addresses of this entry and its peers
    :param confirmed_at_ms: elapsed time at which the acquisition of the
        ownership was sent to the store; its answer may have come later
    :param head_seen_at_ms: elapsed time at which the head was already as the
        acquisition found it, so that the former owner has not confirmed its
        ownership later; None if that is not known
    :param is_former_resigned: whether the former owner has resigned with the
        last change of the head, after which it extended no grant
    :param handed_over: knows the targets that the former head names as silent
    :param listing: the platform's list of VMs, if there is one
    :param evacuated: follows the evacuations, if the deployment uses them
    """

    def __init__(
        self,
        store: store_interface.TransactionalStore,
        owner_journal: journal.Journal,
        lease_id: str,
        owner_policy: policy.OwnerPolicy,
        event_log: events.EventLog,
        list_entries: abc.Callable[[], tuple[messages.EntryAddress, ...]],
        confirmed_at_ms: int,
        head_seen_at_ms: int | None = None,
        is_former_resigned: bool = False,
        handed_over: hand_over.HandOver | None = None,
        listing: inventory.Inventory | None = None,
        evacuated: evacuations.Evacuations | None = None,
    ) -> None:
        self._store = store
        self._journal = owner_journal
        self._lease_id = lease_id
        self._load_deadline_ms = clock.read_elapsed_ms() + LOAD_LIMIT_MS
        self._grant_ms = owner_policy.grant_ms
        self._event_log = event_log
        self._list_entries = list_entries
        self._ownership_confirmed_at_ms = confirmed_at_ms
        now_ms = self._store_answered_at_ms = clock.read_elapsed_ms()
        self.former_deadlines = compute_former_limits(
            owner_policy, is_former_resigned
        ).count_from(now_ms if head_seen_at_ms is None else head_seen_at_ms)
        self._core = owner.Owner(
            owner_journal.epoch,
            owner_policy.silence_limits,
            owner_policy.retention_ms,
            now_ms,
            self.former_deadlines,
            journal.encode,
            event_log.record,
            handed_over,
            owner_policy.remote_factor,
        )
        self._presence_watch = presence.PresenceWatch(
            self._core, listing, event_log, self._process_change
        )
        self._evacuation_sender = evacuation_sender.EvacuationSender(
            self._core, evacuated, self._find_session, self._process_change
        )
        self._session_numbers = itertools.count(1)
        self._sessions: dict[str, agent_session.AgentSession] = {}
        self._replies = pending_replies.PendingReplies()
        self._changed = asyncio.Event()
        self._commit_pending_since_ms = 0
        # Numbers of commits: the last one that has begun, the last one that
        # has taken effect, and the last one that a request waits for.
        self._commits_begun = 0
        self._commits_confirmed = 0
        self._confirmation_asked = 0
        self._confirmed = asyncio.Event()
        self._ended = asyncio.Event()
        self._background = loop.TaskGroup()
        self.is_resigned = False

    @property
    def epoch(self) -> int:
        """Epoch of this owner; each new owner has a higher one."""
        return self._journal.epoch

    @property
    def target_count(self) -> int:
        """Number of targets whose agents are connected."""
        return len(self._sessions)

    @property
    def store_silent_ms(self) -> int:
        """Time since the store last answered this owner."""
        return clock.read_elapsed_ms() - self._store_answered_at_ms

    @property
    def head_revision(self) -> int:
        """Revision of the head after the last commit that was answered."""
        return self._journal.head_revision

    async def load(self) -> None:
        """Load the stored workflows, and keep the owner's key meanwhile.

        :raises BorageshelfError: ``STORE_UNAVAILABLE``
        """
        renewal = asyncio.ensure_future(self._renew_lease_while_loading())
        try:
            loaded = await self._journal.load()
        finally:
            renewal.cancel()
            await asyncio.gather(renewal, return_exceptions=True)
        moment = clock.read_moment()
        self._core.cancellations.restore(loaded.cancellations, moment)
        if loaded.foreign_keys:
            self._event_log.record_state(
                'foreign keys ignored',
                count=len(loaded.foreign_keys),
                first=loaded.foreign_keys[0],
            )
        for key, detail in loaded.unreadable.items():
            self._core.set_aside(records.find_workflow_id(key), detail)
        for workflow_id, state in loaded.states.items():
            spec = loaded.specs.get(workflow_id)
            if spec is not None:
                try:
                    self._core.restore(spec, state, moment)
                except Exception as error:
                    # One workflow must not take down every owner in turn.
                    self._core.set_aside(workflow_id, repr(error))
            elif state.phase is not records.Phase.ACTIVE:
                self._core.restore_ended(workflow_id, state)
            else:
                self._core.set_aside(workflow_id, 'no specification is stored')
        self._event_log.record_state(
            'workflows loaded',
            epoch=self.epoch,
            active=len(loaded.specs),
            ended=len(loaded.states) - len(loaded.specs),
        )
        for target in self._core.targets.values():
            self._event_log.record_detail(
                'runs restored',
                target=target.target_id,
                runs=[f'{task}/{attempt}' for task, attempt in target.runs],
            )

    async def run(self) -> None:
        """Run until the ownership ends, then close all sessions."""
        self._presence_watch.begin()
        self._evacuation_sender.begin()
        for run_loop in (
            self._renew_lease,
            self._close_silent_sessions,
            self._send_effects,
            self._presence_watch.run,
        ):
            self._background.start_with_restarts(
                run_loop, self._event_log.record_failure
            )
        commit_loop = asyncio.ensure_future(self._run_commit_loop())
        ended_task = asyncio.ensure_future(self._ended.wait())
        try:
            await asyncio.wait(
                {commit_loop, ended_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if commit_loop.done():
                # An unexpected error ends the ownership. The next owner
                # starts from the stored state.
                commit_loop.result()
        finally:
            self._evacuation_sender.end()
            commit_loop.cancel()
            ended_task.cancel()
            await asyncio.gather(
                commit_loop, ended_task, return_exceptions=True
            )
            await self._background.stop()
            if self.is_resigned:
                await self._remove_owner_key()
            self._ended.set()
            for session in self._sessions.values():
                session.outbox.close()
            self._replies.fail_all()
            self._event_log.record_state('ownership ended', epoch=self.epoch)

    def stop(self) -> None:
        """End the ownership in this process."""
        self._ended.set()

    async def resign(self) -> None:
        """Give up the ownership, so that another entry takes over at once."""
        self.is_resigned = True
        self._changed.set()
        await self._ended.wait()

    def restore_owner_key(self) -> None:
        """Write the owner's key again after the store has removed it."""
        if not (self._ended.is_set() or self.is_resigned):
            self._background.start(self._rewrite_owner_key())

    # Requests of callers.

    async def answer(
        self, request: messages.Request, deadline_ms: int
    ) -> messages.RequestAnswer:
        """Carry out a request and return its answer.

        That a workflow does not exist is true only of the owner's memory. A
        former owner that has not noticed its replacement knows nothing of what
        the next one has accepted, so a commit confirms the ownership first.

        :param deadline_ms: elapsed time; afterwards the outcome is unknown
        """
        answer = await self._carry_out(request, deadline_ms)
        if (
            answer.outcome is effects.Outcome.ABSENT
            and not await self._confirm_ownership(deadline_ms)
        ):
            return messages.RequestAnswer(
                request.number, effects.Outcome.UNKNOWN
            )
        return answer

    async def _confirm_ownership(self, deadline_ms: int) -> bool:
        """Wait for a commit that begins after this call.

        :return: whether it took effect in time
        """
        number = self._request_commit()
        while self._commits_confirmed < number:
            left_ms = deadline_ms - clock.read_elapsed_ms()
            if left_ms <= 0 or self._ended.is_set() or self.is_resigned:
                return False
            self._confirmed.clear()
            await loop.wait_for_event(
                self._confirmed, min(left_ms, IDLE_INTERVAL_MS)
            )
        return True

    def _request_commit(self) -> int:
        """Request a commit that begins after this call; return its number."""
        number = self._commits_begun + 1
        self._confirmation_asked = number
        self._changed.set()
        return number

    async def _carry_out(
        self, request: messages.Request, deadline_ms: int
    ) -> messages.RequestAnswer:
        moment = clock.read_moment()
        number = request.number
        if self._core.is_set_aside(request):
            return messages.RequestAnswer(number, effects.Outcome.UNKNOWN)
        if isinstance(request, messages.FindRequest):
            state = self._core.find_state(request.workflow_id)
            if state is None:
                return messages.RequestAnswer(number, effects.Outcome.ABSENT)
            return messages.RequestAnswer(
                number, effects.Outcome.FOUND, state=state
            )
        if isinstance(request, messages.CountRequest):
            count = self._core.count_pending().get(request.queue, 0)
            return messages.RequestAnswer(
                number, effects.Outcome.FOUND, count=count
            )
        if isinstance(request, messages.SubmitRequest):
            if moment.elapsed_ms >= deadline_ms:
                self._event_log.record(
                    'submission expired',
                    workflow=request.workflow.workflow_id,
                    late_ms=moment.elapsed_ms - deadline_ms,
                    **request.origin.describe(moment.wall_ms),
                )
                return messages.RequestAnswer(number, effects.Outcome.UNKNOWN)
            is_known = request.workflow.workflow_id in self._core.jobs
            if not is_known and self._is_store_slow(moment.elapsed_ms):
                self._event_log.record(
                    'workflow refused',
                    workflow=request.workflow.workflow_id,
                    cause='the store does not answer',
                )
                return messages.RequestAnswer(
                    number, effects.Outcome.REFUSED, STORE_RETRY_AFTER_S
                )
        reply_token = self._replies.expect()
        if isinstance(request, messages.SubmitRequest):
            self._core.submit(
                request.workflow,
                request.queue,
                reply_token,
                moment,
                request.origin,
            )
        else:
            self._core.cancel(
                request.workflow_id, reply_token, moment, request.origin
            )
        self._process_change()
        reply = await self._replies.wait(reply_token, deadline_ms)
        return messages.RequestAnswer(
            number, reply.outcome, reply.retry_after_s
        )

    # Agents.

    async def serve_agent(
        self,
        hello: messages.AgentHello,
        incoming: abc.AsyncIterator[messages.AnyMessage],
        outbox: channel.Outbox,
    ) -> None:
        """Serve the stream of an agent until it ends."""
        session = self._begin_session(hello, outbox)
        try:
            async for message in incoming:
                if self._ended.is_set():
                    return
                if isinstance(message, messages.AgentHello):
                    session = self._begin_session(message, outbox)
                else:
                    self._receive(session, message)
                self._process_change()
        finally:
            self._end_session(session)

    def _begin_session(
        self, hello: messages.AgentHello, outbox: channel.Outbox
    ) -> agent_session.AgentSession:
        number = next(self._session_numbers)
        token = self.epoch * SESSIONS_PER_EPOCH + number
        target = self._core.attach(hello, number, clock.read_moment())
        session = agent_session.AgentSession(number, token, target, outbox)
        previous = self._sessions.get(hello.target_id)
        if previous is not None and previous.outbox is not outbox:
            previous.outbox.close()
        self._sessions[hello.target_id] = session
        self._event_log.record_state(
            'agent attached',
            target=hello.target_id,
            incarnation=hello.incarnation,
            token=token,
        )
        outbox.send(
            messages.Welcome(
                self.epoch,
                token,
                self._grant_ms,
                self._list_entries(),
                target.has_given_up_runs
                and target.incarnation == hello.incarnation,
                self._evacuation_sender.judge(target),
            )
        )
        measurements.TARGETS.set(len(self._sessions))
        return session

    def _end_session(self, session: agent_session.AgentSession) -> None:
        target_id = session.target.target_id
        self._core.detach(target_id, session.number)
        if self._sessions.get(target_id) is session:
            del self._sessions[target_id]
            self._event_log.record_state('agent detached', target=target_id)
        measurements.TARGETS.set(len(self._sessions))

    def _receive(
        self, session: agent_session.AgentSession, message: messages.AnyMessage
    ) -> None:
        session.last_received_at_ms = clock.read_elapsed_ms()
        if self._sessions.get(session.target.target_id) is not session:
            # What waited on a former stream of the agent is outdated.
            self._event_log.record(
                'message of a replaced session',
                target=session.target.target_id,
                kind=type(message).__name__,
                token=session.token,
            )
            return
        if getattr(message, 'token', session.token) == session.token:
            self._handle(message, session, clock.read_moment())

    @functools.singledispatchmethod
    def _handle(
        self,
        message: Any,
        session: agent_session.AgentSession,
        moment: clock.Moment,
    ) -> None:
        self._event_log.record_state(
            'unexpected message', kind=type(message).__name__
        )

    @_handle.register
    def _(
        self,
        message: messages.Report,
        session: agent_session.AgentSession,
        moment: clock.Moment,
    ) -> None:
        target = session.target
        if target.is_ready:
            if message.state is not None:
                self._core.update_target_state(target, message.state, moment)
            self._core.update_progress(target, message.rows, moment)
            self._core.scheduler.observe_latencies(target, message, moment)
        is_confirmed = self._is_ownership_confirmed(moment.elapsed_ms)
        is_granted = False
        if message.requests_grant:
            self._core.note_grant_request(target, moment)
            if is_confirmed:
                is_granted = self._core.extend_grant(target, moment)
                session.withheld = None
                if not is_granted:
                    session.withheld = agent_session.WithheldGrant(
                        message.sent_at_elapsed_ms, moment
                    )
                    self._request_commit()
        elif is_confirmed:
            self._core.note_contact(target, moment)
        self._evacuation_sender.answer(
            session, message.sent_at_elapsed_ms, is_granted
        )

    @_handle.register
    def _(
        self,
        message: messages.Ends,
        session: agent_session.AgentSession,
        moment: clock.Moment,
    ) -> None:
        for end in message.ended:
            self._core.handle_run_end(session.target, end, moment)

    @_handle.register
    def _(
        self,
        message: messages.Snapshot,
        session: agent_session.AgentSession,
        moment: clock.Moment,
    ) -> None:
        target = session.target
        runs = self._core.apply_snapshot(target, message, moment)
        known = tuple(_make_run_terms(run) for run in runs)
        session.outbox.send(messages.Known(session.token, known))
        self._event_log.record_state(
            'snapshot applied',
            target=target.target_id,
            incarnation=target.incarnation,
            token=session.token,
            running=len(message.running),
            ended=len(message.ended),
            kept=len(known),
        )

    @_handle.register
    def _(
        self,
        message: messages.StartRefused,
        session: agent_session.AgentSession,
        moment: clock.Moment,
    ) -> None:
        self._core.handle_start_refusal(session.target, message, moment)

    @_handle.register
    def _(
        self,
        message: messages.ExecutorGone,
        session: agent_session.AgentSession,
        moment: clock.Moment,
    ) -> None:
        self._core.handle_executor_gone(session.target, message, moment)
        if self._core.is_listing_urgent(moment):
            self._presence_watch.request_reading()

    async def _close_silent_sessions(self) -> None:
        pause_watch = loop.PauseWatch(IDLE_INTERVAL_MS)
        while True:
            await asyncio.sleep(IDLE_INTERVAL_MS / 1000)
            limit_ms = clock.read_elapsed_ms() - AGENT_SILENCE_LIMIT_MS
            sessions = list(self._sessions.values())
            received_at_ms = pause_watch.excuse(
                session.last_received_at_ms for session in sessions
            )
            for session, at_ms in zip(sessions, received_at_ms, strict=True):
                session.last_received_at_ms = at_ms
                if session.last_received_at_ms < limit_ms:
                    self._event_log.record_state(
                        'agent silent', target=session.target.target_id
                    )
                    session.outbox.close()
                    self._end_session(session)

    async def _send_effects(self) -> None:
        """Send learned effects of fillers to agents that run serving tasks.

        Each round also logs the totals of the fleet, and the workflows and
        lasting tasks that have had nothing at work for a while.
        """
        sent_pairs: tuple[tuple[str, str, float], ...] = ()
        while True:
            await asyncio.sleep(EFFECTS_INTERVAL_MS / 1000)
            moment = clock.read_moment()
            self._event_log.record_detail(
                'fleet', **self._core.describe_fleet(moment)
            )
            for fields in self._core.describe_idle_workflows(moment):
                self._event_log.record_detail('workflow idle', **fields)
            for fields in self._core.describe_waiting_tasks(moment):
                self._event_log.record_detail('lasting task waits', **fields)
            pairs = self._core.scheduler.filler_effects.list_effects()
            if pairs == sent_pairs:
                continue
            sent_pairs = pairs
            for session in self._sessions.values():
                if session.target.serving_images:
                    session.outbox.send(messages.Effects(pairs))

    # Commits.

    def _process_change(self) -> None:
        self._dispatch(self._core.take_immediate_effects())
        self._changed.set()

    def _is_ownership_confirmed(self, now_ms: int) -> bool:
        age_ms = now_ms - self._ownership_confirmed_at_ms
        return age_ms < CONFIRMATION_MAX_AGE_MS and not self.is_resigned

    def _is_store_slow(self, now_ms: int) -> bool:
        since_ms = self._commit_pending_since_ms
        return bool(since_ms) and now_ms - since_ms > STORE_RESPONSE_LIMIT_MS

    async def _run_commit_loop(self) -> None:
        while True:
            await loop.wait_for_event(self._changed, IDLE_INTERVAL_MS)
            self._changed.clear()
            if self.is_resigned:
                return
            moment = clock.read_moment()
            self._core.advance(moment)
            self._core.schedule(moment)
            self._dispatch(self._core.take_immediate_effects())
            batch = self._core.take_batch()
            confirmation_due_ms = (
                self._ownership_confirmed_at_ms + CONFIRMATION_INTERVAL_MS
            )
            is_confirmation_due = (
                moment.elapsed_ms >= confirmation_due_ms
                or self._confirmation_asked > self._commits_confirmed
            )
            if batch.is_empty and not is_confirmation_due:
                continue
            if not await self._commit(batch):
                return
            if self._core.has_changes:
                self._changed.set()
            measurements.WORKFLOWS.set(len(self._core.jobs))
            measurements.WORKFLOWS_SET_ASIDE.set(len(self._core.set_aside_ids))
            measurements.LOG_LINES_DROPPED.set(self._event_log.dropped_lines)
            await asyncio.sleep(COMMIT_PAUSE_MS / 1000)

    async def _commit(self, batch: owner.Batch) -> bool:
        """Commit a batch; return whether this entry is still the owner."""
        begun_at_ms = clock.read_elapsed_ms()
        self._commits_begun += 1
        self._commit_pending_since_ms = (
            self._commit_pending_since_ms or begun_at_ms
        )
        try:
            await self._journal.commit(batch.writes, batch.removed)
        except journal.OwnershipLost:
            measurements.COMMITS.labels('ownership lost').inc()
            return False
        except errors.BorageshelfError as error:
            measurements.COMMITS.labels(error.code.name).inc()
            self._event_log.record(
                'commit refused', detail=error.detail, jobs=len(batch.jobs)
            )
            self._core.handle_failed_commit(batch, STORE_RETRY_AFTER_S)
            self._dispatch(self._core.take_immediate_effects())
            await asyncio.sleep(STORE_RETRY_PAUSE_MS / 1000)
            return True
        self._commit_pending_since_ms = 0
        self._ownership_confirmed_at_ms = begun_at_ms
        self._commits_confirmed = self._commits_begun
        self._confirmed.set()
        self._store_answered_at_ms = clock.read_elapsed_ms()
        took_ms = clock.read_elapsed_ms() - begun_at_ms
        measurements.COMMITS.labels('done').inc()
        measurements.COMMIT_SECONDS.observe(took_ms / 1000)
        if not batch.is_empty:
            self._event_log.record_detail(
                'committed',
                jobs=[job.workflow_id for job in batch.jobs],
                took_ms=took_ms,
            )
        self._dispatch(self._core.confirm_batch(batch))
        self._dispatch(self._core.take_immediate_effects())
        self._forget_ended_workflows(batch)
        self._answer_withheld_reports()
        return True

    def _answer_withheld_reports(self) -> None:
        """Extend the grants that have waited for a commit."""
        if not self._is_ownership_confirmed(clock.read_elapsed_ms()):
            return
        for session in self._sessions.values():
            withheld = session.withheld
            if withheld is not None and self._core.extend_grant(
                session.target, withheld.received_at
            ):
                session.withheld = None
                self._evacuation_sender.answer(
                    session, withheld.sent_at_ms, True
                )

    def _forget_ended_workflows(self, batch: owner.Batch) -> None:
        for job in batch.jobs:
            if job.workflow_id in self._core.jobs:
                continue
            for session in self._sessions.values():
                if job.workflow_id in session.target.sent_spec_ids:
                    session.target.sent_spec_ids.discard(job.workflow_id)
                    session.outbox.send(messages.Forget(job.workflow_id))

    # Effects.

    def _dispatch(self, pending_effects: abc.Iterable[effects.Effect]) -> None:
        for effect in pending_effects:
            self._execute_effect(effect)

    @functools.singledispatchmethod
    def _execute_effect(self, effect: effects.Effect) -> None:
        raise TypeError(type(effect).__name__)

    @_execute_effect.register
    def _(self, effect: effects.SendStart) -> None:
        session = self._find_session(effect.target_id)
        target = self._core.targets[effect.target_id]
        run = target.runs.get((effect.task, effect.attempt))
        if run is None:
            return
        if (
            session is None
            or not target.is_ready
            or run.is_stopping
            or self._evacuation_sender.bars_start(target)
        ):
            self._core.handle_unsent_start(effect)
            self._changed.set()
            return
        job = run.task.group.job
        spec: str | None = None
        if job.workflow_id not in target.sent_spec_ids:
            spec = job.workflow.spec
            target.sent_spec_ids.add(job.workflow_id)
        self._core.note_start_sent(target, run, clock.read_elapsed_ms())
        if not job.is_ordered:
            job.is_ordered = True
            waited_ms = run.started_at_ms - job.accepted_at_ms
            measurements.FIRST_START_SECONDS.observe(waited_ms / 1000)
        measurements.RUNS_STARTED.inc()
        self._event_log.record_order(
            'run ordered',
            workflow=job.workflow_id,
            task=effect.task,
            attempt=effect.attempt,
            target=effect.target_id,
            token=session.token,
            is_isolated=run.is_isolated,
            unused_millicores=target.capacity.processor_millicores
            - target.busy_millicores
            - target.filler_millicores,
        )
        session.outbox.send(
            messages.Start(
                session.token,
                _make_run_terms(run),
                job.workflow_id,
                spec,
                run.task.checkpoint,
                clock.read_wall_clock_ms(),
            )
        )

    @_execute_effect.register
    def _(self, effect: effects.SendStop) -> None:
        session = self._find_session(effect.target_id)
        if session is None:
            # The next snapshot will list the run, which is stopped then.
            return
        self._event_log.record_order(
            'stop ordered',
            task=effect.task,
            attempt=effect.attempt,
            target=effect.target_id,
            token=session.token,
        )
        session.outbox.send(
            messages.Stop(session.token, effect.task, effect.attempt)
        )

    @_execute_effect.register
    def _(self, effect: effects.Acknowledge) -> None:
        session = self._find_session(effect.target_id)
        number = self._core.mark_end_committed(effect)
        if session is not None and number:
            session.outbox.send(messages.Acknowledged(session.token, number))

    @_execute_effect.register
    def _(self, effect: effects.Reply) -> None:
        self._replies.deliver(effect)

    def _find_session(
        self, target_id: str
    ) -> agent_session.AgentSession | None:
        session = self._sessions.get(target_id)
        target = self._core.targets.get(target_id)
        if session is None or target is None:
            return None
        return session if target.session == session.number else None

    # The owner's key.

    async def _renew_lease_while_loading(self) -> None:
        left_ms = self._load_deadline_ms - clock.read_elapsed_ms()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(left_ms, 0) / 1000):
                await self._renew_lease()

    async def _renew_lease(self) -> None:
        while True:
            await asyncio.sleep(LEASE_RENEWAL_INTERVAL_MS / 1000)
            try:
                await self._store.renew_lease(self._lease_id)
                self._store_answered_at_ms = clock.read_elapsed_ms()
            except errors.BorageshelfError as error:
                measurements.STORE_FAILURES.labels(error.code.name).inc()
                if error.code is errors.LEASE_LOST:
                    await self._rewrite_owner_key()

    async def _remove_owner_key(self) -> None:
        """Remove the owner's key, so that another entry can take over."""
        try:
            async with asyncio.timeout(STORE_RESPONSE_LIMIT_MS / 1000):
                await self._journal.resign()
        except (errors.BorageshelfError, TimeoutError) as error:
            # The key disappears when its lease expires.
            self._event_log.record_state(
                'resignation not stored', detail=repr(error)
            )
        except journal.OwnershipLost:
            return

    async def _rewrite_owner_key(self) -> None:
        """Write the owner's key under a new lease."""
        try:
            lease = await self._store.grant_lease(LEASE_TTL_MS)
            await self._journal.write_owner_key(lease.lease_id)
        except errors.BorageshelfError as error:
            measurements.STORE_FAILURES.labels(error.code.name).inc()
            return
        except journal.OwnershipLost:
            self._ended.set()
            return
        self._lease_id = lease.lease_id
        self._event_log.record_state('ownership announced', epoch=self.epoch)


def _make_run_terms(run: Any) -> messages.RunTerms:
    step = run.task.group.step
    return messages.RunTerms(
        run.task.name,
        run.attempt,
        step.reserved,
        step.is_filler,
        step.is_lasting,
        step.latency_target_ms,
        step.image,
        step.demand.processor_millicores,
    )


def compute_former_limits(
    owner_policy: policy.OwnerPolicy, is_former_resigned: bool
) -> silence.Limits:
    """Return how long runs may go on after the former owner's last commit.

    A former owner that is cut off from the store extends grants until its
    confirmation is too old. Tasks that last can't wait for that and for a
    suspension as well, because the VM may be lost.
    """
    limits = owner_policy.silence_limits
    if is_former_resigned:
        return silence.Limits(
            min(limits.lasting_ms, RESIGNED_LASTING_LIMIT_MS), limits.other_ms
        )
    granted_ms = CONFIRMATION_MAX_AGE_MS + GRANT_CLOCK_MARGIN_MS
    return silence.Limits(
        max(granted_ms + owner_policy.grant_ms, limits.lasting_ms),
        granted_ms + limits.other_ms,
    )
