"""Commit engine of one shard over the platform store.

A shard is one key, its head. The owner replaces the head by compare-and-swap
for each group of changes. A head names an immutable snapshot and holds the
changes since. Once the heads written since the last snapshot have as many
bytes as that snapshot, the next commit writes a new one first. With heads
that grow by h bytes a commit and n commits between snapshots of S bytes, a
commit costs h*n/2 + S/n bytes, which is least when the heads, h*n*n/2
together, equal S. A failure between the two writes leaves an unused snapshot,
which the next snapshot of the same owner or the next takeover removes.

An uncertain write is resolved by reading the head: it took effect if the head
carries its commit id. Until that is known, only the same commit is tried
again, because a delayed write may still arrive at the store.
"""

import asyncio
from collections import abc
import dataclasses
from typing import Final
import uuid

from borageshelf.decisions import retries
from borageshelf import errors
from borageshelf.ports import store as store_interface
from borageshelf.shards import codec
from borageshelf.shards import records

# A snapshot smaller than this is not worth an additional write.
SNAPSHOT_MIN_BYTES: Final = 2_000


@dataclasses.dataclass(frozen=True)
class ShardState:
    """The committed records of a shard."""

    epoch: int
    horizons: records.Horizons
    tasks: dict[str, records.TaskRecord]
    claims: dict[str, records.ClaimRecord]


def make_head_key(shard: int) -> str:
    """Return the store key of a shard's head."""
    return f'shards/{shard:03d}/head'


def make_snapshot_key(shard: int, name: str) -> str:
    """Return the store key of a snapshot."""
    return f'shards/{shard:03d}/snapshot/{name}'


class ShardLog:
    """Single-writer log of one shard.

    :param pause: awaited with a delay in milliseconds between tries
    """

    def __init__(
        self,
        store: store_interface.Store,
        shard: int,
        entry_id: str,
        pause: abc.Callable[[int], abc.Awaitable[None]] | None = None,
    ) -> None:
        self._store = store
        self._shard = shard
        self._entry_id = entry_id
        self._pause = pause or _pause
        self._key = make_head_key(shard)
        self._revision = store_interface.MUST_NOT_EXIST
        self._head = records.ShardHead()
        # Bytes of the heads since the last snapshot, and of that snapshot.
        self._heads_bytes = 0
        self._snapshot_bytes = 0
        # Snapshots that no head names, with their revision or 0 if unknown.
        self._unused: dict[str, int] = {}
        self._snapshot_revision = 0

    @property
    def head(self) -> records.ShardHead:
        """The newest head that is known to be committed."""
        return self._head

    async def acquire(
        self, horizons: abc.Callable[[records.Horizons], records.Horizons]
    ) -> ShardState:
        """Take the shard over with the next epoch.

        :param horizons: computes the new horizons from the old ones
        :return: the records, with the horizons of the previous owner
        :raises BorageshelfError: ``STORE_CONFLICT`` if another entry was
            faster, ``STORE_UNAVAILABLE``
        """
        entry = await self._store.get(self._key)
        previous = records.ShardHead()
        self._revision = store_interface.MUST_NOT_EXIST
        if entry is not None:
            previous = codec.decode_head(entry.value)
            self._revision = entry.revision
        tasks, claims = await self._load(previous)
        head = dataclasses.replace(
            previous,
            epoch=previous.epoch + 1,
            owner=self._entry_id,
            commit_id=uuid.uuid4().hex,
            horizons=horizons(previous.horizons),
        )
        value_bytes = await self._replace_head(head)
        # The head has grown evenly up to its present size.
        self._heads_bytes = value_bytes * len(head.deltas) // 2
        await self._find_unused_snapshots()
        return ShardState(head.epoch, previous.horizons, tasks, claims)

    async def commit(
        self,
        changes: records.Changes,
        snapshot: abc.Callable[[], records.Snapshot],
        horizons: records.Horizons,
    ) -> None:
        """Commit changes.

        :param snapshot: gives all records, these changes included
        :raises BorageshelfError: ``STORE_UNAVAILABLE`` if certainly nothing
            was written, ``STORE_CONFLICT`` if the shard has another owner
        """
        head = dataclasses.replace(
            self._head, commit_id=uuid.uuid4().hex, horizons=horizons
        )
        if not changes.is_empty:
            deltas = (*head.deltas, changes)
            head = dataclasses.replace(head, deltas=deltas)
        limit_bytes = max(self._snapshot_bytes, SNAPSHOT_MIN_BYTES)
        if self._heads_bytes <= limit_bytes:
            self._heads_bytes += await self._replace_head(head)
            return
        previous_key = head.snapshot
        key, size_bytes = await self._write_snapshot(snapshot())
        head = dataclasses.replace(head, snapshot=key, deltas=())
        self._heads_bytes = await self._replace_head(head)
        self._snapshot_bytes = size_bytes
        written_revision = self._unused.pop(key)
        if previous_key:
            self._unused[previous_key] = self._snapshot_revision
        self._snapshot_revision = written_revision
        await self._remove_unused_snapshots()

    async def release(self, horizons: records.Horizons) -> None:
        """Give the shard up on a planned stop.

        :param horizons: the latest deadlines that were really granted
        :raises BorageshelfError: as ``commit``
        """
        await self._replace_head(
            dataclasses.replace(
                self._head,
                owner='',
                commit_id=uuid.uuid4().hex,
                horizons=horizons,
            )
        )

    async def _load(
        self, head: records.ShardHead
    ) -> tuple[dict[str, records.TaskRecord], dict[str, records.ClaimRecord]]:
        tasks: dict[str, records.TaskRecord] = {}
        claims: dict[str, records.ClaimRecord] = {}
        if head.snapshot:
            entry = await self._store.get(head.snapshot)
            if entry is None:
                # The owner replaced the snapshot after the head was read.
                raise errors.BorageshelfError(
                    errors.STORE_CONFLICT, f'{head.snapshot} was removed'
                )
            self._snapshot_bytes = len(entry.value)
            snapshot = codec.decode_snapshot(entry.value)
            tasks.update((task.task_id, task) for task in snapshot.tasks)
            claims.update((item.claim_id, item) for item in snapshot.claims)
        for changes in head.deltas:
            apply_changes(changes, tasks, claims)
        return tasks, claims

    async def _write_snapshot(
        self, snapshot: records.Snapshot
    ) -> tuple[str, int]:
        """Write a snapshot under a new name, which is never reused.

        :return: the name and the size in bytes
        """
        key = make_snapshot_key(self._shard, uuid.uuid4().hex)
        value = codec.encode_snapshot(snapshot)
        self._unused[key] = 0
        try:
            self._unused[key] = await self._store.put(
                key, value, store_interface.MUST_NOT_EXIST
            )
        except errors.BorageshelfError as error:
            if error.code is not errors.STORE_UNCERTAIN:
                raise
            # Nothing refers to the snapshot yet, so the whole commit counts
            # as not written.
            raise errors.BorageshelfError(
                errors.STORE_UNAVAILABLE, error.detail
            ) from error
        return key, len(value)

    async def _find_unused_snapshots(self) -> None:
        """Note snapshots that earlier owners left without use.

        A head of an earlier owner can name none of them any more, because
        the takeover is committed.
        """
        prefix = make_snapshot_key(self._shard, '')
        self._unused = {}
        self._snapshot_revision = 0
        try:
            entries = await self._store.list(prefix)
        except errors.BorageshelfError:
            return
        self._unused = {entry.key: entry.revision for entry in entries}
        self._snapshot_revision = self._unused.pop(self._head.snapshot, 0)

    async def _remove_unused_snapshots(self) -> None:
        """Delete unused snapshots; one that remains costs only space."""
        for key, revision in list(self._unused.items()):
            try:
                if not revision:
                    entry = await self._store.get(key)
                    revision = entry.revision if entry is not None else 0
                if revision:
                    await self._store.delete(key, revision)
            except errors.BorageshelfError as error:
                if error.code is not errors.STORE_CONFLICT:
                    return
            del self._unused[key]

    async def _replace_head(self, head: records.ShardHead) -> int:
        """Replace the head, resolving uncertain writes by reading.

        :return: size of the head in bytes
        """
        value = codec.encode_head(head)
        is_uncertain = False
        tries = 0
        while True:
            try:
                revision = await self._store.put(
                    self._key, value, self._revision
                )
            except errors.BorageshelfError as error:
                if error.code is errors.STORE_CONFLICT and is_uncertain:
                    # The conflict may be with our own earlier try.
                    revision = await self._read_back(head)
                elif error.code is errors.STORE_UNCERTAIN or is_uncertain:
                    is_uncertain = True
                    tries += 1
                    await self._pause(
                        retries.find_backoff_ms(head.commit_id, tries)
                    )
                    continue
                else:
                    raise
            self._revision = revision
            self._head = head
            return len(value)

    async def _read_back(self, head: records.ShardHead) -> int:
        """Return the revision if the head in the store is this one.

        :raises BorageshelfError: ``STORE_CONFLICT`` if it is another one
        """
        tries = 0
        while True:
            try:
                entry = await self._store.get(self._key)
                break
            except errors.BorageshelfError:
                tries += 1
                await self._pause(
                    retries.find_backoff_ms(head.commit_id, tries)
                )
        if entry is not None:
            found = codec.decode_head(entry.value)
            if found.commit_id == head.commit_id:
                return entry.revision
        raise errors.BorageshelfError(
            errors.STORE_CONFLICT, f'shard {self._shard} has another owner'
        )


def apply_changes(
    changes: records.Changes,
    tasks: dict[str, records.TaskRecord],
    claims: dict[str, records.ClaimRecord],
) -> None:
    """Apply committed changes to the records of a shard."""
    for key in changes.removed:
        tasks.pop(key, None)
    for key in changes.removed_claims:
        claims.pop(key, None)
    tasks.update((task.task_id, task) for task in changes.tasks)
    claims.update((claim.claim_id, claim) for claim in changes.claims)


async def _pause(delay_ms: int) -> None:
    await asyncio.sleep(delay_ms / 1000)
