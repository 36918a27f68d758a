"""Single-writer commit log of one shard in the platform store.

A shard has one mutable key, its head, which the owner replaces by
compare-and-swap with each commit. The head names an immutable snapshot and
holds the changes since then. Once the heads written since the last snapshot
have as many bytes as that snapshot, the next commit first writes a new
snapshot. If heads grow by h bytes per commit and n commits lie between
snapshots of S bytes, a commit writes h*n/2 + S/n bytes on average. The minimum
is where the heads, h*n*n/2 bytes together, equal S. A failure between the two
writes leaves an unused snapshot, which the next snapshot of the same owner or
the next takeover removes.

A write with an uncertain outcome is resolved by reading the head: it took
effect if the head has its commit id. Until the outcome is known, only the same
commit is retried, because a delayed write may still reach the store.
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

# A smaller snapshot is not worth an additional write.
SNAPSHOT_MIN_BYTES: Final = 2_000


@dataclasses.dataclass(frozen=True)
class ShardState:
    """The committed records of a shard at its takeover.

    :param epoch: epoch of the new owner
    :param horizons: horizons of the previous owner
    """

    epoch: int
    horizons: records.Horizons
    tasks: dict[str, records.TaskRecord]
    claims: dict[str, records.ClaimRecord]


def make_head_key(shard: int) -> str:
    """Return the store key of a shard's head."""
    return f'shards/{shard:03d}/head'


def make_snapshot_key(shard: int, name: str) -> str:
    """Return the store key of a snapshot.

    :param name: unique name of the snapshot, or '' for the common key prefix
    """
    return f'shards/{shard:03d}/snapshot/{name}'


class ShardLog:
    """Takes over a shard and commits changes as its only writer.

    A commit returns only once its changes are stored, which guards against
    an accepted change that is lost and against two writers of one shard.

    :param pause: awaited with a delay in milliseconds between attempts
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
        self._head_key = make_head_key(shard)
        self._revision = store_interface.MUST_NOT_EXIST
        self._head = records.ShardHead()
        # Total size of the heads written since the last snapshot, and the
        # size of that snapshot.
        self._heads_bytes = 0
        self._snapshot_bytes = 0
        # Revision, or 0 if unknown, of each snapshot that no head names.
        self._unused_revisions: dict[str, int] = {}
        self._snapshot_revision = 0

    @property
    def head(self) -> records.ShardHead:
        """The newest head that is known to be committed."""
        return self._head

    async def acquire(
        self, horizons: abc.Callable[[records.Horizons], records.Horizons]
    ) -> ShardState:
        """Take over the shard under the next epoch.

        :param horizons: computes the new horizons from the previous ones
        :return: the records, with the horizons of the previous owner
        :raises BorageshelfError: ``STORE_CONFLICT`` if another entry took
            over the shard first, ``STORE_UNAVAILABLE``
        """
        entry = await self._store.get(self._head_key)
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
        head_bytes = await self._replace_head(head)
        # Estimate: each commit has added the same number of bytes.
        self._heads_bytes = head_bytes * len(head.deltas) // 2
        await self._find_unused_snapshots()
        return ShardState(head.epoch, previous.horizons, tasks, claims)

    async def commit(
        self,
        changes: records.Changes,
        snapshot: abc.Callable[[], records.Snapshot],
        horizons: records.Horizons,
    ) -> None:
        """Commit changes, with a new snapshot first if one is due.

        :param snapshot: returns all records, including these changes
        :param horizons: horizons to commit with the changes
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
        written_revision = self._unused_revisions.pop(key)
        if previous_key:
            self._unused_revisions[previous_key] = self._snapshot_revision
        self._snapshot_revision = written_revision
        await self._remove_unused_snapshots()

    async def release(self, horizons: records.Horizons) -> None:
        """Release the shard on a planned stop.

        :param horizons: the latest deadlines that were actually granted
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
                # The current owner replaced the snapshot after this head was
                # read.
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
        """Write a snapshot under a new, unique key.

        :return: the key and the size in bytes
        """
        key = make_snapshot_key(self._shard, uuid.uuid4().hex)
        value = codec.encode_snapshot(snapshot)
        self._unused_revisions[key] = 0
        try:
            self._unused_revisions[key] = await self._store.put(
                key, value, store_interface.MUST_NOT_EXIST
            )
        except errors.BorageshelfError as error:
            if error.code is not errors.STORE_UNCERTAIN:
                raise
            # No head names the snapshot yet, so the commit has certainly not
            # taken effect, even if the snapshot was written.
            raise errors.BorageshelfError(
                errors.STORE_UNAVAILABLE, error.detail
            ) from error
        return key, len(value)

    async def _find_unused_snapshots(self) -> None:
        """Find the snapshots that earlier owners left unused.

        Since the takeover is committed, no head of an earlier owner can name
        one of them any more.
        """
        prefix = make_snapshot_key(self._shard, '')
        self._unused_revisions = {}
        self._snapshot_revision = 0
        try:
            entries = await self._store.list(prefix)
        except errors.BorageshelfError:
            return
        self._unused_revisions = {
            entry.key: entry.revision for entry in entries
        }
        self._snapshot_revision = self._unused_revisions.pop(
            self._head.snapshot, 0
        )

    async def _remove_unused_snapshots(self) -> None:
        """Delete unused snapshots; one that stays only takes up space."""
        for key, revision in list(self._unused_revisions.items()):
            try:
                if not revision:
                    entry = await self._store.get(key)
                    revision = entry.revision if entry is not None else 0
                if revision:
                    await self._store.delete(key, revision)
            except errors.BorageshelfError as error:
                if error.code is not errors.STORE_CONFLICT:
                    return
            del self._unused_revisions[key]

    async def _replace_head(self, head: records.ShardHead) -> int:
        """Replace the head, and resolve uncertain writes by a read.

        :return: size of the new head in bytes
        """
        value = codec.encode_head(head)
        is_uncertain = False
        attempts = 0
        while True:
            try:
                revision = await self._store.put(
                    self._head_key, value, self._revision
                )
            except errors.BorageshelfError as error:
                if error.code is errors.STORE_CONFLICT and is_uncertain:
                    # An earlier attempt of this commit may have taken effect
                    # and caused the conflict.
                    revision = await self._read_back(head)
                elif error.code is errors.STORE_UNCERTAIN or is_uncertain:
                    is_uncertain = True
                    attempts += 1
                    await self._pause(
                        retries.compute_backoff_ms(head.commit_id, attempts)
                    )
                    continue
                else:
                    raise
            self._revision = revision
            self._head = head
            return len(value)

    async def _read_back(self, head: records.ShardHead) -> int:
        """Return the revision of the stored head if this commit wrote it.

        :raises BorageshelfError: ``STORE_CONFLICT`` if another commit did
        """
        attempts = 0
        while True:
            try:
                entry = await self._store.get(self._head_key)
                break
            except errors.BorageshelfError:
                attempts += 1
                await self._pause(
                    retries.compute_backoff_ms(head.commit_id, attempts)
                )
        if entry is not None:
            stored_head = codec.decode_head(entry.value)
            if stored_head.commit_id == head.commit_id:
                return entry.revision
        raise errors.BorageshelfError(
            errors.STORE_CONFLICT, f'shard {self._shard} has another owner'
        )


def apply_changes(
    changes: records.Changes,
    tasks: dict[str, records.TaskRecord],
    claims: dict[str, records.ClaimRecord],
) -> None:
    """Apply changes to the records of a shard, in place."""
    for key in changes.removed:
        tasks.pop(key, None)
    for key in changes.removed_claims:
        claims.pop(key, None)
    tasks.update((task.task_id, task) for task in changes.tasks)
    claims.update((claim.claim_id, claim) for claim in changes.claims)


async def _pause(delay_ms: int) -> None:
    await asyncio.sleep(delay_ms / 1000)
