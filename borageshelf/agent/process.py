"""The agent process: reports a target and carries out entries' requests.

The order at start-up matters: the agent adopts the attempts that the worker
lists before it opens streams to the entries, so that no entry takes a running
attempt for absent.
"""

import asyncio
import dataclasses
import itertools
from typing import Final
import uuid

from borageshelf.agent import agent_calls
from borageshelf.agent import agent_state
from borageshelf.agent import drain
from borageshelf.agent import links
from borageshelf.agent import reports
from borageshelf.agent import reservations
from borageshelf.agent import task_manager
from borageshelf.agent import vm_control
from borageshelf import clock
from borageshelf.configuration import propagation
from borageshelf import errors
from borageshelf import loop as loop_module
from borageshelf.model import resources
from borageshelf import options as options_module
from borageshelf.ports import http_executor
from borageshelf.ports import http_worker
from borageshelf.ports import worker as worker_interface
from borageshelf.protocol import inner_pb2
from borageshelf import telemetry as telemetry_module

# A request to the worker costs about as much as a message to an entry, so
# values that seldom change are read in only some of the polls.
POLL_INTERVAL_MS: Final = 500
POLLS_PER_MEASUREMENT: Final = 4
POLLS_PER_DESCRIPTION: Final = 4
RETRY_PAUSE_MS: Final = 500
TOMBSTONE_EXPIRY_INTERVAL_MS: Final = 60_000


class Agent:
    """One agent with its worker, its executor and its streams."""

    def __init__(
        self,
        options: options_module.AgentOptions,
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self._telemetry = telemetry
        boot_id = uuid.uuid4().hex
        self._state = agent_state.AgentState(
            options,
            boot_id,
            worker_interface.WorkerDescription(
                boot_id, resources.NOTHING, options.rack
            ),
        )
        self._reports = reports.ReportMaker(self._state)
        self._worker: worker_interface.Worker | None = None
        self._background = loop_module.TaskGroup()
        self._configuration_holder = propagation.ConfigurationHolder()
        self._control: vm_control.VmControl | None = None
        self._links = links.EntryLinks(
            options.seeds,
            self._reports.make_hello,
            self._reports.make_report,
            self._handle,
            self._handle_detached,
            clock.read_wall_clock_ms,
        )

    async def run(self) -> int:
        """Run until a planned stop is complete; return the exit status."""
        loop_module.watch_signals(
            asyncio.get_running_loop(),
            self._state.stopping.set,
            self._state.aborting.set,
        )
        starting = asyncio.ensure_future(self._start())
        stopping = asyncio.ensure_future(self._state.stopping.wait())
        await asyncio.wait(
            {starting, stopping}, return_when=asyncio.FIRST_COMPLETED
        )
        if not starting.done():
            starting.cancel()
            return 0
        starting.result()
        self._telemetry.log_state(
            'agent started',
            target=self._state.options.target_id,
            vm_boot=self._state.description.boot_id,
        )
        await stopping
        await drain.Drain(
            self._state,
            self._links,
            self._reports,
            self._background,
            self._telemetry,
        ).run()
        await self._links.stop()
        await self._background.stop()
        return 0

    async def _start(self) -> None:
        await self._connect_worker()
        await self._connect_executor()
        self._links.start()
        self._background.start(self._accept_starts_later())
        self._background.start(self._poll())

    async def _connect_worker(self) -> None:
        if not self._state.options.worker_url:
            return
        worker = http_worker.HttpWorker(self._state.options.worker_url)
        while True:
            try:
                self._state.description = await worker.describe()
                adopted = await worker.list()
                break
            except errors.BorageshelfError:
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)
        ledger = reservations.Reservations(
            self._state.description.capacity, accepts_starts=False
        )
        ledger.adopt(adopted)
        self._worker = worker
        self._state.tasks = task_manager.TaskManager(
            worker,
            ledger,
            self._send_ended,
            clock.read_wall_clock_ms,
            self._state.options.clock_skew_ms,
        )
        self._control = vm_control.VmControl(
            self._state.tasks,
            self._state.description.capacity,
            self._telemetry,
        )
        if adopted:
            self._telemetry.log_state('attempts adopted', count=len(adopted))

    async def _connect_executor(self) -> None:
        if not self._state.options.executor_url:
            return
        url = self._state.options.executor_url
        while True:
            try:
                probe = http_executor.HttpExecutor(url, 1)
                self._state.service = await probe.describe()
                break
            except errors.BorageshelfError:
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)
        executor = http_executor.HttpExecutor(
            url, self._state.service.connections
        )
        self._state.calls = agent_calls.AgentCalls(
            executor,
            self._state.service.slots,
            self._state.service.connections,
            clock.read_wall_clock_ms,
        )
        self._background.start(self._state.calls.serve())

    async def _accept_starts_later(self) -> None:
        """Accept starts once those of an earlier process can't arrive."""
        if self._state.tasks is None or self._worker is None:
            return
        await asyncio.sleep(reservations.START_ACCEPT_DELAY_MS / 1000)
        while True:
            try:
                listed = await self._worker.list()
                break
            except errors.BorageshelfError:
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)
        self._state.tasks.ledger.adopt(listed)
        self._state.tasks.ledger.accept_starts()
        for link in self._links.list_connected():
            link.send(report=self._reports.make_report(link))

    async def _poll(self) -> None:
        next_expiry_ms = 0
        for poll_number in itertools.count():
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)
            if self._state.tasks is None:
                continue
            try:
                await self._state.tasks.poll()
                if poll_number % POLLS_PER_MEASUREMENT == 0:
                    await self._state.tasks.measure()
                if poll_number % POLLS_PER_DESCRIPTION == 0:
                    await self._read_description()
                await self._run_control()
            except errors.BorageshelfError as error:
                self._telemetry.count(
                    telemetry_module.STORE_ERRORS, error.code.name
                )
            now_ms = clock.read_wall_clock_ms()
            if now_ms >= next_expiry_ms:
                next_expiry_ms = now_ms + TOMBSTONE_EXPIRY_INTERVAL_MS
                self._state.tasks.ledger.expire_tombstones(now_ms)

    async def _run_control(self) -> None:
        """Throttle or evict attempts that slow the service down."""
        if self._control is None or self._state.tasks is None:
            return
        if self._state.calls is None or self._state.service is None:
            await self._control.run(
                '', 0.0, self._configuration_holder.configuration
            )
            return
        load = self._state.calls.measure_load()
        await self._control.run(
            self._state.service.service,
            load.service_p99_ms,
            self._configuration_holder.configuration,
            load.running / max(self._state.service.slots, 1),
        )

    async def _read_description(self) -> None:
        """Apply a changed capacity; end the process if the VM has rebooted.

        After a reboot, the ledger describes attempts of the earlier boot. The
        platform starts a new agent.
        """
        assert self._worker is not None
        assert self._state.tasks is not None
        current = await self._worker.describe()
        if current.capacity != self._state.description.capacity:
            self._telemetry.log_state(
                'capacity changed',
                millicores=current.capacity.processor_millicores,
                memory_mb=current.capacity.memory_mb,
            )
            self._state.description = dataclasses.replace(
                self._state.description, capacity=current.capacity
            )
            self._state.tasks.ledger.set_capacity(current.capacity)
            if self._control is not None:
                self._control.set_capacity(current.capacity)
        if current.boot_id != self._state.description.boot_id:
            self._telemetry.log_state('the VM has rebooted; agent ends')
            self._state.aborting.set()
            self._state.stopping.set()

    def _send_ended(self, status: inner_pb2.AttemptStatus) -> None:
        link = self._links.find_owner(status.attempt.shard)
        if link is not None:
            link.send(finished=status)

    def _handle(
        self, link: links.EntryLink, message: inner_pb2.EntryMessage
    ) -> None:
        kind = message.WhichOneof('kind')
        if kind == 'welcome':
            if self._state.calls is not None:
                self._state.calls.attach(link.entry_id, link.send_or_drop)
            self._apply_config(message.welcome.config)
        elif kind == 'config':
            self._apply_config(message.config)
        elif kind == 'renew':
            self._background.start(self._renew(link, message.renew))
        elif kind == 'start':
            self._background.start(self._start_task(link, message.start))
        elif kind == 'stop':
            self._background.start(self._stop_task(link, message.stop))
        elif kind == 'release' and self._state.tasks is not None:
            attempt = message.release.attempt
            self._background.start(self._state.tasks.release(attempt))
        elif kind == 'throttle' and self._state.tasks is not None:
            throttle = message.throttle
            self._background.start(
                self._state.tasks.throttle(throttle.attempt, throttle.fraction)
            )
        elif self._state.calls is not None:
            self._state.calls.receive(link.entry_id, message)

    def _handle_detached(self, link: links.EntryLink) -> None:
        if self._state.calls is not None and link.entry_id:
            self._state.calls.detach(link.entry_id)

    def _apply_config(self, config: inner_pb2.ConfigPart) -> None:
        """Apply a configuration if its version is newer."""
        if config.version <= self._state.config_version:
            return
        try:
            self._configuration_holder.apply_part_if_newer(config.document)
        except errors.BorageshelfError as error:
            self._telemetry.log_state(
                'a configuration is refused', detail=error.detail
            )
            return
        self._state.config_version = config.version
        if self._state.tasks is not None:
            self._state.tasks.objective = (
                self._configuration_holder.configuration.objective
            )
        applied = inner_pb2.ConfigPart(version=config.version)
        for link in self._links.list_connected():
            link.send(config_applied=applied)

    async def _renew(
        self, link: links.EntryLink, renew: inner_pb2.Renew
    ) -> None:
        self._links.open_new(renew.entries)
        if renew.report_interval_ms:
            link.report_interval_ms = renew.report_interval_ms
        if self._state.tasks is None:
            return
        observed = []
        for item in renew.epochs:
            if self._state.tasks.ledger.observe_epoch(item.shard, item.epoch):
                link.epochs[item.shard] = item.epoch
                observed.append(item)
        if observed:
            report = self._reports.make_report(link, is_complete=True)
            report.complete.extend(observed)
            link.send(report=report)
        await self._state.tasks.renew(renew.grants)

    async def _start_task(
        self, link: links.EntryLink, start: inner_pb2.Start
    ) -> None:
        if self._state.tasks is None:
            answer = inner_pb2.StartAnswer(
                attempt=start.grant.attempt, code=errors.NO_CAPACITY.number
            )
        else:
            answer = await self._state.tasks.start(start)
        link.send(start_answer=answer)

    async def _stop_task(
        self, link: links.EntryLink, stop: inner_pb2.Stop
    ) -> None:
        if self._state.tasks is None:
            return
        status = await self._state.tasks.stop(stop)
        if status is not None:
            link.send(stopped=status)


def run(options: options_module.AgentOptions) -> int:
    """Run an agent until it is stopped; return its exit status."""
    telemetry_module.start_logging()
    loop = loop_module.install()
    telemetry = telemetry_module.Telemetry(
        'agent', options.target_id, options.statsd_address
    )

    async def main() -> int:
        return await Agent(options, telemetry).run()

    return loop_module.run(loop, main)
