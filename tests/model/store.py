"""Model of the platform's store: linearizable transactions and leases."""

from collections import abc
import dataclasses
from typing import Any

from borageshelf import errors
from borageshelf.ports import store as store_interface
from borageshelf.workflows import records

OWNER_LEASE_MS = 2_000


class ModelStore:
    """The stored items; all calls take effect at once."""

    def __init__(self) -> None:
        self.items: dict[str, store_interface.Entry] = {}
        self.revision = 0

    def get(self, key: str) -> store_interface.Entry | None:
        """Return an item."""
        return self.items.get(key)

    def scan(self, prefix: str) -> store_interface.Listing:
        """Return all items under a prefix."""
        return store_interface.Listing(
            self.revision,
            tuple(
                entry
                for key, entry in sorted(self.items.items())
                if key.startswith(prefix)
            ),
        )

    def commit(self, transaction: store_interface.Transaction) -> int:
        """Apply a transaction if all expected revisions are right."""
        for key, expected in transaction.expected_revisions:
            entry = self.items.get(key)
            if (entry.revision if entry else 0) != expected:
                raise errors.BorageshelfError(errors.STORE_CONFLICT, key)
        self.revision += 1
        for write in transaction.writes:
            self.items[write.key] = store_interface.Entry(
                write.key, write.value, self.revision, write.lease_id
            )
        for key in transaction.removed:
            self.items.pop(key, None)
        return self.revision


@dataclasses.dataclass(frozen=True)
class Call:
    """A call of the store.

    :param is_write: whether a lost answer leaves its effect uncertain
    """

    name: str
    apply: abc.Callable[[], Any]
    transaction: store_interface.Transaction | None = None

    @property
    def is_write(self) -> bool:
        """Tell whether a lost answer leaves the effect uncertain."""
        return self.transaction is not None

    @property
    def is_branch(self) -> bool:
        """Tell whether the call changes a workflow or the ownership."""
        transaction = self.transaction
        if transaction is None:
            return False
        keys = [write.key for write in transaction.writes]
        return any(key != records.HEAD_KEY for key in keys)

    @property
    def text(self) -> str:
        """Description for the history."""
        if self.transaction is None:
            return self.name
        keys = [
            write.key[len(records.PREFIX) :]
            for write in self.transaction.writes
            if write.key != records.HEAD_KEY
        ]
        keys += [
            f'without {key[len(records.PREFIX) :]}'
            for key in self.transaction.removed
        ]
        return f'commit of {", ".join(keys) or "the head"}'


class StorePort:
    """The store as one process reaches it.

    :param call: puts a call on its way; returns a future of its answer
    """

    def __init__(
        self,
        model_store: ModelStore,
        call: abc.Callable[[Call], abc.Awaitable[Any]],
    ) -> None:
        self._store = model_store
        self._call = call

    async def get(self, key: str) -> Any:
        """Return an item."""
        return await self._call(
            Call(f'read of {key}', lambda: self._store.get(key))
        )

    async def scan(self, prefix: str) -> Any:
        """Return all items under a prefix."""
        return await self._call(
            Call(f'scan of {prefix}', lambda: self._store.scan(prefix))
        )

    async def commit(self, transaction: store_interface.Transaction) -> Any:
        """Apply a transaction."""
        return await self._call(
            Call(
                'commit',
                lambda: self._store.commit(transaction),
                transaction,
            )
        )

    async def grant_lease(self, ttl_ms: int) -> store_interface.Lease:
        """Create a lease; leases only tell when another entry takes over."""
        await self._call(Call('lease', lambda: None))
        return store_interface.Lease('1', 0)

    async def renew_lease(self, lease_id: str) -> store_interface.Lease:
        """Renew a lease."""
        await self._call(Call('lease', lambda: None))
        return store_interface.Lease('1', 0)
