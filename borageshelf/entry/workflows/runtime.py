"""Runs the owner's core: commits, sessions of agents and callers' requests.

There is at most one in a process. Whether this entry is the owner is decided
by ``election``; a commit that another entry has overtaken ends the runtime.
"""

import asyncio
from collections import abc
import functools
import itertools
from typing import Any, Final

from borageshelf import clock
from borageshelf import errors
from borageshelf import events as events_module
from borageshelf import loop as loop_module
from borageshelf import measurements
from borageshelf.ports import store as store_interface
from borageshelf.workflows import channel
from borageshelf.workflows import effects
from borageshelf.workflows import journal as journal_module
from borageshelf.workflows import messages
from borageshelf.workflows import owner as owner_module
from borageshelf.workflows import policy as policy_module
from borageshelf.workflows import records
from borageshelf.workflows import targets as targets_module

# Changes that arrive within this time share a commit. Twenty is a third of
# the aim of 60 ms from a submission to its first start.
COMMIT_PAUSE_MS: Final = 15
# Without other changes the owner proves its ownership this often.
PROOF_INTERVAL_MS: Final = 800
# Longest time since the last proof in which the owner still extends grants.
# It outlasts the lease, so that a short outage of the store stops nothing.
PROOF_LIMIT_MS: Final = 2_500
# An executor's clock may be 2% slow and the grant is a few seconds long.
GRANT_SLACK_MS: Final = 400
LEASE_TTL_MS: Final = 2_000
LEASE_RENEWAL_MS: Final = 500
# Agents report every 400 ms.
SILENCE_LIMIT_MS: Final = 1_700
# A commit takes a few milliseconds; a store that is slow takes 320 ms.
STORE_WAIT_MS: Final = 600
STORE_RETRY_S: Final = 1
STORE_PAUSE_MS: Final = 60
IDLE_MS: Final = 200
EFFECTS_INTERVAL_MS: Final = 700
SESSIONS_LIMIT: Final = 1_000_000


class AgentSession:
    """One session of an agent."""

    def __init__(
        self,
        number: int,
        token: int,
        target: targets_module.Target,
        outbox: channel.Outbox,
    ) -> None:
        self.number = number
        self.token = token
        self.target = target
        self.outbox = outbox
        self.heard_at_ms = clock.read_elapsed_ms()


class OwnerRuntime:
    """The owner of all workflows, in this process.

    :param list_entries: returns the addresses of the entries
    """

    def __init__(
        self,
        store: store_interface.TransactionalStore,
        journal: journal_module.Journal,
        lease_id: str,
        policy: policy_module.OwnerPolicy,
        events: events_module.EventLog,
        list_entries: abc.Callable[[], tuple[messages.EntryAddress, ...]],
    ) -> None:
        self._store = store
        self._journal = journal
        self._lease_id = lease_id
        self._grant_ms = policy.grant_ms
        self._events = events
        self._list_entries = list_entries
        self._confirmed_at_ms = clock.read_elapsed_ms()
        # The former owner may extend grants until its last proof is too
        # old, and what it granted lasts for another grant.
        former_ms = PROOF_LIMIT_MS + policy.grant_ms + GRANT_SLACK_MS
        self._core = owner_module.Owner(
            journal.epoch,
            policy.grant_ms + GRANT_SLACK_MS,
            policy.retention_ms,
            clock.read_elapsed_ms(),
            clock.read_elapsed_ms() + former_ms,
            journal_module.encode,
            events.record,
        )
        self._numbers = itertools.count(1)
        self._sessions: dict[str, AgentSession] = {}
        self._tokens = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[effects.Reply]] = {}
        self._changed = asyncio.Event()
        self._commit_since_ms = 0
        self._ended = asyncio.Event()
        self._background = loop_module.TaskGroup()
        self.is_resigned = False

    @property
    def epoch(self) -> int:
        """Number of this owner."""
        return self._journal.epoch

    async def load(self) -> None:
        """Read the stored workflows.

        :raises BorageshelfError: ``STORE_UNAVAILABLE``
        """
        loaded = await self._journal.load()
        moment = clock.read_moment()
        for workflow_id, state in loaded.states.items():
            spec = loaded.specs.get(workflow_id)
            if spec is not None:
                self._core.restore(spec, state, moment)
            elif state.phase is not records.Phase.ACTIVE:
                self._core.restore_ended(workflow_id, state)
            else:
                self._events.record_state(
                    'workflow without specification', workflow=workflow_id
                )
        self._events.record_state(
            'workflows loaded',
            epoch=self.epoch,
            active=len(loaded.specs),
            ended=len(loaded.states) - len(loaded.specs),
        )

    async def run(self) -> None:
        """Own the workflows until another entry does."""
        for loop in (
            self._keep_lease,
            self._watch_silence,
            self._tell_effects,
        ):
            self._background.start_lasting(loop, self._events.record_failure)
        cycle = asyncio.ensure_future(self._cycle())
        ended = asyncio.ensure_future(self._ended.wait())
        try:
            await asyncio.wait(
                {cycle, ended}, return_when=asyncio.FIRST_COMPLETED
            )
            if cycle.done():
                # An unexpected error ends the ownership, and the next owner
                # begins with what is stored.
                cycle.result()
        finally:
            cycle.cancel()
            ended.cancel()
            await asyncio.gather(cycle, ended, return_exceptions=True)
            await self._background.stop()
            if self.is_resigned:
                await self._withdraw()
            self._ended.set()
            for session in self._sessions.values():
                session.outbox.close()
            for future in self._waiting.values():
                if not future.done():
                    future.set_result(
                        effects.Reply((), effects.Outcome.UNKNOWN)
                    )
            self._events.record_state('ownership ended', epoch=self.epoch)

    def stop(self) -> None:
        """End the ownership in this process."""
        self._ended.set()

    async def resign(self) -> None:
        """Give the ownership up, so that another entry takes it at once."""
        self.is_resigned = True
        self._changed.set()
        await self._ended.wait()

    def note_key_lost(self) -> None:
        """Write the owner's key again; the store has removed it."""
        if not (self._ended.is_set() or self.is_resigned):
            self._background.start(self._announce())

    # Requests of callers.

    async def answer(
        self, request: messages.Request, deadline_ms: int
    ) -> messages.RequestAnswer:
        """Carry out a request.

        :param deadline_ms: elapsed time; afterwards the outcome is unknown
        """
        moment = clock.read_moment()
        number = request.number
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
            is_known = request.workflow.workflow_id in self._core.jobs
            if not is_known and self._is_store_slow(moment.elapsed_ms):
                self._events.record(
                    'workflow refused',
                    workflow=request.workflow.workflow_id,
                    cause='the store does not answer',
                )
                return messages.RequestAnswer(
                    number, effects.Outcome.REFUSED, STORE_RETRY_S
                )
        token = next(self._tokens)
        future: asyncio.Future[effects.Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[token] = future
        if isinstance(request, messages.SubmitRequest):
            self._core.submit(request.workflow, request.queue, token, moment)
        else:
            self._core.cancel(request.workflow_id, token, moment)
        self._note_change()
        try:
            async with asyncio.timeout(
                max(deadline_ms - moment.elapsed_ms, 0) / 1000
            ):
                reply = await future
        except TimeoutError:
            return messages.RequestAnswer(number, effects.Outcome.UNKNOWN)
        finally:
            self._waiting.pop(token, None)
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
        """Handle the stream of an agent until it ends."""
        session = self._begin_session(hello, outbox)
        try:
            async for message in incoming:
                if self._ended.is_set():
                    return
                if isinstance(message, messages.AgentHello):
                    session = self._begin_session(message, outbox)
                else:
                    self._receive(session, message)
                self._note_change()
        finally:
            self._end_session(session)

    def _begin_session(
        self, hello: messages.AgentHello, outbox: channel.Outbox
    ) -> AgentSession:
        number = next(self._numbers)
        token = self.epoch * SESSIONS_LIMIT + number
        target = self._core.attach(hello, number, clock.read_moment())
        session = AgentSession(number, token, target, outbox)
        older = self._sessions.get(hello.target_id)
        if older is not None and older.outbox is not outbox:
            older.outbox.close()
        self._sessions[hello.target_id] = session
        self._events.record_state(
            'agent attached',
            target=hello.target_id,
            incarnation=hello.incarnation,
            token=token,
        )
        outbox.send(
            messages.Welcome(
                self.epoch, token, self._grant_ms, self._list_entries()
            )
        )
        measurements.TARGETS.set(len(self._sessions))
        return session

    def _end_session(self, session: AgentSession) -> None:
        target_id = session.target.target_id
        self._core.detach(target_id, session.number)
        if self._sessions.get(target_id) is session:
            del self._sessions[target_id]
            self._events.record_state('agent detached', target=target_id)
        measurements.TARGETS.set(len(self._sessions))

    def _receive(
        self, session: AgentSession, message: messages.AnyMessage
    ) -> None:
        session.heard_at_ms = clock.read_elapsed_ms()
        if getattr(message, 'token', session.token) == session.token:
            self._handle(message, session, clock.read_moment())

    @functools.singledispatchmethod
    def _handle(
        self, message: Any, session: AgentSession, moment: clock.Moment
    ) -> None:
        self._events.record_state(
            'unexpected message', kind=type(message).__name__
        )

    @_handle.register
    def _(
        self,
        message: messages.Report,
        session: AgentSession,
        moment: clock.Moment,
    ) -> None:
        target = session.target
        if target.is_ready:
            if message.state is not None:
                self._core.update_target_state(target, message.state, moment)
            self._core.update_progress(target, message.rows, moment)
            self._core.apply_latency_samples(target, message, moment)
        is_granted = self._is_proved(moment.elapsed_ms)
        if is_granted:
            self._core.extend_grant(target, moment)
        session.outbox.send(
            messages.Answer(message.sent_at_elapsed_ms, is_granted)
        )

    @_handle.register
    def _(
        self,
        message: messages.Ends,
        session: AgentSession,
        moment: clock.Moment,
    ) -> None:
        for end in message.ended:
            self._core.handle_run_end(session.target, end, moment)

    @_handle.register
    def _(
        self,
        message: messages.Snapshot,
        session: AgentSession,
        moment: clock.Moment,
    ) -> None:
        target = session.target
        runs = self._core.apply_snapshot(target, message, moment)
        known = tuple(_make_terms(run) for run in runs)
        session.outbox.send(messages.Known(session.token, known))
        self._events.record_state(
            'snapshot applied',
            target=target.target_id,
            running=len(message.running),
            ended=len(message.ended),
            kept=len(known),
        )

    @_handle.register
    def _(
        self,
        message: messages.StartRefused,
        session: AgentSession,
        moment: clock.Moment,
    ) -> None:
        self._core.handle_start_refusal(session.target, message, moment)

    @_handle.register
    def _(
        self,
        message: messages.ExecutorGone,
        session: AgentSession,
        moment: clock.Moment,
    ) -> None:
        self._core.handle_executor_gone(
            session.target, message.incarnation, moment
        )

    async def _watch_silence(self) -> None:
        while True:
            await asyncio.sleep(IDLE_MS / 1000)
            limit_ms = clock.read_elapsed_ms() - SILENCE_LIMIT_MS
            for session in list(self._sessions.values()):
                if session.heard_at_ms < limit_ms:
                    self._events.record_state(
                        'agent silent', target=session.target.target_id
                    )
                    session.outbox.close()
                    self._end_session(session)

    async def _tell_effects(self) -> None:
        """Tell agents with serving tasks what fillers do to these."""
        told: tuple[tuple[str, str, float], ...] = ()
        while True:
            await asyncio.sleep(EFFECTS_INTERVAL_MS / 1000)
            self._events.record_detail(
                'fleet', **self._core.describe_fleet(clock.read_moment())
            )
            pairs = self._core.filler_effects.list_effects()
            if pairs == told:
                continue
            told = pairs
            for session in self._sessions.values():
                if session.target.serving_images:
                    session.outbox.send(messages.Effects(pairs))

    # Commits.

    def _note_change(self) -> None:
        self._dispatch(self._core.take_immediate_effects())
        self._changed.set()

    def _is_proved(self, now_ms: int) -> bool:
        return now_ms - self._confirmed_at_ms < PROOF_LIMIT_MS

    def _is_store_slow(self, now_ms: int) -> bool:
        since_ms = self._commit_since_ms
        return bool(since_ms) and now_ms - since_ms > STORE_WAIT_MS

    async def _cycle(self) -> None:
        while True:
            await loop_module.wait_for_event(self._changed, IDLE_MS)
            self._changed.clear()
            if self.is_resigned:
                return
            moment = clock.read_moment()
            self._core.advance(moment)
            self._core.schedule(moment)
            self._dispatch(self._core.take_immediate_effects())
            batch = self._core.take_batch()
            proof_ms = self._confirmed_at_ms + PROOF_INTERVAL_MS
            if batch.is_empty and moment.elapsed_ms < proof_ms:
                continue
            if not await self._commit(batch):
                return
            if self._core.has_changes:
                self._changed.set()
            measurements.WORKFLOWS.set(len(self._core.jobs))
            measurements.LOG_LINES_DROPPED.set(self._events.dropped_lines)
            await asyncio.sleep(COMMIT_PAUSE_MS / 1000)

    async def _commit(self, batch: owner_module.Batch) -> bool:
        """Commit a batch; tell whether this entry is still the owner."""
        begun_at_ms = clock.read_elapsed_ms()
        self._commit_since_ms = self._commit_since_ms or begun_at_ms
        try:
            await self._journal.commit(batch.writes, batch.removed)
        except journal_module.OwnershipLost:
            measurements.COMMITS.labels('ownership lost').inc()
            return False
        except errors.BorageshelfError as error:
            measurements.COMMITS.labels(error.code.name).inc()
            self._events.record(
                'commit refused', detail=error.detail, jobs=len(batch.jobs)
            )
            self._core.handle_failed_commit(batch, STORE_RETRY_S)
            self._dispatch(self._core.take_immediate_effects())
            await asyncio.sleep(STORE_PAUSE_MS / 1000)
            return True
        self._commit_since_ms = 0
        self._confirmed_at_ms = begun_at_ms
        took_ms = clock.read_elapsed_ms() - begun_at_ms
        measurements.COMMITS.labels('done').inc()
        measurements.COMMIT_SECONDS.observe(took_ms / 1000)
        if not batch.is_empty:
            self._events.record_detail(
                'committed',
                jobs=[job.workflow_id for job in batch.jobs],
                took_ms=took_ms,
            )
        self._dispatch(self._core.confirm_batch(batch))
        self._dispatch(self._core.take_immediate_effects())
        self._forget_ended(batch)
        return True

    def _forget_ended(self, batch: owner_module.Batch) -> None:
        for job in batch.jobs:
            if job.workflow_id in self._core.jobs:
                continue
            for session in self._sessions.values():
                if job.workflow_id in session.target.sent_spec_ids:
                    session.target.sent_spec_ids.discard(job.workflow_id)
                    session.outbox.send(messages.Forget(job.workflow_id))

    # Effects.

    def _dispatch(self, found: abc.Iterable[effects.Effect]) -> None:
        for effect in found:
            self._carry_out(effect)

    @functools.singledispatchmethod
    def _carry_out(self, effect: effects.Effect) -> None:
        raise TypeError(type(effect).__name__)

    @_carry_out.register
    def _(self, effect: effects.SendStart) -> None:
        session = self._find_session(effect.target_id)
        target = self._core.targets[effect.target_id]
        run = target.runs.get((effect.task, effect.attempt))
        if run is None:
            return
        if session is None or not target.is_ready or run.is_stopping:
            self._core.handle_unsent_start(effect)
            self._changed.set()
            return
        job = run.task.group.job
        spec: str | None = None
        if job.workflow_id not in target.sent_spec_ids:
            spec = job.workflow.spec
            target.sent_spec_ids.add(job.workflow_id)
        run.is_sent = True
        run.started_at_ms = clock.read_elapsed_ms()
        run.progress_at_ms = run.started_at_ms
        if not job.is_started:
            job.is_started = True
            waited_ms = run.started_at_ms - job.accepted_at_ms
            measurements.FIRST_START_SECONDS.observe(waited_ms / 1000)
        measurements.RUNS_STARTED.inc()
        self._events.record(
            'run ordered',
            workflow=job.workflow_id,
            task=effect.task,
            attempt=effect.attempt,
            target=effect.target_id,
            token=session.token,
            unused_millicores=target.capacity.processor_millicores
            - target.busy_millicores
            - target.filler_millicores,
        )
        session.outbox.send(
            messages.Start(
                session.token,
                _make_terms(run),
                job.workflow_id,
                spec,
                run.task.checkpoint,
            )
        )

    @_carry_out.register
    def _(self, effect: effects.SendStop) -> None:
        session = self._find_session(effect.target_id)
        if session is None:
            # The next snapshot shows the run, and it is stopped then.
            return
        self._events.record(
            'stop ordered',
            task=effect.task,
            attempt=effect.attempt,
            target=effect.target_id,
        )
        session.outbox.send(
            messages.Stop(session.token, effect.task, effect.attempt)
        )

    @_carry_out.register
    def _(self, effect: effects.Acknowledge) -> None:
        session = self._find_session(effect.target_id)
        number = self._core.mark_end_committed(effect)
        if session is not None and number:
            session.outbox.send(messages.Acknowledged(session.token, number))

    @_carry_out.register
    def _(self, effect: effects.Reply) -> None:
        for token in effect.tokens:
            future = self._waiting.get(token)
            if future is not None and not future.done():
                future.set_result(effect)

    def _find_session(self, target_id: str) -> AgentSession | None:
        session = self._sessions.get(target_id)
        target = self._core.targets.get(target_id)
        if session is None or target is None:
            return None
        return session if target.session == session.number else None

    # The owner's key.

    async def _keep_lease(self) -> None:
        while True:
            await asyncio.sleep(LEASE_RENEWAL_MS / 1000)
            try:
                await self._store.renew_lease(self._lease_id)
            except errors.BorageshelfError as error:
                measurements.STORE_FAILURES.labels(error.code.name).inc()
                if error.code is errors.LEASE_LOST:
                    await self._announce()

    async def _withdraw(self) -> None:
        """Remove the owner's key."""
        try:
            async with asyncio.timeout(STORE_WAIT_MS / 1000):
                await self._journal.commit((), (records.OWNER_KEY,))
        except (errors.BorageshelfError, TimeoutError) as error:
            # The lease ends by itself.
            self._events.record_state(
                'resignation not stored', detail=repr(error)
            )
        except journal_module.OwnershipLost:
            return

    async def _announce(self) -> None:
        """Write the owner's key under a new lease."""
        try:
            lease = await self._store.grant_lease(LEASE_TTL_MS)
            await self._journal.write_owner_key(lease.lease_id)
        except errors.BorageshelfError as error:
            measurements.STORE_FAILURES.labels(error.code.name).inc()
            return
        except journal_module.OwnershipLost:
            self._ended.set()
            return
        self._lease_id = lease.lease_id
        self._events.record_state('ownership announced', epoch=self.epoch)


def _make_terms(run: Any) -> messages.RunTerms:
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
