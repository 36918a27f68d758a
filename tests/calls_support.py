"""Fakes for tests of the call engines: clock, executor, claims, streams."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

from borageshelf.agent import agent_calls
from borageshelf.decisions import admission
from borageshelf.entry import call_claims
from borageshelf.entry import calls as entry_calls
from borageshelf import errors
from borageshelf.ports import executor as executor_interface
from borageshelf.protocol import inner_pb2
from borageshelf.shards import records
from borageshelf import telemetry

START_MS = 1_000_000


class FakeClock:
    """A clock that the test sets, in Unix milliseconds."""

    def __init__(self) -> None:
        self.now_ms = START_MS

    def __call__(self) -> int:
        return self.now_ms


class FakeExecutor:
    """Answers each call with its body in two chunks.

    Calls wait while ``may_answer`` is clear. Each status in
    ``failure_statuses`` ends one call without an answer; ``answer`` replaces
    the chunks of the body.
    """

    def __init__(self) -> None:
        self.started: list[str] = []
        self.bodies: list[bytes] = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.failure_statuses: list[executor_interface.CallStatus] = []
        self.answer: list[bytes] | None = None

    async def describe(self) -> executor_interface.ExecutorDescription:
        """Return the slots and connections that the design page states."""
        return executor_interface.ExecutorDescription('service', 8, 60)

    async def call(
        self,
        request: executor_interface.CallRequest,
        on_chunk: Callable[[bytes], Awaitable[None]],
    ) -> executor_interface.CallStatus:
        """Run one call and record that it started."""
        self.started.append(request.call_id)
        self.bodies.append(request.body)
        await self.may_answer.wait()
        if self.failure_statuses:
            return self.failure_statuses.pop(0)
        halves = [request.body[:4], request.body[4:]]
        for data in self.answer or halves:
            await on_chunk(data)
        return executor_interface.CallStatus(errors.OK.number, True)


class FakeClaims:
    """Claims in memory; each code in ``claim_errors`` fails one claim."""

    def __init__(self) -> None:
        self.holders: dict[str, tuple[str, records.ClaimOutcome]] = {}
        self.claim_errors: list[errors.ResultCode] = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def claim(self, key: str, call_id: str) -> call_claims.ClaimAnswer:
        """Grant a key that is free or held by the same call."""
        await self.may_answer.wait()
        if self.claim_errors:
            raise errors.BorageshelfError(self.claim_errors.pop(0))
        claimed = records.ClaimOutcome.CLAIMED
        holder, outcome = self.holders.setdefault(key, (call_id, claimed))
        return call_claims.ClaimAnswer(holder == call_id, outcome)

    async def settle(
        self, key: str, call_id: str, outcome: records.ClaimOutcome
    ) -> None:
        """Record an outcome; "not run" releases the key."""
        if self.holders.get(key, ('',))[0] != call_id:
            return
        if outcome is records.ClaimOutcome.NOT_RUN:
            del self.holders[key]
        else:
            self.holders[key] = (call_id, outcome)


class CallCluster:
    """One entry and its agents, connected by streams in memory.

    :param held_kinds: kinds of messages to agents that are kept in
        ``held_messages`` instead of being delivered
    """

    def __init__(self, targets: int = 1, slots: int = 8) -> None:
        self.clock = FakeClock()
        self.slots = slots
        self.claims = FakeClaims()
        self.executors: dict[str, FakeExecutor] = {}
        self.agents: dict[str, agent_calls.AgentCalls] = {}
        self.held_kinds: set[str] = set()
        self.held_messages: list[tuple[str, inner_pb2.EntryMessage]] = []
        self.sent_to_agents: list[tuple[str, inner_pb2.EntryMessage]] = []
        self.rewrite_from_agent: Callable[
            [inner_pb2.AgentMessage], list[inner_pb2.AgentMessage]
        ] = lambda message: [message]
        self.engine = entry_calls.CallEngine(
            'entry-1.boot',
            'north',
            self.clock,
            random.Random(1),
            self.claims.claim,
            self.claims.settle,
            telemetry.Telemetry('entry', 'entry-1', None),
        )
        self.engine.configure({'service': admission.Limits()}, 1)
        for number in range(targets):
            self.add_target(f'target-{number}')

    def add_target(self, target_id: str) -> None:
        """Add an agent with its executor and connect it."""
        executor = FakeExecutor()
        agent = agent_calls.AgentCalls(executor, self.slots, 60, self.clock)
        self.executors[target_id] = executor
        self.agents[target_id] = agent
        self.connect(target_id)

    def connect(self, target_id: str) -> None:
        """Open a stream between the entry and an agent."""
        agent = self.agents[target_id]
        agent.attach(
            'entry-1', lambda message: self._send_to_entry(target_id, message)
        )
        self.engine.attach(
            entry_calls.Target(target_id, 'north', 'service', self.slots, 60),
            lambda message: self._send_to_agent(target_id, message),
        )

    def deliver_held(self) -> None:
        """Deliver the held messages in the order in which they were sent."""
        held, self.held_messages = self.held_messages, []
        for target_id, message in held:
            self.agents[target_id].receive('entry-1', message)

    def submit(
        self, call_id: str = 'call-1', **changes: object
    ) -> 'asyncio.Task[tuple[entry_calls.Result, bytes]]':
        """Start a call.

        :param changes: fields of the submission that differ
        :return: task that returns the result and the whole answer
        """
        submission = entry_calls.Submission(
            call_id=call_id,
            service='service',
            team='team',
            deadline_ms=self.clock.now_ms + 10_000,
            body=f'answer to {call_id}'.encode(),
        )
        submission = dataclasses.replace(submission, **changes)  # type: ignore

        async def run() -> tuple[entry_calls.Result, bytes]:
            chunks: list[bytes] = []

            async def collect(data: bytes) -> None:
                chunks.append(data)

            result = await self.engine.run(submission, collect)
            return result, b''.join(chunks)

        return asyncio.ensure_future(run())

    def advance(self, duration_ms: int) -> None:
        """Advance the clock and run the ticks of agents and entry."""
        self.clock.now_ms += duration_ms
        for agent in self.agents.values():
            agent.tick()
        self.engine.tick()

    def _send_to_agent(
        self, target_id: str, message: inner_pb2.EntryMessage
    ) -> None:
        self.sent_to_agents.append((target_id, message))
        if message.WhichOneof('kind') in self.held_kinds:
            self.held_messages.append((target_id, message))
            return
        agent = self.agents[target_id]
        asyncio.get_running_loop().call_soon(agent.receive, 'entry-1', message)

    def _send_to_entry(
        self, target_id: str, message: inner_pb2.AgentMessage
    ) -> None:
        for copy in self.rewrite_from_agent(message):
            asyncio.get_running_loop().call_soon(
                self.engine.receive, target_id, copy
            )


async def run_pending() -> None:
    """Yield to the event loop until pending callbacks have run."""
    for _ in range(60):
        await asyncio.sleep(0)


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test coroutine in a new event loop, for at most 20 s."""

    async def bounded() -> None:
        async with asyncio.timeout(20):
            await test()

    asyncio.run(bounded())
