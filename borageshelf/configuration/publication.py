"""Publication of a checked set by compare-and-swap of the root.

Contents and the publication are written first, under names that depend on
their bytes, and have no effect until the root names them. Each store call may
lose its answer, so the swap is repeated unchanged until the store answers it;
a conflict is then resolved by looking for the publication id among the
ancestors of the publication in force.
"""

from collections import abc
import dataclasses
import uuid

from borageshelf import clock as clock_module
from borageshelf.configuration import audit_trail
from borageshelf.configuration import contents
from borageshelf.configuration import propagation
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.ports import store as store_interface


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
    """Publishes sets.

    :param clock: gives the time in milliseconds
    :param pause: awaited with a delay in milliseconds between tries
    """

    def __init__(
        self,
        store: store_interface.Store,
        clock: abc.Callable[[], int] = clock_module.read_wall_clock_ms,
        pause: audit_trail.Pause = propagation.wait_ms,
    ) -> None:
        self._store = store
        self._clock = clock
        self.audit_trail = audit_trail.AuditTrail(store, clock, pause)

    async def publish(self, request: Request) -> Published | LostRace:
        """Publish a set.

        :raises BorageshelfError: ``STORE_UNAVAILABLE`` if nothing was
            changed, ``OUTCOME_UNKNOWN`` if the swap may have been or may
            still be applied, ``VALUE_TOO_LARGE``
        """
        deadline_ms = self.audit_trail.find_deadline_ms()
        parts = contents.encode_parts(request.configuration)
        entry, root = await self.audit_trail.read_root(deadline_ms)
        earlier = await self.audit_trail.find_ancestor(
            root, request.base_version, request.publication_id, deadline_ms
        )
        if earlier is not None:
            return Published(earlier.version, request.publication_id)
        if root.version != request.base_version:
            return await self._refuse(request, root, deadline_ms)
        known = await self._list_parts(root, deadline_ms)
        if set(known) == set(parts):
            return Published(root.version, request.publication_id, False)
        new_root = await self._write(request, root, known, parts, deadline_ms)
        version = await self._swap(entry, new_root, deadline_ms)
        if version:
            return Published(version, request.publication_id)
        _entry, found = await self.audit_trail.read_root(deadline_ms)
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
            detail[: audit_trail.REFUSAL_DETAIL_CHARACTERS],
        )
        return await self.audit_trail.record_refusal(refusal)

    async def _list_parts(
        self, root: contents.Root, deadline_ms: int
    ) -> tuple[str, ...]:
        """Return the parts of the publication in force."""
        if not root.publication:
            return ()
        parent = await self.audit_trail.read_publication(
            root.publication, deadline_ms
        )
        return parent.parts

    async def _write(
        self,
        request: Request,
        root: contents.Root,
        known: abc.Container[str],
        parts: abc.Mapping[str, bytes],
        deadline_ms: int,
    ) -> contents.Root:
        """Write parts and publication; return the root that names them."""
        for part_hash, data in parts.items():
            if part_hash not in known:
                key = contents.CONTENT_PREFIX + part_hash
                packed = contents.pack(data)
                await self.audit_trail.write_once(key, packed, deadline_ms)
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
        name = contents.compute_hash(data)
        key = contents.PUBLICATION_PREFIX + name
        await self.audit_trail.write_once(
            key, contents.pack(data), deadline_ms
        )
        return contents.Root(root.version + 1, name, request.publication_id)

    async def _refuse(
        self, request: Request, root: contents.Root, deadline_ms: int
    ) -> LostRace:
        found = await self.audit_trail.read_configuration(
            root.publication, deadline_ms
        )
        base: objects.Configuration | None = None
        if request.base_version == 0:
            base = objects.Configuration()
        async for name, publication in self.audit_trail.walk(
            root, deadline_ms
        ):
            if publication.version == request.base_version:
                base = await self.audit_trail.read_configuration(
                    name, deadline_ms
                )
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
    ) -> int:
        """Swap the root.

        :return: the version that took effect with the publication id, or 0
            if another publication was faster
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
                    return await self._read_back(root, deadline_ms)
                if error.code is errors.STORE_UNCERTAIN:
                    is_uncertain = True
                elif error.code is not errors.STORE_UNAVAILABLE:
                    raise
            failures += 1
            if self._clock() >= deadline_ms:
                raise _make_swap_error(is_uncertain, root)
            await self.audit_trail.wait(root.publication_id, failures)

    async def _read_back(self, root: contents.Root, deadline_ms: int) -> int:
        """Return the version that took effect with the id, or 0.

        The root has moved past the expected revision, so that no delayed try
        can take effect any more and the answer is final. The conflict may be
        with an earlier try of this call, or of an earlier call with the same
        publication id, even if every try of this one was answered.
        """
        try:
            _entry, found = await self.audit_trail.read_root(deadline_ms)
            ancestor = await self.audit_trail.find_ancestor(
                found, root.version - 1, root.publication_id, deadline_ms
            )
        except errors.BorageshelfError as error:
            raise _make_swap_error(True, root) from error
        return ancestor.version if ancestor is not None else 0


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
