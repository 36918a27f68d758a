"""Commits of the owner to the platform store.

Each commit changes the records of some workflows and replaces the head under
its expected revision, in one transaction. So commits take effect one after
the other, one that the store carries out late finds another head and changes
nothing, and a former owner can change nothing either.

A commit without an answer is resolved by reading the head: it took effect if
the head carries its id. Until that is known, the same commit is tried again.
"""

import asyncio
from collections import abc
import dataclasses
from typing import Any, Final
import uuid

import msgspec

from borageshelf import errors
from borageshelf.ports import store as store_interface
from borageshelf.workflows import records

# Between tries while the store does not answer.
RETRY_PAUSE_MS: Final = 100


class OwnershipLost(Exception):
    """Another entry has taken the workflows over."""


@dataclasses.dataclass(frozen=True)
class Loaded:
    """The stored workflows.

    :param specs: by workflow id
    """

    specs: dict[str, records.SpecRecord]
    states: dict[str, records.StateRecord]


class Journal:
    """Single writer of the workflows' records.

    :param head_revision: revision of the head of the previous owner
    :param on_trouble: called with the error of each failed try
    """

    def __init__(
        self,
        store: store_interface.TransactionalStore,
        identity: records.OwnerRecord,
        head_revision: int,
        on_trouble: abc.Callable[[errors.BorageshelfError], None],
    ) -> None:
        self._store = store
        self._identity = identity
        self._on_trouble = on_trouble
        self._revision = head_revision
        self._lock = asyncio.Lock()

    @property
    def epoch(self) -> int:
        """Number of this owner."""
        return self._identity.epoch

    async def acquire(self, owner_revision: int, lease_id: str) -> bool:
        """Become the owner with the epoch of the identity.

        :param owner_revision: revision of the owner's key that this entry
            has seen; it must not have changed
        :return: False if another entry was faster
        :raises BorageshelfError: ``STORE_UNAVAILABLE``
        """
        owner = store_interface.Write(
            records.OWNER_KEY, encode(self._identity), lease_id
        )
        condition = (records.OWNER_KEY, owner_revision)
        try:
            await self._swap((condition,), (owner,), ())
        except OwnershipLost:
            return False
        return True

    async def load(self) -> Loaded:
        """Read all workflows; nobody else can change them any more.

        :raises BorageshelfError: ``STORE_UNAVAILABLE``
        """
        specs: dict[str, records.SpecRecord] = {}
        states: dict[str, records.StateRecord] = {}
        listing = await self._store.scan(records.JOBS_PREFIX)
        for entry in listing.entries:
            workflow_id = records.find_workflow_id(entry.key)
            if workflow_id is not None:
                states[workflow_id] = decode(entry.value, records.StateRecord)
            else:
                spec = decode(entry.value, records.SpecRecord)
                specs[spec.workflow.workflow_id] = spec
        return Loaded(specs, states)

    async def commit(
        self,
        writes: abc.Iterable[tuple[str, bytes]],
        removed: abc.Iterable[str],
    ) -> None:
        """Commit changes.

        :raises BorageshelfError: ``STORE_UNAVAILABLE`` if certainly nothing
            was written
        :raises OwnershipLost: if there is a new owner
        """
        await self._swap(
            (),
            tuple(store_interface.Write(key, value) for key, value in writes),
            tuple(removed),
        )

    async def write_owner_key(self, lease_id: str) -> None:
        """Write the owner's key again after its lease has ended.

        :raises BorageshelfError: of the store
        :raises OwnershipLost: if there is a new owner
        """
        write = store_interface.Write(
            records.OWNER_KEY, encode(self._identity), lease_id
        )
        await self._swap((), (write,), ())

    async def _swap(
        self,
        conditions: tuple[tuple[str, int], ...],
        writes: tuple[store_interface.Write, ...],
        removed: tuple[str, ...],
    ) -> None:
        async with self._lock:
            head = records.HeadRecord(
                self._identity.epoch,
                self._identity.entry_id,
                self._identity.boot_id,
                self._identity.address,
                uuid.uuid4().hex,
            )
            head_write = store_interface.Write(records.HEAD_KEY, encode(head))
            transaction = store_interface.Transaction(
                ((records.HEAD_KEY, self._revision), *conditions),
                (head_write, *writes),
                removed,
            )
            self._revision = await self._apply(transaction, head)

    async def _apply(
        self,
        transaction: store_interface.Transaction,
        head: records.HeadRecord,
    ) -> int:
        """Apply a transaction; return the revision of the head."""
        is_uncertain = False
        while True:
            try:
                return await self._store.commit(transaction)
            except errors.BorageshelfError as error:
                if error.code is errors.STORE_CONFLICT:
                    if not is_uncertain:
                        raise OwnershipLost from error
                    return await self._read_back(head)
                self._on_trouble(error)
                if error.code is errors.STORE_UNCERTAIN:
                    is_uncertain = True
                elif not is_uncertain:
                    raise
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def _read_back(self, head: records.HeadRecord) -> int:
        """Return the revision if the head in the store is this one.

        :raises OwnershipLost: if it is another one
        """
        while True:
            try:
                entry = await self._store.get(records.HEAD_KEY)
                break
            except errors.BorageshelfError as error:
                self._on_trouble(error)
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)
        if entry is not None:
            found = decode(entry.value, records.HeadRecord)
            if found.commit_id == head.commit_id:
                return entry.revision
        raise OwnershipLost


def encode(record: Any) -> bytes:
    """Return the bytes of a record."""
    return msgspec.msgpack.encode(record)


def decode(value: bytes, kind: Any) -> Any:
    """Return the record of some bytes.

    :raises BorageshelfError: ``STORE_UNAVAILABLE`` if another program wrote
        them
    """
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.BorageshelfError(
            errors.STORE_UNAVAILABLE, f'record of {kind.__name__}: {error}'
        ) from error
