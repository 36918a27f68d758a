"""The audit trail in the store: publications that took effect, and refusals.

The trail is the chain of parents that starts at the publication in force, so
the two cannot disagree. Store calls are retried until a deadline; none of the
calls made here changes which version is in force.
"""

from collections import abc
from typing import Final, TypeVar

from borageshelf import clock
from borageshelf.configuration import contents
from borageshelf.configuration import propagation
from borageshelf.decisions import retries
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.ports import store as store_interface

# Operators wait at a terminal, so a longer outage of the store is reported.
OPERATION_TIME_LIMIT_MS: Final = 30_000
RETRY_DELAY_LIMIT_MS: Final = 2_000
# The faults of a refused set can be long; the record keeps the first ones.
REFUSAL_DETAIL_CHARACTERS: Final = 2_000
# Refusals are listed by key prefix in groups of 10**8 ms (28 hours), because
# a list of all of them would exceed one answer of the store.
REFUSAL_GROUP_DIGITS: Final = 7
REFUSAL_GROUP_MS: Final = 10**8
REFUSAL_GROUPS_READ_LIMIT: Final = 40

Pause = abc.Callable[[int], abc.Awaitable[None]]
Result = TypeVar('Result')

_RETRIED_CODES: Final = frozenset(
    {errors.STORE_UNAVAILABLE, errors.STORE_UNCERTAIN}
)


class AuditTrail:
    """Reads the audit trail and adds refusals to it.

    :param read_clock_ms: returns the wall-clock time, Unix milliseconds
    :param pause: awaited with a delay in milliseconds between attempts
    """

    def __init__(
        self,
        store: store_interface.Store,
        read_clock_ms: abc.Callable[[], int] = clock.read_wall_clock_ms,
        pause: Pause = propagation.sleep_ms,
    ) -> None:
        self._store = store
        self._read_clock_ms = read_clock_ms
        self._pause = pause

    def compute_deadline_ms(self) -> int:
        """Return the deadline of an operation that starts now."""
        return self._read_clock_ms() + OPERATION_TIME_LIMIT_MS

    async def read_version(self, version: int) -> objects.Configuration:
        """Return the set of a published version; 0 means the one in force.

        :raises BorageshelfError: ``NOT_FOUND`` if there is no such version
        """
        deadline_ms = self.compute_deadline_ms()
        _entry, root = await self.read_root(deadline_ms)
        async for publication_hash, publication in self.iterate_publications(
            root, deadline_ms
        ):
            if version in (0, publication.version):
                return await self.read_configuration(
                    publication_hash, deadline_ms
                )
            if publication.version < version:
                break
        raise errors.BorageshelfError(
            errors.NOT_FOUND, f'version {version} was not published'
        )

    async def read_history(
        self, count: int
    ) -> tuple[contents.Publication, ...]:
        """Return the newest publications that took effect, newest first."""
        deadline_ms = self.compute_deadline_ms()
        _entry, root = await self.read_root(deadline_ms)
        found: list[contents.Publication] = []
        async for _publication_hash, publication in self.iterate_publications(
            root, deadline_ms
        ):
            if len(found) == count:
                break
            found.append(publication)
        return tuple(found)

    async def read_refusals(self, count: int) -> tuple[contents.Refusal, ...]:
        """Return the newest refusals, newest first.

        Refusals older than about 46 days are not read.
        """
        deadline_ms = self.compute_deadline_ms()
        found: list[contents.Refusal] = []
        # Another operator's clock may be ahead by up to the time of a group.
        newest = self._read_clock_ms() // REFUSAL_GROUP_MS + 1
        for group in range(
            newest, max(newest - REFUSAL_GROUPS_READ_LIMIT, -1), -1
        ):
            prefix = (
                f'{contents.REFUSED_PREFIX}{group:0{REFUSAL_GROUP_DIGITS}d}'
            )
            entries = await self._list(prefix, deadline_ms)
            found.extend(
                contents.decode_value(entry.value, contents.Refusal)
                for entry in reversed(entries)
            )
            if len(found) >= count:
                break
        return tuple(found[:count])

    async def record_refusal(self, refusal: contents.Refusal) -> bool:
        """Record a refused publication; return whether that succeeded."""
        # Keys sort by time, so that a listing is in the order of refusals.
        key = (
            f'{contents.REFUSED_PREFIX}{refusal.refused_at_ms:015d}-'
            f'{refusal.publication_id}'
        )
        data = contents.encode_value(refusal)
        try:
            await self.write_if_absent(key, data, self.compute_deadline_ms())
        except errors.BorageshelfError:
            return False
        return True

    async def find_publication_by_id(
        self,
        root: contents.Root,
        above_version: int,
        publication_id: str,
        deadline_ms: int,
    ) -> contents.Publication | None:
        """Return the publication with an id, if it has taken effect.

        :param above_version: publications up to this version are not searched
        """
        async for _publication_hash, publication in self.iterate_publications(
            root, deadline_ms
        ):
            if publication.version <= above_version:
                return None
            if publication.publication_id == publication_id:
                return publication
        return None

    async def iterate_publications(
        self, root: contents.Root, deadline_ms: int
    ) -> abc.AsyncIterator[tuple[str, contents.Publication]]:
        """Yield hash and publication of each version, newest first."""
        publication_hash = root.publication
        while publication_hash:
            publication = await self.read_publication(
                publication_hash, deadline_ms
            )
            yield publication_hash, publication
            publication_hash = publication.parent

    async def read_root(
        self, deadline_ms: int
    ) -> tuple[store_interface.Entry | None, contents.Root]:
        """Return the root and its store entry; version 0 if there is none."""
        entry = await self._call_until_answered(
            lambda: self._store.get(contents.ROOT_KEY), deadline_ms
        )
        if entry is None:
            return None, contents.Root(0, '', '')
        return entry, contents.decode_value(entry.value, contents.Root)

    async def read_publication(
        self, publication_hash: str, deadline_ms: int
    ) -> contents.Publication:
        """Return a publication by its hash."""
        return await self._call_until_answered(
            lambda: propagation.read_publication(
                self._store, publication_hash
            ),
            deadline_ms,
        )

    async def read_configuration(
        self, publication_hash: str, deadline_ms: int
    ) -> objects.Configuration:
        """Return the set of a publication; an empty set for an empty hash."""
        if not publication_hash:
            return objects.Configuration()
        bundle = await self._call_until_answered(
            lambda: propagation.read_bundle(self._store, publication_hash, {}),
            deadline_ms,
        )
        return contents.decode_parts(
            bundle.parts.values(), bundle.publication.version
        )

    async def write_if_absent(
        self, key: str, data: bytes, deadline_ms: int
    ) -> None:
        """Write a value whose key determines its content.

        A conflict means that the value exists already, possibly from an
        earlier attempt whose answer was lost, and counts as success.

        :raises BorageshelfError: ``STORE_UNAVAILABLE`` at the deadline
        """

        async def write() -> None:
            try:
                await self._store.put(
                    key, data, store_interface.MUST_NOT_EXIST
                )
            except errors.BorageshelfError as error:
                if error.code is not errors.STORE_CONFLICT:
                    raise

        await self._call_until_answered(write, deadline_ms)

    async def wait_before_retry(self, key: str, failures: int) -> None:
        """Wait before the next attempt, longer after each failure."""
        delay_ms = retries.compute_backoff_ms(key, failures)
        await self._pause(min(delay_ms, RETRY_DELAY_LIMIT_MS))

    async def _list(
        self, prefix: str, deadline_ms: int
    ) -> tuple[store_interface.Entry, ...]:
        return await self._call_until_answered(
            lambda: self._store.list(prefix), deadline_ms
        )

    async def _call_until_answered(
        self,
        call: abc.Callable[[], abc.Awaitable[Result]],
        deadline_ms: int,
    ) -> Result:
        """Retry a store call until the store answers it.

        :raises BorageshelfError: ``STORE_UNAVAILABLE`` at the deadline
        """
        failures = 0
        while True:
            try:
                return await call()
            except errors.BorageshelfError as error:
                if error.code not in _RETRIED_CODES:
                    raise
                failures += 1
                if self._read_clock_ms() >= deadline_ms:
                    raise errors.BorageshelfError(
                        errors.STORE_UNAVAILABLE, error.detail
                    ) from error
            await self.wait_before_retry('', failures)
