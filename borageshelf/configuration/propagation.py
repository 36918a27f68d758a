"""Propagation of the configuration to the running processes.

``ConfigurationHolder`` holds the newest version that a process has received;
its version never decreases. ``ConfigurationWatcher`` updates the holder of an
entry from the store, and from other entries while the store is down. Agents
have a holder too and receive their part over their streams from entries.
"""

import asyncio
from collections import abc
from typing import Final

from absl import logging

from borageshelf import clock
from borageshelf.configuration import contents
from borageshelf.decisions import retries
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.ports import store as store_interface
from borageshelf import telemetry as telemetry_module

# A watch that the store answers after this time without a change confirms
# that the version is still the newest.
WATCH_TIMEOUT_MS: Final = 10_000
# A change must be in force everywhere within 9 s, so a watcher that lost the
# store must retry within less than half of that time.
RETRY_DELAY_LIMIT_MS: Final = 4_000
# A version that no answer confirmed for the time of three watches may be
# outdated.
CONFIRMATION_AGE_LIMIT_MS: Final = 3 * WATCH_TIMEOUT_MS

Observer = abc.Callable[[objects.Configuration], None]
# Requests the bundles of other entries; returns those that answered.
FetchPeerBundles = abc.Callable[[], abc.Awaitable[abc.Sequence[bytes]]]


class ConfigurationHolder:
    """The newest configuration that a process has received.

    The version never decreases, whichever order configurations arrive in.
    Observers are called with increasing versions only.

    :param read_clock_ms: returns the wall-clock time, Unix milliseconds
    """

    def __init__(
        self, read_clock_ms: abc.Callable[[], int] = clock.read_wall_clock_ms
    ) -> None:
        self._read_clock_ms = read_clock_ms
        self._configuration = objects.Configuration()
        self._encoded_bundle = b''
        self._observers: list[Observer] = []
        self._highest_seen_version = 0
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
    def encoded_bundle(self) -> bytes:
        """The encoded bundle in force, for other entries; empty if none."""
        return self._encoded_bundle

    def add_observer(self, observer: Observer) -> None:
        """Call an observer on each change, and now if a version is known."""
        self._observers.append(observer)
        if self.version:
            _notify_observer(observer, self._configuration)

    def apply_if_newer(
        self, configuration: objects.Configuration, encoded_bundle: bytes = b''
    ) -> bool:
        """Put a configuration in force if its version is higher.

        :param encoded_bundle: the encoded bundle of the same publication
        :return: whether the configuration in force was replaced
        """
        self.record_seen_version(configuration.version)
        if configuration.version <= self.version:
            return False
        logging.info(
            'configuration version %d replaces version %d',
            configuration.version,
            self.version,
        )
        self._configuration = configuration
        self._encoded_bundle = encoded_bundle
        for observer in tuple(self._observers):
            _notify_observer(observer, configuration)
        return True

    def apply_bundle_if_newer(self, data: bytes) -> bool:
        """Put the configuration of a bundle in force if it is newer.

        :raises BorageshelfError: ``INTERNAL`` if the bundle is damaged
        """
        bundle = contents.decode_bundle(data)
        configuration = contents.decode_parts(
            bundle.parts.values(), bundle.publication.version
        )
        return self.apply_if_newer(configuration, data)

    def encode_agent_part(self, services: abc.Iterable[str]) -> bytes:
        """Return the encoded part that the agent of a target needs.

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

    def apply_part_if_newer(self, data: bytes) -> bool:
        """Put the part that an entry sent in force if it is newer.

        :raises BorageshelfError: ``INTERNAL`` if the part is damaged
        """
        part = contents.decode_value(data, objects.Configuration)
        return self.apply_if_newer(part)

    def record_seen_version(self, version: int) -> None:
        """Record that a version exists, whether or not it was received."""
        self._highest_seen_version = max(self._highest_seen_version, version)

    def confirm(self, version: int) -> None:
        """Record that the store or another process has this version now.

        A version below the one in force confirms nothing: the process may
        lag, or the store may have lost writes.
        """
        self.record_seen_version(version)
        if version >= self.version:
            self._confirmed_at_ms = self._read_clock_ms()

    def is_confirmed(self) -> bool:
        """Tell whether the version in force was confirmed recently.

        It is unconfirmed too if a newer version is known to exist.
        """
        if not self.version or self.version < self._highest_seen_version:
            return False
        if self._confirmed_at_ms is None:
            return False
        age_ms = self._read_clock_ms() - self._confirmed_at_ms
        return age_ms <= CONFIRMATION_AGE_LIMIT_MS


class ConfigurationWatcher:
    """Keeps the holder of an entry up to date.

    While the store does not answer, the watcher applies the newest bundle of
    the other entries, so that an entry that restarts finds a configuration.

    :param fetch_peer_bundles: returns the bundles of other entries; it may
        fail
    :param entry_id: identity of the entry; seeds the jitter that spreads the
        retries of the entries
    :param pause: awaited with a delay in milliseconds between attempts
    :param telemetry: receives the delay of changes and counts failed watches
    """

    def __init__(
        self,
        store: store_interface.Store,
        holder: ConfigurationHolder,
        fetch_peer_bundles: FetchPeerBundles,
        entry_id: str,
        read_clock_ms: abc.Callable[[], int] = clock.read_wall_clock_ms,
        pause: abc.Callable[[int], abc.Awaitable[None]] | None = None,
        telemetry: telemetry_module.Telemetry | None = None,
    ) -> None:
        self._store = store
        self._holder = holder
        self._fetch_peer_bundles = fetch_peer_bundles
        self._entry_id = entry_id
        self._read_clock_ms = read_clock_ms
        self._pause = pause or sleep_ms
        self._telemetry = telemetry
        self._parts: dict[str, bytes] = {}
        self._consecutive_failures = 0
        self._root_version = 0

    async def run(self) -> None:
        """Watch the store until the task is cancelled."""
        while True:
            try:
                await self._follow_root()
            except errors.BorageshelfError as error:
                self._record_failure(error)
            await self.apply_peer_bundles()
            delay_ms = retries.compute_backoff_ms(
                self._entry_id, self._consecutive_failures
            )
            await self._pause(min(delay_ms, RETRY_DELAY_LIMIT_MS))

    async def apply_peer_bundles(self) -> None:
        """Apply the newest bundle that other entries have."""
        try:
            bundles = await self._fetch_peer_bundles()
        except (errors.BorageshelfError, OSError, TimeoutError) as error:
            logging.warning(
                'could not fetch the configuration from peers: %s', error
            )
            return
        for bundle in bundles:
            if bundle == self._holder.encoded_bundle:
                # All entries encode a publication to the same bytes. Decoding
                # every bundle at each retry would take over 1% of a core.
                self._holder.confirm(self._holder.version)
                continue
            try:
                publication = contents.decode_bundle(bundle).publication
                self._holder.apply_bundle_if_newer(bundle)
            except errors.BorageshelfError as error:
                logging.warning(
                    'ignored a damaged bundle of a peer: %s', error
                )
                continue
            self._holder.confirm(publication.version)

    async def _follow_root(self) -> None:
        """Read the root, then apply its changes until a store call fails.

        :raises BorageshelfError: of the store, which bounds the time of each
            call
        """
        revision = await self._read_and_apply_root()
        while True:
            deadline_ms = self._read_clock_ms() + WATCH_TIMEOUT_MS
            answer = await self._store.watch(
                contents.ROOT_KEY, revision, deadline_ms
            )
            if answer.compacted:
                # The root's revision may itself be compacted, so the next
                # watch starts at the revision of the answer.
                await self._read_and_apply_root()
                revision = answer.revision
                continue
            for entry in answer.entries:
                if entry.key == contents.ROOT_KEY and not entry.deleted:
                    await self._apply_root(entry)
            self._record_success()
            # An answer without a change shows that the root is unchanged.
            self._holder.confirm(self._root_version)
            revision = max(revision, answer.revision)

    async def _read_and_apply_root(self) -> int:
        """Apply the publication in force; return the root's revision."""
        entry = await self._store.get(contents.ROOT_KEY)
        if entry is not None:
            await self._apply_root(entry)
        self._record_success()
        return entry.revision if entry else 0

    async def _apply_root(self, entry: store_interface.Entry) -> None:
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
            self._holder.apply_if_newer(
                configuration, contents.encode_bundle(bundle)
            )
            self._report_delay(bundle.publication)
        elif root.version < self._holder.version:
            # This happens only if the store lost writes. The version in force
            # stays.
            logging.error(
                'root in the store has version %d, below version %d in '
                'force; keeping the version in force',
                root.version,
                self._holder.version,
            )
        self._holder.confirm(root.version)

    def _report_delay(self, publication: contents.Publication) -> None:
        """Report the delay, which includes the skew between two clocks."""
        if self._telemetry is not None:
            delay_ms = max(
                self._read_clock_ms() - publication.published_at_ms, 0
            )
            self._telemetry.time(telemetry_module.CONFIG_DELAY, delay_ms)

    def _record_success(self) -> None:
        if self._consecutive_failures:
            logging.info(
                'reading the configuration from the store works again'
            )
        self._consecutive_failures = 0

    def _record_failure(self, error: Exception) -> None:
        if not self._consecutive_failures:
            logging.warning('configuration watch failed; retrying: %r', error)
        self._consecutive_failures += 1
        if self._telemetry is not None:
            self._telemetry.count(telemetry_module.CONFIG_WATCH_ERRORS)


async def read_bundle(
    store: store_interface.Store,
    publication_hash: str,
    known_parts: abc.Mapping[str, bytes],
) -> contents.Bundle:
    """Read a publication with its parts.

    :param known_parts: parts by hash that need not be read again
    :raises BorageshelfError: of the store, or ``INTERNAL`` if a value is
        missing or damaged
    """
    publication = await read_publication(store, publication_hash)
    parts: dict[str, bytes] = {}
    for part_hash in publication.parts:
        part = known_parts.get(part_hash)
        if part is None:
            part = await _read_by_hash(
                store, contents.CONTENT_PREFIX, part_hash
            )
        parts[part_hash] = part
    return contents.Bundle(publication, parts)


async def read_publication(
    store: store_interface.Store, publication_hash: str
) -> contents.Publication:
    """Read a publication by its hash.

    :raises BorageshelfError: of the store, or ``INTERNAL`` if the value is
        missing or damaged
    """
    data = await _read_by_hash(
        store, contents.PUBLICATION_PREFIX, publication_hash
    )
    return contents.decode_value(data, contents.Publication)


async def _read_by_hash(
    store: store_interface.Store, prefix: str, expected_hash: str
) -> bytes:
    entry = await store.get(prefix + expected_hash)
    if entry is None:
        raise errors.BorageshelfError(
            errors.INTERNAL, f'{prefix}{expected_hash} is missing'
        )
    data = contents.decompress(entry.value)
    if contents.compute_hash(data) != expected_hash:
        raise errors.BorageshelfError(
            errors.INTERNAL, f'{prefix}{expected_hash} is damaged'
        )
    return data


def _notify_observer(
    observer: Observer, configuration: objects.Configuration
) -> None:
    try:
        observer(configuration)
    except Exception:
        # A failing observer must not keep the version from the others.
        logging.exception('an observer of the configuration failed')


async def sleep_ms(delay_ms: int) -> None:
    """Sleep for some milliseconds."""
    await asyncio.sleep(delay_ms / 1000)
