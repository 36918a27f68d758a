"""The agent process of the workflow scheduler."""

import asyncio
from collections import abc
import importlib
from typing import Any, Protocol
import uuid

from borageshelf.agent.workflows import driver as driver_module
from borageshelf.agent.workflows import owner_link
from borageshelf.entry.workflows import process as entry_process
from borageshelf import events as events_module
from borageshelf import loop as loop_module
from borageshelf.model import targets
from borageshelf import node_settings
from borageshelf.ports import store as store_interface
from borageshelf.ports import task_executor
from borageshelf import settings_follower
from borageshelf.workflows import messages


class RegistrationSite(Protocol):
    """HTTP site on which the executor announces itself."""

    def make_site(self) -> Any:
        """Return the site."""


MakeSite = abc.Callable[
    [
        abc.Callable[[targets.Announcement], None],
        abc.Callable[[str], None],
        events_module.EventLog,
    ],
    RegistrationSite,
]


class Agent:
    """One agent beside its executor.

    :param make_site: builds the registration site of the platform
    :param reload: reads the settings file again
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        store: store_interface.Store,
        executor: task_executor.TaskExecutor,
        make_site: MakeSite,
        reload: abc.Callable[[], node_settings.NodeSettings],
        events: events_module.EventLog,
    ) -> None:
        self._settings = settings
        self._follower = settings_follower.SettingsFollower(
            settings, reload, self._apply_settings, events
        )
        self._events = events
        self._boot_id = uuid.uuid4().hex
        self._stopping = asyncio.Event()
        self._background = loop_module.TaskGroup()
        self._link = owner_link.OwnerLink(
            settings.seeds, store, self._make_hello, events
        )
        self._driver = driver_module.ExecutorDriver(
            executor,
            events,
            self._link.send,
            self._link.ask_session,
            settings.executor_lease_limit_ms,
        )
        self._link.driver = self._driver
        self._site = make_site(
            self._note_announcement, self._driver.note_left, events
        )

    async def run(self) -> int:
        """Run until a planned stop."""
        loop = asyncio.get_running_loop()
        loop_module.watch_signals(loop, self._stopping.set, self._stopping.set)
        loop_module.watch_reload(loop, self._follower.reload)
        self._background.start(self._events.run())
        self._background.start_lasting(
            self._follower.run, self._events.record_failure
        )
        reactor: Any = importlib.import_module('twisted.internet.reactor')
        host, _, port = self._settings.registration_address.rpartition(':')
        reactor.listenTCP(int(port), self._site.make_site(), interface=host)
        entry_process.listen_for_metrics(self._settings)
        self._background.start_lasting(
            self._link.run, self._events.record_failure
        )
        self._events.record_state('agent started', boot=self._boot_id)
        await self._stopping.wait()
        # What runs goes on under its lease; the next process adopts it.
        self._events.record_state('agent stopped')
        await self._driver.stop()
        await self._background.stop()
        return 0

    def _make_hello(self) -> messages.AgentHello | None:
        incarnation = self._driver.incarnation
        if not incarnation:
            return None
        return messages.AgentHello(
            self._settings.node_id,
            self._boot_id,
            self._settings.data_centre,
            incarnation,
        )

    def _note_announcement(self, found: targets.Announcement) -> None:
        if found.service != self._settings.service:
            self._events.record_state(
                'announcement of another service', service=found.service
            )
            return
        self._driver.note_announcement(found)

    def _apply_settings(self, settings: node_settings.NodeSettings) -> None:
        self._settings = settings
        self._link.set_seeds(settings.seeds)
