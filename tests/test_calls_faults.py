"""Random faults between the call engines of entry and agent.

Each example is a script of calls, cancellations, broken streams, late and
repeated messages, failing executors and passing time. Whatever happens, a
result must be true when everything has settled.
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
    'hang up',
    *['close gate'] * 2,
    'open gate',
    'fail',
    'lose answer part',
)


@dataclasses.dataclass
class Call:
    """A submitted call and how it ended."""

    submission_key: str
    idempotent: bool
    body: bytes
    task: 'asyncio.Task[tuple[entry_calls.Result, bytes]]'


class Script:
    """Runs random actions against a cell."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.cell = calls_support.Cell(targets=3, slots=2)
        self.calls: list[Call] = []
        self.losing = False
        self.cell.rewrite = self.rewrite
        for executor in self.cell.executors.values():
            if rng.random() < 0.5:
                executor.gate.clear()

    def rewrite(
        self, message: inner_pb2.AgentMessage
    ) -> list[inner_pb2.AgentMessage]:
        """Lose or repeat some parts of answers."""
        if not message.HasField('call_chunk') or not self.losing:
            return [message]
        return [message] * self.rng.choice([0, 1, 2])

    def act(self, action: str) -> None:
        """Run one action."""
        cell, rng = self.cell, self.rng
        target_id = rng.choice(list(cell.agents))
        executor = cell.executors[target_id]
        if action == 'submit':
            self.submit()
        elif action == 'advance':
            cell.advance(rng.choice([1, 30, 300, 4_000]))
        elif action == 'hold':
            cell.hold_to_agent = {rng.choice(['call', 'call_cancel'])}
        elif action == 'deliver':
            cell.hold_to_agent = set()
            cell.deliver()
        elif action == 'repeat' and cell.sent:
            repeated, message = rng.choice(cell.sent)
            cell.agents[repeated].receive('entry-1', message)
        elif action == 'break':
            cell.engine.detach(target_id)
            if rng.random() < 0.5:
                cell.agents[target_id].detach('entry-1')
            cell.connect(target_id)
        elif action in ('cancel', 'hang up') and self.calls:
            call = rng.choice(self.calls)
            if action == 'cancel':
                cell.engine.cancel(call.body.decode())
            else:
                call.task.cancel()
        elif action == 'close gate':
            executor.gate.clear()
        elif action == 'open gate':
            executor.gate.set()
        elif action == 'fail':
            failure = executor_interface.CallStatus(
                errors.EXECUTOR_FAILED.number, True
            )
            executor.statuses.append(failure)
        elif action == 'lose answer part':
            self.losing = not self.losing

    def submit(self) -> None:
        """Start a call; some share a key."""
        name = f'call-{len(self.calls)}'
        idempotent = self.rng.random() < 0.5
        key = self.rng.choice(['', '', 'key-1', 'key-2'])
        task = self.cell.submit(
            name,
            body=name.encode(),
            idempotent=idempotent,
            key='' if idempotent else key,
        )
        key = '' if idempotent else key
        self.calls.append(Call(key, idempotent, name.encode(), task))

    async def settle(self) -> None:
        """Let everything arrive and every deadline pass."""
        for executor in self.cell.executors.values():
            executor.gate.set()
        self.act('deliver')
        for _ in range(4):
            await calls_support.run_pending()
            self.cell.advance(4_000)
        await calls_support.run_pending()
        self.act('deliver')
        await calls_support.run_pending()

    def check(self) -> None:
        """Compare each result with what the executors saw."""
        runs = collections.Counter(
            body
            for executor in self.cell.executors.values()
            for body in executor.bodies
        )
        by_key: collections.Counter[str] = collections.Counter()
        for call in self.calls:
            if not call.idempotent:
                assert runs[call.body] <= 1
                by_key[call.submission_key] += runs[call.body]
            assert call.task.done()
            if call.task.cancelled():
                continue
            result, answer = call.task.result()
            if result.code is errors.DUPLICATE_KEY:
                assert runs[call.body] == 0
            elif result.outcome is entry_calls.Outcome.NOT_RUN:
                assert runs[call.body] == 0
            elif result.code is errors.OK:
                assert runs[call.body] >= 1
                assert answer == call.body
        del by_key['']
        assert all(count <= 1 for count in by_key.values())


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(ACTIONS), min_size=30, max_size=90
    ),
    strategies.integers(0, 2**32),
)
def test_results_are_true_whatever_happens(
    actions: list[str], seed: int
) -> None:
    """Guards against double runs, false "not run" and mixed answers."""

    async def check() -> None:
        script = Script(random.Random(seed))
        for action in actions:
            script.act(action)
            if script.rng.random() < 0.7:
                await calls_support.run_pending()
        await script.settle()
        script.check()

    calls_support.run(check)
