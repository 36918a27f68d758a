"""The state of one history: processes, executors, store and what is in transit.

What is in transit is handled in the order in which it was sent, and time
passes only when nothing is in transit. Each item that matters to the promise
is a branch point, where ``choices`` may choose a fault or another order.
"""

import asyncio
from collections import abc
import dataclasses
import heapq
import itertools
from typing import Any, Final

from borageshelf import errors
from borageshelf.ports import task_executor
from borageshelf.workflows import messages
from tests.model import executors
from tests.model import monitor
from tests.model import processes
from tests.model import store
from tests.model import streams
from tests.model import virtual_time

ORDER_TIMEOUT_MS: Final = 800
AGENT_START_MS: Final = 300
CONNECT_TIMEOUT_MS: Final = 600
# Enough for the first sessions and grants, and for a commit.
ATTACH_MS: Final = 700
COMMIT_MS: Final = 100
HEARTBEAT_MS: Final = executors.HEARTBEAT_INTERVAL_MS


@dataclasses.dataclass(frozen=True)
class Scenario:
    """What a search is about.

    :param tasks: number of workflows, each with one task
    :param ends_limit: number of ends that an executor lists at a time
    :param excluded: kinds of choices that do not exist
    :param duration_ms: end of a history, from the start of the processes
    :param is_placed_later: whether the workflows are accepted before there
        are any targets
    """

    tasks: int = 1
    ends_limit: int = 500
    excluded: frozenset[str] = frozenset()
    duration_ms: int = 9_000
    is_placed_later: bool = False


@dataclasses.dataclass(eq=False)
class OrderItem:
    """An order on its way to an executor."""

    executor: executors.Executor
    order: executors.Order
    future: asyncio.Future[Any]
    has_kept: bool = False

    @property
    def is_branch(self) -> bool:
        """Tell whether to choose here.

        An idle executor's inspections change nothing.
        """
        executor = self.executor
        if not isinstance(self.order, executors.Inspect):
            return True
        return not self.order.wait_ms or bool(
            executor.running or executor.ended or self.has_kept
        )

    @property
    def text(self) -> str:
        """Description for the history."""
        return f'{self.executor.full_name} handles the {self.order.text}'


@dataclasses.dataclass(eq=False)
class CallItem:
    """A call on its way to the store."""

    process: processes.Process
    call: store.Call
    future: asyncio.Future[Any]

    @property
    def is_branch(self) -> bool:
        """Tell whether to choose here."""
        return self.call.is_branch

    @property
    def text(self) -> str:
        """Description for the history."""
        return f'the store handles the {self.call.text} by {self.process.name}'


@dataclasses.dataclass(eq=False)
class MessageItem:
    """A message, or None for the end of a stream, on its way."""

    stream: 'Stream'
    direction: str
    message: messages.AnyMessage | None

    @property
    def is_branch(self) -> bool:
        """Tell whether to choose here."""
        return isinstance(self.message, streams.BRANCH_KINDS)

    @property
    def text(self) -> str:
        """Description for the history."""
        receiver = self.stream.owner.name
        if self.direction == streams.TO_AGENT:
            receiver = self.stream.agent.name
        return (
            f'{receiver} receives {describe_message(self.message)}'
            f' (stream {self.stream.number})'
        )


@dataclasses.dataclass(eq=False)
class CloseItem:
    """The owner's handler of a stream that it has closed ends soon."""

    stream: 'Stream'
    has_waiting: bool

    @property
    def is_branch(self) -> bool:
        """Tell whether to choose here."""
        return self.has_waiting

    @property
    def text(self) -> str:
        """Description for the history."""
        return f'{self.stream.owner.name} ends stream {self.stream.number}'


Item = OrderItem | CallItem | MessageItem | CloseItem


def describe_message(message: messages.AnyMessage | None) -> str:
    """Return a short description of a message."""
    if message is None:
        return 'the end'
    details = ''
    if isinstance(message, messages.Snapshot):
        running = [f'{row.task}#{row.attempt}' for row in message.running]
        ended = [
            f'{end.task}#{end.attempt} {end.kind.value}'
            for end in message.ended
        ]
        details = f' running {running} ended {ended}'
    elif isinstance(message, messages.Ends):
        details = ''.join(
            f' {end.number}: {end.task}#{end.attempt} {end.kind.value}'
            for end in message.ended
        )
    elif isinstance(message, messages.Start):
        details = f' of {message.terms.task}#{message.terms.attempt}'
    elif isinstance(message, messages.Stop | messages.StartRefused):
        details = f' of {message.task}#{message.attempt}'
    elif isinstance(message, messages.Acknowledged):
        details = f' up to {message.number}'
    elif isinstance(message, messages.ExecutorGone):
        details = f' {message.cause.value}'
    return type(message).__name__ + details


class Stream:
    """A stream from an agent to an owner."""

    def __init__(
        self,
        world: 'World',
        number: int,
        agent: processes.AgentProcess,
        owner: processes.OwnerProcess,
    ) -> None:
        self.number = number
        self.agent = agent
        self.owner = owner
        self.stalled_until_ms = 0
        self.agent_side = streams.Side(
            agent.loop, lambda message: world.post(self, 'owner', message)
        )
        self.owner_side = streams.Side(
            owner.loop, lambda message: world.post(self, 'agent', message)
        )
        self.handler = owner.serve(self.owner_side)


class World:
    """One history of the model.

    :ivar items: what is in transit, oldest first
    :ivar kept_orders: orders without an answer that may be carried out later
    :ivar kept_calls: calls of the store that may be carried out later
    :ivar lines: the history, for people
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.clock = virtual_time.ModelClock()
        self.store = store.ModelStore()
        self.promise = monitor.Monitor()
        self.items: list[Item] = []
        self.kept_orders: list[OrderItem] = []
        self.kept_calls: list[CallItem] = []
        self.parked: list[OrderItem] = []
        self.lines: list[str] = []
        self.streams: list[Stream] = []
        self.unhealthy_until_ms: dict[str, int] = {}
        self.refusing_until_ms: dict[str, int] = {}
        self.cut_off_until_ms: dict[str, int] = {}
        self.owner_lease_deadline_ms = self.clock.now_ms
        self.owner_name = ''
        self._events: list[tuple[int, int, abc.Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self.deadline_ms = self.clock.now_ms + scenario.duration_ms
        self.owners = [
            processes.OwnerProcess(self, name) for name in ('own-1', 'own-2')
        ]
        self.executors = {
            name: executors.Executor(
                name, self.clock, self.promise, scenario.ends_limit
            )
            for name in ('vm-1', 'vm-2')
        }
        self.agents: dict[str, processes.AgentProcess] = {}
        self.all_processes: list[processes.Process] = [*self.owners]

    def begin(self) -> None:
        """Bring up all processes and submit the workflows."""
        self.owners[0].take_over()
        self.settle()
        while self.items:
            self.handle(self.items[0])
        steps = [self._attach_agents, self._submit]
        if self.scenario.is_placed_later:
            steps.reverse()
        for step in steps:
            step()
        self.settle()
        self.lines.clear()

    def _attach_agents(self) -> None:
        for name in self.executors:
            self.start_agent(name)
            self._beat(name)
        if not self.scenario.is_placed_later:
            self._pass_time(ATTACH_MS)

    def _submit(self) -> None:
        for number in range(self.scenario.tasks):
            self.owners[0].submit(f'{number:016x}')
        if self.scenario.is_placed_later:
            self._pass_time(COMMIT_MS)

    def _pass_time(self, duration_ms: int) -> None:
        """Let time pass without any choice."""
        until_ms = self.clock.now_ms + duration_ms
        while self.clock.now_ms < until_ms:
            self.proceed_by_default()

    def close(self) -> None:
        """Cancel what is left of all processes."""
        for process in self.all_processes:
            process.loop.cancel_all()

    @property
    def failures(self) -> list[str]:
        """Errors that the program did not expect."""
        return [
            failure
            for process in self.all_processes
            for failure in (*process.failures, *process.loop.failures)
        ]

    # Interface for the processes.

    def call_store(
        self, process: processes.Process, call: store.Call
    ) -> asyncio.Future[Any]:
        """Put a call of the store on its way."""
        future = process.loop.create_future()
        self.items.append(CallItem(process, call, future))
        return future

    def send_order(
        self, process: processes.AgentProcess, order: executors.Order
    ) -> asyncio.Future[Any]:
        """Put an order to an executor on its way."""
        future = process.loop.create_future()
        self.items.append(
            OrderItem(self.executors[process.name], order, future)
        )
        return future

    def note_event(self, process: processes.Process, text: str) -> None:
        """Add a line of a process's log to the history."""
        self.note(f'    {process.name}: {text}')

    def note(self, text: str) -> None:
        """Add a line to the history."""
        self.lines.append(f'{self.clock.now_ms - 100_000:>6} {text}')

    def note_owner(self, process: processes.OwnerProcess) -> None:
        """Note that a process has become the owner."""
        self.owner_name = process.name
        self._extend_owner_lease()

    def _extend_owner_lease(self) -> None:
        self.owner_lease_deadline_ms = (
            self.clock.now_ms + store.OWNER_LEASE_MS
        )
        self.schedule(store.OWNER_LEASE_MS, self._check_owner_lease)

    def _check_owner_lease(self) -> None:
        """Let the other entry take over once the owner's lease has expired."""
        if self.clock.now_ms < self.owner_lease_deadline_ms:
            return
        for process in self.owners:
            is_cut_off = self.is_cut_off(process)
            if process.name != self.owner_name and not is_cut_off:
                process.take_over()

    def is_cut_off(self, process: processes.Process) -> bool:
        """Tell whether the store refuses the calls of a process."""
        return self.clock.now_ms < self.cut_off_until_ms.get(process.name, 0)

    async def connect(self, address: str, handle: Any) -> None:
        """Open a stream; stands in for ``channel.connect``."""
        loop: Any = asyncio.get_running_loop()
        agent = loop.process
        owner = next(item for item in self.owners if item.name == address)
        if not owner.is_alive or owner.runtime is None:
            raise ConnectionRefusedError(address)
        if not owner.is_running:
            await asyncio.sleep(CONNECT_TIMEOUT_MS / 1000)
            raise TimeoutError(address)
        stream = Stream(self, len(self.streams) + 1, agent, owner)
        self.streams.append(stream)
        side = stream.agent_side
        tasks = {
            asyncio.ensure_future(handle(side.receive(), side)),
            asyncio.ensure_future(side.wait_until_closed()),
        }
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        side.close()

    def post(
        self,
        stream: Stream,
        direction: str,
        message: messages.AnyMessage | None,
    ) -> None:
        """Put a message, or the end of a stream, on its way."""
        self.items.append(MessageItem(stream, direction, message))
        if message is None and direction == streams.TO_AGENT:
            waiting = self.list_waiting(stream)
            self.items.insert(0, CloseItem(stream, bool(waiting)))

    def list_waiting(self, stream: Stream) -> list[MessageItem]:
        """Return the messages of a stream that the owner has not received."""
        return [
            item
            for item in self.items
            if isinstance(item, MessageItem)
            and item.stream is stream
            and item.direction == streams.TO_OWNER
        ]

    # Time.

    def schedule(self, delay_ms: int, action: abc.Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(
            self._events,
            (
                self.clock.now_ms + delay_ms,
                next(self._event_numbers),
                action,
            ),
        )

    def list_event_times(self) -> list[int]:
        """Return the remaining time until each event."""
        return sorted(at_ms - self.clock.now_ms for at_ms, _, _ in self._events)

    def settle(self) -> None:
        """Run everything that is due, until nothing is left to run."""
        while True:
            has_run = False
            while self._events and self._events[0][0] <= self.clock.now_ms:
                heapq.heappop(self._events)[2]()
                has_run = True
            for executor in self.executors.values():
                if executor.expire_lease():
                    self.note(f'the lease of {executor.full_name} expires')
                    self.answer_parked(executor)
                    has_run = True
            for process in self.all_processes:
                if process.loop.is_due() and process.is_running:
                    has_run = process.loop.run_ready() or has_run
            if not has_run:
                return

    def advance_time(self) -> bool:
        """Pass the time until something is due; False at the end."""
        times = [
            lapse_ms
            for executor in self.executors.values()
            if (lapse_ms := executor.find_lapse_ms()) is not None
        ]
        if self._events:
            times.append(self._events[0][0])
        for process in self.all_processes:
            if not process.is_alive:
                continue
            timer_ms = process.loop.find_next_timer_ms()
            if process.resumes_at_ms > self.clock.now_ms:
                times.append(process.resumes_at_ms)
            elif timer_ms is not None:
                times.append(timer_ms)
        next_ms = max(min(times), self.clock.now_ms)
        if next_ms > self.deadline_ms:
            return False
        self.clock.now_ms = next_ms
        self.settle()
        return True

    # Agents and executors.

    def is_reachable(self, executor: executors.Executor) -> bool:
        """Tell whether an executor carries out orders."""
        name, now_ms = executor.name, self.clock.now_ms
        return (
            executor.is_up
            and now_ms >= self.refusing_until_ms.get(name, 0)
            and now_ms >= self.unhealthy_until_ms.get(name, 0)
        )

    def start_agent(self, name: str) -> None:
        """Start the agent of an executor."""
        former = self.agents.get(name)
        agent = processes.AgentProcess(
            self, name, former.boot + 1 if former else 1, ('own-1', 'own-2')
        )
        self.agents[name] = agent
        self.all_processes.append(agent)

    def _beat(self, name: str) -> None:
        """Announce an executor to its agent, and again later."""
        self.announce(name)
        self.schedule(HEARTBEAT_MS, lambda: self._beat(name))

    def announce(self, name: str) -> None:
        """Announce an executor to its agent."""
        agent, executor = self.agents[name], self.executors[name]
        if executor.is_up and agent.is_alive:
            agent.loop.call_soon(
                agent.driver.handle_announcement, executor.announce()
            )

    def fail_order(self, item: OrderItem, is_refused: bool = False) -> None:
        """Let an order's connection break, or be refused."""
        if not item.future.done():
            item.future.set_exception(
                task_executor.ExecutorUnavailable('no answer', is_refused)
            )

    def answer_order(self, item: OrderItem, answer: Any) -> None:
        """Answer an order unless its agent waits no longer."""
        if not item.future.done():
            item.future.set_result(answer)

    def carry_out(self, item: OrderItem) -> Any:
        """Let an executor carry out an order; return the answer."""
        answer = item.executor.handle(item.order)
        if item.executor.ended:
            self.answer_parked(item.executor)
        return answer

    def answer_parked(self, executor: executors.Executor) -> None:
        """Answer the inspections that wait for an end."""
        for item in list(self.parked):
            if item.executor is executor:
                self._answer_parked_inspection(item)

    def _answer_parked_inspection(self, item: OrderItem) -> None:
        if item in self.parked:
            self.parked.remove(item)
            self.answer_order(item, item.executor.list_runs())

    # Items in transit.

    def find_next_item(self) -> Item | None:
        """Return the oldest item that can be handled now."""
        for item in self.items:
            if isinstance(item, CloseItem) and not item.stream.owner.is_running:
                continue
            if isinstance(item, MessageItem):
                stream = item.stream
                if item.direction == streams.TO_AGENT:
                    if stream.agent.is_alive and not stream.agent.is_running:
                        continue
                elif self.clock.now_ms < stream.stalled_until_ms:
                    continue
                elif stream.owner.is_alive and not stream.owner.is_running:
                    continue
            return item
        return None

    def proceed_to_branch(self) -> Item | None:
        """Proceed to the next branch point; None at the end of the history."""
        while True:
            if self.promise.violation:
                return None
            item = self.find_next_item()
            if isinstance(item, OrderItem):
                item.has_kept = any(
                    kept.executor is item.executor for kept in self.kept_orders
                )
            if item is None:
                if not self.advance_time():
                    return None
            elif item.is_branch:
                return item
            else:
                self.handle(item)

    def proceed_by_default(self) -> None:
        """Handle an item without any fault, or let time pass."""
        item = self.find_next_item()
        if item is None:
            self.advance_time()
        else:
            self.handle(item)

    def handle(self, item: Item) -> None:
        """Handle an item without any fault."""
        if item in self.items:
            self.items.remove(item)
        if item.is_branch:
            self.note(item.text)
            self.clock.now_ms += 1
        if isinstance(item, OrderItem):
            self._handle_order(item)
        elif isinstance(item, CallItem):
            self._handle_call(item)
        elif isinstance(item, MessageItem):
            side = item.stream.owner_side
            if item.direction == streams.TO_AGENT:
                side = item.stream.agent_side
            side.deliver(item.message)
        else:
            item.stream.handler.cancel()
            for waiting in self.list_waiting(item.stream):
                self.items.remove(waiting)
        self.settle()

    def _handle_order(self, item: OrderItem) -> None:
        executor, order = item.executor, item.order
        now_ms = self.clock.now_ms
        is_refusing = now_ms < self.refusing_until_ms.get(executor.name, 0)
        if not executor.is_up or is_refusing:
            self.note('    connection refused')
            self.fail_order(item, True)
            return
        if now_ms < self.unhealthy_until_ms.get(executor.name, 0):
            self.note('    answered 503')
            self.answer_order(item, task_executor.StartOutcome.UNHEALTHY)
            return
        answer = self.carry_out(item)
        if isinstance(answer, task_executor.StartOutcome):
            if answer is not task_executor.StartOutcome.STARTED:
                self.note(f'    answered {answer.value}')
        elif isinstance(order, executors.Inspect) and order.wait_ms:
            if not executor.ended:
                self.parked.append(item)
                self.schedule(
                    order.wait_ms,
                    lambda: self._answer_parked_inspection(item),
                )
                return
        self.answer_order(item, answer)

    def _handle_call(self, item: CallItem) -> None:
        if item.future.done():
            return
        if self.is_cut_off(item.process):
            item.future.set_exception(
                errors.BorageshelfError(errors.STORE_UNAVAILABLE, 'cut off')
            )
            return
        if item.call.name == 'lease' and item.process.name == self.owner_name:
            self._extend_owner_lease()
        try:
            item.future.set_result(item.call.apply())
        except errors.BorageshelfError as error:
            item.future.set_exception(error)
