"""Commits of the owner to the platform store.

Each commit is one transaction that changes the records of some workflows and
replaces the head with a compare-and-swap on its revision. Commits are thus
serialized: a commit that the store executes late, or one of a former owner,
finds another head revision and changes nothing.

A commit without an answer is resolved by reading the head: the commit took
effect if the head carries its id. Until that is known, the same commit is
retried.
"""

import asyncio
from collections import abc
import dataclasses
from typing import Any, Final
import uuid

import msgspec

from borageshelf import clock
from borageshelf import decoding
from borageshelf import errors
from borageshelf.model import workflows
from borageshelf.ports import store as store_interface
from borageshelf.workflows import hand_over
from borageshelf.workflows import records

# Pause between retries while the store does not answer.
RETRY_PAUSE_MS: Final = 100


class OwnershipLost(Exception):
    """Another entry has taken over the workflows."""


@dataclasses.dataclass(frozen=True)
class StoredWorkflows:
    """Records of all workflows in the store.

    :param specs: specifications by workflow id
    :param states: states by workflow id
    :param unreadable: what is wrong with the other records, by key
    :param foreign_keys: keys of other writers
    :param cancellations: pages of cancellations, by key
    """

    specs: dict[str, records.SpecRecord]
    states: dict[str, records.StateRecord]
    unreadable: dict[str, str] = dataclasses.field(default_factory=dict)
    foreign_keys: tuple[str, ...] = ()
    cancellations: dict[str, records.CancellationPage] = dataclasses.field(
        default_factory=dict
    )


class Journal:
    """Single writer of the workflows' records.

    :param identity: this owner, with the epoch that it acquires
    :param head_revision: revision of the head that the previous owner left
    :param on_store_error: called with the error of each failed try, except for
        conflicts
    :param handed_over: names the silent targets in each head
    """

    def __init__(
        self,
        store: store_interface.TransactionalStore,
        identity: records.OwnerRecord,
        head_revision: int,
        on_store_error: abc.Callable[[errors.BorageshelfError], None],
        handed_over: hand_over.HandOver | None = None,
    ) -> None:
        self._store = store
        self._identity = identity
        self._on_store_error = on_store_error
        self._head_revision = head_revision
        self._handed_over = handed_over or hand_over.HandOver()
        self._lock = asyncio.Lock()

    @property
    def epoch(self) -> int:
        """Epoch of this owner."""
        return self._identity.epoch

    @property
    def head_revision(self) -> int:
        """Revision of the head after the last commit that was answered."""
        return self._head_revision

    async def acquire(self, owner_revision: int, lease_id: str) -> bool:
        """Acquire the ownership with the epoch of the identity.

        :param owner_revision: revision of the owner key that this entry has
            seen; the acquisition fails if it has changed
        :return: False if another entry acquired the ownership first
        :raises BorageshelfError: ``STORE_UNAVAILABLE``
        """
        owner = store_interface.Write(
            records.OWNER_KEY, encode(self._identity), lease_id
        )
        condition = (records.OWNER_KEY, owner_revision)
        try:
            await self._replace_head((condition,), (owner,), ())
        except OwnershipLost:
            return False
        return True

    async def load(self) -> StoredWorkflows:
        """Read all workflows, which only this owner can change from now on.

        A record that can't be read does not keep the others from being loaded.

        :raises BorageshelfError: ``STORE_UNAVAILABLE``
        """
        specs: dict[str, records.SpecRecord] = {}
        states: dict[str, records.StateRecord] = {}
        unreadable: dict[str, str] = {}
        foreign_keys: list[str] = []
        pages: dict[str, records.CancellationPage] = {}
        # One listing, because a takeover waits for it.
        listing = await self._store.scan(records.PREFIX)
        for entry in listing.entries:
            if entry.key.startswith(records.CANCELLATIONS_PREFIX):
                page = _decode_page(entry.value)
                if page is None:
                    foreign_keys.append(entry.key)
                else:
                    pages[entry.key] = page
            if not entry.key.startswith(records.JOBS_PREFIX):
                continue
            workflow_id = records.find_workflow_id(entry.key)
            try:
                if not workflow_id:
                    foreign_keys.append(entry.key)
                elif entry.key == records.make_state_key(workflow_id):
                    states[workflow_id] = decode(
                        entry.value, records.StateRecord
                    )
                elif entry.key == records.make_spec_key(workflow_id):
                    specs[workflow_id] = _decode_spec(workflow_id, entry.value)
                else:
                    foreign_keys.append(entry.key)
            except errors.BorageshelfError as error:
                unreadable[entry.key] = error.detail
        return StoredWorkflows(
            specs, states, unreadable, tuple(foreign_keys), pages
        )

    async def commit(
        self,
        writes: abc.Iterable[tuple[str, bytes]],
        removed: abc.Iterable[str],
    ) -> None:
        """Write and remove keys in one transaction.

        :param writes: keys and their new values
        :param removed: keys to remove
        :raises BorageshelfError: ``STORE_UNAVAILABLE`` if it is certain that
            nothing was written
        :raises OwnershipLost: if another entry has become the owner
        """
        await self._replace_head(
            (),
            tuple(store_interface.Write(key, value) for key, value in writes),
            tuple(removed),
        )

    async def write_owner_key(self, lease_id: str) -> None:
        """Write the owner key again after its lease has expired.

        :raises BorageshelfError: of the store
        :raises OwnershipLost: if another entry has become the owner
        """
        write = store_interface.Write(
            records.OWNER_KEY, encode(self._identity), lease_id
        )
        await self._replace_head((), (write,), ())

    async def resign(self) -> None:
        """Remove the owner key, so that another entry can take over.

        :raises BorageshelfError: of the store
        :raises OwnershipLost: if another entry has become the owner
        """
        await self._replace_head(
            (), (), (records.OWNER_KEY,), is_resigned=True
        )

    async def _replace_head(
        self,
        conditions: tuple[tuple[str, int], ...],
        writes: tuple[store_interface.Write, ...],
        removed: tuple[str, ...],
        is_resigned: bool = False,
    ) -> None:
        async with self._lock:
            silent_targets = self._handed_over.name_silent_targets(
                clock.read_elapsed_ms(), is_resigned
            )
            head = records.HeadRecord(
                self._identity.epoch,
                self._identity.entry_id,
                self._identity.boot_id,
                self._identity.address,
                uuid.uuid4().hex,
                is_resigned,
                silent_targets,
            )
            head_write = store_interface.Write(records.HEAD_KEY, encode(head))
            transaction = store_interface.Transaction(
                ((records.HEAD_KEY, self._head_revision), *conditions),
                (head_write, *writes),
                removed,
            )
            self._head_revision = await self._commit_transaction(
                transaction, head
            )
            self._handed_over.note_stored(silent_targets)

    async def _commit_transaction(
        self,
        transaction: store_interface.Transaction,
        head: records.HeadRecord,
    ) -> int:
        """Commit a transaction and return the new revision of the head.

        :raises BorageshelfError: if it is certain that nothing was written
        :raises OwnershipLost: if another entry has become the owner
        """
        is_uncertain = False
        while True:
            try:
                return await self._store.commit(transaction)
            except errors.BorageshelfError as error:
                if error.code is errors.STORE_CONFLICT:
                    if not is_uncertain:
                        raise OwnershipLost from error
                    return await self._resolve_conflict(head)
                self._on_store_error(error)
                if error.code is errors.STORE_UNCERTAIN:
                    is_uncertain = True
                elif not is_uncertain:
                    raise
                elif error.code is errors.LEASE_LOST:
                    return await self._resolve_lost_lease(head, error)
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def _resolve_conflict(self, head: records.HeadRecord) -> int:
        """Return the revision of the stored head if it is the given one.

        :raises OwnershipLost: if another head is stored
        """
        entry = await self._read_head()
        if entry is not None and _has_commit_id(entry, head):
            return entry.revision
        raise OwnershipLost

    async def _resolve_lost_lease(
        self, head: records.HeadRecord, error: errors.BorageshelfError
    ) -> int:
        """Return the revision of the head if an earlier try has stored it.

        Otherwise no try takes effect any more, because each one has the lease
        that has ended.

        :raises BorageshelfError: the given error, if nothing was written
        :raises OwnershipLost: if another head is stored
        """
        entry = await self._read_head()
        revision = entry.revision if entry else store_interface.MUST_NOT_EXIST
        if revision == self._head_revision:
            raise error
        return await self._resolve_conflict(head)

    async def _read_head(self) -> store_interface.Entry | None:
        """Return the stored head as soon as the store answers."""
        while True:
            try:
                return await self._store.get(records.HEAD_KEY)
            except errors.BorageshelfError as error:
                self._on_store_error(error)
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)


def _has_commit_id(
    entry: store_interface.Entry, head: records.HeadRecord
) -> bool:
    try:
        found = decode(entry.value, records.HeadRecord)
    except errors.BorageshelfError:
        # A head of another writer fences this owner like that of a successor.
        return False
    return bool(found.commit_id == head.commit_id)


def _decode_page(value: bytes) -> records.CancellationPage | None:
    """Return a page of cancellations; None for one of another writer."""
    try:
        page: records.CancellationPage = decode(
            value, records.CancellationPage
        )
    except errors.BorageshelfError:
        return None
    return page


def _decode_spec(workflow_id: str, value: bytes) -> records.SpecRecord:
    """Return the specification of a workflow.

    :raises BorageshelfError: ``STORE_UNAVAILABLE`` also if it is that of
        another workflow, or if it is none that an owner accepts
    """
    spec: records.SpecRecord = decode(value, records.SpecRecord)
    problem = workflows.find_validation_error(spec.workflow)
    if spec.workflow.workflow_id != workflow_id:
        problem = f'specification of {spec.workflow.workflow_id[:80]}'
    if problem:
        raise errors.BorageshelfError(errors.STORE_UNAVAILABLE, problem)
    return spec


def encode(record: Any) -> bytes:
    """Return the encoded form of a record."""
    return msgspec.msgpack.encode(record)


def decode(value: bytes, kind: Any) -> Any:
    """Return the record that a stored value encodes.

    :raises BorageshelfError: ``STORE_UNAVAILABLE`` if the value is no such
        record, because another program wrote it
    """
    try:
        return decoding.decode_msgpack(value, kind)
    except decoding.Unreadable as error:
        raise errors.BorageshelfError(
            errors.STORE_UNAVAILABLE,
            f'stored value is not a {kind.__name__}: {error}',
        ) from error


def decode_owner(value: bytes) -> records.OwnerRecord:
    """Return the record of an owner that others can reach.

    :raises BorageshelfError: see ``decode``
    """
    owner: records.OwnerRecord = decode(value, records.OwnerRecord)
    try:
        decoding.parse_address(owner.address)
    except decoding.Unreadable as error:
        raise errors.BorageshelfError(
            errors.STORE_UNAVAILABLE, str(error)
        ) from error
    return owner


def find_owner_entry(
    entries: abc.Iterable[store_interface.Entry],
) -> store_interface.Entry | None:
    """Return the owner's key among the keys that begin like it."""
    return next(
        (entry for entry in entries if entry.key == records.OWNER_KEY), None
    )
