"""Runs the owner of one shard on the event loop.

The runner commits the batches of the owner through the shard's log and
dispatches its effects. Commits of one shard never overlap: changes that arrive
during a commit form the next batch.
"""

import asyncio
from collections import abc
from typing import Final

from borageshelf import clock
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
    """Runs one shard from its takeover to its release or loss.

    :param dispatch: carries out an effect; returns whether it was sent
    :param place: assigns queued tasks through the owner
    :param on_lost: called when another entry has taken over the shard
    :param read_clock_ms: returns the wall-clock time
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
        read_clock_ms: clock.Clock,
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
        self._read_clock_ms = read_clock_ms
        self._tick_ms = tick_ms
        self._wake_event = asyncio.Event()
        self._idle_event = asyncio.Event()
        self._is_lost = False
        self._is_released = False
        self._ticked_at_ms = 0
        self._background = loop.TaskGroup()

    @property
    def is_active(self) -> bool:
        """Whether the owner may handle messages.

        Not after the horizons of a release are computed, because a grant that
        is renewed later could pass them.
        """
        return (
            self.owner is not None
            and not self._is_lost
            and not self._is_released
        )

    async def acquire(self) -> None:
        """Take over the shard and start to run it.

        :raises BorageshelfError: as ``ShardLog.acquire``
        """

        def extend(horizons: records.Horizons) -> records.Horizons:
            return self._policy.extend(horizons, self._read_clock_ms())

        state = await self._log.acquire(extend)
        self.owner = shard_owner.ShardOwner(
            self.shard, state, self._log.head.horizons, self._policy
        )
        self._background.start(self._run())

    def wake(self) -> None:
        """Dispatch immediate effects now and schedule a commit of changes.

        Most reports only renew grants, which need no commit. A pass over all
        tasks for each report took most of an entry's processor time with
        5,900 tasks.
        """
        if self.owner is None or not self.is_active:
            return
        for effect in self.owner.take_immediate_effects():
            self._dispatch(effect)
        if self.owner.has_changes:
            self._wake_event.set()

    async def release(self) -> None:
        """Commit the remaining changes and release the shard.

        :raises BorageshelfError: as ``ShardLog.commit``
        """
        if self.owner is None or self._is_lost:
            return
        self.owner.begin_release()
        self.wake()
        self._wake_event.set()
        self._idle_event.clear()
        await self._idle_event.wait()
        await self._background.stop()
        self._is_released = True
        await self._log.release(self.owner.compute_release_horizons())

    async def stop(self) -> None:
        """Stop running the shard without releasing it."""
        await self._background.stop()

    async def _run(self) -> None:
        assert self.owner is not None
        while not self._is_lost:
            await self._wait()
            self._wake_event.clear()
            now_ms = self._read_clock_ms()
            if now_ms >= self._ticked_at_ms + IDLE_TICK_MS:
                self._ticked_at_ms = now_ms
                self.owner.tick(now_ms)
            self._place(self.owner)
            for effect in self.owner.take_immediate_effects():
                self._dispatch(effect)
            batch = self.owner.take_batch(now_ms)
            if batch is None:
                self._idle_event.set()
                continue
            await self._commit(batch)

    async def _wait(self) -> None:
        """Wait a tick, then until ``wake`` or for ``IDLE_TICK_MS``."""
        await asyncio.sleep(self._tick_ms / 1000)
        await loop.wait_for_event(self._wake_event, IDLE_TICK_MS)

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
            await self._handle_commit_failure(batch, error)
            return
        now_ms = self._read_clock_ms()
        if batch.changes.tasks:
            # The next tick can assign the tasks that were just committed.
            self._wake_event.set()
        for effect in self.owner.confirm_batch(batch, now_ms):
            is_sent = self._dispatch(effect)
            if not is_sent and isinstance(effect, effects.SendStart):
                self.owner.handle_unsent_start(effect, now_ms)

    async def _handle_commit_failure(
        self, batch: shard_owner.CommitBatch, error: errors.BorageshelfError
    ) -> None:
        assert self.owner is not None
        if error.code is errors.STORE_CONFLICT:
            self._is_lost = True
            self._idle_event.set()
            for reply in self.owner.handle_ownership_loss(batch):
                self._dispatch(reply)
            self._on_lost(self)
            return
        for effect in self.owner.abort_batch(batch):
            self._dispatch(effect)
        await asyncio.sleep(OUTAGE_RETRY_DELAY_MS / 1000)
