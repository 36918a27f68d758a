"""Interface of the executor of a service on a target VM."""

from collections import abc
import dataclasses
from typing import Protocol

from borageshelf.model import numbers


@dataclasses.dataclass(frozen=True)
class ExecutorDescription:
    """The service that the executor runs and its limits.

    :param slots: most calls that run at once
    :param connections: most connections that are open at once
    """

    service: str
    slots: numbers.WholeNumber
    connections: numbers.WholeNumber


@dataclasses.dataclass(frozen=True)
class CallRequest:
    """One call to the service.

    :param deadline_ms: deadline in Unix milliseconds
    """

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

    code: numbers.WholeNumber
    ran: bool
    detail: str = ''


class Executor(Protocol):
    """The executor on the agent's VM."""

    async def describe(self) -> ExecutorDescription:
        """Return the service and its limits."""

    async def call(
        self,
        request: CallRequest,
        on_chunk: abc.Callable[[bytes], abc.Awaitable[None]],
    ) -> CallStatus:
        """Run a call; pass on the chunks of the answer in order.

        :param on_chunk: awaited for each chunk, so that a slow reader slows
            the executor down (backpressure)
        """
