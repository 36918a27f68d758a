"""The entry process of the workflow scheduler.

The platform adapters are passed in by the caller, so that this module does
not depend on the platform's formats.
"""

import asyncio
from collections import abc
import dataclasses
from typing import Any, Final, Protocol
import uuid

from borageshelf import clock
from borageshelf.entry.workflows import configuration
from borageshelf.entry.workflows import election
from borageshelf.entry.workflows import evacuations
from borageshelf.entry.workflows import request_service
from borageshelf import events
from borageshelf.http_server import budget
from borageshelf.http_server import listeners
from borageshelf.http_server import sites
from borageshelf import loop
from borageshelf import measurements
from borageshelf.model import workflows
from borageshelf import node_settings
from borageshelf.ports import inventory
from borageshelf.ports import store as store_interface
from borageshelf import settings_follower
from borageshelf.workflows import channel
from borageshelf.workflows import policy

# Twisted's default backlog of 50 drops connections during bursts.
LISTEN_BACKLOG: Final = 1_024
# The load balancer checks readiness once a second and removes an entry after
# two failed checks.
BALANCER_DETECTION_MS: Final = 2_300
# Part of the grace period that is reserved for the last answers and for
# closing connections, at most this share of it.
SHUTDOWN_MARGIN_MS: Final = 900
SHUTDOWN_MARGIN_SHARE: Final = 0.2
# Requests that still arrive show that the load balancer has not noticed yet.
# Clients of a busy entry send several in this time.
QUIET_MS: Final = 800
# A request that has been accepted by then can be answered in time.
LAST_REQUEST_MS: Final = 300
DRAIN_POLL_INTERVAL_MS: Final = 50
# For streams whose peers take nothing. Part of the margin above.
STOP_LIMIT_MS: Final = 450
# An entry that knows no owner for less than this stays in the rotation of the
# load balancer.
OWNER_LOSS_GRACE_MS: Final = 5_000
# Requests for metrics have no body.
METRICS_BODY_LIMIT_BYTES: Final = 16_384


class CallerSite(Protocol):
    """HTTP sites for callers and for the load balancer.

    :ivar is_leaving: whether each response closes its connection
    :ivar active_requests: number of requests whose response is incomplete
    :ivar last_active_at_ms: elapsed time of the latest answer
    """

    is_leaving: bool
    active_requests: int
    last_active_at_ms: int

    def make_site(self, account: budget.RequestBudget) -> Any:
        """Return the site for callers."""

    def make_ready_site(self, account: budget.RequestBudget) -> Any:
        """Return the site for the readiness check."""


SiteFactory = abc.Callable[
    [
        request_service.RequestService,
        abc.Callable[[], workflows.QueueConfiguration],
        abc.Callable[[], bool],
        events.EventLog,
    ],
    CallerSite,
]


@dataclasses.dataclass(frozen=True)
class OperatorKeys:
    """Keys that operators write to the store.

    :param configuration: key of the queue configuration
    :param prefix: prefix of all of them
    :param evacuation_prefix: followed by the name of an evacuated data centre
    """

    configuration: str
    prefix: str
    evacuation_prefix: str


class Entry:
    """An entry: its servers, its configuration and its part in the election.

    :param keys: keys that operators write to the store
    :param read_configuration: decodes the queue configuration; raises
        ``decoding.Unreadable`` if it is malformed
    :param make_site: builds the platform's sites for callers
    :param reload: reads the settings file again
    :param listing: the platform's list of VMs, if there is one
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        store: store_interface.TransactionalStore,
        keys: OperatorKeys,
        read_configuration: abc.Callable[
            [bytes], workflows.QueueConfiguration
        ],
        make_site: SiteFactory,
        reload: abc.Callable[[], node_settings.NodeSettings],
        event_log: events.EventLog,
        listing: inventory.Inventory | None = None,
    ) -> None:
        self._settings = settings
        self._settings_follower = settings_follower.SettingsFollower(
            settings, reload, self._apply_settings, event_log
        )
        self._event_log = event_log
        self._budget = budget.RequestBudget(settings, event_log)
        self._boot_id = uuid.uuid4().hex
        self._stop_requested = asyncio.Event()
        self._abort_requested = asyncio.Event()
        self._background = loop.TaskGroup()
        evacuated = None
        if settings.evacuation_limit_ms:
            evacuated = evacuations.Evacuations(
                keys.evacuation_prefix, settings.data_centre, event_log
            )
        self._configuration_follower = configuration.ConfigurationFollower(
            store,
            keys.configuration,
            read_configuration,
            event_log,
            evacuated,
            keys.prefix,
        )
        self._election = election.Election(
            election.Identity(
                settings.node_id,
                self._boot_id,
                settings.inner_advertised_address or settings.inner_address,
                settings.processor_millicores,
            ),
            store,
            policy.make_policy(settings),
            event_log,
            self._configuration_follower.get_version_and_document,
            self._configuration_follower.apply_if_newer,
            listing,
            evacuated,
        )
        self._request_service = request_service.RequestService(
            self._election, store, settings.node_id
        )
        self._caller_site = make_site(
            self._request_service,
            lambda: self._configuration_follower.configuration,
            self._is_ready,
            event_log,
        )
        self._owner_last_known_at_ms = 0
        self._listeners: list[Any] = []

    async def run(self) -> int:
        """Run until a planned stop has completed; return the exit status."""
        event_loop = asyncio.get_running_loop()
        loop.watch_signals(
            event_loop, self._stop_requested.set, self._abort_requested.set
        )
        loop.watch_reload(event_loop, self._settings_follower.reload)
        self._background.start(self._event_log.run())
        self._background.start_with_restarts(
            self._settings_follower.run, self._event_log.record_failure
        )
        self._background.start_with_restarts(
            self._budget.run, self._event_log.record_failure
        )
        self._background.start_with_restarts(
            self._configuration_follower.run, self._event_log.record_failure
        )
        server = channel.make_server(
            channel.Service(self._election.serve, self._record_abort),
            self._budget,
        )
        host, _, port = self._settings.inner_address.rpartition(':')
        await server.start(host, int(port))
        self._election.start()
        self._listen(
            self._settings.caller_address,
            self._caller_site.make_site(self._budget),
        )
        self._listen(
            self._settings.ready_address,
            self._caller_site.make_ready_site(self._budget),
        )
        listen_for_metrics(self._settings, self._budget)
        self._event_log.record_state(
            'entry started',
            boot=self._boot_id,
            data_centre=self._settings.data_centre,
        )
        await self._stop_requested.wait()
        await self._drain()
        server.close()
        deadline_ms = clock.read_elapsed_ms() + STOP_LIMIT_MS
        if not await loop.finish_by(self._election.stop(), deadline_ms):
            self._event_log.record_state('stop cut off', part='election')
        self._event_log.record_state('entry stopped')
        await loop.finish_by(self._background.stop(), deadline_ms)
        return 0

    def _record_abort(self, cause: str) -> None:
        self._event_log.record_state('stream aborted', cause=cause)

    def _listen(self, address: str, site: Any) -> None:
        host, _, port = address.rpartition(':')
        self._listeners.append(
            listeners.listen(host, int(port), site, LISTEN_BACKLOG)
        )

    def _is_ready(self) -> bool:
        if (
            self._stop_requested.is_set()
            or not self._configuration_follower.is_known
        ):
            return False
        now_ms = clock.read_elapsed_ms()
        if self._election.is_owner_known:
            self._owner_last_known_at_ms = now_ms
        last_known_at_ms = self._owner_last_known_at_ms
        return (
            bool(last_known_at_ms)
            and now_ms - last_known_at_ms < OWNER_LOSS_GRACE_MS
        )

    def _apply_settings(self, settings: node_settings.NodeSettings) -> None:
        self._settings = settings
        self._budget.apply_settings(settings)
        self._election.owner_policy = policy.make_policy(settings)

    async def _drain(self) -> None:
        """Give up the ownership and finish the open requests.

        The listeners stay open until the load balancer has noticed that the
        entry is not ready, another entry has taken over, and no more requests
        arrive. Requests that arrive late in the grace period have less time to
        be answered, so that none is cut off.
        """
        started_at_ms = clock.read_elapsed_ms()
        grace_ms = round(self._settings.grace_s * 1000)
        margin_ms = min(
            SHUTDOWN_MARGIN_MS, round(grace_ms * SHUTDOWN_MARGIN_SHARE)
        )
        deadline_ms = started_at_ms + grace_ms - margin_ms
        self._request_service.begin_closing(deadline_ms)
        detection_ms = min(BALANCER_DETECTION_MS, grace_ms // 2)
        self._caller_site.is_leaving = True
        self._event_log.record_state('entry leaves')
        resign_task = asyncio.ensure_future(self._election.resign())
        await loop.wait_for_event(self._abort_requested, detection_ms)
        while (
            self._is_still_needed()
            and not self._abort_requested.is_set()
            and clock.read_elapsed_ms() < deadline_ms - LAST_REQUEST_MS
        ):
            await asyncio.sleep(DRAIN_POLL_INTERVAL_MS / 1000)
        for listener in self._listeners:
            listener.stopListening()
        while (
            self._caller_site.active_requests
            and not self._abort_requested.is_set()
        ):
            if clock.read_elapsed_ms() >= deadline_ms + margin_ms // 2:
                self._event_log.record_state(
                    'requests cut off', count=self._caller_site.active_requests
                )
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_MS / 1000)
        resign_task.cancel()
        await asyncio.gather(resign_task, return_exceptions=True)

    def _is_still_needed(self) -> bool:
        """Tell whether callers would be refused if the listeners closed."""
        if (
            not self._election.is_owner_known
            or self._caller_site.active_requests
        ):
            return True
        # A caller may send its next request once it has this answer.
        quiet_ms = (
            clock.read_elapsed_ms() - self._caller_site.last_active_at_ms
        )
        return quiet_ms < QUIET_MS


def listen_for_metrics(
    settings: node_settings.NodeSettings, account: budget.RequestBudget
) -> None:
    """Serve the metrics page over HTTP."""
    make_page: Any = measurements.MetricsPage
    site = sites.BudgetSite(
        make_page(), account, lambda: METRICS_BODY_LIMIT_BYTES, lambda *_: b''
    )
    listeners.listen(settings.host, settings.metrics_port, site)
