"""Batch work in an entry: owned shards, their effects and placement."""

import asyncio
from collections import abc
import dataclasses
import random
from typing import Final

from borageshelf import clock
from borageshelf.entry import effect_sender
from borageshelf.entry import learning
from borageshelf.entry import membership as membership_module
from borageshelf.entry import placer
from borageshelf.entry import sessions
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
# A new entry waits for one watch answer before it acquires shards, so that
# entries that start together divide the shards among them right away.
JOIN_DELAY_MS: Final = 500
# After an outage of the store all leases may have expired. Live entries
# announce themselves again within membership.RENEW_INTERVAL_MS; until then, a
# shard without an owner does not prove that its owner is gone.
TAKEOVER_DELAY_AFTER_OUTAGE_MS: Final = 5_000


class BatchService:
    """Acquires, runs and releases the shards that this entry owns.

    Passes requests and the messages of agents to the owners of their shards.

    :param find_configuration: returns the configuration in force
    """

    def __init__(
        self,
        options: options_module.EntryOptions,
        store: store_interface.Store,
        registry: sessions.SessionRegistry,
        find_configuration: abc.Callable[[], objects.Configuration],
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self._options = options
        self._store = store
        self._registry = registry
        self._telemetry = telemetry
        self.learning = learning.Learning()
        self.target_views = targets.TargetViews(
            registry, self.learning, find_configuration
        )
        self._policy = grants.GrantPolicy(
            grant_length_ms=options.grant_ms,
            clock_skew_bound_ms=options.clock_skew_ms,
        )
        self._sender = effect_sender.EffectSender(registry, telemetry)
        self._placer = placer.Placer(
            registry,
            self.target_views,
            self.learning,
            find_configuration,
            random.Random(options.entry_id),
        )
        self._runners: dict[int, shard_runner.ShardRunner] = {}
        self._membership: membership_module.Membership | None = None
        self._background = loop.TaskGroup()
        self._changed = asyncio.Event()
        self._leaving = False
        self._takeover_pause_deadline_ms = 0

    # Ownership of shards.

    def start(self, membership: membership_module.Membership) -> None:
        """Start to acquire the shards that are assigned to this entry."""
        self._membership = membership
        self._background.start(self._reconcile_forever())

    def handle_membership_change(self) -> None:
        """Reconcile the owned shards with the assignment soon."""
        self._changed.set()

    async def leave(self) -> None:
        """Release all shards for a planned stop."""
        self._leaving = True
        self._announce()
        await self._background.stop()
        await asyncio.gather(
            *(self._release(shard) for shard in list(self._runners))
        )
        self._announce()

    def list_owned_epochs(self) -> dict[int, int]:
        """Return the epoch of each owned shard."""
        return {
            shard: runner.owner.epoch
            for shard, runner in self._runners.items()
            if runner.owner is not None and runner.is_active
        }

    def find_owner(self, shard: int) -> shard_owner.ShardOwner | None:
        """Return the ``ShardOwner`` of a shard; None if not owned here."""
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
                errors.NOT_OWNER, f'shard {shard} has no live owner'
            )
        return member.address

    async def _reconcile_forever(self) -> None:
        await asyncio.sleep(JOIN_DELAY_MS / 1000)
        while True:
            self._changed.clear()
            self._check_store()
            await self._reconcile()
            await loop.wait_for_event(self._changed, RECONCILE_INTERVAL_MS)

    def _check_store(self) -> None:
        assert self._membership is not None
        is_reachable = self._membership.is_store_reachable
        if not is_reachable:
            now_ms = clock.read_wall_clock_ms()
            self._takeover_pause_deadline_ms = (
                now_ms + TAKEOVER_DELAY_AFTER_OUTAGE_MS
            )
        for runner in self._runners.values():
            if runner.owner is not None:
                runner.owner.set_store_reachable(is_reachable)

    async def _reconcile(self) -> None:
        """Acquire shards without a live owner; release those to be moved."""
        assert self._membership is not None
        if not self._membership.has_view:
            return
        if clock.read_wall_clock_ms() < self._takeover_pause_deadline_ms:
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
        changes = [self._acquire(shard) for shard in plan.acquire]
        changes += [self._release(shard) for shard in plan.release]
        if changes:
            await asyncio.gather(*changes)
            self._announce()

    async def _acquire(self, shard: int) -> None:
        runner = shard_runner.ShardRunner(
            shard,
            shard_log.ShardLog(self._store, shard, self._options.entry_id),
            self._policy,
            self._sender.dispatch,
            self._placer.place,
            self._handle_lost_shard,
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
            # A failed release is harmless: the next owner takes the shard
            # over with a higher epoch.
            self._telemetry.count(
                telemetry_module.STORE_ERRORS, error.code.name
            )
        self._runners.pop(shard, None)
        self._telemetry.log_state('shard released', shard=shard)

    def _handle_lost_shard(self, runner: shard_runner.ShardRunner) -> None:
        self._telemetry.log_state('shard lost', shard=runner.shard)
        self._runners.pop(runner.shard, None)
        self._announce()

    def _announce(self) -> None:
        owned = self.list_owned_epochs()
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
        """Send a request to the owner of a shard and wait for its commit.

        :param ask: called with the shard's owner and the token of the reply
        :param deadline_ms: Unix time in milliseconds
        :raises BorageshelfError: ``NOT_OWNER``, or ``OUTCOME_UNKNOWN`` if
            the deadline passes before the commit is confirmed
        """
        runner = self._runners.get(shard)
        if runner is None or not runner.is_active or runner.owner is None:
            raise errors.BorageshelfError(
                errors.NOT_OWNER, f'shard {shard} is not owned by this entry'
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
                errors.OUTCOME_UNKNOWN,
                'the commit was not confirmed before the deadline',
            ) from None
        finally:
            self._sender.forget_reply(token)
        return reply

    # Messages from agents.

    def send_epochs(self, session: sessions.AgentSession) -> None:
        """Send an agent the epochs of the owned shards."""
        renew = inner_pb2.Renew(
            epochs=[
                inner_pb2.ShardEpoch(shard=shard, epoch=epoch)
                for shard, epoch in self.list_owned_epochs().items()
            ]
        )
        session.send(renew=renew)

    def handle_report(
        self,
        session: sessions.AgentSession,
        report: inner_pb2.Report,
    ) -> None:
        """Record a report; pass its attempts to the owners of their shards."""
        self._record_report(session, report)
        complete_epochs = {item.shard: item.epoch for item in report.complete}
        reports_by_shard: dict[int, list[shard_owner.AttemptReport]] = {}
        for status in report.attempts:
            shard = status.attempt.shard
            reports_by_shard.setdefault(shard, []).append(
                convert.unpack_attempt_report(status)
            )
        now_ms = clock.read_wall_clock_ms()
        for shard in {*reports_by_shard, *complete_epochs}:
            owner = self.find_owner(shard)
            if owner is None:
                continue
            attempts = tuple(reports_by_shard.get(shard, ()))
            if complete_epochs.get(shard) == owner.epoch:
                owner.handle_complete_report(
                    session.identity, attempts, now_ms
                )
            else:
                owner.handle_report(session.identity, attempts, now_ms)
            self._runners[shard].wake()

    def handle_detached(self, target_id: str) -> None:
        """Stop placing tasks on a target whose stream has ended."""
        self.target_views.remove(target_id)

    def _record_report(
        self,
        session: sessions.AgentSession,
        report: inner_pb2.Report,
    ) -> None:
        now_ms = clock.read_wall_clock_ms()
        self.learning.record_report(
            session.identity.target_id,
            session.hello.service.service,
            session.hello.service.slots,
            session.capacity,
            report,
            now_ms,
        )
        self.target_views.record_report(session, report, now_ms)

    def handle_status(
        self,
        session: sessions.AgentSession,
        status: inner_pb2.AttemptStatus,
    ) -> None:
        """Handle the end of an attempt."""
        shard = status.attempt.shard
        owner = self.find_owner(shard)
        event = convert.unpack_attempt_event(status)
        session.remove_pending_start(status.attempt.task_id)
        if owner is None or event is None:
            return
        self._record_end(session, owner, status)
        if isinstance(event, transitions.Failed):
            is_at_fault = self.learning.is_target_at_fault(
                session.identity.target_id,
                status.family,
                clock.read_wall_clock_ms(),
            )
            event = dataclasses.replace(event, is_target_faulty=is_at_fault)
        owner.handle_event(
            session.identity,
            status.attempt.task_id,
            event,
            clock.read_wall_clock_ms(),
        )
        self._runners[shard].wake()

    def _record_end(
        self,
        session: sessions.AgentSession,
        owner: shard_owner.ShardOwner,
        status: inner_pb2.AttemptStatus,
    ) -> None:
        """Record the outcome from the first message about an end."""
        if not _is_current_attempt(owner, status.attempt):
            return
        is_quarantined = self.learning.record_end(
            session.identity.target_id,
            status,
            len(self._registry.list_open()),
            clock.read_wall_clock_ms(),
        )
        self.target_views.refresh(session, clock.read_wall_clock_ms())
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
        session: sessions.AgentSession,
        answer: inner_pb2.StartAnswer,
    ) -> None:
        """Handle a refused start; the refusal proves that nothing ran."""
        if answer.code == errors.OK.number:
            return
        status = inner_pb2.AttemptStatus(
            attempt=answer.attempt, state=inner_pb2.ATTEMPT_NEVER_STARTED
        )
        self.handle_status(session, status)


def _is_current_attempt(
    owner: shard_owner.ShardOwner, attempt: inner_pb2.Attempt
) -> bool:
    """Tell whether the owner still has the attempt as assigned."""
    job_id = attempt.task_id.rpartition('/')[0]
    return any(
        task.task_id == attempt.task_id
        and task.attempt == attempt.attempt
        and task.phase is records.TaskPhase.ASSIGNED
        for task in owner.find_job(job_id)
    )
