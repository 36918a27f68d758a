"""Interface of the platform's key-value service.

Only this interface is used elsewhere, so that another adapter can replace
the HTTP one. Deadlines are Unix milliseconds.
"""

import dataclasses
from typing import Protocol

MUST_NOT_EXIST = 0


@dataclasses.dataclass(frozen=True)
class Entry:
    """One key with its value; revision numbers grow with each write.

    :param deleted: set in watch answers for a key that no longer exists
    """

    key: str
    value: bytes
    revision: int
    lease_id: str = ''
    deleted: bool = False


@dataclasses.dataclass(frozen=True)
class Lease:
    """A lease; its keys vanish when the deadline passes unrenewed."""

    lease_id: str
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class WatchAnswer:
    """Changes under a prefix after a revision.

    :param revision: revision up to which the answer is complete
    :param entries: the newest state of each changed key; intermediate
        revisions may be skipped
    :param compacted: the changes are gone; list the prefix again
    """

    revision: int
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
    """Writes that happen together or not at all.

    :param expected_revisions: keys and the revisions they must have;
        ``MUST_NOT_EXIST`` for a key that must be absent
    """

    expected_revisions: tuple[tuple[str, int], ...] = ()
    writes: tuple[Write, ...] = ()
    removed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Listing:
    """Entries under a prefix.

    :param revision: revision from which to watch for what the listing lacks
    """

    revision: int
    entries: tuple[Entry, ...]


class Store(Protocol):
    """The key-value service.

    Every call may raise ``BorageshelfError`` with ``STORE_UNAVAILABLE`` (not
    applied), and every write also with ``STORE_UNCERTAIN`` (may have been
    applied).
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
    """A store that also changes several keys at once."""

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction; return the store's new revision.

        :raises BorageshelfError: ``STORE_CONFLICT``, ``VALUE_TOO_LARGE``,
            ``LEASE_LOST``
        """

    async def scan(self, prefix: str) -> Listing:
        """Return all entries under a prefix, and where to watch from."""
