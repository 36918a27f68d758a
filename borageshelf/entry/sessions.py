"""Streams from agents: queued messages, reports and pending starts.

A pending start is a task that was sent to the agent and that no report of the
agent includes yet.
"""

import asyncio
from collections import abc
from typing import Any, Final

from borageshelf import clock as clock_module
from borageshelf.model import resources
from borageshelf.protocol import convert
from borageshelf.protocol import inner_pb2
from borageshelf.shards import shard_owner

MAX_QUEUED_MESSAGES: Final = 20_000
# Rate of the reports of all agents together. A report costs an entry 0.46 ms
# of processor time (docs/CAPACITY.md), so 20 per second take 9 ms per second,
# three quarters of the budget of 1.2% of a core.
REPORTS_PER_SECOND: Final = 20
MIN_REPORT_INTERVAL_MS: Final = 1000
MAX_MISSED_REPORTS: Final = 4
# An agent closes the stream to an entry, as if the entry were gone, after
# several of these intervals without a message.
HEARTBEAT_INTERVAL_MS: Final = 5_000


class AgentSession:
    """One stream from an agent.

    Messages to the agent are queued; if the queue is full, the stream is
    closed.
    """

    def __init__(
        self, hello: inner_pb2.Hello, clock: clock_module.Clock
    ) -> None:
        self.hello = hello
        self.identity = shard_owner.AgentIdentity(
            hello.target_id, hello.vm_boot_id, hello.agent_boot_id
        )
        self.capacity = convert.unpack_resources(hello.capacity)
        self.report = hello.report
        self.config_version = hello.config_version
        self.joined_at_ms = clock()
        self.reported_at_ms = clock()
        self._clock = clock
        self._sent_at_ms = 0
        self._queue: asyncio.Queue[inner_pb2.EntryMessage] = asyncio.Queue(
            MAX_QUEUED_MESSAGES
        )
        self._pending_starts: dict[str, resources.Resources] = {}
        self._closed = asyncio.Event()

    @property
    def is_open(self) -> bool:
        """Whether the stream is in use."""
        return not self._closed.is_set()

    def close(self) -> None:
        """Stop using the stream."""
        self._closed.set()

    async def wait_closed(self) -> None:
        """Wait until the stream is no longer in use."""
        await self._closed.wait()

    @property
    def is_leaving(self) -> bool:
        """Whether the target takes no new work."""
        return self.report.leaving or not self.is_open

    def send(self, **kind: Any) -> bool:
        """Queue a message; tell whether the stream could take it."""
        return self.send_message(inner_pb2.EntryMessage(**kind))

    def send_message(self, message: inner_pb2.EntryMessage) -> bool:
        """Queue a message; tell whether the stream could take it."""
        if not self.is_open:
            return False
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            self.close()
            return False
        self._sent_at_ms = self._clock()
        return True

    def needs_heartbeat(self) -> bool:
        """Tell whether nothing was sent for ``HEARTBEAT_INTERVAL_MS``."""
        return self._clock() - self._sent_at_ms >= HEARTBEAT_INTERVAL_MS

    async def wait_for_message(self) -> inner_pb2.EntryMessage:
        """Wait for the next message to send."""
        return await self._queue.get()

    def accept_unchanged_report(self, report: inner_pb2.Report) -> bool:
        """Accept a report without changes as a heartbeat.

        :return: False if the report has changes and must be handled
        """
        has_content = report.attempts or report.has_usage or report.complete
        if has_content or self._pending_starts or report != self.report:
            return False
        self.reported_at_ms = self._clock()
        return True

    def apply_report(self, report: inner_pb2.Report) -> None:
        """Store a new report; it replaces the pending starts."""
        self.report = report
        self.reported_at_ms = self._clock()
        self.config_version = report.config_version
        self._pending_starts.clear()

    def add_pending_start(
        self, task_id: str, declared: resources.Resources
    ) -> None:
        """Subtract a start from the free capacity until the next report."""
        self._pending_starts[task_id] = declared

    def remove_pending_start(self, task_id: str) -> None:
        """Remove a start that did not happen or has ended."""
        self._pending_starts.pop(task_id, None)

    def compute_free_capacity(self) -> resources.Resources:
        """Return the reported free capacity less the pending starts."""
        free = convert.unpack_resources(self.report.free)
        for declared in self._pending_starts.values():
            free = free.minus(declared)
        return free

    def is_silent(self, report_interval_ms: int) -> bool:
        """Tell whether the agent has missed several reports."""
        silence_ms = self._clock() - self.reported_at_ms
        return silence_ms > MAX_MISSED_REPORTS * report_interval_ms


class SessionRegistry:
    """The streams of this entry: for each target, the newest one."""

    def __init__(self) -> None:
        self._sessions: dict[str, AgentSession] = {}

    def add(self, session: AgentSession) -> None:
        """Register a stream; an older one of the target is closed."""
        target_id = session.identity.target_id
        older = self._sessions.get(target_id)
        if older is not None:
            older.close()
        self._sessions[target_id] = session

    def remove(self, session: AgentSession) -> bool:
        """Remove a stream; tell whether it was the target's current one."""
        session.close()
        target_id = session.identity.target_id
        if self._sessions.get(target_id) is not session:
            return False
        del self._sessions[target_id]
        return True

    def find(self, target_id: str) -> AgentSession | None:
        """Return the stream of a target."""
        return self._sessions.get(target_id)

    def list_open(self) -> tuple[AgentSession, ...]:
        """Return all streams."""
        return tuple(self._sessions.values())

    def compute_report_interval_ms(self) -> int:
        """Return the report interval that bounds the cost of all reports."""
        interval_ms = len(self._sessions) * 1000 // REPORTS_PER_SECOND
        return max(MIN_REPORT_INTERVAL_MS, interval_ms)

    def broadcast(
        self,
        make_message: abc.Callable[[AgentSession], inner_pb2.EntryMessage],
    ) -> None:
        """Send a message to every agent."""
        for session in self._sessions.values():
            session.send_message(make_message(session))
