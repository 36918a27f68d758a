"""In-memory stand-in of the platform's key-value service.

Implements ``borageshelf.ports.store.Store`` with revisions,
compare-and-swap, leases and long-poll watches, counts the calls, limits
their rates and injects faults. Assumes a single event loop.
"""

import asyncio
from collections import abc
import dataclasses
from typing import Final, TypeVar
import uuid

from borageshelf import errors
from borageshelf.ports import store as store_interface
from standins import clocks
from standins import faults

VALUE_LIMIT_BYTES: Final = 1_000_000
KEY_LIMIT_BYTES: Final = 1_000
# The platform states "several hundred writes and about 2,000 reads a second".
READS_PER_SECOND: Final = 2_000
WRITES_PER_SECOND: Final = 400
# Only this many of the newest deletions are kept; a watch that starts before
# them is told to list again.
TOMBSTONE_LIMIT: Final = 10_000
# Maximum time for which an idle watch does not read the clock.
WAIT_STEP_MS: Final = 60_000

Result = TypeVar('Result')


@dataclasses.dataclass
class _LeaseState:
    ttl_ms: int
    deadline_ms: int


class _RateLimit:
    """Token bucket for the calls of one second; a rate of 0 is no limit."""

    def __init__(self, calls_per_second: int, now_ms: int) -> None:
        self._calls_per_second = calls_per_second
        self._tokens = float(calls_per_second)
        self._refilled_at_ms = now_ms

    def try_take(self, now_ms: int) -> bool:
        """Take one token; tell whether one was available."""
        if not self._calls_per_second:
            return True
        elapsed_ms = max(now_ms - self._refilled_at_ms, 0)
        gained_tokens = elapsed_ms * self._calls_per_second / clocks.MS_PER_S
        self._tokens = min(
            self._tokens + gained_tokens, float(self._calls_per_second)
        )
        self._refilled_at_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class MemoryStore:
    """The in-memory store.

    :param reads_per_second: rate limit of reads, 0 for none; a call above it
        is refused with ``STORE_UNAVAILABLE``
    :param writes_per_second: the same for writes, lease calls included
    """

    def __init__(
        self,
        clock: clocks.Clock | None = None,
        reads_per_second: int = 0,
        writes_per_second: int = 0,
        seed: int = 0,
    ) -> None:
        self._clock = clock or clocks.SystemClock()
        now_ms = self._clock.read_ms()
        self._read_limit = _RateLimit(reads_per_second, now_ms)
        self._write_limit = _RateLimit(writes_per_second, now_ms)
        self._entries: dict[str, store_interface.Entry] = {}
        self._tombstones: dict[str, store_interface.Entry] = {}
        self._leases: dict[str, _LeaseState] = {}
        self._revision = 0
        self._compacted_revision = 0
        self._changed = asyncio.Event()
        self._fault_injector = faults.FaultInjector(
            self._clock,
            seed,
            errors.STORE_UNAVAILABLE,
            errors.STORE_UNCERTAIN,
        )
        self.waiting_watches = 0

    @property
    def revision(self) -> int:
        """Revision of the newest write."""
        return self._revision

    @property
    def calls(self) -> dict[str, int]:
        """Number of calls of each method, refused ones included."""
        return self._fault_injector.calls

    def now_ms(self) -> int:
        """Return the time of the store's clock."""
        return self._clock.read_ms()

    def set_faults(self, plan: faults.FaultPlan) -> None:
        """Replace the faults; calls held by an outage follow the new plan."""
        self._fault_injector.set_plan(plan)
        self._wake_waiters()

    def compact(self) -> None:
        """Forget all past changes; older watches are answered as compacted."""
        self._compacted_revision = self._revision
        self._tombstones.clear()
        self._wake_waiters()

    async def get(self, key: str) -> store_interface.Entry | None:
        """Return the entry, or None."""
        await self._admit('get', self._read_limit)
        return self._entries.get(key)

    async def list(self, prefix: str) -> tuple[store_interface.Entry, ...]:
        """Return all entries under the prefix, sorted by key."""
        await self._admit('list', self._read_limit)
        return self._find_entries(prefix)

    async def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> int:
        """Write by compare-and-swap; see the interface."""

        def apply() -> int:
            return self._put(key, value, expected_revision, lease_id)

        return await self._write('put', apply)

    async def commit(self, transaction: store_interface.Transaction) -> int:
        """Apply a transaction; see the interface."""

        def apply() -> int:
            for key, revision in transaction.expected_revisions:
                self._check_revision(key, revision)
            for write in transaction.writes:
                self._check_write(write.key, write.value, write.lease_id)
            self._revision += 1
            for write in transaction.writes:
                self._write_entry(write.key, write.value, write.lease_id)
            for key in transaction.removed:
                if key in self._entries:
                    self._replace_by_tombstone(key)
            self._wake_waiters()
            return self._revision

        return await self._write('commit', apply)

    async def scan(self, prefix: str) -> store_interface.Listing:
        """Return all entries under the prefix and the store's revision."""
        await self._admit('list', self._read_limit)
        return store_interface.Listing(
            self._revision, self._find_entries(prefix)
        )

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete by compare-and-swap; see the interface."""

        def apply() -> None:
            self._check_revision(key, expected_revision)
            if key in self._entries:
                self._remove(key)

        await self._write('delete', apply)

    async def grant_lease(self, ttl_ms: int) -> store_interface.Lease:
        """Create a lease."""
        if ttl_ms <= 0:
            raise errors.BorageshelfError(
                errors.BAD_REQUEST, f'ttl_ms is {ttl_ms}, not positive'
            )

        def apply() -> store_interface.Lease:
            lease_id = uuid.uuid4().hex
            self._leases[lease_id] = _LeaseState(ttl_ms, 0)
            return self._renew(lease_id)

        return await self._write('grant_lease', apply)

    async def renew_lease(self, lease_id: str) -> store_interface.Lease:
        """Extend a lease; see the interface."""
        return await self._write('renew_lease', lambda: self._renew(lease_id))

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys; unknown leases are ignored."""
        await self._write('revoke_lease', lambda: self._end_lease(lease_id))

    async def watch(
        self, prefix: str, after_revision: int, deadline_ms: int
    ) -> store_interface.WatchAnswer:
        """Wait for changes; counted as one call however long it waits.

        A compacted answer carries the revision from which to watch after
        listing the prefix.
        """
        await self._admit('watch', self._read_limit)
        self.waiting_watches += 1
        try:
            return await self._wait_for_changes(
                prefix, after_revision, deadline_ms
            )
        finally:
            self.waiting_watches -= 1

    async def _wait_for_changes(
        self, prefix: str, after_revision: int, deadline_ms: int
    ) -> store_interface.WatchAnswer:
        while True:
            await self._fault_injector.fail_during_outage(is_write=False)
            self._expire_leases()
            if after_revision < self._compacted_revision:
                return store_interface.WatchAnswer(self._revision, (), True)
            changed = self._find_changes(prefix, after_revision)
            now_ms = self._clock.read_ms()
            if changed or now_ms >= deadline_ms:
                return store_interface.WatchAnswer(self._revision, changed)
            leases_ms = [lease.deadline_ms for lease in self._leases.values()]
            await self._wait_until(min([deadline_ms, *leases_ms]))

    async def _wait_until(self, wake_ms: int) -> None:
        """Wait for a change or a time, whichever comes first."""
        delay_ms = min(wake_ms - self._clock.read_ms(), WAIT_STEP_MS)
        changed = asyncio.ensure_future(self._changed.wait())
        elapsed = asyncio.ensure_future(self._clock.pause(delay_ms))
        try:
            await asyncio.wait(
                (changed, elapsed), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            changed.cancel()
            elapsed.cancel()

    async def _admit(self, method: str, limit: _RateLimit) -> None:
        """Count a call; apply delays, outages and rate limits."""
        await self._fault_injector.admit(method, limit is self._write_limit)
        if not limit.try_take(self._clock.read_ms()):
            self._fault_injector.count('refused')
            raise errors.BorageshelfError(
                errors.STORE_UNAVAILABLE,
                f'rate limit of {method} calls exceeded',
            )
        self._expire_leases()

    async def _write(
        self, method: str, apply: abc.Callable[[], Result]
    ) -> Result:
        def expire_and_apply() -> Result:
            self._expire_leases()
            return apply()

        await self._admit(method, self._write_limit)
        return self._fault_injector.apply(expire_and_apply)

    def _put(
        self, key: str, value: bytes, expected_revision: int, lease_id: str
    ) -> int:
        self._check_write(key, value, lease_id)
        self._check_revision(key, expected_revision)
        self._revision += 1
        self._write_entry(key, value, lease_id)
        self._wake_waiters()
        return self._revision

    def _check_write(self, key: str, value: bytes, lease_id: str) -> None:
        if len(value) > VALUE_LIMIT_BYTES:
            raise errors.BorageshelfError(
                errors.VALUE_TOO_LARGE,
                f'{len(value)} bytes, the limit is {VALUE_LIMIT_BYTES}',
            )
        if not key or len(key.encode()) > KEY_LIMIT_BYTES:
            raise errors.BorageshelfError(
                errors.BAD_REQUEST, f'key of {len(key)} characters'
            )
        if lease_id and lease_id not in self._leases:
            raise errors.BorageshelfError(errors.LEASE_LOST, lease_id)

    def _write_entry(self, key: str, value: bytes, lease_id: str) -> None:
        """Write a key at the current revision."""
        self._tombstones.pop(key, None)
        self._entries[key] = store_interface.Entry(
            key, value, self._revision, lease_id
        )

    def _check_revision(self, key: str, expected_revision: int) -> None:
        entry = self._entries.get(key)
        found = entry.revision if entry else store_interface.MUST_NOT_EXIST
        if found != expected_revision:
            raise errors.BorageshelfError(
                errors.STORE_CONFLICT,
                f'{key} has revision {found}, expected {expected_revision}',
            )

    def _remove(self, key: str) -> None:
        self._revision += 1
        self._replace_by_tombstone(key)

    def _replace_by_tombstone(self, key: str) -> None:
        """Replace an entry by a tombstone at the current revision."""
        del self._entries[key]
        self._tombstones[key] = store_interface.Entry(
            key, b'', self._revision, deleted=True
        )
        if len(self._tombstones) > TOMBSTONE_LIMIT:
            oldest = next(iter(self._tombstones))
            self._compacted_revision = self._tombstones.pop(oldest).revision
        self._wake_waiters()

    def _renew(self, lease_id: str) -> store_interface.Lease:
        lease = self._leases.get(lease_id)
        if lease is None:
            raise errors.BorageshelfError(errors.LEASE_LOST, lease_id)
        lease.deadline_ms = self._clock.read_ms() + lease.ttl_ms
        return store_interface.Lease(lease_id, lease.deadline_ms)

    def _end_lease(self, lease_id: str) -> None:
        if self._leases.pop(lease_id, None) is None:
            return
        for entry in tuple(self._entries.values()):
            if entry.lease_id == lease_id:
                self._remove(entry.key)

    def _expire_leases(self) -> None:
        now_ms = self._clock.read_ms()
        for lease_id, lease in tuple(self._leases.items()):
            if lease.deadline_ms <= now_ms:
                self._end_lease(lease_id)

    def _find_entries(self, prefix: str) -> tuple[store_interface.Entry, ...]:
        found = (
            entry
            for entry in self._entries.values()
            if entry.key.startswith(prefix)
        )
        return tuple(sorted(found, key=lambda entry: entry.key))

    def _find_changes(
        self, prefix: str, after_revision: int
    ) -> tuple[store_interface.Entry, ...]:
        found = [
            entry
            for entries in (self._entries, self._tombstones)
            for entry in entries.values()
            if entry.revision > after_revision and entry.key.startswith(prefix)
        ]
        return tuple(sorted(found, key=lambda entry: entry.revision))

    def _wake_waiters(self) -> None:
        """Wake all current waiters; later ones wait for a new change."""
        self._changed.set()
        self._changed = asyncio.Event()
