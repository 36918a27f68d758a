"""The agent process: announces a target and carries out what entries ask.

Start-up order matters: the agent first learns from the worker what runs and
adopts it, and only then opens streams to the entries.
"""

import asyncio
import itertools
from typing import Final
import uuid

from borageshelf.agent import calls
from borageshelf.agent import links
from borageshelf.agent import reservations
from borageshelf.agent import tasks
from borageshelf.agent import usage as usage_module
from borageshelf.agent import vm_control
from borageshelf import clock
from borageshelf.configuration import propagation
from borageshelf import errors
from borageshelf import loop as loop_module
from borageshelf.model import resources
from borageshelf import options as options_module
from borageshelf.platform import executor as executor_interface
from borageshelf.platform import http_executor
from borageshelf.platform import http_worker
from borageshelf.platform import worker as worker_interface
from borageshelf.protocol import convert
from borageshelf.protocol import inner_pb2
from borageshelf import telemetry as telemetry_module

# A request to the worker costs about as much as a message to an entry, so
# what changes seldom is asked for seldom.
POLL_INTERVAL_MS: Final = 500
POLLS_PER_MEASUREMENT: Final = 4
POLLS_PER_BOOT_CHECK: Final = 10
START_PAUSE_MS: Final = 500
TOMBSTONE_INTERVAL_MS: Final = 60_000
# Time for the last messages of a planned stop to reach the entries.
FAREWELL_MS: Final = 300


class Agent:
    """One agent with its worker, its executor and its streams."""

    def __init__(
        self,
        options: options_module.AgentOptions,
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self._options = options
        self._telemetry = telemetry
        self._boot_id = uuid.uuid4().hex
        self._worker: worker_interface.Worker | None = None
        self._executor: executor_interface.Executor | None = None
        self._description = worker_interface.WorkerDescription(
            self._boot_id, resources.NOTHING, options.rack
        )
        self._service: executor_interface.ExecutorDescription | None = None
        self._tasks: tasks.TaskManager | None = None
        self._calls: calls.AgentCalls | None = None
        self._background = loop_module.TaskGroup()
        self._stopping = asyncio.Event()
        self._aborting = asyncio.Event()
        self._config = inner_pb2.ConfigPart()
        self._holder = propagation.ConfigurationHolder()
        self._control: vm_control.VmControl | None = None
        self._links = links.EntryLinks(
            options.seeds,
            self._make_hello,
            self._make_report,
            self._handle,
            self._handle_detached,
            clock.read_wall_clock_ms,
        )

    async def run(self) -> int:
        """Run until a planned stop is complete."""
        loop_module.watch_signals(
            asyncio.get_running_loop(),
            self._stopping.set,
            self._aborting.set,
        )
        starting = asyncio.ensure_future(self._start())
        stopping = asyncio.ensure_future(self._stopping.wait())
        await asyncio.wait(
            {starting, stopping}, return_when=asyncio.FIRST_COMPLETED
        )
        if not starting.done():
            starting.cancel()
            return 0
        starting.result()
        self._telemetry.log_state(
            'agent started',
            target=self._options.target_id,
            vm_boot=self._description.boot_id,
        )
        await stopping
        await self._drain()
        await self._links.stop()
        await self._background.stop()
        return 0

    async def _start(self) -> None:
        await self._connect_worker()
        await self._connect_executor()
        self._links.start()
        self._background.start(self._settle())
        self._background.start(self._poll())

    async def _connect_worker(self) -> None:
        if not self._options.worker_url:
            return
        worker = http_worker.HttpWorker(self._options.worker_url)
        while True:
            try:
                self._description = await worker.describe()
                adopted = await worker.list()
                break
            except errors.BorageshelfError:
                await asyncio.sleep(START_PAUSE_MS / 1000)
        ledger = reservations.Reservations(
            self._description.capacity, is_settled=False
        )
        ledger.adopt(adopted)
        self._worker = worker
        self._tasks = tasks.TaskManager(
            worker,
            ledger,
            self._send_ended,
            clock.read_wall_clock_ms,
            self._options.clock_skew_ms,
        )
        self._control = vm_control.VmControl(
            self._tasks, self._description.capacity, self._telemetry
        )
        if adopted:
            self._telemetry.log_state('attempts adopted', count=len(adopted))

    async def _connect_executor(self) -> None:
        if not self._options.executor_url:
            return
        url = self._options.executor_url
        while True:
            try:
                probe = http_executor.HttpExecutor(url, 1)
                self._service = await probe.describe()
                break
            except errors.BorageshelfError:
                await asyncio.sleep(START_PAUSE_MS / 1000)
        self._executor = http_executor.HttpExecutor(
            url, self._service.connections
        )
        self._calls = calls.AgentCalls(
            self._executor,
            self._service.slots,
            self._service.connections,
            clock.read_wall_clock_ms,
        )
        self._background.start(self._calls.serve())

    async def _settle(self) -> None:
        """Take starts once those of an earlier process can't arrive."""
        if self._tasks is None or self._worker is None:
            return
        await asyncio.sleep(reservations.SETTLE_MS / 1000)
        while True:
            try:
                listed = await self._worker.list()
                break
            except errors.BorageshelfError:
                await asyncio.sleep(START_PAUSE_MS / 1000)
        self._tasks.ledger.adopt(listed)
        self._tasks.ledger.settle()
        for link in self._links.list_connected():
            link.send(report=self._make_report(link))

    async def _poll(self) -> None:
        next_expiry_ms = 0
        for number in itertools.count():
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)
            if self._tasks is None:
                continue
            try:
                await self._tasks.poll()
                if number % POLLS_PER_MEASUREMENT == 0:
                    await self._tasks.measure()
                if number % POLLS_PER_BOOT_CHECK == 0:
                    await self._check_boot()
                await self._control_attempts()
            except errors.BorageshelfError as error:
                self._telemetry.count(
                    telemetry_module.STORE_ERRORS, error.code.name
                )
            now_ms = clock.read_wall_clock_ms()
            if now_ms >= next_expiry_ms:
                next_expiry_ms = now_ms + TOMBSTONE_INTERVAL_MS
                self._tasks.ledger.expire_tombstones(now_ms)

    async def _control_attempts(self) -> None:
        """Throttle or move attempts that slow the service down."""
        if self._control is None or self._tasks is None:
            return
        if self._calls is None or self._service is None:
            await self._control.run('', 0.0, self._holder.configuration)
            return
        load = self._calls.find_load()
        await self._control.run(
            self._service.service,
            load.service_p99_ms,
            self._holder.configuration,
            load.running / max(self._service.slots, 1),
        )

    async def _check_boot(self) -> None:
        """End the process when the worker has restarted under it.

        Its ledger speaks of the old boot; the platform starts a new agent.
        """
        assert self._worker is not None
        found = await self._worker.describe()
        if found.boot_id != self._description.boot_id:
            self._telemetry.log_state('the VM has rebooted; agent ends')
            self._aborting.set()
            self._stopping.set()

    # Messages to the entries.

    def _make_hello(self) -> inner_pb2.Hello:
        hello = inner_pb2.Hello(
            target_id=self._options.target_id,
            vm_boot_id=self._description.boot_id,
            agent_boot_id=self._boot_id,
            data_centre=self._options.data_centre,
            rack=self._description.rack or self._options.rack,
            capacity=convert.pack_resources(self._description.capacity),
            config_version=self._config.version,
            report=self._make_base_report(),
        )
        if self._service is not None:
            hello.service.CopyFrom(
                inner_pb2.ServiceSlots(
                    service=self._service.service,
                    slots=self._service.slots,
                    connections=self._service.connections,
                )
            )
        return hello

    def _make_base_report(self) -> inner_pb2.Report:
        report = inner_pb2.Report(
            leaving=self._stopping.is_set(),
            config_version=self._config.version,
        )
        if self._tasks is not None:
            free = self._tasks.ledger.find_free()
            report.free.CopyFrom(convert.pack_resources(free))
        if self._calls is not None:
            load = self._calls.find_load()
            report.queued_calls = load.queued
            report.running_calls = load.running
            report.service_p99_ms = load.service_p99_ms
            report.service_measured_at_ms = clock.read_wall_clock_ms()
        return report

    def _make_report(self, link: links.EntryLink) -> inner_pb2.Report:
        """Return the report for one entry: only attempts of its shards."""
        report = self._make_base_report()
        if self._tasks is None:
            return report
        self._add_usage(link, report)
        for held in self._tasks.ledger.list_held():
            shard = held.offer.shard
            if self._obeys(link, shard):
                report.attempts.append(convert.pack_held(held))
        return report

    def _add_usage(
        self, link: links.EntryLink, report: inner_pb2.Report
    ) -> None:
        """Add what the attempts hold, if this entry does not know it."""
        assert self._tasks is not None
        usage = usage_module.summarise(self._tasks.ledger.list_held())
        fingerprint = usage_module.make_fingerprint(usage)
        if fingerprint == link.usage_fingerprint:
            return
        link.usage_fingerprint = fingerprint
        report.has_usage = True
        report.usage.extend(usage)

    def _obeys(self, link: links.EntryLink, shard: int) -> bool:
        assert self._tasks is not None
        epoch = link.epochs.get(shard, -1)
        return epoch == self._tasks.ledger.find_epoch(shard)

    def _send_ended(self, status: inner_pb2.AttemptStatus) -> None:
        link = self._links.find_owner(status.attempt.shard)
        if link is not None:
            link.send(finished=status)

    # Messages from the entries.

    def _handle(
        self, link: links.EntryLink, message: inner_pb2.EntryMessage
    ) -> None:
        kind = message.WhichOneof('kind')
        if kind == 'welcome':
            if self._calls is not None:
                self._calls.attach(link.entry_id, link.post)
            self._apply_config(message.welcome.config)
        elif kind == 'config':
            self._apply_config(message.config)
        elif kind == 'renew':
            self._background.start(self._renew(link, message.renew))
        elif kind == 'start':
            self._background.start(self._start_task(link, message.start))
        elif kind == 'stop':
            self._background.start(self._stop_task(link, message.stop))
        elif kind == 'release' and self._tasks is not None:
            attempt = message.release.attempt
            self._background.start(self._tasks.release(attempt))
        elif kind == 'throttle' and self._tasks is not None:
            throttle = message.throttle
            self._background.start(
                self._tasks.throttle(throttle.attempt, throttle.fraction)
            )
        elif self._calls is not None:
            self._calls.receive(link.entry_id, message)

    def _handle_detached(self, link: links.EntryLink) -> None:
        if self._calls is not None and link.entry_id:
            self._calls.detach(link.entry_id)

    def _apply_config(self, config: inner_pb2.ConfigPart) -> None:
        """Use a newer configuration; a version never goes down."""
        if config.version <= self._config.version:
            return
        try:
            self._holder.offer_part(config.document)
        except errors.BorageshelfError as error:
            self._telemetry.log_state(
                'a configuration is refused', detail=error.detail
            )
            return
        self._config.CopyFrom(config)
        if self._tasks is not None:
            self._tasks.objective = self._holder.configuration.objective
        applied = inner_pb2.ConfigPart(version=config.version)
        for link in self._links.list_connected():
            link.send(config_applied=applied)

    async def _renew(
        self, link: links.EntryLink, renew: inner_pb2.Renew
    ) -> None:
        self._links.learn(renew.entries)
        if renew.report_interval_ms:
            link.report_interval_ms = renew.report_interval_ms
        if self._tasks is None:
            return
        fresh = []
        for item in renew.epochs:
            if self._tasks.ledger.observe_epoch(item.shard, item.epoch):
                link.epochs[item.shard] = item.epoch
                fresh.append(item)
        if fresh:
            report = self._make_report(link)
            report.complete.extend(fresh)
            link.send(report=report)
        await self._tasks.renew(renew.grants)

    async def _start_task(
        self, link: links.EntryLink, start: inner_pb2.Start
    ) -> None:
        if self._tasks is None:
            answer = inner_pb2.StartAnswer(
                attempt=start.grant.attempt, code=errors.NO_CAPACITY.number
            )
        else:
            answer = await self._tasks.start(start)
        link.send(start_answer=answer)

    async def _stop_task(
        self, link: links.EntryLink, stop: inner_pb2.Stop
    ) -> None:
        if self._tasks is None:
            return
        status = await self._tasks.stop(stop)
        if status is not None:
            link.send(stopped=status)

    # Planned stop.

    async def _drain(self) -> None:
        """Finish or checkpoint all work, then say goodbye."""
        deadline_ms = clock.read_wall_clock_ms() + self._options.drain_ms
        self._telemetry.log_state('agent leaves', deadline_ms=deadline_ms)
        if self._tasks is not None:
            self._tasks.ledger.leave()
        for link in self._links.list_connected():
            link.send(report=self._make_report(link))
        if self._calls is not None:
            self._background.start(self._calls.drain(deadline_ms))
        # Checkpoints and their commits need the second half of the time.
        await self._wait_for_work(deadline_ms - self._options.drain_ms // 2)
        await self._evict(only_idempotent=True)
        # A non-idempotent task may have no checkpoint, and its outcome would
        # be unknown after a stop, so it gets all of the time.
        await self._wait_for_work(deadline_ms)
        await self._evict(only_idempotent=False)
        await self._wait_for_releases(deadline_ms + self._options.drain_ms)
        await asyncio.sleep(FAREWELL_MS / 1000)

    async def _wait_for_work(self, deadline_ms: int) -> None:
        """Wait until no call and no task runs, or the deadline passes."""
        while not self._aborting.is_set():
            if not (self._has_calls() or self._has_running_tasks()):
                return
            if clock.read_wall_clock_ms() >= deadline_ms:
                return
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)

    async def _evict(self, only_idempotent: bool) -> None:
        """Checkpoint and stop tasks that still run."""
        if self._tasks is None or self._aborting.is_set():
            return
        await asyncio.gather(
            *(
                self._tasks.evict(held.offer.key)
                for held in self._tasks.ledger.list_held()
                if held.offer.idempotent or not only_idempotent
            )
        )

    async def _wait_for_releases(self, deadline_ms: int) -> None:
        """Stay until the owners have committed what ended here."""
        while self._tasks is not None and not self._aborting.is_set():
            if not self._tasks.ledger.list_held():
                return
            if clock.read_wall_clock_ms() >= deadline_ms:
                return
            for link in self._links.list_connected():
                link.send(report=self._make_report(link))
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)

    def _has_calls(self) -> bool:
        if self._calls is None:
            return False
        load = self._calls.find_load()
        return load.queued + load.running > 0

    def _has_running_tasks(self) -> bool:
        if self._tasks is None:
            return False
        return any(held.occupies for held in self._tasks.ledger.list_held())


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
