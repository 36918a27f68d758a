"""The audit trail in the store: publications in force, earlier and refused.

The trail is the chain of parents from the root's publication, so it cannot
disagree with the configuration in force. Store calls are repeated until a
deadline; none of those made here changes which version is in force.
"""

from collections import abc
from typing import Final, TypeVar

from borageshelf import clock as clock_module
from borageshelf.configuration import contents
from borageshelf.configuration import propagation
from borageshelf.decisions import retries
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.ports import store as store_interface

# Operators wait at a terminal; a store outage of this length is reported.
TIME_LIMIT_MS: Final = 30_000
PAUSE_LIMIT_MS: Final = 2_000
# Faults of a refused set can be long; the record needs the first ones.
REFUSAL_DETAIL_CHARACTERS: Final = 2_000
# Refusals are listed in groups of 10**8 ms (28 hours) by their keys, because
# a list of all of them would outgrow one answer of the store.
GROUP_DIGITS: Final = 7
GROUP_MS: Final = 10**8
GROUPS_LIMIT: Final = 40

Pause = abc.Callable[[int], abc.Awaitable[None]]
Result = TypeVar('Result')

_TRANSIENT: Final = frozenset(
    {errors.STORE_UNAVAILABLE, errors.STORE_UNCERTAIN}
)


class Trail:
    """Reads the audit trail and records refusals.

    :param clock: gives the time in milliseconds
    :param pause: awaited with a delay in milliseconds between tries
    """

    def __init__(
        self,
        store: store_interface.Store,
        clock: abc.Callable[[], int] = clock_module.read_wall_clock_ms,
        pause: Pause = propagation.wait_ms,
    ) -> None:
        self._store = store
        self._clock = clock
        self._pause = pause

    def find_deadline_ms(self) -> int:
        """Return the deadline of work that starts now."""
        return self._clock() + TIME_LIMIT_MS

    async def read_version(self, version: int) -> objects.Configuration:
        """Return a published version; 0 means the one in force.

        :raises BorageshelfError: ``NOT_FOUND`` if there is no such version
        """
        deadline_ms = self.find_deadline_ms()
        _entry, root = await self.read_root(deadline_ms)
        async for name, publication in self.walk(root, deadline_ms):
            if version in (0, publication.version):
                return await self.read_configuration(name, deadline_ms)
            if publication.version < version:
                break
        raise errors.BorageshelfError(
            errors.NOT_FOUND, f'version {version} was not published'
        )

    async def read_history(
        self, count: int
    ) -> tuple[contents.Publication, ...]:
        """Return the newest publications, newest first."""
        deadline_ms = self.find_deadline_ms()
        _entry, root = await self.read_root(deadline_ms)
        found: list[contents.Publication] = []
        async for _name, publication in self.walk(root, deadline_ms):
            if len(found) == count:
                break
            found.append(publication)
        return tuple(found)

    async def read_refusals(self, count: int) -> tuple[contents.Refusal, ...]:
        """Return the newest refusals of about 46 days, newest first."""
        deadline_ms = self.find_deadline_ms()
        found: list[contents.Refusal] = []
        # The clock of another operator may be ahead by less than a group.
        newest = self._clock() // GROUP_MS + 1
        for group in range(newest, max(newest - GROUPS_LIMIT, -1), -1):
            prefix = f'{contents.REFUSED_PREFIX}{group:0{GROUP_DIGITS}d}'
            entries = await self._list(prefix, deadline_ms)
            found.extend(
                contents.decode_value(entry.value, contents.Refusal)
                for entry in reversed(entries)
            )
            if len(found) >= count:
                break
        return tuple(found[:count])

    async def record_refusal(self, refusal: contents.Refusal) -> bool:
        """Record a refused publication; return whether it is recorded."""
        # Keys sort by time, so that a list shows the order of refusals.
        key = (
            f'{contents.REFUSED_PREFIX}{refusal.refused_at_ms:015d}-'
            f'{refusal.publication_id}'
        )
        data = contents.encode_value(refusal)
        try:
            await self.write_once(key, data, self.find_deadline_ms())
        except errors.BorageshelfError:
            return False
        return True

    async def find_ancestor(
        self,
        root: contents.Root,
        above_version: int,
        publication_id: str,
        deadline_ms: int,
    ) -> contents.Publication | None:
        """Return the publication with an id, if it has taken effect.

        :param above_version: where the search ends
        """
        async for _name, publication in self.walk(root, deadline_ms):
            if publication.version <= above_version:
                return None
            if publication.publication_id == publication_id:
                return publication
        return None

    async def walk(
        self, root: contents.Root, deadline_ms: int
    ) -> abc.AsyncIterator[tuple[str, contents.Publication]]:
        """Yield the publications that took effect, newest first."""
        name = root.publication
        while name:
            publication = await self.read_publication(name, deadline_ms)
            yield name, publication
            name = publication.parent

    async def read_root(
        self, deadline_ms: int
    ) -> tuple[store_interface.Entry | None, contents.Root]:
        """Return the root and its entry; version 0 if there is none."""
        entry = await self._retry(
            lambda: self._store.get(contents.ROOT_KEY), deadline_ms
        )
        if entry is None:
            return None, contents.Root(0, '', '')
        return entry, contents.decode_value(entry.value, contents.Root)

    async def read_publication(
        self, name: str, deadline_ms: int
    ) -> contents.Publication:
        """Return a publication by its hash."""
        return await self._retry(
            lambda: propagation.read_publication(self._store, name),
            deadline_ms,
        )

    async def read_configuration(
        self, name: str, deadline_ms: int
    ) -> objects.Configuration:
        """Return the set of a publication; an empty set for no name."""
        if not name:
            return objects.Configuration()
        bundle = await self._retry(
            lambda: propagation.read_bundle(self._store, name, {}),
            deadline_ms,
        )
        return contents.decode_parts(
            bundle.parts.values(), bundle.publication.version
        )

    async def write_once(
        self, key: str, data: bytes, deadline_ms: int
    ) -> None:
        """Write a value whose key determines it.

        A conflict means that it is there already, possibly because of an
        earlier try whose answer was lost.

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

        await self._retry(write, deadline_ms)

    async def wait(self, key: str, failures: int) -> None:
        """Pause between two tries."""
        delay_ms = retries.compute_backoff_ms(key, failures)
        await self._pause(min(delay_ms, PAUSE_LIMIT_MS))

    async def _list(
        self, prefix: str, deadline_ms: int
    ) -> tuple[store_interface.Entry, ...]:
        return await self._retry(lambda: self._store.list(prefix), deadline_ms)

    async def _retry(
        self,
        call: abc.Callable[[], abc.Awaitable[Result]],
        deadline_ms: int,
    ) -> Result:
        """Repeat a call until it is answered.

        :raises BorageshelfError: ``STORE_UNAVAILABLE`` at the deadline
        """
        failures = 0
        while True:
            try:
                return await call()
            except errors.BorageshelfError as error:
                if error.code not in _TRANSIENT:
                    raise
                failures += 1
                if self._clock() >= deadline_ms:
                    raise errors.BorageshelfError(
                        errors.STORE_UNAVAILABLE, error.detail
                    ) from error
            await self.wait('', failures)
