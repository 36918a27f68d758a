"""The operators' configuration of queues, as this entry has it.

The entry watches the document in the store and takes newer versions from
other entries. A version never goes back within a process.
"""

import asyncio
from collections import abc
from typing import Final

from borageshelf import clock
from borageshelf import errors
from borageshelf import events as events_module
from borageshelf import measurements
from borageshelf.model import workflows
from borageshelf.ports import store as store_interface

# A change has to be in force within 2 s (the site files); a watch whose
# connection went silent is given up and repeated within that time.
WATCH_MS: Final = 1_000
STORE_PAUSE_MS: Final = 150


class ConfigurationFollower:
    """Keeps the newest configuration.

    :param key: key of the document
    :param decode: decodes the document; raises ValueError
    """

    def __init__(
        self,
        store: store_interface.TransactionalStore,
        key: str,
        decode: abc.Callable[[bytes], workflows.QueueConfiguration],
        events: events_module.EventLog,
    ) -> None:
        self._store = store
        self._key = key
        self._decode = decode
        self._events = events
        self._document = b''
        self.configuration = workflows.QueueConfiguration()

    @property
    def is_known(self) -> bool:
        """Tell whether any configuration is in force."""
        return bool(self._document)

    def get_version_and_document(self) -> tuple[int, bytes]:
        """Return the version in force and its document."""
        return self.configuration.version, self._document

    def apply_if_newer(self, document: bytes) -> None:
        """Put a document in force if it is newer."""
        try:
            found = self._decode(document)
        except ValueError as error:
            self._events.record_state(
                'configuration not readable', detail=str(error)
            )
            return
        if self._document and found.version <= self.configuration.version:
            return
        self._document = document
        self.configuration = found
        measurements.CONFIGURATION_VERSION.set(found.version)
        self._events.record_state(
            'configuration applied',
            version=found.version,
            queues=len(found.queues),
        )

    async def run(self) -> None:
        """Follow the document until cancelled."""
        revision = -1
        has_store = True
        while True:
            try:
                if revision < 0:
                    listing = await self._store.scan(self._key)
                    revision = listing.revision
                    self._apply(listing.entries)
                deadline_ms = clock.read_wall_clock_ms() + WATCH_MS
                answer = await self._store.watch(
                    self._key, revision, deadline_ms
                )
            except errors.BorageshelfError as error:
                measurements.STORE_FAILURES.labels(error.code.name).inc()
                if has_store:
                    self._events.record_state(
                        'store lost', code=error.code.name
                    )
                has_store = False
                # What a lost watch would have told is read anew.
                revision = -1
                await asyncio.sleep(STORE_PAUSE_MS / 1000)
                continue
            if not has_store:
                has_store = True
                self._events.record_state('store regained')
            if answer.compacted:
                revision = -1
                continue
            revision = max(revision, answer.revision)
            self._apply(answer.entries)

    def _apply(self, entries: abc.Iterable[store_interface.Entry]) -> None:
        for entry in entries:
            if entry.key == self._key and not entry.deleted:
                self.apply_if_newer(entry.value)
