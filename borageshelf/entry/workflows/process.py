"""The entry process of the workflow scheduler.

The adapters of the platform are handed in, so that nothing here depends on
their formats.
"""

import asyncio
from collections import abc
import importlib
from typing import Any, Final, Protocol
import uuid

from borageshelf import clock
from borageshelf.entry.workflows import configuration as configuration_module
from borageshelf.entry.workflows import election as election_module
from borageshelf.entry.workflows import request_service
from borageshelf import events as events_module
from borageshelf import loop as loop_module
from borageshelf import measurements
from borageshelf.model import workflows
from borageshelf import node_settings
from borageshelf.ports import store as store_interface
from borageshelf import settings_follower
from borageshelf.workflows import channel
from borageshelf.workflows import policy

# Twisted's default of 50 drops connections of a burst.
BACKLOG: Final = 1_024
# The balancer looks once a second and needs two misses.
BALANCER_PAUSE_MS: Final = 2_300
# Left of the grace period for closing connections.
STOP_MARGIN_MS: Final = 900
DRAIN_STEP_MS: Final = 50
# An entry that lost the owner for less stays in the balancer's rotation.
OWNER_LOSS_MS: Final = 5_000


class CallerSite(Protocol):
    """HTTP sites for callers and the balancer.

    :ivar is_leaving: answers end their connections from now on
    :ivar active_requests: requests without a complete answer
    """

    is_leaving: bool
    active_requests: int

    def make_site(self) -> Any:
        """Return the callers' site."""

    def make_ready_site(self) -> Any:
        """Return the site of the readiness check."""


MakeSite = abc.Callable[
    [
        request_service.RequestService,
        abc.Callable[[], workflows.QueueConfiguration],
        abc.Callable[[], bool],
        events_module.EventLog,
    ],
    CallerSite,
]


class Entry:
    """One entry with its parts.

    :param make_site: builds the callers' site of the platform
    :param reload: reads the settings file again
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        store: store_interface.TransactionalStore,
        configuration_key: str,
        read_configuration: abc.Callable[
            [bytes], workflows.QueueConfiguration
        ],
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
        self._aborting = asyncio.Event()
        self._background = loop_module.TaskGroup()
        self._configuration = configuration_module.ConfigurationFollower(
            store, configuration_key, read_configuration, events
        )
        self._election = election_module.Election(
            election_module.Identity(
                settings.node_id,
                self._boot_id,
                settings.inner_advertised_address or settings.inner_address,
            ),
            store,
            policy.make_policy(settings),
            events,
            self._configuration.get_version_and_document,
            self._configuration.apply_if_newer,
        )
        self._requests = request_service.RequestService(self._election, store)
        self._site = make_site(
            self._requests,
            lambda: self._configuration.configuration,
            self._is_ready,
            events,
        )
        self._owner_seen_at_ms = 0
        self._listeners: list[Any] = []

    async def run(self) -> int:
        """Run until a planned stop is complete."""
        loop = asyncio.get_running_loop()
        loop_module.watch_signals(loop, self._stopping.set, self._aborting.set)
        loop_module.watch_reload(loop, self._follower.reload)
        self._background.start(self._events.run())
        self._background.start_lasting(
            self._follower.run, self._events.record_failure
        )
        self._background.start_lasting(
            self._configuration.run, self._events.record_failure
        )
        server = channel.make_server(channel.Service(self._election.serve))
        host, _, port = self._settings.inner_address.rpartition(':')
        await server.start(host, int(port))
        self._election.start()
        self._listen(self._settings.caller_address, self._site.make_site())
        self._listen(
            self._settings.ready_address, self._site.make_ready_site()
        )
        listen_for_metrics(self._settings)
        self._events.record_state(
            'entry started',
            boot=self._boot_id,
            data_centre=self._settings.data_centre,
        )
        await self._stopping.wait()
        await self._drain()
        server.close()
        await self._election.stop()
        self._events.record_state('entry stopped')
        await self._background.stop()
        return 0

    def _listen(self, address: str, site: Any) -> None:
        reactor: Any = importlib.import_module('twisted.internet.reactor')
        host, _, port = address.rpartition(':')
        self._listeners.append(
            reactor.listenTCP(int(port), site, backlog=BACKLOG, interface=host)
        )

    def _is_ready(self) -> bool:
        if self._stopping.is_set() or not self._configuration.is_known:
            return False
        now_ms = clock.read_elapsed_ms()
        if self._election.is_owner_known:
            self._owner_seen_at_ms = now_ms
        seen_at_ms = self._owner_seen_at_ms
        return bool(seen_at_ms) and now_ms - seen_at_ms < OWNER_LOSS_MS

    def _apply_settings(self, settings: node_settings.NodeSettings) -> None:
        self._settings = settings
        self._election.policy = policy.make_policy(settings)

    async def _drain(self) -> None:
        """Hand the ownership over and finish what callers wait for."""
        begun_at_ms = clock.read_elapsed_ms()
        grace_ms = round(self._settings.grace_s * 1000)
        deadline_ms = begun_at_ms + grace_ms - STOP_MARGIN_MS
        pause_ms = min(BALANCER_PAUSE_MS, grace_ms // 2)
        self._site.is_leaving = True
        self._events.record_state('entry leaves')
        resigning = asyncio.ensure_future(self._election.resign())
        await loop_module.wait_for_event(self._aborting, pause_ms)
        for listener in self._listeners:
            listener.stopListening()
        while self._site.active_requests and not self._aborting.is_set():
            if clock.read_elapsed_ms() >= deadline_ms:
                self._events.record_state(
                    'requests cut off', count=self._site.active_requests
                )
                break
            await asyncio.sleep(DRAIN_STEP_MS / 1000)
        resigning.cancel()
        await asyncio.gather(resigning, return_exceptions=True)


def listen_for_metrics(settings: node_settings.NodeSettings) -> None:
    """Serve the metrics page."""
    from twisted.web import server

    reactor: Any = importlib.import_module('twisted.internet.reactor')
    make_page: Any = measurements.MetricsPage
    site: Any = server.Site(make_page())
    reactor.listenTCP(settings.metrics_port, site, interface=settings.host)
