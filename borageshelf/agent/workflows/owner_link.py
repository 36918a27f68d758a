"""Keeps the agent's stream to the owner of the workflows.

The agent tries the last known owner, then the entries that it has learned of,
then the seeds in its settings. If none of them knows an owner in several
rounds, it reads the owner's key in the store.
"""

import asyncio
from collections import abc
import functools
from typing import Any, Final

from borageshelf.agent.workflows import driver
from borageshelf import clock
from borageshelf import errors
from borageshelf import events
from borageshelf import loop
from borageshelf import measurements
from borageshelf.ports import store as store_interface
from borageshelf.workflows import channel
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import records

REPORT_INTERVAL_MS: Final = 400
# Three reports in a row without an answer.
OWNER_SILENCE_LIMIT_MS: Final = 1_500
ROUND_PAUSE_MS: Final = 120
# Reading the store in each round would cost one store call per agent and
# round.
ROUNDS_BEFORE_STORE_READ: Final = 3
ANNOUNCEMENT_POLL_INTERVAL_MS: Final = 50


class OwnerLink:
    """Keeps a stream to the owner, whichever entry that is.

    :param make_hello: returns the message that begins a session, or None
        until the executor has announced itself
    :ivar driver: receives the owner's messages; set before ``run``
    """

    def __init__(
        self,
        seeds: abc.Sequence[str],
        store: store_interface.Store,
        make_hello: abc.Callable[[], messages.AgentHello | None],
        event_log: events.EventLog,
    ) -> None:
        self._seeds = tuple(seeds)
        self._store = store
        self._make_hello = make_hello
        self._event_log = event_log
        self.driver: driver.ExecutorDriver | None = None
        self._outbox: channel.Outbox | None = None
        self._owner_address = ''
        self._entries: tuple[str, ...] = ()
        self._last_received_at_ms = 0
        self._is_attached = False
        self._unreadable_owner: bytes | None = None

    def set_seeds(self, seeds: abc.Sequence[str]) -> None:
        """Replace the seeds, the entries to try before others are known."""
        self._seeds = tuple(seeds)

    def send(self, message: messages.AnyMessage) -> None:
        """Send a message if there is a stream."""
        if self._outbox is not None:
            self._outbox.send(message)

    def request_session(self) -> None:
        """Request a new session on the current stream, if there is one."""
        hello = self._make_hello()
        if hello is not None and self._is_attached:
            self.send(hello)

    async def run(self) -> None:
        """Stay attached to the owner until cancelled."""
        failed_rounds = 0
        while True:
            while self._make_hello() is None:
                await asyncio.sleep(ANNOUNCEMENT_POLL_INTERVAL_MS / 1000)
            was_owner = False
            for address in self._list_candidates():
                was_owner = await self._attach(address)
                if was_owner or self._owner_address not in ('', address):
                    break
            failed_rounds = 0 if was_owner else failed_rounds + 1
            if failed_rounds >= ROUNDS_BEFORE_STORE_READ:
                failed_rounds = 0
                await self._read_owner_from_store()
            await asyncio.sleep(ROUND_PAUSE_MS / 1000)

    def _list_candidates(self) -> tuple[str, ...]:
        known = (self._owner_address, *self._entries, *self._seeds)
        self._owner_address = ''
        return tuple(dict.fromkeys(address for address in known if address))

    async def _read_owner_from_store(self) -> None:
        try:
            entry = await self._store.get(records.OWNER_KEY)
        except errors.BorageshelfError as error:
            measurements.STORE_FAILURES.labels(error.code.name).inc()
            self._event_log.record_detail(
                'owner not found', detail=error.detail
            )
            return
        if entry is None:
            return
        try:
            owner = journal.decode_owner(entry.value)
        except errors.BorageshelfError as error:
            # The entries replace it; the agent goes on with those it knows.
            if entry.value != self._unreadable_owner:
                self._unreadable_owner = entry.value
                self._event_log.record_state(
                    'owner not readable', detail=error.detail
                )
            return
        self._owner_address = owner.address

    async def _attach(self, address: str) -> bool:
        """Connect to an entry and use the stream until it ends.

        :return: whether the entry was the owner
        """
        was_owner = False

        async def run_stream(
            incoming: abc.AsyncIterator[messages.AnyMessage],
            outbox: channel.Outbox,
        ) -> None:
            nonlocal was_owner
            hello = self._make_hello()
            if hello is None:
                return
            self._outbox = outbox
            self._last_received_at_ms = clock.read_elapsed_ms()
            report_task = asyncio.ensure_future(self._send_reports(outbox))
            outbox.send(hello)
            try:
                async for message in incoming:
                    self._last_received_at_ms = clock.read_elapsed_ms()
                    if isinstance(message, messages.Redirect):
                        self._apply_redirect(message, address)
                        return
                    if isinstance(message, messages.Welcome):
                        was_owner = True
                        self._is_attached = True
                    self._handle(message)
            finally:
                report_task.cancel()
                self._outbox = None
                self._is_attached = False
                if self.driver is not None:
                    self.driver.end_session()

        try:
            await channel.connect(address, run_stream)
        except channel.CONNECTION_ERRORS as error:
            self._event_log.record_detail(
                'entry not reached', address=address, error=repr(error)
            )
        if was_owner:
            self._event_log.record_state(
                'stream to the owner ended', address=address
            )
            # Tried first in the next round, unless the owner is gone.
            self._owner_address = address
        return was_owner

    def _apply_redirect(
        self, redirect: messages.Redirect, address: str
    ) -> None:
        if redirect.address != address:
            self._owner_address = redirect.address
        self._remember_entries(redirect.entries)

    def _remember_entries(
        self, entries: abc.Iterable[messages.EntryAddress]
    ) -> None:
        addresses = tuple(entry.address for entry in entries)
        # Entries that the sender does not know may still be alive.
        older_addresses = [
            address for address in self._entries if address not in addresses
        ]
        self._entries = (*addresses, *older_addresses[:OLDER_ENTRIES_LIMIT])

    async def _send_reports(self, outbox: channel.Outbox) -> None:
        """Send reports; close the stream when the owner is silent."""
        pause_watch = loop.PauseWatch(REPORT_INTERVAL_MS)
        while True:
            await asyncio.sleep(REPORT_INTERVAL_MS / 1000)
            now_ms = clock.read_elapsed_ms()
            (self._last_received_at_ms,) = pause_watch.excuse(
                [self._last_received_at_ms]
            )
            if now_ms - self._last_received_at_ms > OWNER_SILENCE_LIMIT_MS:
                self._event_log.record_state('owner silent')
                outbox.close()
                return
            if self.driver is not None:
                self.driver.send_report()

    @functools.singledispatchmethod
    def _handle(self, message: Any) -> None:
        self._event_log.record_state(
            'unexpected message', kind=type(message).__name__
        )

    @_handle.register
    def _(self, message: messages.Welcome) -> None:
        self._remember_entries(message.entries)
        self._event_log.record_state(
            'attached to the owner', epoch=message.epoch, token=message.token
        )
        self._driver.begin_session(message)

    @_handle.register
    def _(self, message: messages.Start) -> None:
        self._driver.order_start(message)

    @_handle.register
    def _(self, message: messages.Stop) -> None:
        self._driver.order_stop(message)

    @_handle.register
    def _(self, message: messages.Acknowledged) -> None:
        self._driver.acknowledge_ends(message)

    @_handle.register
    def _(self, message: messages.Known) -> None:
        self._driver.update_run_terms(message)

    @_handle.register
    def _(self, message: messages.Effects) -> None:
        self._driver.set_effects(message)

    @_handle.register
    def _(self, message: messages.Forget) -> None:
        self._driver.forget_workflow(message.workflow_id)

    @_handle.register
    def _(self, message: messages.Answer) -> None:
        self._driver.extend_grant(message)

    @property
    def _driver(self) -> driver.ExecutorDriver:
        assert self.driver is not None
        return self.driver


# Entries that are kept in addition to those in the last message.
OLDER_ENTRIES_LIMIT: Final = 8
