"""Follows the operators' queue configuration in an entry.

The entry watches the document in the store and also accepts newer versions
from other entries. Within a process the version in force never decreases. The
same watch follows the evacuations of data centres, if the deployment uses
them.
"""

import asyncio
from collections import abc
from typing import Final

from borageshelf import clock
from borageshelf import decoding
from borageshelf.entry.workflows import evacuations
from borageshelf import errors
from borageshelf import events
from borageshelf import measurements
from borageshelf.model import workflows
from borageshelf.ports import store as store_interface

# The site files require a change to be in force within 2 s. A watch on a
# connection that went silent must time out and be repeated within that time.
WATCH_TIMEOUT_MS: Final = 1_000
# With evacuations: after one lost answer the prefix is listed again before the
# former reading is older than ``evacuation.SET_AGE_LIMIT_MS``.
EVACUATION_WATCH_TIMEOUT_MS: Final = 600
STORE_RETRY_PAUSE_MS: Final = 150


class ConfigurationFollower:
    """Keeps the newest configuration that this entry has received.

    A document that cannot be decoded, or whose version is not higher than
    the one in force, changes nothing.

    :param key: key of the document in the store
    :param decode: decodes the document; raises ``decoding.Unreadable`` if it
        is malformed
    :param evacuated: follows the evacuations, or None
    :param prefix: prefix of the keys of both, if there are evacuations
    """

    def __init__(
        self,
        store: store_interface.TransactionalStore,
        key: str,
        decode: abc.Callable[[bytes], workflows.QueueConfiguration],
        event_log: events.EventLog,
        evacuated: evacuations.Evacuations | None = None,
        prefix: str = '',
    ) -> None:
        self._store = store
        self._key = key
        self._evacuated = evacuated
        self._prefix = key if evacuated is None else prefix
        self._watch_timeout_ms = (
            WATCH_TIMEOUT_MS
            if evacuated is None
            else EVACUATION_WATCH_TIMEOUT_MS
        )
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
                begun_at_ms = clock.read_elapsed_ms()
                if revision < 0:
                    listing = await self._store.scan(self._prefix)
                    revision = listing.revision
                    self._apply(listing.entries)
                    if self._evacuated is not None:
                        self._evacuated.apply_listing(
                            listing.entries, begun_at_ms
                        )
                begun_at_ms = clock.read_elapsed_ms()
                deadline_ms = (
                    clock.read_wall_clock_ms() + self._watch_timeout_ms
                )
                answer = await self._store.watch(
                    self._prefix, revision, deadline_ms
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
            if self._evacuated is not None:
                if answer.revision < revision:
                    # The store has lost changes, which a watch from here on
                    # would not tell of.
                    revision = -1
                    continue
                self._evacuated.apply_changes(answer.entries, begun_at_ms)
            revision = max(revision, answer.revision)
            self._apply(answer.entries)

    def _apply(self, entries: abc.Iterable[store_interface.Entry]) -> None:
        for entry in entries:
            if entry.key == self._key and not entry.deleted:
                self.apply_if_newer(entry.value)
