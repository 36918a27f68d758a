"""The agent process of the workflow scheduler."""

import asyncio
from collections import abc
from typing import Any, Final, Protocol
import uuid

from borageshelf.agent.workflows import driver
from borageshelf.agent.workflows import owner_link
from borageshelf import clock
from borageshelf.entry.workflows import process as entry_process
from borageshelf import events
from borageshelf.http_server import budget
from borageshelf.http_server import listeners
from borageshelf import loop
from borageshelf.model import targets
from borageshelf import node_settings
from borageshelf.ports import store as store_interface
from borageshelf.ports import task_executor
from borageshelf import settings_follower
from borageshelf.workflows import messages
from borageshelf.workflows import policy


# For calls and streams whose peers take nothing.
STOP_LIMIT_MS: Final = 1_000


class RegistrationSite(Protocol):
    """HTTP site where the executor announces itself."""

    def make_site(self, account: budget.RequestBudget) -> Any:
        """Return the site."""


SiteFactory = abc.Callable[
    [
        abc.Callable[[targets.Announcement], None],
        abc.Callable[[str], None],
        events.EventLog,
    ],
    RegistrationSite,
]


class Agent:
    """An agent, which runs beside its executor.

    :param make_site: builds the registration site of the platform
    :param reload: reads the settings file again
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        store: store_interface.Store,
        executor: task_executor.TaskExecutor,
        make_site: SiteFactory,
        reload: abc.Callable[[], node_settings.NodeSettings],
        event_log: events.EventLog,
    ) -> None:
        self._settings = settings
        self._settings_follower = settings_follower.SettingsFollower(
            settings, reload, self._apply_settings, event_log
        )
        self._event_log = event_log
        self._budget = budget.RequestBudget(settings, event_log)
        self._boot_id = uuid.uuid4().hex
        self._stop_requested = asyncio.Event()
        self._background = loop.TaskGroup()
        self._owner_link = owner_link.OwnerLink(
            settings.seeds, store, self._make_hello, event_log
        )
        self._driver = driver.ExecutorDriver(
            executor,
            event_log,
            self._owner_link.send,
            self._owner_link.request_session,
            policy.make_policy(settings).grant_ms,
            bool(settings.evacuation_limit_ms),
        )
        self._owner_link.driver = self._driver
        self._site = make_site(
            self._handle_announcement, self._driver.handle_departure, event_log
        )

    async def run(self) -> int:
        """Run until a planned stop; return the exit status."""
        event_loop = asyncio.get_running_loop()
        loop.watch_signals(
            event_loop, self._stop_requested.set, self._stop_requested.set
        )
        loop.watch_reload(event_loop, self._settings_follower.reload)
        self._background.start(self._event_log.run())
        self._background.start_with_restarts(
            self._settings_follower.run, self._event_log.record_failure
        )
        host, _, port = self._settings.registration_address.rpartition(':')
        site = self._site.make_site(self._budget)
        listeners.listen(host, int(port), site)
        entry_process.listen_for_metrics(self._settings, self._budget)
        self._background.start_with_restarts(
            self._budget.run, self._event_log.record_failure
        )
        self._background.start_with_restarts(
            self._owner_link.run, self._event_log.record_failure
        )
        self._event_log.record_state('agent started', boot=self._boot_id)
        await self._stop_requested.wait()
        # Runs continue under their lease; the agent's next process adopts
        # them.
        self._event_log.record_state('agent stopped')
        deadline_ms = clock.read_elapsed_ms() + STOP_LIMIT_MS
        for stop in (self._driver.stop(), self._background.stop()):
            await loop.finish_by(stop, deadline_ms)
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

    def _handle_announcement(self, announcement: targets.Announcement) -> None:
        if announcement.service != self._settings.service:
            self._event_log.record_state(
                'announcement of another service', service=announcement.service
            )
            return
        self._driver.handle_announcement(announcement)

    def _apply_settings(self, settings: node_settings.NodeSettings) -> None:
        self._settings = settings
        self._budget.apply_settings(settings)
        self._owner_link.set_seeds(settings.seeds)
