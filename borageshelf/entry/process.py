"""The entry process: serves callers, agents and entries, owns shards."""

import asyncio
from collections import abc
import importlib
import random
from typing import Any, Final
import uuid

from borageshelf import clock
from borageshelf.configuration import propagation
from borageshelf.decisions import admission
from borageshelf.entry import admin
from borageshelf.entry import batch
from borageshelf.entry import budget_reports
from borageshelf.entry import callers
from borageshelf.entry import calls as calls_module
from borageshelf.entry import jobs
from borageshelf.entry import membership
from borageshelf.entry import peers
from borageshelf.entry import service as service_module
from borageshelf.entry import sessions
from borageshelf.entry import status
from borageshelf.entry import watchdog
from borageshelf import errors
from borageshelf.http_server import grpc_server
from borageshelf.http_server import listeners
from borageshelf import loop as loop_module
from borageshelf.model import objects
from borageshelf import options as options_module
from borageshelf.ports import http_store
from borageshelf.ports import scoped_store
from borageshelf import telemetry as telemetry_module

CLAIM_LIFETIME_MS: Final = 24 * 3600 * 1000
# A configuration of 10 KB from each of 11 peers every 4 s would use up the
# budget of 14 KB per second.
MAX_PEERS_ASKED: Final = 3
# With twisted's default of 50, connections of a burst are dropped, which a
# caller notices only after a second.
CONNECTION_BACKLOG: Final = 1024
# Entries and agents send their first message as soon as they are connected.
FIRST_MESSAGE_LIMIT_MS: Final = 3_600
# Requests of another entry that are open at a time, one for each claim or job.
PEER_STREAMS_LIMIT: Final = 1_000
# Time for load balancers to notice that the entry is no longer ready, before
# it closes its listeners.
LOAD_BALANCER_DELAY_MS: Final = 500


class Entry:
    """One entry; creates, starts and stops its components."""

    def __init__(
        self,
        options: options_module.EntryOptions,
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self._options = options
        self._telemetry = telemetry
        self._boot_id = uuid.uuid4().hex
        self._stopping = asyncio.Event()
        self._aborting = asyncio.Event()
        self._background = loop_module.TaskGroup()
        self._budget = budget_reports.make_budget(options, telemetry)
        self._store = http_store.HttpStore(options.store_url)
        regional_store = scoped_store.ScopedStore(
            self._store, f'regions/{options.region}/'
        )
        self._holder = propagation.ConfigurationHolder()
        self._registry = sessions.SessionRegistry()
        self._peers = peers.Peers()
        self._batch = batch.BatchService(
            options,
            regional_store,
            self._registry,
            self._find_configuration,
            telemetry,
        )
        self._membership = membership.Membership(
            regional_store,
            membership.Member(
                options.entry_id,
                self._boot_id,
                str(options.inner_address),
                options.data_centre,
            ),
            self._handle_membership_change,
        )
        self._watchdog = watchdog.Watchdog(
            options.entry_id, self._membership, self._peers, telemetry
        )
        self._jobs = jobs.JobService(
            self._batch,
            self._peers,
            self._holder,
            options.shards,
        )
        self._calls = calls_module.CallEngine(
            self._boot_id,
            options.data_centre,
            clock.read_wall_clock_ms,
            random.Random(self._boot_id),
            self._claim,
            self._jobs.settle,
            telemetry,
        )
        self._service = service_module.InnerService(
            options.entry_id,
            self._registry,
            self._membership,
            self._batch,
            self._jobs,
            self._calls,
            self._holder,
            telemetry,
        )
        self._status = status.StatusProvider(
            options,
            self._holder,
            self._registry,
            self._membership,
            self._batch,
            self._calls,
        )
        self._listeners: list[Any] = []

    async def run(self) -> int:
        """Run until a planned stop is complete; return the exit status."""
        loop_module.watch_signals(
            asyncio.get_running_loop(),
            self._stopping.set,
            self._aborting.set,
        )
        server = grpc_server.GuardedServer(
            [self._service],
            self._budget,
            FIRST_MESSAGE_LIMIT_MS,
            PEER_STREAMS_LIMIT,
        )
        await server.start(
            self._options.inner_address.host, self._options.inner_address.port
        )
        self._background.start_with_restarts(
            self._budget.run,
            lambda error: self._telemetry.log_state(
                'request budget failed', error=repr(error)
            ),
        )
        self._holder.add_observer(self._apply_configuration)
        watcher = propagation.ConfigurationWatcher(
            self._store,
            self._holder,
            self._ask_peers,
            self._options.entry_id,
            telemetry=self._telemetry,
        )
        self._background.start(watcher.run())
        self._background.start(self._calls.serve())
        self._background.start(self._service.close_silent_streams())
        self._membership.start()
        self._batch.start(self._membership)
        self._background.start(self._watchdog.run())
        self._listen()
        self._telemetry.log_state('entry started', entry=self._boot_id)
        await self._stopping.wait()
        await self._drain()
        server.close()
        await server.wait_closed()
        self._peers.close()
        await self._background.stop()
        return 0

    def _listen(self) -> None:
        reactor: Any = importlib.import_module('twisted.internet.reactor')
        site = callers.CallerSite(
            self._calls, self._jobs, self._find_configuration
        ).make_site(self._budget)
        address = self._options.caller_address
        self._listeners.append(
            listeners.listen(
                address.host, address.port, site, CONNECTION_BACKLOG
            )
        )
        admin.listen(reactor, self._options, self._status, self._telemetry)

    async def _drain(self) -> None:
        """Finish the calls in progress and hand over the shards."""
        deadline_ms = clock.read_wall_clock_ms() + self._options.drain_ms
        self._telemetry.log_state('entry leaves', deadline_ms=deadline_ms)
        self._status.is_leaving = True
        await asyncio.sleep(LOAD_BALANCER_DELAY_MS / 1000)
        for listener in self._listeners:
            listener.stopListening()
        calls = asyncio.ensure_future(self._calls.drain(deadline_ms))
        aborting = asyncio.ensure_future(self._aborting.wait())
        leaving = asyncio.ensure_future(self._leave(calls))
        await asyncio.wait(
            {leaving, aborting}, return_when=asyncio.FIRST_COMPLETED
        )
        for task in (calls, aborting, leaving):
            task.cancel()
        await asyncio.gather(calls, aborting, leaving, return_exceptions=True)

    async def _leave(self, calls: asyncio.Future[bool]) -> None:
        await self._batch.leave()
        await calls
        await self._membership.stop()

    # Callbacks that connect the components.

    def _find_configuration(self) -> objects.Configuration:
        return self._holder.configuration

    def _handle_membership_change(self) -> None:
        self._batch.handle_membership_change()
        self._service.broadcast_entries()
        self._configure_calls()

    def _apply_configuration(
        self, configuration: objects.Configuration
    ) -> None:
        self._telemetry.gauge(
            telemetry_module.CONFIG_VERSION, configuration.version
        )
        self._configure_calls()
        self._membership.announce_configuration_version(configuration.version)
        self._service.broadcast_configuration()

    def _configure_calls(self) -> None:
        configuration = self._holder.configuration
        shares = {
            name: team.calls_share
            for name, team in configuration.teams.items()
            if team.calls_share
        }
        limits = {
            name: admission.Limits(
                queue_limit=service.queue_limit, team_shares=shares
            )
            for name, service in configuration.services.items()
        }
        entries = len(self._membership.list_members())
        self._calls.configure(limits, entries)

    async def _claim(self, key: str, call_id: str) -> Any:
        expires_deadline_ms = clock.read_wall_clock_ms() + CLAIM_LIFETIME_MS
        return await self._jobs.claim(key, call_id, expires_deadline_ms)

    async def _ask_peers(self) -> abc.Sequence[bytes]:
        """Return the configurations of a few random entries that answer."""
        bundles = []
        others = [
            member
            for member in self._membership.list_members()
            if member.entry_id != self._options.entry_id
        ]
        count = min(len(others), MAX_PEERS_ASKED)
        for member in random.sample(others, count):
            try:
                answer = await self._peers.fetch_versions(member.address)
            except errors.BorageshelfError:
                continue
            if answer.publication:
                bundles.append(answer.publication)
        return bundles


def run(options: options_module.EntryOptions) -> int:
    """Run an entry until it is stopped; return its exit status."""
    telemetry_module.start_logging()
    loop = loop_module.install()
    telemetry = telemetry_module.Telemetry(
        'entry', options.entry_id, options.statsd_address
    )

    async def main() -> int:
        return await Entry(options, telemetry).run()

    return loop_module.run(loop, main)
