"""What is in transit: orders, calls of the store and messages."""

import asyncio
import dataclasses
from typing import Any, Protocol

from borageshelf.workflows import messages
from tests.model import executors
from tests.model import processes
from tests.model import store
from tests.model import streams


class World(Protocol):
    """What a stream needs of the model around it."""

    def post(
        self,
        stream: 'Stream',
        direction: str,
        message: messages.AnyMessage | None,
    ) -> None:
        """Put a message, or the end of a stream, on its way."""


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
        world: World,
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
