"""Interface of a service executor on a target VM."""

from collections import abc
import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True)
class ExecutorDescription:
    """The service that runs here and its bounds."""

    service: str
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True)
class CallRequest:
    """One call to the service; the deadline is Unix milliseconds."""

    call_id: str
    service: str
    deadline_ms: int
    body: bytes


@dataclasses.dataclass(frozen=True)
class CallStatus:
    """How a call ended.

    :param code: number of a registered result code
    :param ran: whether the executor may have run the call
    """

    code: int
    ran: bool
    detail: str = ''


class Executor(Protocol):
    """The executor beside the agent."""

    async def describe(self) -> ExecutorDescription:
        """Return the service and its bounds."""

    async def call(
        self,
        request: CallRequest,
        on_chunk: abc.Callable[[bytes], abc.Awaitable[None]],
    ) -> CallStatus:
        """Run a call; chunks of the answer are passed on in order.

        :param on_chunk: awaited for each chunk, which slows the executor
            down to the reader's speed
        """
