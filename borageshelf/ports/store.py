"""Interface of the platform's key-value service.

Other modules use only this interface, so that the HTTP adapter can be
replaced. Deadlines are Unix milliseconds.
"""

import dataclasses
from typing import Protocol

from borageshelf.model import numbers

# Expected revision of a key that must not exist.
MUST_NOT_EXIST = 0


@dataclasses.dataclass(frozen=True)
class Entry:
    """One key with its value.

    :param revision: number of the last write; it increases with each write

    :param deleted: set in watch answers for a key that no longer exists
    """

    key: str
    value: bytes
    revision: numbers.WholeNumber
    lease_id: str = ''
    deleted: bool = False


@dataclasses.dataclass(frozen=True)
class Lease:
    """A lease; its keys are deleted unless it is renewed by the deadline."""

    lease_id: str
    deadline_ms: numbers.WholeNumber


@dataclasses.dataclass(frozen=True)
class WatchAnswer:
    """Changes under a prefix after a revision.

    :param revision: revision up to which the answer is complete
    :param entries: the newest state of each changed key; intermediate
        revisions may be skipped
    :param compacted: whether the changes are no longer available; the caller
        must list the prefix again
    """

    revision: numbers.WholeNumber
    entries: tuple[Entry, ...]
    compacted: bool = False


@dataclasses.dataclass(frozen=True)
class Write:
    """One key to write in a transaction."""

    key: str
    value: bytes
    lease_id: str = ''


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Writes and deletions that are applied atomically.

    :param expected_revisions: keys and the revisions they must have;
        ``MUST_NOT_EXIST`` for a key that must be absent
    :param removed: keys to delete
    """

    expected_revisions: tuple[tuple[str, int], ...] = ()
    writes: tuple[Write, ...] = ()
    removed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Listing:
    """Entries under a prefix.

    :param revision: revision after which a watch reports every change that
        the listing does not contain
    """

    revision: numbers.WholeNumber
    entries: tuple[Entry, ...]


class Store(Protocol):
    """The key-value service.

    Every call may raise ``BorageshelfError`` with ``STORE_UNAVAILABLE`` (the
    call was not applied). A write may also raise it with ``STORE_UNCERTAIN``
    (the write may have been applied).
    """

    async def get(self, key: str) -> Entry | None:
        """Return the entry, or None."""

    async def list(self, prefix: str) -> tuple[Entry, ...]:
        """Return all entries whose key starts with the prefix."""

    async def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> int:
        """Write if the key has the expected revision; return the new one.

        :param expected_revision: ``MUST_NOT_EXIST`` for a new key
        :raises BorageshelfError: ``STORE_CONFLICT``, ``VALUE_TOO_LARGE``,
            ``LEASE_LOST``
        """

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete the key if it has the expected revision.

        :raises BorageshelfError: ``STORE_CONFLICT``
        """

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Create a lease."""

    async def renew_lease(self, lease_id: str) -> Lease:
        """Extend a lease by its time to live.

        :raises BorageshelfError: ``LEASE_LOST``
        """

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""

    async def watch(
        self, prefix: str, after_revision: int, deadline_ms: int
    ) -> WatchAnswer:
        """Wait for changes after a revision, at most until the deadline."""


class TransactionalStore(Store, Protocol):
    """A store that can also change several keys atomically."""

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction; return the store's new revision.

        :raises BorageshelfError: ``STORE_CONFLICT``, ``VALUE_TOO_LARGE``,
            ``LEASE_LOST``
        """

    async def scan(self, prefix: str) -> Listing:
        """Return all entries under a prefix and the revision to watch from."""
