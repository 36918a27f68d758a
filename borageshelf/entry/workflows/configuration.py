"""Follows the operators' queue configuration in an entry.

The entry watches the document in the store and also accepts newer versions
from other entries. Within a process the version in force never decreases.
"""

import asyncio
from collections import abc
from typing import Final

from borageshelf import clock
from borageshelf import decoding
from borageshelf import errors
from borageshelf import events
from borageshelf import measurements
from borageshelf.model import workflows
from borageshelf.ports import store as store_interface

# The site files require a change to be in force within 2 s. A watch on a
# connection that went silent must time out and be repeated within that time.
WATCH_TIMEOUT_MS: Final = 1_000
STORE_RETRY_PAUSE_MS: Final = 150


class ConfigurationFollower:
    """Keeps the newest configuration that this entry has received.

    A document that cannot be decoded, or whose version is not higher than
    the one in force, changes nothing.

    :param key: key of the document in the store
    :param decode: decodes the document; raises ``decoding.Unreadable`` if it
        is malformed
    """

    def __init__(
        self,
        store: store_interface.TransactionalStore,
        key: str,
        decode: abc.Callable[[bytes], workflows.QueueConfiguration],
        event_log: events.EventLog,
    ) -> None:
        self._store = store
        self._key = key
        self._decode = decode
        self._event_log = event_log
        self._document = b''
        self._unreadable_document: bytes | None = None
        self.configuration = workflows.QueueConfiguration()

    @property
    def is_known(self) -> bool:
        """Tell whether a configuration is in force."""
        return bool(self._document)

    def get_version_and_document(self) -> tuple[int, bytes]:
        """Return the version in force and its encoded document."""
        return self.configuration.version, self._document

    def apply_if_newer(self, document: bytes) -> None:
        """Apply a document if its version is higher than the one in force."""
        try:
            configuration = self._decode(document)
        except decoding.Unreadable as error:
            # Each listing after an outage of the store finds it again.
            if document != self._unreadable_document:
                self._unreadable_document = document
                self._event_log.record_state(
                    'configuration not readable', detail=str(error)
                )
            return
        if (
            self._document
            and configuration.version <= self.configuration.version
        ):
            return
        self._document = document
        self.configuration = configuration
        measurements.CONFIGURATION_VERSION.set(configuration.version)
        self._event_log.record_state(
            'configuration applied',
            version=configuration.version,
            queues=len(configuration.queues),
        )

    async def run(self) -> None:
        """Watch the document in the store until cancelled."""
        revision = -1
        is_store_available = True
        while True:
            try:
                if revision < 0:
                    listing = await self._store.scan(self._key)
                    revision = listing.revision
                    self._apply(listing.entries)
                deadline_ms = clock.read_wall_clock_ms() + WATCH_TIMEOUT_MS
                answer = await self._store.watch(
                    self._key, revision, deadline_ms
                )
            except errors.BorageshelfError as error:
                measurements.STORE_FAILURES.labels(error.code.name).inc()
                if is_store_available:
                    self._event_log.record_state(
                        'store lost', code=error.code.name
                    )
                is_store_available = False
                # Changes may have been missed meanwhile, so the document is
                # read again before the next watch.
                revision = -1
                await asyncio.sleep(STORE_RETRY_PAUSE_MS / 1000)
                continue
            if not is_store_available:
                is_store_available = True
                self._event_log.record_state('store regained')
            if answer.compacted:
                revision = -1
                continue
            revision = max(revision, answer.revision)
            self._apply(answer.entries)

    def _apply(self, entries: abc.Iterable[store_interface.Entry]) -> None:
        for entry in entries:
            if entry.key == self._key and not entry.deleted:
                self.apply_if_newer(entry.value)
