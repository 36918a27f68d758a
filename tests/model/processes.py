"""Processes of the model: entries that may own the workflows, and agents.

They consist of the program's own parts; only their outer connections are
models.
"""

import asyncio
from collections import abc
from typing import Any, Protocol

from borageshelf.agent.workflows import driver
from borageshelf.agent.workflows import owner_link
from borageshelf.entry.workflows import runtime
from borageshelf import errors
from borageshelf.model import resources
from borageshelf.model import workflows
from borageshelf.ports import inventory
from borageshelf.ports import store as store_interface
from borageshelf.ports import task_executor
from borageshelf.workflows import effects
from borageshelf.workflows import hand_over
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import policy
from borageshelf.workflows import records
from tests.model import executors
from tests.model import store
from tests.model import streams
from tests.model import virtual_time

GRANT_MS = round(executors.MAX_HOLD_MS * policy.LEASE_LIMIT_SHARE)
POLICY = policy.OwnerPolicy(min(policy.GRANT_LIMIT_MS, GRANT_MS), 150_000)
STORE_RETRY_PAUSE_MS = 150
QUEUE = workflows.Queue(
    'short', 'jobs.example', '/short/', 'pigment', attempts_limit=3
)
TASK_SIZE = resources.Resources(1_000, 1_000)


class World(Protocol):
    """What the processes need of the model around them."""

    clock: virtual_time.ModelClock
    platform_store: store.ModelStore
    has_copies: bool

    def call_store(
        self, process: 'Process', call: store.Call
    ) -> asyncio.Future[Any]:
        """Put a call of the store on its way."""

    def send_order(
        self, process: 'AgentProcess', order: executors.Order
    ) -> asyncio.Future[Any]:
        """Put an order to an executor on its way."""

    def read_executor_clock_ms(self, name: str) -> int:
        """Return the clock that an executor shows in its answers."""
        raise NotImplementedError

    @property
    def listing(self) -> inventory.Inventory | None:
        """The platform's list of VMs; None if there is none."""
        raise NotImplementedError

    def note_event(self, process: 'Process', text: str) -> None:
        """Add a line to the history."""

    def note_owner(self, process: 'OwnerProcess') -> None:
        """Note that a process has become the owner."""

    def note_cancelled(self, workflow_id: str) -> None:
        """Note that a cancellation is acknowledged."""


class ModelLog:
    """Stands in for ``EventLog``; the lines belong to the history."""

    def __init__(self, world: World, process: 'Process') -> None:
        self._world = world
        self._process = process
        self.dropped_lines = 0

    def record(self, event: str, level: Any = None, **fields: Any) -> None:
        """Add a line."""
        shown = {
            key: value
            for key, value in fields.items()
            if key in ('task', 'attempt', 'target', 'cause', 'reason', 'token')
        }
        details = ', '.join(f'{key} {value}' for key, value in shown.items())
        self._world.note_event(self._process, f'{event} {details}')

    def record_order(self, event: str, **fields: Any) -> None:
        """Add a line."""
        self.record(event, **fields)

    def record_state(self, event: str, **fields: Any) -> None:
        """Add a line."""
        self.record(event, **fields)

    def record_detail(self, event: str, **fields: Any) -> None:
        """Leave out details."""

    def record_failure(self, error: Exception) -> None:
        """Note an error that the program did not expect."""
        self._process.failures.append(repr(error))


class Process:
    """One process with its own event loop."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.is_alive = True
        self.resumes_at_ms = 0
        self.failures: list[str] = []
        self.loop = virtual_time.make_loop(world.clock, self)
        self.log: Any = ModelLog(world, self)
        self.store_port: Any = store.StorePort(
            world.platform_store, lambda call: world.call_store(self, call)
        )

    @property
    def is_running(self) -> bool:
        """Tell whether the process is neither dead nor paused."""
        return self.is_alive and self.world.clock.now_ms >= self.resumes_at_ms


class OwnerProcess(Process):
    """An entry that may own the workflows."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.runtime: runtime.OwnerRuntime | None = None
        self.boot = 0

    def take_over(self) -> None:
        """Begin to acquire the ownership."""
        if self.runtime is None:
            self.loop.create_task(self._own())

    async def _own(self) -> None:
        """Acquire the ownership as ``Election`` does, and keep it."""
        try:
            owner_entry = await self.store_port.get(records.OWNER_KEY)
            entry = await self.store_port.get(records.HEAD_KEY)
            head = records.HeadRecord()
            if entry is not None:
                head = journal.decode(entry.value, records.HeadRecord)
            self.boot += 1
            handed_over = hand_over.HandOver(head, self.world.clock.now_ms)
            owner_journal = journal.Journal(
                self.store_port,
                records.OwnerRecord(
                    head.epoch + 1, self.name, f'{self.boot}', self.name
                ),
                entry.revision if entry else store_interface.MUST_NOT_EXIST,
                lambda error: None,
                handed_over,
            )
            confirmed_at_ms = self.world.clock.now_ms
            if not await owner_journal.acquire(
                owner_entry.revision if owner_entry else 0, '1'
            ):
                return
        except errors.BorageshelfError:
            return
        owner_runtime = runtime.OwnerRuntime(
            self.store_port,
            owner_journal,
            '1',
            POLICY,
            self.log,
            lambda: (),
            confirmed_at_ms,
            handed_over=handed_over,
            listing=self.world.listing,
        )
        while True:
            try:
                await owner_runtime.load()
                break
            except errors.BorageshelfError:
                await asyncio.sleep(STORE_RETRY_PAUSE_MS / 1000)
        self.runtime = owner_runtime
        self.world.note_owner(self)
        try:
            await owner_runtime.run()
        finally:
            self.runtime = None

    def submit(self, workflow_id: str) -> None:
        """Submit a workflow with one task."""
        step = workflows.Step(
            1,
            TASK_SIZE,
            1_000,
            is_speculative=self.world.has_copies,
        )
        workflow = workflows.Workflow(workflow_id, 'spec', (step,))
        assert self.runtime is not None
        self.loop.create_task(
            self.runtime.answer(
                messages.SubmitRequest(1, workflow, QUEUE),
                self.world.clock.now_ms + 60_000,
            )
        )

    def cancel(self, workflow_id: str) -> None:
        """Cancel a workflow that no owner knows yet."""
        assert self.runtime is not None
        owner_runtime = self.runtime

        async def cancel() -> None:
            answer = await owner_runtime.answer(
                messages.CancelRequest(1, workflow_id),
                self.world.clock.now_ms + 60_000,
            )
            if answer.outcome is effects.Outcome.ABSENT:
                self.world.note_cancelled(workflow_id)

        self.loop.create_task(cancel())

    def serve(self, side: streams.Side) -> asyncio.Task[Any]:
        """Serve the stream of an agent, which begins with a hello."""

        async def serve() -> None:
            incoming = side.receive()
            hello = await anext(incoming, None)
            if self.runtime is None or not isinstance(
                hello, messages.AgentHello
            ):
                return
            outbox: Any = side
            await self.runtime.serve_agent(hello, incoming, outbox)

        async def supervise() -> None:
            handler = asyncio.ensure_future(serve())
            await asyncio.wait({handler})
            side.close()

        return self.loop.create_task(supervise())


class AgentProcess(Process):
    """The agent beside an executor."""

    def __init__(
        self,
        world: World,
        name: str,
        boot: int,
        seeds: abc.Sequence[str],
    ) -> None:
        super().__init__(world, name)
        self.boot = boot
        self.link = owner_link.OwnerLink(
            seeds, self.store_port, self._make_hello, self.log
        )
        self.driver: driver.ExecutorDriver = driver.ExecutorDriver(
            ExecutorPort(self),
            self.log,
            self.link.send,
            self.link.request_session,
            POLICY.grant_ms,
        )
        self.link.driver = self.driver
        self.loop.create_task(self.link.run())

    def _make_hello(self) -> messages.AgentHello | None:
        incarnation = self.driver.incarnation
        if not incarnation:
            return None
        return messages.AgentHello(
            self.name, f'{self.boot}', 'tajo-norte', incarnation
        )


class ExecutorPort:
    """The executor as its agent reaches it; ``task_executor.TaskExecutor``."""

    def __init__(self, process: AgentProcess) -> None:
        self._process = process

    async def _send(self, order: executors.Order) -> Any:
        return await self._process.world.send_order(self._process, order)

    async def start(
        self, instance_id: str, order: task_executor.StartOrder
    ) -> task_executor.StartAnswer:
        """Start an attempt."""
        outcome = await self._send(executors.Start(instance_id, order))
        assert isinstance(outcome, task_executor.StartOutcome)
        clock_ms = self._process.world.read_executor_clock_ms(
            self._process.name
        )
        return task_executor.StartAnswer(outcome, clock_ms)

    async def stop(
        self, instance_id: str, task: str, attempt: int, token: int
    ) -> None:
        """Stop an attempt."""
        outcome = await self._send(
            executors.Stop(instance_id, task, attempt, token)
        )
        if outcome is not task_executor.StartOutcome.STARTED:
            raise task_executor.OrderRefused(outcome)

    async def inspect(
        self,
        instance_id: str,
        token: int,
        acknowledged: int,
        lease_deadline_ms: int,
        wait_ms: int,
    ) -> task_executor.Inspection:
        """List the runs and the ends."""
        answer = await self._send(
            executors.Inspect(
                instance_id, token, acknowledged, lease_deadline_ms, wait_ms
            )
        )
        if isinstance(answer, task_executor.StartOutcome):
            raise task_executor.OrderRefused(answer)
        assert isinstance(answer, task_executor.Inspection)
        return answer

    async def pace(
        self,
        instance_id: str,
        task: str,
        attempt: int,
        percent: int,
        token: int,
    ) -> None:
        """Do nothing: the model has no fillers."""
