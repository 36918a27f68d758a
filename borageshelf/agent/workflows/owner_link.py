"""The agent's stream to the owner of the workflows.

The agent tries the owner that it knows, the entries that it has heard of and
the seeds of its settings. If none of them knows an owner, it reads the
owner's key in the store.
"""

import asyncio
from collections import abc
import functools
from typing import Any, Final

from borageshelf.agent.workflows import driver as driver_module
from borageshelf import clock
from borageshelf import errors
from borageshelf import events as events_module
from borageshelf import measurements
from borageshelf.ports import store as store_interface
from borageshelf.workflows import channel
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import records

REPORT_MS: Final = 400
# Three reports without an answer.
SILENCE_LIMIT_MS: Final = 1_500
ROUND_PAUSE_MS: Final = 120
# Reading the store in each round would cost a call for each agent.
ROUNDS_BEFORE_STORE: Final = 3
ANNOUNCEMENT_PAUSE_MS: Final = 50


class OwnerLink:
    """Keeps a stream to the owner.

    :param make_hello: returns the agent's greeting, or None as long as no
        executor has announced itself
    """

    def __init__(
        self,
        seeds: abc.Sequence[str],
        store: store_interface.Store,
        make_hello: abc.Callable[[], messages.AgentHello | None],
        events: events_module.EventLog,
    ) -> None:
        self._seeds = tuple(seeds)
        self._store = store
        self._make_hello = make_hello
        self._events = events
        self.driver: driver_module.ExecutorDriver | None = None
        self._outbox: channel.Outbox | None = None
        self._owner_address = ''
        self._entries: tuple[str, ...] = ()
        self._heard_at_ms = 0
        self._is_welcome = False

    def set_seeds(self, seeds: abc.Sequence[str]) -> None:
        """Replace the entries to try first."""
        self._seeds = tuple(seeds)

    def send(self, message: messages.AnyMessage) -> None:
        """Send a message if there is a stream."""
        if self._outbox is not None:
            self._outbox.send(message)

    def ask_session(self) -> None:
        """Ask for a new session on the present stream."""
        hello = self._make_hello()
        if hello is not None and self._is_welcome:
            self.send(hello)

    async def run(self) -> None:
        """Stay attached to the owner until cancelled."""
        rounds = 0
        while True:
            while self._make_hello() is None:
                await asyncio.sleep(ANNOUNCEMENT_PAUSE_MS / 1000)
            was_welcome = False
            for address in self._list_candidates():
                was_welcome = await self._attach(address)
                if was_welcome or self._owner_address not in ('', address):
                    break
            rounds = 0 if was_welcome else rounds + 1
            if rounds >= ROUNDS_BEFORE_STORE:
                rounds = 0
                await self._read_store()
            await asyncio.sleep(ROUND_PAUSE_MS / 1000)

    def _list_candidates(self) -> tuple[str, ...]:
        known = (self._owner_address, *self._entries, *self._seeds)
        self._owner_address = ''
        return tuple(dict.fromkeys(address for address in known if address))

    async def _read_store(self) -> None:
        try:
            entry = await self._store.get(records.OWNER_KEY)
            if entry is None:
                return
            owner = journal.decode(entry.value, records.OwnerRecord)
        except errors.BorageshelfError as error:
            measurements.STORE_FAILURES.labels(error.code.name).inc()
            self._events.record_detail('owner not found', detail=error.detail)
            return
        self._owner_address = owner.address

    async def _attach(self, address: str) -> bool:
        """Use a stream to an entry; tell whether it was the owner."""
        was_welcome = False

        async def use(
            incoming: abc.AsyncIterator[messages.AnyMessage],
            outbox: channel.Outbox,
        ) -> None:
            nonlocal was_welcome
            hello = self._make_hello()
            if hello is None:
                return
            self._outbox = outbox
            self._heard_at_ms = clock.read_elapsed_ms()
            reporting = asyncio.ensure_future(self._report(outbox))
            outbox.send(hello)
            try:
                async for message in incoming:
                    self._heard_at_ms = clock.read_elapsed_ms()
                    if isinstance(message, messages.Redirect):
                        self._note_redirect(message, address)
                        return
                    if isinstance(message, messages.Welcome):
                        was_welcome = True
                        self._is_welcome = True
                    self._handle(message)
            finally:
                reporting.cancel()
                self._outbox = None
                self._is_welcome = False
                if self.driver is not None:
                    self.driver.end_session()

        try:
            await channel.connect(address, use)
        except channel.CONNECTION_ERRORS as error:
            self._events.record_detail(
                'entry not reached', address=address, error=repr(error)
            )
        if was_welcome:
            self._events.record_state(
                'stream to the owner ended', address=address
            )
            # The owner is the first to try, unless it is gone.
            self._owner_address = address
        return was_welcome

    def _note_redirect(
        self, redirect: messages.Redirect, address: str
    ) -> None:
        if redirect.address != address:
            self._owner_address = redirect.address
        self._note_entries(redirect.entries)

    def _note_entries(
        self, entries: abc.Iterable[messages.EntryAddress]
    ) -> None:
        found = tuple(entry.address for entry in entries)
        # Entries that another one does not know may still live.
        older = [item for item in self._entries if item not in found]
        self._entries = (*found, *older[:ENTRIES_LIMIT])

    async def _report(self, outbox: channel.Outbox) -> None:
        """Report until the stream ends; end it when the owner is silent."""
        while True:
            await asyncio.sleep(REPORT_MS / 1000)
            now_ms = clock.read_elapsed_ms()
            if now_ms - self._heard_at_ms > SILENCE_LIMIT_MS:
                self._events.record_state('owner silent')
                outbox.close()
                return
            if self.driver is not None:
                self.driver.send_report()

    @functools.singledispatchmethod
    def _handle(self, message: Any) -> None:
        self._events.record_state(
            'unexpected message', kind=type(message).__name__
        )

    @_handle.register
    def _(self, message: messages.Welcome) -> None:
        self._note_entries(message.entries)
        self._events.record_state(
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
        self._driver.acknowledge(message)

    @_handle.register
    def _(self, message: messages.Known) -> None:
        self._driver.note_known(message)

    @_handle.register
    def _(self, message: messages.Effects) -> None:
        self._driver.note_effects(message)

    @_handle.register
    def _(self, message: messages.Forget) -> None:
        self._driver.forget(message.workflow_id)

    @_handle.register
    def _(self, message: messages.Answer) -> None:
        self._driver.note_grant(message)

    @property
    def _driver(self) -> driver_module.ExecutorDriver:
        assert self.driver is not None
        return self.driver


# Entries that are kept beside those of the last answer.
ENTRIES_LIMIT: Final = 8
