"""Publication of a checked set by compare-and-swap of the root.

The parts and the publication are written first, under keys that depend on
their content, and have no effect until the root refers to them. The answer to
any store call may be lost, so the swap is retried unchanged until the store
answers it. After a conflict, the publication id is searched for in the audit
trail to find out whether an earlier attempt took effect.
"""

from collections import abc
import dataclasses
import uuid

from borageshelf import clock
from borageshelf.configuration import audit_trail
from borageshelf.configuration import contents
from borageshelf.configuration import propagation
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.ports import store as store_interface


@dataclasses.dataclass(frozen=True)
class Request:
    """A set to publish.

    :param base_version: version on which the set is based; 0 for the first
    :param publication_id: unique id; after an unknown outcome, a repeat with
        the same id finds the earlier publication if it took effect
    """

    configuration: objects.Configuration
    base_version: int
    author: str
    reason: str
    publication_id: str


@dataclasses.dataclass(frozen=True)
class Published:
    """Outcome: the set is in force as a version.

    :param is_new: False if the set equals its base, whose version then stays
        in force
    """

    version: int
    publication_id: str
    is_new: bool = True


@dataclasses.dataclass(frozen=True)
class LostRace:
    """Outcome: another version than the base is in force; nothing changed.

    :param base: configuration of the base version; None if it is unknown
    :param found: configuration in force
    :param is_recorded: whether the refusal is in the audit trail
    """

    publication_id: str
    base: objects.Configuration | None
    found: objects.Configuration
    is_recorded: bool = True


class Publisher:
    """Publishes checked sets.

    A set takes effect only if its base version is still in force, so that no
    publication overwrites another one unseen.

    :param read_clock_ms: returns the wall-clock time, Unix milliseconds
    :param pause: awaited with a delay in milliseconds between attempts
    """

    def __init__(
        self,
        store: store_interface.Store,
        read_clock_ms: abc.Callable[[], int] = clock.read_wall_clock_ms,
        pause: audit_trail.Pause = propagation.sleep_ms,
    ) -> None:
        self._store = store
        self._read_clock_ms = read_clock_ms
        self.audit_trail = audit_trail.AuditTrail(store, read_clock_ms, pause)

    async def publish(self, request: Request) -> Published | LostRace:
        """Publish a set.

        :raises BorageshelfError: ``STORE_UNAVAILABLE`` if nothing changed,
            ``OUTCOME_UNKNOWN`` if the swap may have taken effect or may still
            do so, ``VALUE_TOO_LARGE`` if a part exceeds the store's limit
        """
        deadline_ms = self.audit_trail.compute_deadline_ms()
        parts = contents.encode_parts(request.configuration)
        entry, root = await self.audit_trail.read_root(deadline_ms)
        earlier = await self.audit_trail.find_publication_by_id(
            root, request.base_version, request.publication_id, deadline_ms
        )
        if earlier is not None:
            return Published(earlier.version, request.publication_id)
        if root.version != request.base_version:
            return await self._refuse_outdated_base(request, root, deadline_ms)
        parts_in_force = await self._list_parts_in_force(root, deadline_ms)
        if set(parts_in_force) == set(parts):
            return Published(root.version, request.publication_id, False)
        new_root = await self._write_publication(
            request, root, parts_in_force, parts, deadline_ms
        )
        version = await self._swap_root(entry, new_root, deadline_ms)
        if version:
            return Published(version, request.publication_id)
        _entry, found = await self.audit_trail.read_root(deadline_ms)
        return await self._refuse_outdated_base(request, found, deadline_ms)

    async def record_refusal(
        self, request: Request, found_version: int, detail: str
    ) -> bool:
        """Record a refused publication; return whether that succeeded.

        :param found_version: version in force; 0 for a set with faults
        """
        refusal = contents.Refusal(
            request.publication_id,
            request.author,
            self._read_clock_ms(),
            request.reason,
            request.base_version,
            found_version,
            detail[: audit_trail.REFUSAL_DETAIL_CHARACTERS],
        )
        return await self.audit_trail.record_refusal(refusal)

    async def _list_parts_in_force(
        self, root: contents.Root, deadline_ms: int
    ) -> tuple[str, ...]:
        """Return the hashes of the parts of the publication in force."""
        if not root.publication:
            return ()
        parent = await self.audit_trail.read_publication(
            root.publication, deadline_ms
        )
        return parent.parts

    async def _write_publication(
        self,
        request: Request,
        root: contents.Root,
        parts_in_force: abc.Container[str],
        parts: abc.Mapping[str, bytes],
        deadline_ms: int,
    ) -> contents.Root:
        """Write the parts and the publication; return the root for them.

        :param parts_in_force: hashes of parts that need no write
        """
        for part_hash, data in parts.items():
            if part_hash not in parts_in_force:
                key = contents.CONTENT_PREFIX + part_hash
                packed = contents.compress(data)
                await self.audit_trail.write_if_absent(
                    key, packed, deadline_ms
                )
        data = contents.encode_value(
            contents.Publication(
                root.version + 1,
                root.publication,
                request.author,
                self._read_clock_ms(),
                request.reason,
                request.publication_id,
                tuple(parts),
            )
        )
        publication_hash = contents.compute_hash(data)
        key = contents.PUBLICATION_PREFIX + publication_hash
        await self.audit_trail.write_if_absent(
            key, contents.compress(data), deadline_ms
        )
        return contents.Root(
            root.version + 1, publication_hash, request.publication_id
        )

    async def _refuse_outdated_base(
        self, request: Request, root: contents.Root, deadline_ms: int
    ) -> LostRace:
        found = await self.audit_trail.read_configuration(
            root.publication, deadline_ms
        )
        base: objects.Configuration | None = None
        if request.base_version == 0:
            base = objects.Configuration()
        async for (
            publication_hash,
            publication,
        ) in self.audit_trail.iterate_publications(root, deadline_ms):
            if publication.version == request.base_version:
                base = await self.audit_trail.read_configuration(
                    publication_hash, deadline_ms
                )
            if publication.version <= request.base_version:
                break
        is_recorded = await self.record_refusal(
            request, root.version, f'version {root.version} is in force'
        )
        return LostRace(request.publication_id, base, found, is_recorded)

    async def _swap_root(
        self,
        entry: store_interface.Entry | None,
        root: contents.Root,
        deadline_ms: int,
    ) -> int:
        """Replace the root by compare-and-swap on its revision.

        :return: the version that took effect with the publication id, or 0
            if another publication took effect first
        """
        expected = entry.revision if entry else store_interface.MUST_NOT_EXIST
        data = contents.encode_value(root)
        is_uncertain = False
        failures = 0
        while True:
            try:
                await self._store.put(contents.ROOT_KEY, data, expected)
                return root.version
            except errors.BorageshelfError as error:
                if error.code is errors.STORE_CONFLICT:
                    return await self._find_applied_version(root, deadline_ms)
                if error.code is errors.STORE_UNCERTAIN:
                    is_uncertain = True
                elif error.code is not errors.STORE_UNAVAILABLE:
                    raise
            failures += 1
            if self._read_clock_ms() >= deadline_ms:
                raise _make_swap_error(is_uncertain, root)
            await self.audit_trail.wait_before_retry(
                root.publication_id, failures
            )

    async def _find_applied_version(
        self, root: contents.Root, deadline_ms: int
    ) -> int:
        """Return the version that took effect with the publication id, or 0.

        The revision of the root has passed the expected one, so no delayed
        attempt can take effect any more and the result is final. The conflict
        may be with an earlier attempt of this operation or of an earlier
        operation with the same publication id, even if every attempt of this
        one was answered.
        """
        try:
            _entry, found = await self.audit_trail.read_root(deadline_ms)
            applied = await self.audit_trail.find_publication_by_id(
                found, root.version - 1, root.publication_id, deadline_ms
            )
        except errors.BorageshelfError as error:
            raise _make_swap_error(True, root) from error
        return applied.version if applied is not None else 0


def make_publication_id() -> str:
    """Return a new unique publication id."""
    return uuid.uuid4().hex


def _make_swap_error(
    is_uncertain: bool, root: contents.Root
) -> errors.BorageshelfError:
    if is_uncertain:
        return errors.BorageshelfError(
            errors.OUTCOME_UNKNOWN,
            f'version {root.version} may be in force or come into force; '
            f'repeat with publication id {root.publication_id}',
        )
    return errors.BorageshelfError(
        errors.STORE_UNAVAILABLE, 'nothing was published'
    )
