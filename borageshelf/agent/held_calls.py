"""State of one call that an agent has queued or runs.

Used by ``agent.agent_calls`` only.
"""

import asyncio
import dataclasses

from borageshelf import errors
from borageshelf.protocol import inner_pb2
from borageshelf.protocol import limits


@dataclasses.dataclass(frozen=True)
class CallLoad:
    """Load and latency of the calls, as the agent reports them.

    :param queued: number of calls that wait for a slot
    :param running: number of calls in the executor
    :param service_p99_ms: 99th percentile of the recent calls' time in the
        executor, or 0 with too few calls
    :param leaving: whether new calls are refused because of a planned stop
    """

    queued: int
    running: int
    service_p99_ms: float
    leaving: bool


@dataclasses.dataclass(frozen=True)
class Ending:
    """How a call ended on the executor.

    :param ran: whether the call may have taken effect
    """

    code: errors.ResultCode
    ran: bool
    detail: str


class HeldCall:
    """A call that is queued or running.

    :ivar window_bytes: answer data that may be sent before the next credit
    :ivar credit_changed: set when credit arrives or the output is discarded
    :ivar discards_output: whether the rest of the answer is not sent
    :ivar is_started: whether the task has executed its first step
    """

    def __init__(self, entry_id: str, call: inner_pb2.Call) -> None:
        self.entry_id = entry_id
        self.call = call
        self.window_bytes = limits.CALL_WINDOW_BYTES
        self.credit_changed = asyncio.Event()
        self.discards_output = False
        self.chunk_count = 0
        self.started_at_ms = 0
        self.is_started = False
        self.task: asyncio.Task[Ending] | None = None

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key of the queue: most urgent, then earliest deadline."""
        return (-self.call.urgency, self.call.deadline_ms)
