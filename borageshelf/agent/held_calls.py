"""State of one call that an agent holds, queued or running.

Used by ``agent.agent_calls`` only.
"""

import asyncio
import dataclasses

from borageshelf import errors
from borageshelf.protocol import inner_pb2
from borageshelf.protocol import limits


@dataclasses.dataclass(frozen=True)
class CallLoad:
    """What the agent reports about its calls.

    :param service_p99_ms: 99th percentile of the last calls' time in the
        executor, or 0 without any
    """

    queued: int
    running: int
    service_p99_ms: float
    leaving: bool


@dataclasses.dataclass(frozen=True)
class Ending:
    """How a call ended on the executor."""

    code: errors.ResultCode
    ran: bool
    detail: str


class HeldCall:
    """A call that is queued or running."""

    def __init__(self, entry_id: str, call: inner_pb2.Call) -> None:
        self.entry_id = entry_id
        self.call = call
        self.window_bytes = limits.CALL_WINDOW_BYTES
        self.credit = asyncio.Event()
        self.discards = False
        self.chunks = 0
        self.started_at_ms = 0
        self.begun = False
        self.task: asyncio.Task[Ending] | None = None

    @property
    def rank(self) -> tuple[int, int]:
        """Return the order in the queue, first call first."""
        return (-self.call.urgency, self.call.deadline_ms)
