"""Publication of a checked set by compare-and-swap of the root.

Contents and the publication are written first, under names that depend on
their bytes, and have no effect until the root names them. Each store call may
lose its answer, so the swap is repeated unchanged until the store answers it;
a conflict is then resolved by looking for the publication among the ancestors
of the publication in force. The chain of parents is the audit trail.
"""

from collections import abc
import dataclasses
from typing import Final, TypeVar
import uuid

from borageshelf import clock as clock_module
from borageshelf.configuration import contents
from borageshelf.configuration import propagation
from borageshelf.decisions import retries
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.platform import store as store_interface

# Operators wait at a terminal; a store outage of this length is reported.
TIME_LIMIT_MS: Final = 30_000
PAUSE_LIMIT_MS: Final = 2_000
# Faults of a refused set can be long; the record needs the first ones.
REFUSAL_DETAIL_CHARACTERS: Final = 10_000

Pause = abc.Callable[[int], abc.Awaitable[None]]
Result = TypeVar('Result')


@dataclasses.dataclass(frozen=True)
class Request:
    """A set that shall be published.

    :param base_version: version on which the set is based; 0 for the first
    :param publication_id: unique id; a repeat with the same id after an
        unknown outcome finds the earlier publication
    """

    configuration: objects.Configuration
    base_version: int
    author: str
    reason: str
    publication_id: str


@dataclasses.dataclass(frozen=True)
class Published:
    """The set was published as a version.

    :param is_new: False if the set does not differ from its base, and the
        base version stays in force
    """

    version: int
    publication_id: str
    is_new: bool = True


@dataclasses.dataclass(frozen=True)
class LostRace:
    """Another version than the base is in force; nothing was changed.

    :param base: configuration of the base version; None if it is unknown
    :param found: configuration in force
    :param is_recorded: whether the refusal is in the audit trail
    """

    publication_id: str
    base: objects.Configuration | None
    found: objects.Configuration
    is_recorded: bool = True


class Publisher:
    """Publishes sets and reads the audit trail.

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

    async def publish(self, request: Request) -> Published | LostRace:
        """Publish a set.

        :raises BorageshelfError: ``STORE_UNAVAILABLE`` if nothing was
            changed, ``OUTCOME_UNKNOWN`` if the swap may have been or may
            still be applied, ``VALUE_TOO_LARGE``
        """
        deadline_ms = self._clock() + TIME_LIMIT_MS
        parts = contents.encode_parts(request.configuration)
        entry, root = await self._read_root(deadline_ms)
        earlier = await self._find_ancestor(
            root, request.base_version, request.publication_id, deadline_ms
        )
        if earlier is not None:
            return Published(earlier.version, request.publication_id)
        if root.version != request.base_version:
            return await self._refuse(request, root, deadline_ms)
        known: tuple[str, ...] = ()
        if root.publication:
            parent = await self._read_publication(
                root.publication, deadline_ms
            )
            known = parent.parts
        if set(known) == set(parts):
            return Published(root.version, request.publication_id, False)
        for part_hash, data in parts.items():
            if part_hash not in known:
                key = contents.CONTENT_PREFIX + part_hash
                await self._write_once(key, data, deadline_ms)
        data = contents.encode_value(
            contents.Publication(
                root.version + 1,
                root.publication,
                request.author,
                self._clock(),
                request.reason,
                request.publication_id,
                tuple(parts),
            )
        )
        publication = contents.compute_hash(data)
        key = contents.PUBLICATION_PREFIX + publication
        await self._write_once(key, data, deadline_ms)
        new_root = contents.Root(
            root.version + 1, publication, request.publication_id
        )
        if await self._swap(entry, new_root, deadline_ms):
            return Published(new_root.version, request.publication_id)
        _entry, found = await self._read_root(deadline_ms)
        return await self._refuse(request, found, deadline_ms)

    async def record_refusal(
        self, request: Request, found_version: int, detail: str
    ) -> bool:
        """Record a refused publication; return whether it is recorded."""
        refusal = contents.Refusal(
            request.publication_id,
            request.author,
            self._clock(),
            request.reason,
            request.base_version,
            found_version,
            detail[:REFUSAL_DETAIL_CHARACTERS],
        )
        # Keys sort by time, so that a list shows the order of refusals.
        key = (
            f'{contents.REFUSED_PREFIX}{refusal.refused_at_ms:015d}-'
            f'{request.publication_id}'
        )
        deadline_ms = self._clock() + TIME_LIMIT_MS
        try:
            data = contents.encode_value(refusal)
            await self._write_once(key, data, deadline_ms)
        except errors.BorageshelfError:
            return False
        return True

    async def read_version(self, version: int) -> objects.Configuration:
        """Return a published version; 0 means the one in force.

        :raises BorageshelfError: ``NOT_FOUND`` if there is no such version
        """
        deadline_ms = self._clock() + TIME_LIMIT_MS
        _entry, root = await self._read_root(deadline_ms)
        async for name, publication in self._walk(root, deadline_ms):
            if version in (0, publication.version):
                return await self._read_configuration(name, deadline_ms)
            if publication.version < version:
                break
        raise errors.BorageshelfError(
            errors.NOT_FOUND, f'version {version} was not published'
        )

    async def read_history(
        self, count: int
    ) -> tuple[contents.Publication, ...]:
        """Return the newest publications, newest first."""
        deadline_ms = self._clock() + TIME_LIMIT_MS
        _entry, root = await self._read_root(deadline_ms)
        found: list[contents.Publication] = []
        if count < 1:
            return ()
        async for _name, publication in self._walk(root, deadline_ms):
            found.append(publication)
            if len(found) == count:
                break
        return tuple(found)

    async def read_refusals(self) -> tuple[contents.Refusal, ...]:
        """Return the refused publications, oldest first."""
        deadline_ms = self._clock() + TIME_LIMIT_MS
        entries = await self._retry(
            lambda: self._store.list(contents.REFUSED_PREFIX), deadline_ms
        )
        return tuple(
            contents.decode_value(entry.value, contents.Refusal)
            for entry in entries
        )

    async def _refuse(
        self, request: Request, root: contents.Root, deadline_ms: int
    ) -> LostRace:
        found = objects.Configuration()
        if root.publication:
            found = await self._read_configuration(
                root.publication, deadline_ms
            )
        base: objects.Configuration | None = None
        if request.base_version == 0:
            base = objects.Configuration()
        async for name, publication in self._walk(root, deadline_ms):
            if publication.version == request.base_version:
                base = await self._read_configuration(name, deadline_ms)
            if publication.version <= request.base_version:
                break
        is_recorded = await self.record_refusal(
            request, root.version, f'version {root.version} is in force'
        )
        return LostRace(request.publication_id, base, found, is_recorded)

    async def _swap(
        self,
        entry: store_interface.Entry | None,
        root: contents.Root,
        deadline_ms: int,
    ) -> bool:
        """Swap the root; return False if another publication was faster."""
        expected = entry.revision if entry else store_interface.MUST_NOT_EXIST
        data = contents.encode_value(root)
        is_uncertain = False
        failures = 0
        while True:
            try:
                await self._store.put(contents.ROOT_KEY, data, expected)
                return True
            except errors.BorageshelfError as error:
                if error.code is errors.STORE_CONFLICT:
                    break
                if error.code is errors.STORE_UNCERTAIN:
                    is_uncertain = True
                elif error.code is not errors.STORE_UNAVAILABLE:
                    raise
            failures += 1
            if self._clock() >= deadline_ms:
                raise _make_swap_error(is_uncertain, root)
            await self._wait(root.publication_id, failures)
        if not is_uncertain:
            return False
        # The root has moved past the expected revision, so that no delayed
        # try can take effect any more: reading back is conclusive.
        try:
            _entry, found = await self._read_root(deadline_ms)
            ancestor = await self._find_ancestor(
                found, root.version - 1, root.publication_id, deadline_ms
            )
        except errors.BorageshelfError as error:
            raise _make_swap_error(True, root) from error
        return ancestor is not None

    async def _find_ancestor(
        self,
        root: contents.Root,
        above_version: int,
        publication_id: str,
        deadline_ms: int,
    ) -> contents.Publication | None:
        """Return the publication with an id, if it has taken effect."""
        async for _name, publication in self._walk(root, deadline_ms):
            if publication.version <= above_version:
                return None
            if publication.publication_id == publication_id:
                return publication
        return None

    async def _walk(
        self, root: contents.Root, deadline_ms: int
    ) -> abc.AsyncIterator[tuple[str, contents.Publication]]:
        """Yield the publications that took effect, newest first."""
        name = root.publication
        while name:
            publication = await self._read_publication(name, deadline_ms)
            yield name, publication
            name = publication.parent

    async def _read_root(
        self, deadline_ms: int
    ) -> tuple[store_interface.Entry | None, contents.Root]:
        entry = await self._retry(
            lambda: self._store.get(contents.ROOT_KEY), deadline_ms
        )
        if entry is None:
            return None, contents.Root(0, '', '')
        return entry, contents.decode_value(entry.value, contents.Root)

    async def _read_publication(
        self, name: str, deadline_ms: int
    ) -> contents.Publication:
        return await self._retry(
            lambda: propagation.read_publication(self._store, name),
            deadline_ms,
        )

    async def _read_configuration(
        self, name: str, deadline_ms: int
    ) -> objects.Configuration:
        bundle = await self._retry(
            lambda: propagation.read_bundle(self._store, name, {}),
            deadline_ms,
        )
        return contents.decode_parts(
            bundle.parts.values(), bundle.publication.version
        )

    async def _write_once(
        self, key: str, data: bytes, deadline_ms: int
    ) -> None:
        """Write a value whose key determines it.

        A conflict means that it is there already, possibly because of an
        earlier try whose answer was lost.
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

    async def _retry(
        self,
        call: abc.Callable[[], abc.Awaitable[Result]],
        deadline_ms: int,
    ) -> Result:
        """Repeat a call that has no effect on the version in force.

        :raises BorageshelfError: ``STORE_UNAVAILABLE`` at the deadline
        """
        failures = 0
        while True:
            detail = ''
            try:
                return await call()
            except errors.BorageshelfError as error:
                if error.code not in _TRANSIENT:
                    raise
                detail = error.detail
            except TimeoutError:
                detail = 'no answer in time'
            failures += 1
            if self._clock() >= deadline_ms:
                raise errors.BorageshelfError(errors.STORE_UNAVAILABLE, detail)
            await self._wait('', failures)

    async def _wait(self, key: str, failures: int) -> None:
        delay_ms = retries.find_backoff_ms(key, failures)
        await self._pause(min(delay_ms, PAUSE_LIMIT_MS))


def make_publication_id() -> str:
    """Return a new unique id."""
    return uuid.uuid4().hex


def _make_swap_error(
    is_uncertain: bool, root: contents.Root
) -> errors.BorageshelfError:
    if is_uncertain:
        return errors.BorageshelfError(
            errors.OUTCOME_UNKNOWN,
            f'version {root.version} may be or may come into force; repeat '
            f'with publication id {root.publication_id}',
        )
    return errors.BorageshelfError(
        errors.STORE_UNAVAILABLE, 'nothing was published'
    )


_TRANSIENT: Final = frozenset(
    {errors.STORE_UNAVAILABLE, errors.STORE_UNCERTAIN}
)
