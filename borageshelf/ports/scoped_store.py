"""A view of the store that is limited to the keys under one prefix.

Each region stores its entries and shards under its own prefix, so that regions
own separate shards and continue to work independently while they are
partitioned. The configuration is shared by all regions and has no such prefix.
"""

import dataclasses

from borageshelf.ports import store as store_interface


class ScopedStore:
    """Implements ``store.Store`` below a prefix of another store.

    Errors of the other store are passed on.
    """

    def __init__(self, store: store_interface.Store, prefix: str) -> None:
        self._store = store
        self._prefix = prefix

    async def get(self, key: str) -> store_interface.Entry | None:
        """Return the entry, or None."""
        entry = await self._store.get(self._prefix + key)
        return self._strip(entry) if entry is not None else None

    async def list(self, prefix: str) -> tuple[store_interface.Entry, ...]:
        """Return all entries whose key starts with the prefix."""
        entries = await self._store.list(self._prefix + prefix)
        return tuple(map(self._strip, entries))

    async def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> int:
        """Write if the key has the expected revision; return the new one."""
        return await self._store.put(
            self._prefix + key, value, expected_revision, lease_id
        )

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete the key if it has the expected revision."""
        await self._store.delete(self._prefix + key, expected_revision)

    async def grant_lease(self, ttl_ms: int) -> store_interface.Lease:
        """Create a lease."""
        return await self._store.grant_lease(ttl_ms)

    async def renew_lease(self, lease_id: str) -> store_interface.Lease:
        """Extend a lease by its time to live."""
        return await self._store.renew_lease(lease_id)

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        await self._store.revoke_lease(lease_id)

    async def watch(
        self, prefix: str, after_revision: int, deadline_ms: int
    ) -> store_interface.WatchAnswer:
        """Wait for changes after a revision, at most until the deadline."""
        answer = await self._store.watch(
            self._prefix + prefix, after_revision, deadline_ms
        )
        entries = tuple(map(self._strip, answer.entries))
        return dataclasses.replace(answer, entries=entries)

    def _strip(self, entry: store_interface.Entry) -> store_interface.Entry:
        key = entry.key.removeprefix(self._prefix)
        return dataclasses.replace(entry, key=key)
