"""Random faults between the call engines of entry and agent.

Each example is a script of calls, cancellations, broken streams, late and
repeated messages, failing executors and advances of the clock. At its end,
each result must match what the executors ran.
"""

import asyncio
import collections
import dataclasses
import random

import hypothesis
from hypothesis import strategies

from borageshelf.entry import calls as entry_calls
from borageshelf import errors
from borageshelf.ports import executor as executor_interface
from borageshelf.protocol import inner_pb2
from tests import calls_support

ACTIONS = (
    *['submit'] * 5,
    *['advance'] * 2,
    *['hold'] * 2,
    'deliver',
    *['repeat'] * 2,
    *['break'] * 2,
    *['cancel'] * 2,
    'disconnect caller',
    *['block executor'] * 2,
    'unblock executor',
    'fail',
    'toggle chunk loss',
)


@dataclasses.dataclass
class Call:
    """A submitted call and the task that returns its result."""

    key: str
    idempotent: bool
    body: bytes
    task: 'asyncio.Task[tuple[entry_calls.Result, bytes]]'


class FaultScript:
    """Runs random actions against an entry with three agents."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.cluster = calls_support.CallCluster(targets=3, slots=2)
        self.calls: list[Call] = []
        self.is_losing_chunks = False
        self.cluster.rewrite_from_agent = self.lose_or_repeat_chunks
        for executor in self.cluster.executors.values():
            if rng.random() < 0.5:
                executor.may_answer.clear()

    def lose_or_repeat_chunks(
        self, message: inner_pb2.AgentMessage
    ) -> list[inner_pb2.AgentMessage]:
        """Return a chunk zero, one or two times while chunks are lost."""
        if not message.HasField('call_chunk') or not self.is_losing_chunks:
            return [message]
        return [message] * self.rng.choice([0, 1, 2])

    def act(self, action: str) -> None:
        """Run one action."""
        cluster, rng = self.cluster, self.rng
        target_id = rng.choice(list(cluster.agents))
        executor = cluster.executors[target_id]
        if action == 'submit':
            self.submit()
        elif action == 'advance':
            cluster.advance(rng.choice([1, 30, 300, 4_000]))
        elif action == 'hold':
            cluster.held_kinds = {rng.choice(['call', 'call_cancel'])}
        elif action == 'deliver':
            cluster.held_kinds = set()
            cluster.deliver_held()
        elif action == 'repeat' and cluster.sent_to_agents:
            repeated, message = rng.choice(cluster.sent_to_agents)
            cluster.agents[repeated].receive('entry-1', message)
        elif action == 'break':
            cluster.engine.detach(target_id)
            if rng.random() < 0.5:
                cluster.agents[target_id].detach('entry-1')
            cluster.connect(target_id)
        elif action in ('cancel', 'disconnect caller') and self.calls:
            call = rng.choice(self.calls)
            if action == 'cancel':
                cluster.engine.cancel(call.body.decode())
            else:
                call.task.cancel()
        elif action == 'block executor':
            executor.may_answer.clear()
        elif action == 'unblock executor':
            executor.may_answer.set()
        elif action == 'fail':
            failure = executor_interface.CallStatus(
                errors.EXECUTOR_FAILED.number, True
            )
            executor.failure_statuses.append(failure)
        elif action == 'toggle chunk loss':
            self.is_losing_chunks = not self.is_losing_chunks

    def submit(self) -> None:
        """Start a call; some calls share a key."""
        name = f'call-{len(self.calls)}'
        idempotent = self.rng.random() < 0.5
        key = self.rng.choice(['', '', 'key-1', 'key-2'])
        task = self.cluster.submit(
            name,
            body=name.encode(),
            idempotent=idempotent,
            key='' if idempotent else key,
        )
        key = '' if idempotent else key
        self.calls.append(Call(key, idempotent, name.encode(), task))

    async def settle(self) -> None:
        """Deliver all messages and advance the clock past all deadlines."""
        for executor in self.cluster.executors.values():
            executor.may_answer.set()
        self.act('deliver')
        for _ in range(4):
            await calls_support.run_pending()
            self.cluster.advance(4_000)
        await calls_support.run_pending()
        self.act('deliver')
        await calls_support.run_pending()

    def check(self) -> None:
        """Compare each result with what the executors ran."""
        runs_by_body = collections.Counter(
            body
            for executor in self.cluster.executors.values()
            for body in executor.bodies
        )
        runs_by_key: collections.Counter[str] = collections.Counter()
        for call in self.calls:
            if not call.idempotent:
                assert runs_by_body[call.body] <= 1
                runs_by_key[call.key] += runs_by_body[call.body]
            assert call.task.done()
            if call.task.cancelled():
                continue
            result, answer = call.task.result()
            if result.code is errors.DUPLICATE_KEY:
                assert runs_by_body[call.body] == 0
            elif result.outcome is entry_calls.Outcome.NOT_RUN:
                assert runs_by_body[call.body] == 0
            elif result.code is errors.OK:
                assert runs_by_body[call.body] >= 1
                assert answer == call.body
        del runs_by_key['']
        assert all(count <= 1 for count in runs_by_key.values())


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(ACTIONS), min_size=30, max_size=90
    ),
    strategies.integers(0, 2**32),
)
def test_results_match_what_the_executors_ran(
    actions: list[str], seed: int
) -> None:
    """Guards against second runs, false "not run" and mixed answers."""

    async def check() -> None:
        script = FaultScript(random.Random(seed))
        for action in actions:
            script.act(action)
            if script.rng.random() < 0.7:
                await calls_support.run_pending()
        await script.settle()
        script.check()

    calls_support.run(check)
