"""Propagation of the configuration to the running processes.

``ConfigurationHolder`` keeps the newest version that a process knows; its
version never goes down. ``ConfigurationWatcher`` keeps the holder of an entry
up to date from the store, and from peers while the store is down. Agents
have a holder too and get their part over their streams.
"""

import asyncio
from collections import abc
from typing import Final

from absl import logging

from borageshelf import clock as clock_module
from borageshelf.configuration import contents
from borageshelf.decisions import retries
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.ports import store as store_interface
from borageshelf import telemetry as telemetry_module

# A watch that stays open this long without a change confirms the version.
WATCH_MS: Final = 10_000
# A change must be in force everywhere within 9 s, so a watcher that lost the
# store may not sleep longer than half of this.
PAUSE_LIMIT_MS: Final = 4_000
# Without an answer to three watches in a row, the version may be old.
CONFIRMATION_LIMIT_MS: Final = 3 * WATCH_MS

Observer = abc.Callable[[objects.Configuration], None]
# Asks other entries for bundles; returns those that answered.
AskPeers = abc.Callable[[], abc.Awaitable[abc.Sequence[bytes]]]


class ConfigurationHolder:
    """The newest configuration that a process knows.

    :param clock: gives the time in milliseconds
    """

    def __init__(
        self, clock: abc.Callable[[], int] = clock_module.read_wall_clock_ms
    ) -> None:
        self._clock = clock
        self._configuration = objects.Configuration()
        self._bundle = b''
        self._observers: list[Observer] = []
        self._seen_version = 0
        self._confirmed_at_ms: int | None = None

    @property
    def configuration(self) -> objects.Configuration:
        """The configuration in force; version 0 if there is none yet."""
        return self._configuration

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return self._configuration.version

    @property
    def bundle(self) -> bytes:
        """The publication in force, for peers; empty if there is none."""
        return self._bundle

    def observe(self, observer: Observer) -> None:
        """Call the observer now, if a version is known, and on changes."""
        self._observers.append(observer)
        if self.version:
            _notify(observer, self._configuration)

    def offer(
        self, configuration: objects.Configuration, bundle: bytes = b''
    ) -> bool:
        """Take a configuration if its version is higher.

        :param bundle: the encoded bundle of the same publication
        :return: whether it is in force now and was not before
        """
        self.note_version(configuration.version)
        if configuration.version <= self.version:
            return False
        logging.info(
            'configuration version %d replaces version %d',
            configuration.version,
            self.version,
        )
        self._configuration = configuration
        self._bundle = bundle
        for observer in tuple(self._observers):
            _notify(observer, configuration)
        return True

    def offer_bundle(self, data: bytes) -> bool:
        """Take a bundle of another process if its version is higher.

        :raises BorageshelfError: ``INTERNAL`` if the bundle is damaged
        """
        bundle = contents.decode_bundle(data)
        configuration = contents.decode_parts(
            bundle.parts.values(), bundle.publication.version
        )
        return self.offer(configuration, data)

    def make_part(self, services: abc.Iterable[str]) -> bytes:
        """Return what the agent of a target needs, for ``offer_part``.

        :param services: services that run on the target; unknown names are
            left out
        """
        known = self._configuration.services
        part = objects.Configuration(
            version=self.version,
            services={name: known[name] for name in services if name in known},
            limits=self._configuration.limits,
            objective=self._configuration.objective,
        )
        return contents.encode_value(part)

    def offer_part(self, data: bytes) -> bool:
        """Take the part that an entry sent, if its version is higher.

        :raises BorageshelfError: ``INTERNAL`` if the part is damaged
        """
        part = contents.decode_value(data, objects.Configuration)
        return self.offer(part)

    def note_version(self, version: int) -> None:
        """Remember that another process reports a version."""
        self._seen_version = max(self._seen_version, version)

    def confirm(self, version: int) -> None:
        """Record that the store or another process has this version now.

        A lower version confirms nothing: it may be that of a process that
        lags, or of a store that lost writes.
        """
        self.note_version(version)
        if version >= self.version:
            self._confirmed_at_ms = self._clock()

    def is_confirmed(self) -> bool:
        """Tell whether another party agreed with the version recently."""
        if not self.version or self.version < self._seen_version:
            return False
        if self._confirmed_at_ms is None:
            return False
        age_ms = self._clock() - self._confirmed_at_ms
        return age_ms <= CONFIRMATION_LIMIT_MS


class ConfigurationWatcher:
    """Keeps the holder of an entry up to date.

    :param ask_peers: returns the bundles of other entries; it may fail
    :param name: identity of the entry; spreads the retries of all entries
    :param pause: awaited with a delay in milliseconds between tries
    :param telemetry: gets the delay of changes and the failed watches
    """

    def __init__(
        self,
        store: store_interface.Store,
        holder: ConfigurationHolder,
        ask_peers: AskPeers,
        name: str,
        clock: abc.Callable[[], int] = clock_module.read_wall_clock_ms,
        pause: abc.Callable[[int], abc.Awaitable[None]] | None = None,
        telemetry: telemetry_module.Telemetry | None = None,
    ) -> None:
        self._store = store
        self._holder = holder
        self._ask_peers = ask_peers
        self._name = name
        self._clock = clock
        self._pause = pause or wait_ms
        self._telemetry = telemetry
        self._parts: dict[str, bytes] = {}
        self._failures = 0
        self._root_version = 0

    async def run(self) -> None:
        """Watch until the task is cancelled."""
        while True:
            try:
                await self._follow_root()
            except errors.BorageshelfError as error:
                self._note_failure(error)
            await self.learn_from_peers()
            delay_ms = retries.compute_backoff_ms(self._name, self._failures)
            await self._pause(min(delay_ms, PAUSE_LIMIT_MS))

    async def learn_from_peers(self) -> None:
        """Take the newest bundle that other entries have."""
        try:
            bundles = await self._ask_peers()
        except (errors.BorageshelfError, OSError, TimeoutError) as error:
            logging.warning('peers gave no configuration: %s', error)
            return
        for bundle in bundles:
            if bundle == self._holder.bundle:
                # Entries encode a publication in the same way. Decoding all
                # bundles at each retry would cost more than 1% of a core.
                self._holder.confirm(self._holder.version)
                continue
            try:
                publication = contents.decode_bundle(bundle).publication
                self._holder.offer_bundle(bundle)
            except errors.BorageshelfError as error:
                logging.warning('a peer sent a wrong bundle: %s', error)
                continue
            self._holder.confirm(publication.version)

    async def _follow_root(self) -> None:
        """Read the root, then follow its changes until an error.

        :raises BorageshelfError: of the store, which bounds the time of each
            call
        """
        revision = await self._read_root()
        while True:
            deadline_ms = self._clock() + WATCH_MS
            answer = await self._store.watch(
                contents.ROOT_KEY, revision, deadline_ms
            )
            if answer.compacted:
                # The root may be older than all that the store remembers, so
                # the next watch starts at the answer, not at the root.
                await self._read_root()
                revision = answer.revision
                continue
            for entry in answer.entries:
                if entry.key == contents.ROOT_KEY and not entry.deleted:
                    await self._load(entry)
            self._note_success()
            # An answer without a change shows that the root is the same.
            self._holder.confirm(self._root_version)
            revision = max(revision, answer.revision)

    async def _read_root(self) -> int:
        """Load the publication in force; return the root's revision."""
        entry = await self._store.get(contents.ROOT_KEY)
        if entry is not None:
            await self._load(entry)
        self._note_success()
        return entry.revision if entry else 0

    async def _load(self, entry: store_interface.Entry) -> None:
        root = contents.decode_value(entry.value, contents.Root)
        self._root_version = root.version
        if root.version > self._holder.version:
            bundle = await read_bundle(
                self._store, root.publication, self._parts
            )
            self._parts = bundle.parts
            configuration = contents.decode_parts(
                bundle.parts.values(), bundle.publication.version
            )
            self._holder.offer(configuration, contents.encode_bundle(bundle))
            self._note_delay(bundle.publication)
        elif root.version < self._holder.version:
            # Only a store that lost writes shows this; the version in force
            # stays.
            logging.error(
                'the root has version %d, below version %d in force',
                root.version,
                self._holder.version,
            )
        self._holder.confirm(root.version)

    def _note_delay(self, publication: contents.Publication) -> None:
        """Send the delay, which includes the skew of the two clocks."""
        if self._telemetry is not None:
            delay_ms = max(self._clock() - publication.published_at_ms, 0)
            self._telemetry.time(telemetry_module.CONFIG_DELAY, delay_ms)

    def _note_success(self) -> None:
        if self._failures:
            logging.info('configuration is read from the store again')
        self._failures = 0

    def _note_failure(self, error: Exception) -> None:
        if not self._failures:
            logging.warning('configuration watch failed: %r', error)
        self._failures += 1
        if self._telemetry is not None:
            self._telemetry.count(telemetry_module.CONFIG_WATCH_ERRORS)


async def read_bundle(
    store: store_interface.Store,
    publication_hash: str,
    known_parts: abc.Mapping[str, bytes],
) -> contents.Bundle:
    """Return a publication with its parts.

    :param known_parts: parts that need not be read again
    :raises BorageshelfError: of the store, or ``INTERNAL`` if a value is
        missing or damaged
    """
    publication = await read_publication(store, publication_hash)
    parts: dict[str, bytes] = {}
    for part_hash in publication.parts:
        part = known_parts.get(part_hash)
        if part is None:
            part = await _read_hashed(
                store, contents.CONTENT_PREFIX, part_hash
            )
        parts[part_hash] = part
    return contents.Bundle(publication, parts)


async def read_publication(
    store: store_interface.Store, publication_hash: str
) -> contents.Publication:
    """Return a publication.

    :raises BorageshelfError: of the store, or ``INTERNAL`` if the value is
        missing or damaged
    """
    data = await _read_hashed(
        store, contents.PUBLICATION_PREFIX, publication_hash
    )
    return contents.decode_value(data, contents.Publication)


async def _read_hashed(
    store: store_interface.Store, prefix: str, expected_hash: str
) -> bytes:
    entry = await store.get(prefix + expected_hash)
    if entry is None:
        raise errors.BorageshelfError(
            errors.INTERNAL, f'{prefix}{expected_hash} is missing'
        )
    data = contents.unpack(entry.value)
    if contents.compute_hash(data) != expected_hash:
        raise errors.BorageshelfError(
            errors.INTERNAL, f'{prefix}{expected_hash} is damaged'
        )
    return data


def _notify(observer: Observer, configuration: objects.Configuration) -> None:
    try:
        observer(configuration)
    except Exception:
        # One observer must not keep the others from the new version.
        logging.exception('an observer of the configuration failed')


async def wait_ms(delay_ms: int) -> None:
    """Sleep for some milliseconds."""
    await asyncio.sleep(delay_ms / 1000)
