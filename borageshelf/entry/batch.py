"""Batch work in the entry: owned shards, their effects and placement."""

import asyncio
from collections import abc
import dataclasses
import random
from typing import Final

from borageshelf import clock
from borageshelf.entry import effect_sender
from borageshelf.entry import learning as learning_module
from borageshelf.entry import membership as membership_module
from borageshelf.entry import placer
from borageshelf.entry import sessions as sessions_module
from borageshelf.entry import targets
from borageshelf import errors
from borageshelf import loop
from borageshelf.model import objects
from borageshelf import options as options_module
from borageshelf.ports import store as store_interface
from borageshelf.protocol import convert
from borageshelf.protocol import inner_pb2
from borageshelf.shards import effects
from borageshelf.shards import grants
from borageshelf.shards import ownership
from borageshelf.shards import records
from borageshelf.shards import shard_log
from borageshelf.shards import shard_owner
from borageshelf.shards import shard_runner
from borageshelf.shards import transitions
from borageshelf import telemetry as telemetry_module

RECONCILE_INTERVAL_MS: Final = 1000
# A new entry waits for one watch answer before it takes shards, so that
# entries that start together share them at once.
JOIN_PAUSE_MS: Final = 500
# After an outage of the store all leases may have ended. Entries announce
# themselves again within RENEW_INTERVAL_MS of membership; until then a
# missing owner proves nothing.
REJOIN_PAUSE_MS: Final = 5_000


class BatchService:
    """The shards that this entry owns.

    :param find_configuration: returns the configuration in force
    """

    def __init__(
        self,
        options: options_module.EntryOptions,
        store: store_interface.Store,
        registry: sessions_module.SessionRegistry,
        find_configuration: abc.Callable[[], objects.Configuration],
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self._options = options
        self._store = store
        self._registry = registry
        self._telemetry = telemetry
        self.learning = learning_module.Learning()
        self.board = targets.TargetBoard(
            registry, self.learning, find_configuration
        )
        self._policy = grants.GrantPolicy(
            grant_length_ms=options.grant_ms,
            clock_skew_bound_ms=options.clock_skew_ms,
        )
        self._sender = effect_sender.EffectSender(registry, telemetry)
        self._placer = placer.Placer(
            registry,
            self.board,
            self.learning,
            find_configuration,
            random.Random(options.entry_id),
        )
        self._runners: dict[int, shard_runner.ShardRunner] = {}
        self._membership: membership_module.Membership | None = None
        self._background = loop.TaskGroup()
        self._changed = asyncio.Event()
        self._leaving = False
        self._hold_deadline_ms = 0

    # Ownership of shards.

    def start(self, membership: membership_module.Membership) -> None:
        """Take over the shards that are assigned to this entry."""
        self._membership = membership
        self._background.start(self._reconcile_forever())

    def note_members(self) -> None:
        """Look at the assignment again soon."""
        self._changed.set()

    async def leave(self) -> None:
        """Give all shards up on a planned stop."""
        self._leaving = True
        self._announce()
        await self._background.stop()
        await asyncio.gather(
            *(self._release(shard) for shard in list(self._runners))
        )
        self._announce()

    def list_owned(self) -> dict[int, int]:
        """Return the epoch of each owned shard."""
        return {
            shard: runner.owner.epoch
            for shard, runner in self._runners.items()
            if runner.owner is not None and runner.is_active
        }

    def find_owner(self, shard: int) -> shard_owner.ShardOwner | None:
        """Return the owner core of a shard, if this entry owns it."""
        runner = self._runners.get(shard)
        if runner is None or not runner.is_active:
            return None
        return runner.owner

    def find_owner_address(self, shard: int) -> str | None:
        """Return the address of a shard's owner; None for this entry.

        :raises BorageshelfError: ``NOT_OWNER`` if no live entry owns it
        """
        if self.find_owner(shard) is not None:
            return None
        assert self._membership is not None
        member = self._membership.find_owner(shard)
        if member is None or member.entry_id == self._options.entry_id:
            raise errors.BorageshelfError(
                errors.NOT_OWNER, f'shard {shard} has no owner now'
            )
        return member.address

    async def _reconcile_forever(self) -> None:
        await asyncio.sleep(JOIN_PAUSE_MS / 1000)
        while True:
            self._changed.clear()
            self._note_store()
            await self._reconcile()
            await loop.wait_for_event(self._changed, RECONCILE_INTERVAL_MS)

    def _note_store(self) -> None:
        assert self._membership is not None
        is_reachable = self._membership.is_store_reachable
        if not is_reachable:
            now_ms = clock.read_wall_clock_ms()
            self._hold_deadline_ms = now_ms + REJOIN_PAUSE_MS
        for runner in self._runners.values():
            if runner.owner is not None:
                runner.owner.set_store_reachable(is_reachable)

    async def _reconcile(self) -> None:
        """Acquire shards without a live owner; release those that move."""
        assert self._membership is not None
        if not self._membership.has_view:
            return
        if clock.read_wall_clock_ms() < self._hold_deadline_ms:
            return
        owners: dict[int, str] = {}
        for shard in range(self._options.shards):
            member = self._membership.find_owner(shard)
            if member is not None:
                owners[shard] = member.entry_id
        members = [
            member.entry_id
            for member in self._membership.list_members()
            if not member.leaving
        ]
        plan = ownership.plan_shards(
            self._options.entry_id,
            self._options.shards,
            owners,
            members,
            self._runners.keys(),
        )
        moves = [self._acquire(shard) for shard in plan.acquire]
        moves += [self._release(shard) for shard in plan.release]
        if moves:
            await asyncio.gather(*moves)
            self._announce()

    async def _acquire(self, shard: int) -> None:
        runner = shard_runner.ShardRunner(
            shard,
            shard_log.ShardLog(self._store, shard, self._options.entry_id),
            self._policy,
            self._sender.dispatch,
            self._placer.place,
            self._handle_lost,
            clock.read_wall_clock_ms,
            self._options.tick_ms,
        )
        try:
            await runner.acquire()
        except errors.BorageshelfError as error:
            self._telemetry.count(
                telemetry_module.STORE_ERRORS, error.code.name
            )
            return
        assert runner.owner is not None
        self._runners[shard] = runner
        self._telemetry.count(telemetry_module.SHARD_TAKEOVERS)
        self._telemetry.log_state(
            'shard acquired', shard=shard, epoch=runner.owner.epoch
        )
        epoch = inner_pb2.ShardEpoch(shard=shard, epoch=runner.owner.epoch)
        renew = inner_pb2.Renew(epochs=[epoch])
        self._registry.broadcast(
            lambda session: inner_pb2.EntryMessage(renew=renew)
        )

    async def _release(self, shard: int) -> None:
        runner = self._runners[shard]
        try:
            await runner.release()
        except errors.BorageshelfError as error:
            # The next owner takes the shard over with a higher epoch.
            self._telemetry.count(
                telemetry_module.STORE_ERRORS, error.code.name
            )
        self._runners.pop(shard, None)
        self._telemetry.log_state('shard released', shard=shard)

    def _handle_lost(self, runner: shard_runner.ShardRunner) -> None:
        self._telemetry.log_state('shard lost', shard=runner.shard)
        self._runners.pop(runner.shard, None)
        self._announce()

    def _announce(self) -> None:
        owned = self.list_owned()
        self._telemetry.gauge(telemetry_module.SHARDS_OWNED, len(owned))
        if self._membership is not None:
            self._membership.announce(owned, self._leaving)

    # Requests.

    async def request(
        self,
        shard: int,
        ask: abc.Callable[[shard_owner.ShardOwner, int], None],
        deadline_ms: int,
    ) -> effects.Reply:
        """Ask the owner core and wait for the commit that answers.

        :param ask: called with the owner core and the token of the reply
        :raises BorageshelfError: ``NOT_OWNER``, or ``OUTCOME_UNKNOWN`` when
            the deadline passes before the commit is known
        """
        runner = self._runners.get(shard)
        if runner is None or not runner.is_active or runner.owner is None:
            raise errors.BorageshelfError(
                errors.NOT_OWNER, f'shard {shard} is not owned here'
            )
        token, future = self._sender.expect_reply()
        ask(runner.owner, token)
        runner.wake()
        wait_ms = max(deadline_ms - clock.read_wall_clock_ms(), 0)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                reply: effects.Reply = await future
        except TimeoutError:
            raise errors.BorageshelfError(
                errors.OUTCOME_UNKNOWN, 'the commit is not confirmed yet'
            ) from None
        finally:
            self._sender.forget_reply(token)
        return reply

    # Messages from agents.

    def greet(self, session: sessions_module.AgentSession) -> None:
        """Tell an agent the epochs of the owned shards."""
        renew = inner_pb2.Renew(
            epochs=[
                inner_pb2.ShardEpoch(shard=shard, epoch=epoch)
                for shard, epoch in self.list_owned().items()
            ]
        )
        session.send(renew=renew)

    def handle_report(
        self,
        session: sessions_module.AgentSession,
        report: inner_pb2.Report,
    ) -> None:
        """Learn from a report; pass its attempts to their owners."""
        self._learn(session, report)
        complete = {item.shard: item.epoch for item in report.complete}
        reports: dict[int, list[shard_owner.AttemptReport]] = {}
        for status in report.attempts:
            shard = status.attempt.shard
            reports.setdefault(shard, []).append(
                convert.unpack_attempt_report(status)
            )
        now_ms = clock.read_wall_clock_ms()
        for shard in {*reports, *complete}:
            owner = self.find_owner(shard)
            if owner is None:
                continue
            attempts = tuple(reports.get(shard, ()))
            if complete.get(shard) == owner.epoch:
                owner.handle_complete_report(
                    session.identity, attempts, now_ms
                )
            else:
                owner.handle_report(session.identity, attempts, now_ms)
            self._runners[shard].wake()

    def note_detached(self, target_id: str) -> None:
        """Place nothing more on a target whose stream has ended."""
        self.board.remove(target_id)

    def _learn(
        self,
        session: sessions_module.AgentSession,
        report: inner_pb2.Report,
    ) -> None:
        now_ms = clock.read_wall_clock_ms()
        self.learning.note_report(
            session.identity.target_id,
            session.hello.service.service,
            session.hello.service.slots,
            session.capacity,
            report,
            now_ms,
        )
        self.board.note_report(session, report, now_ms)

    def handle_status(
        self,
        session: sessions_module.AgentSession,
        status: inner_pb2.AttemptStatus,
    ) -> None:
        """Handle the end of an attempt."""
        shard = status.attempt.shard
        owner = self.find_owner(shard)
        event = convert.unpack_attempt_event(status)
        session.withdraw(status.attempt.task_id)
        if owner is None or event is None:
            return
        self._learn_end(session, owner, status)
        if isinstance(event, transitions.Failed):
            is_excused = self.learning.is_target_to_blame(
                session.identity.target_id,
                status.family,
                clock.read_wall_clock_ms(),
            )
            event = dataclasses.replace(event, is_target_faulty=is_excused)
        owner.handle_event(
            session.identity,
            status.attempt.task_id,
            event,
            clock.read_wall_clock_ms(),
        )
        self._runners[shard].wake()

    def _learn_end(
        self,
        session: sessions_module.AgentSession,
        owner: shard_owner.ShardOwner,
        status: inner_pb2.AttemptStatus,
    ) -> None:
        """Learn from the first message about the end of an attempt."""
        if not _is_current(owner, status.attempt):
            return
        is_quarantined = self.learning.note_end(
            session.identity.target_id,
            status,
            len(self._registry.list_open()),
            clock.read_wall_clock_ms(),
        )
        self.board.refresh(session, clock.read_wall_clock_ms())
        if is_quarantined:
            self._telemetry.count(telemetry_module.TARGETS_QUARANTINED)
            self._telemetry.log_state(
                'target quarantined', target=session.identity.target_id
            )
            for runner in self._runners.values():
                if runner.owner is not None and runner.is_active:
                    runner.owner.excuse_failures(
                        session.identity.target_id, clock.read_wall_clock_ms()
                    )
                    runner.wake()

    def handle_start_answer(
        self,
        session: sessions_module.AgentSession,
        answer: inner_pb2.StartAnswer,
    ) -> None:
        """Handle a refused start: it is a proof that nothing ran."""
        if answer.code == errors.OK.number:
            return
        status = inner_pb2.AttemptStatus(
            attempt=answer.attempt, state=inner_pb2.ATTEMPT_NEVER_STARTED
        )
        self.handle_status(session, status)


def _is_current(
    owner: shard_owner.ShardOwner, attempt: inner_pb2.Attempt
) -> bool:
    """Tell whether the end of an attempt is news to the owner."""
    job_id = attempt.task_id.rpartition('/')[0]
    return any(
        task.task_id == attempt.task_id
        and task.attempt == attempt.attempt
        and task.phase is records.TaskPhase.ASSIGNED
        for task in owner.find_job(job_id)
    )
