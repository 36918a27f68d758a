"""Runs the owner of one shard on the event loop.

The runner commits the owner's batches through the shard's log and hands
effects on. Commits of one shard never overlap; while one is under way, new
changes gather for the next.
"""

import asyncio
from collections import abc
from typing import Final

from borageshelf import clock as clock_module
from borageshelf import errors
from borageshelf import loop
from borageshelf.shards import effects
from borageshelf.shards import grants
from borageshelf.shards import records
from borageshelf.shards import shard_log
from borageshelf.shards import shard_owner

IDLE_TICK_MS: Final = 1000
OUTAGE_RETRY_DELAY_MS: Final = 500

Dispatch = abc.Callable[[effects.Effect], bool]


class ShardRunner:
    """One owned shard.

    :param dispatch: carries an effect out; tells whether it could be sent
    :param place: assigns queued tasks through the owner
    :param on_lost: called when another entry has taken the shard
    :param tick_ms: least time between two commits
    """

    def __init__(
        self,
        shard: int,
        log: shard_log.ShardLog,
        policy: grants.GrantPolicy,
        dispatch: Dispatch,
        place: abc.Callable[[shard_owner.ShardOwner], None],
        on_lost: abc.Callable[['ShardRunner'], None],
        clock: clock_module.Clock,
        tick_ms: int,
    ) -> None:
        self.shard = shard
        self.owner: shard_owner.ShardOwner | None = None
        self.commits = 0
        self._log = log
        self._policy = policy
        self._dispatch = dispatch
        self._place = place
        self._on_lost = on_lost
        self._clock = clock
        self._tick_ms = tick_ms
        self._wake = asyncio.Event()
        self._is_idle = asyncio.Event()
        self._is_lost = False
        self._is_released = False
        self._ticked_at_ms = 0
        self._background = loop.TaskGroup()

    @property
    def is_active(self) -> bool:
        """Whether messages may be handled.

        After the horizons of a release are computed no grant may be renewed.
        """
        return (
            self.owner is not None
            and not self._is_lost
            and not self._is_released
        )

    async def acquire(self) -> None:
        """Take the shard over and start to run it.

        :raises BorageshelfError: as ``ShardLog.acquire``
        """

        def extend(horizons: records.Horizons) -> records.Horizons:
            return self._policy.extend(horizons, self._clock())

        state = await self._log.acquire(extend)
        self.owner = shard_owner.ShardOwner(
            self.shard, state, self._log.head.horizons, self._policy
        )
        self._background.start(self._run())

    def wake(self) -> None:
        """Carry out immediate effects now and commit changes soon.

        Most reports only renew grants, which need no commit; a pass over all
        tasks for each of them cost most of an entry's time with 5,900 tasks.
        """
        if self.owner is None or not self.is_active:
            return
        for effect in self.owner.take_immediate_effects():
            self._dispatch(effect)
        if self.owner.has_changes:
            self._wake.set()

    async def release(self) -> None:
        """Commit what is left and give the shard up.

        :raises BorageshelfError: as ``ShardLog.commit``
        """
        if self.owner is None or self._is_lost:
            return
        self.owner.begin_release()
        self.wake()
        self._wake.set()
        self._is_idle.clear()
        await self._is_idle.wait()
        await self._background.stop()
        self._is_released = True
        await self._log.release(self.owner.find_release_horizons())

    async def stop(self) -> None:
        """Stop without giving the shard up."""
        await self._background.stop()

    async def _run(self) -> None:
        assert self.owner is not None
        while not self._is_lost:
            await self._wait()
            self._wake.clear()
            now_ms = self._clock()
            if now_ms >= self._ticked_at_ms + IDLE_TICK_MS:
                self._ticked_at_ms = now_ms
                self.owner.tick(now_ms)
            self._place(self.owner)
            for effect in self.owner.take_immediate_effects():
                self._dispatch(effect)
            batch = self.owner.take_batch(now_ms)
            if batch is None:
                self._is_idle.set()
                continue
            await self._commit(batch)

    async def _wait(self) -> None:
        """Wait for work, at least one tick and at most an idle one."""
        await asyncio.sleep(self._tick_ms / 1000)
        await loop.wait_for_event(self._wake, IDLE_TICK_MS)

    async def _commit(self, batch: shard_owner.CommitBatch) -> None:
        assert self.owner is not None
        is_needed = (
            not batch.changes.is_empty or batch.horizons != self.owner.horizons
        )
        try:
            if is_needed:
                await self._log.commit(
                    batch.changes, self.owner.make_snapshot, batch.horizons
                )
                self.commits += 1
        except errors.BorageshelfError as error:
            await self._handle_failure(batch, error)
            return
        now_ms = self._clock()
        if batch.changes.tasks:
            # A stored job can be placed in the next tick.
            self._wake.set()
        for effect in self.owner.confirm_batch(batch, now_ms):
            is_sent = self._dispatch(effect)
            if not is_sent and isinstance(effect, effects.SendStart):
                self.owner.handle_unsent_start(effect, now_ms)

    async def _handle_failure(
        self, batch: shard_owner.CommitBatch, error: errors.BorageshelfError
    ) -> None:
        assert self.owner is not None
        if error.code is errors.STORE_CONFLICT:
            self._is_lost = True
            self._is_idle.set()
            for reply in self.owner.handle_ownership_loss(batch):
                self._dispatch(reply)
            self._on_lost(self)
            return
        for effect in self.owner.abort_batch(batch):
            self._dispatch(effect)
        await asyncio.sleep(OUTAGE_RETRY_DELAY_MS / 1000)
