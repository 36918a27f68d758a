"""The network of the model: puts orders, calls and messages on their way."""

import asyncio
from collections import abc
import heapq
import itertools
from typing import Any, Final

from borageshelf.workflows import messages
from tests.model import executors
from tests.model import items
from tests.model import processes
from tests.model import store
from tests.model import streams
from tests.model import virtual_time

CONNECT_TIMEOUT_MS: Final = 600


class Network:
    """Connections between processes, executors and the store.

    :ivar in_transit: what is on its way, oldest first
    :ivar lines: the history, for people
    """

    def __init__(self) -> None:
        self.clock = virtual_time.ModelClock()
        self.in_transit: list[items.Item] = []
        self.streams: list[items.Stream] = []
        self.owners: list[processes.OwnerProcess] = []
        self.executors: dict[str, executors.Executor] = {}
        self.lines: list[str] = []
        self._events: list[tuple[int, int, abc.Callable[[], None]]] = []
        self._event_numbers = itertools.count()

    def is_agent_cut_off(self, agent: processes.Process) -> bool:
        """Tell whether an agent reaches no owner."""
        raise NotImplementedError

    def call_store(
        self, process: processes.Process, call: store.Call
    ) -> asyncio.Future[Any]:
        """Put a call of the store on its way."""
        future = process.loop.create_future()
        self.in_transit.append(items.CallItem(process, call, future))
        return future

    def send_order(
        self, process: processes.AgentProcess, order: executors.Order
    ) -> asyncio.Future[Any]:
        """Put an order to an executor on its way."""
        future = process.loop.create_future()
        self.in_transit.append(
            items.OrderItem(self.executors[process.name], order, future)
        )
        return future

    def read_executor_clock_ms(self, name: str) -> int:
        """Return the clock that an executor shows in its answers."""
        return self.executors[name].read_clock_ms()

    def note_event(self, process: processes.Process, text: str) -> None:
        """Add a line of a process's log to the history."""
        self.note(f'    {process.name}: {text}')

    def note(self, text: str) -> None:
        """Add a line to the history."""
        self.lines.append(f'{self.clock.now_ms - 100_000:>6} {text}')

    async def connect(self, address: str, handle: Any) -> None:
        """Open a stream; stands in for ``channel.connect``."""
        loop: Any = asyncio.get_running_loop()
        agent = loop.process
        owner = next(item for item in self.owners if item.name == address)
        if not owner.is_alive or owner.runtime is None:
            raise ConnectionRefusedError(address)
        if not owner.is_running or self.is_agent_cut_off(agent):
            await asyncio.sleep(CONNECT_TIMEOUT_MS / 1000)
            raise TimeoutError(address)
        stream = items.Stream(self, len(self.streams) + 1, agent, owner)
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
        stream: items.Stream,
        direction: str,
        message: messages.AnyMessage | None,
    ) -> None:
        """Put a message, or the end of a stream, on its way."""
        self.in_transit.append(items.MessageItem(stream, direction, message))
        if message is None and direction == streams.TO_AGENT:
            waiting = self.list_waiting(stream)
            self.in_transit.insert(0, items.CloseItem(stream, bool(waiting)))

    def list_waiting(self, stream: items.Stream) -> list[items.MessageItem]:
        """Return the messages of a stream that the owner has not received."""
        return [
            item
            for item in self.in_transit
            if isinstance(item, items.MessageItem)
            and item.stream is stream
            and item.direction == streams.TO_OWNER
        ]

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
        return sorted(
            at_ms - self.clock.now_ms for at_ms, _, _ in self._events
        )
