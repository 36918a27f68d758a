"""The call engines of entry and agent together, over streams in memory.

The tests with ``guarded`` show what happens without a guard: they switch it
off and expect the fault that it prevents.
"""

import asyncio
from unittest import mock

import pytest

from borageshelf.agent import agent_calls
from borageshelf.entry import call_claims
from borageshelf.entry import call_tries
from borageshelf.entry import calls as entry_calls
from borageshelf import errors
from borageshelf.ports import executor as executor_interface
from borageshelf.protocol import inner_pb2
from borageshelf.protocol import limits
from borageshelf.shards import records
from tests import calls_support

DONE = entry_calls.Outcome.DONE
NOT_RUN = entry_calls.Outcome.NOT_RUN
UNKNOWN = entry_calls.Outcome.UNKNOWN
both_ways = pytest.mark.parametrize('guarded', [True, False])


def test_each_caller_gets_its_own_answer() -> None:
    """Guards against answers that reach the wrong caller."""

    async def check() -> None:
        cell = calls_support.Cell(targets=3)
        tasks = [cell.submit(f'call-{number}') for number in range(100)]
        for number, task in enumerate(tasks):
            result, answer = await task
            assert result.outcome is DONE
            assert answer == f'answer to call-{number}'.encode()

    calls_support.run(check)


@both_ways
def test_tombstone(guarded: bool) -> None:
    """Guards against running a call whose cancellation came first."""

    async def check() -> None:
        cell = calls_support.Cell()
        cell.hold_to_agent = {'call'}
        task = cell.submit()
        await calls_support.run_pending()
        cell.engine.cancel('call-1')
        result, _ = await task
        assert (result.outcome, result.code) == (NOT_RUN, errors.CANCELLED)
        if not guarded:
            cell.agents['target-0']._tombstone_expiry_ms.clear()
        cell.deliver()
        await calls_support.run_pending()
        assert bool(cell.executors['target-0'].started) is not guarded

    calls_support.run(check)


@both_ways
def test_deadline_check_at_the_agent(guarded: bool) -> None:
    """Guards against starting a call after its deadline."""

    async def check() -> None:
        cell = calls_support.Cell()
        cell.hold_to_agent = {'call'}
        task = cell.submit()
        await calls_support.run_pending()
        cell.clock.now_ms += 10_001
        if not guarded:
            for _, message in cell.held:
                message.call.deadline_ms += 60_000
        cell.deliver()
        result, _ = await task
        started = cell.executors['target-0'].started
        if guarded:
            assert not started
            code = errors.DEADLINE_PASSED
            assert (result.outcome, result.code) == (NOT_RUN, code)
        else:
            assert started

    calls_support.run(check)


def test_waiting_call_at_the_agent_expires_with_proof() -> None:
    """Guards against an unknown result for a call that only waited."""

    async def check() -> None:
        cell = calls_support.Cell(slots=1)
        cell.executors['target-0'].gate.clear()
        first = cell.submit('call-1')
        await calls_support.run_pending()
        second = cell.submit('call-2')
        await calls_support.run_pending()
        cell.advance(10_000)
        result, _ = await second
        assert (result.outcome, result.code) == (
            NOT_RUN,
            errors.DEADLINE_PASSED,
        )
        cell.advance(500)
        result, _ = await first
        assert (result.outcome, result.code) == (
            UNKNOWN,
            errors.OUTCOME_UNKNOWN,
        )

    calls_support.run(check)


@both_ways
def test_sequence_check(guarded: bool) -> None:
    """Guards against an answer with a missing part that looks complete."""

    async def check() -> None:
        cell = calls_support.Cell()
        cell.executors['target-0'].answer = [b'one', b'two', b'three']

        def lose_second(
            message: inner_pb2.AgentMessage,
        ) -> list[inner_pb2.AgentMessage]:
            lost = message.call_chunk.sequence == 1
            return [] if lost else [message]

        cell.rewrite = lose_second
        no_check = mock.patch.object(
            call_tries.Try, 'find_fault', _count_without_check
        )
        if guarded:
            result, answer = await cell.submit()
            assert result.outcome is UNKNOWN
            assert result.code is errors.ANSWER_TRUNCATED
            assert answer == b'one'
        else:
            with no_check:
                result, answer = await cell.submit()
            assert (result.code, answer) == (errors.OK, b'onethree')

    calls_support.run(check)


def _count_without_check(
    item: call_tries.Try, chunk: inner_pb2.CallChunk
) -> str:
    item.chunks = chunk.sequence + 1
    return ''


def test_repeated_chunk_is_ignored() -> None:
    """Guards against data that arrives twice."""

    async def check() -> None:
        cell = calls_support.Cell()
        cell.executors['target-0'].answer = [b'one', b'two']
        cell.rewrite = lambda message: (
            [message, message] if message.HasField('call_chunk') else [message]
        )
        result, answer = await cell.submit()
        assert (result.code, answer) == (errors.OK, b'onetwo')

    calls_support.run(check)


def test_truncated_answer() -> None:
    """Guards against a lost last part: the end states the number."""

    async def check() -> None:
        cell = calls_support.Cell()
        cell.executors['target-0'].answer = [b'one', b'two']
        cell.rewrite = lambda message: (
            [] if message.call_chunk.sequence == 1 else [message]
        )
        result, answer = await cell.submit()
        assert result.code is errors.ANSWER_TRUNCATED
        assert (result.passed_bytes, answer) == (3, b'one')

    calls_support.run(check)


@pytest.mark.parametrize('passed', [0, 1])
def test_broken_stream_retries_only_before_the_first_byte(passed: int) -> None:
    """Guards against two different answers joined into one."""

    async def check() -> None:
        cell = calls_support.Cell(targets=2)
        for executor in cell.executors.values():
            executor.gate.clear()
        task = cell.submit(idempotent=True)
        await calls_support.run_pending()
        target_id, message = cell.sent[0]
        if passed:
            part = inner_pb2.CallChunk(
                call_id=message.call.call_id, sequence=0, data=b'part'
            )
            cell.engine.receive(
                target_id, inner_pb2.AgentMessage(call_chunk=part)
            )
            await calls_support.run_pending()
        cell.engine.detach(target_id)
        for executor in cell.executors.values():
            executor.gate.set()
        result, answer = await task
        if passed:
            assert result.code is errors.ANSWER_TRUNCATED
            assert answer == b'part'
        else:
            assert (result.code, answer) == (errors.OK, b'answer to call-1')

    calls_support.run(check)


def test_non_idempotent_call_is_sent_once_when_its_fate_is_unknown() -> None:
    """Guards against a second run after a broken stream."""

    async def check() -> None:
        cell = calls_support.Cell(targets=2)
        for executor in cell.executors.values():
            executor.gate.clear()
        task = cell.submit()
        await calls_support.run_pending()
        cell.engine.detach(cell.sent[0][0])
        result, _ = await task
        assert result.outcome is UNKNOWN
        assert len(cell.sent) == 1

    calls_support.run(check)


def test_not_run_needs_the_proof_of_every_try() -> None:
    """Guards against "not run" when only the second try is proved."""

    async def check() -> None:
        cell = calls_support.Cell(targets=2)
        cell.hold_to_agent = {'call'}
        task = cell.submit(idempotent=True)
        await calls_support.run_pending()
        cell.engine.detach(cell.sent[0][0])
        await calls_support.run_pending()
        assert len(cell.sent) == 2
        cell.engine.cancel('call-1')
        result, _ = await task
        assert result.outcome is UNKNOWN

    calls_support.run(check)


def test_call_refused_by_a_leaving_agent_runs_elsewhere() -> None:
    """Guards against a planned stop that callers notice."""

    async def check() -> None:
        cell = calls_support.Cell(targets=2)
        cell.hold_to_agent = {'call'}
        task = cell.submit()
        await calls_support.run_pending()
        leaving = cell.held[0][0]
        assert await cell.agents[leaving].drain(cell.clock.now_ms + 1_000)
        cell.hold_to_agent = set()
        cell.deliver()
        result, _ = await task
        assert result.outcome is DONE
        assert not cell.executors[leaving].started
        # New calls avoid the target from now on.
        await asyncio.gather(*(cell.submit(f'{n}') for n in range(20)))
        assert not cell.executors[leaving].started

    calls_support.run(check)


@both_ways
def test_claim_before_dispatch(guarded: bool) -> None:
    """Guards against two runs of a keyed call through repeats."""

    async def check() -> None:
        cell = calls_support.Cell()
        cell.claims.gate.clear()
        first = cell.submit('call-1', key='bill-7')
        second = cell.submit('call-2', key='bill-7')
        if not guarded:
            keeper = mock.patch.object(
                call_claims.ClaimKeeper, 'claim', _grant_at_once
            )
            keeper.start()
        await calls_support.run_pending()
        started = cell.executors['target-0'].started
        if not guarded:
            keeper.stop()
            assert len(started) == 2
            return
        assert not started
        cell.claims.gate.set()
        results = [(await first)[0], (await second)[0]]
        assert [result.code for result in results] == [
            errors.OK,
            errors.DUPLICATE_KEY,
        ]
        assert len(started) == 1
        again, _ = await cell.submit('call-3', key='bill-7')
        assert (again.outcome, again.detail) == (DONE, 'done')

    calls_support.run(check)


async def _grant_at_once(
    keeper: call_claims.ClaimKeeper, submission: call_tries.Submission
) -> None:
    return None


@pytest.mark.parametrize(
    'code', [errors.STORE_UNAVAILABLE, errors.STORE_UNCERTAIN]
)
def test_keyed_call_without_a_claim_is_refused(
    code: errors.ResultCode,
) -> None:
    """Guards against sending while the claim is not committed."""

    async def check() -> None:
        cell = calls_support.Cell()
        if code is errors.STORE_UNCERTAIN:
            # The claim took effect although its answer was lost.
            claimed = records.ClaimOutcome.CLAIMED
            cell.claims.holders['bill-7'] = ('call-1', claimed)
        cell.claims.claim_errors = [code]
        result, _ = await cell.submit(key='bill-7')
        assert result.outcome is NOT_RUN
        assert result.code is errors.STORE_UNAVAILABLE
        assert not cell.executors['target-0'].started
        await calls_support.run_pending()
        assert 'bill-7' not in cell.claims.holders

    calls_support.run(check)


def test_caller_that_hangs_up_still_settles_its_key() -> None:
    """Guards against a key that stays open after its call has run."""

    async def check() -> None:
        cell = calls_support.Cell()
        cell.executors['target-0'].gate.clear()
        task = cell.submit(key='bill-7')
        await calls_support.run_pending()
        task.cancel()
        await calls_support.run_pending()
        cell.executors['target-0'].gate.set()
        assert await cell.engine.drain(cell.clock.now_ms + 5_000)
        done = records.ClaimOutcome.DONE
        assert cell.claims.holders['bill-7'] == ('call-1', done)

    calls_support.run(check)


@both_ways
def test_credits_bound_the_memory_for_a_slow_reader(guarded: bool) -> None:
    """Guards against a reader that makes the entry buffer everything."""

    async def check() -> None:
        cell = calls_support.Cell()
        cell.executors['target-0'].answer = [bytes(100_000)] * 20
        received: list[int] = []
        read = asyncio.Event()

        async def on_chunk(data: bytes) -> None:
            await read.wait()
            received.append(len(data))

        def count(
            message: inner_pb2.AgentMessage,
        ) -> list[inner_pb2.AgentMessage]:
            sent.append(len(message.call_chunk.data))
            return [message]

        sent: list[int] = []
        cell.rewrite = count
        window = limits.CALL_WINDOW_BYTES if guarded else 1 << 30
        with mock.patch.object(limits, 'CALL_WINDOW_BYTES', window):
            submission = entry_calls.Submission(
                'call-1', 'service', 'team', cell.clock() + 9_000, b''
            )
            task = asyncio.ensure_future(cell.engine.run(submission, on_chunk))
            await calls_support.run_pending()
        assert (sum(sent) <= limits.CALL_WINDOW_BYTES) is guarded
        read.set()
        result = await task
        assert result.code is errors.OK
        assert sum(received) == result.passed_bytes == 2_000_000

    calls_support.run(check)


def test_failing_idempotent_calls_stay_within_the_retry_budget() -> None:
    """Guards against retries that multiply the load of a failing service."""

    async def check() -> None:
        cell = calls_support.Cell(targets=3)
        failure = executor_interface.CallStatus(
            errors.EXECUTOR_FAILED.number, True
        )
        for executor in cell.executors.values():
            executor.statuses = [failure] * 1_000
        for number in range(100):
            result, _ = await cell.submit(f'call-{number}', idempotent=True)
            assert result.code is errors.EXECUTOR_FAILED
        tries = [
            message for _, message in cell.sent if message.HasField('call')
        ]
        assert 105 <= len(tries) <= 111

    calls_support.run(check)


def test_hedge_answers_a_stuck_idempotent_call_once() -> None:
    """Guards against two answers, and against hedges of other calls."""

    async def check() -> None:
        cell = calls_support.Cell(targets=2)
        for number in range(40):
            await cell.submit(f'warm-{number}')
        for executor in cell.executors.values():
            executor.gate.clear()
        stuck = cell.submit('stuck', idempotent=True)
        once = cell.submit('once')
        await calls_support.run_pending()
        before = len(cell.sent)
        cell.advance(1_000)
        await calls_support.run_pending()
        hedges = cell.sent[before:]
        assert [message.call.body for _, message in hedges] == [
            b'answer to stuck'
        ]
        cell.executors[hedges[0][0]].gate.set()
        result, answer = await stuck
        assert (result.code, answer) == (errors.OK, b'answer to stuck')
        for executor in cell.executors.values():
            executor.gate.set()
        assert (await once)[0].code is errors.OK

    calls_support.run(check)


def test_agent_bounds() -> None:
    """Guards against more calls than slots and connections allow."""

    async def check() -> None:
        clock = calls_support.FakeClock()
        executor = calls_support.FakeExecutor()
        executor.gate.clear()
        agent = agent_calls.AgentCalls(executor, 8, 60, clock)
        ends: list[inner_pb2.CallEnd] = []

        def send(message: inner_pb2.AgentMessage) -> None:
            if message.HasField('call_end'):
                ends.append(message.call_end)

        agent.attach('entry-1', send)

        def offer(call_id: str, urgency: int) -> None:
            call = inner_pb2.Call(
                call_id=call_id, urgency=urgency, deadline_ms=clock() + 9_000
            )
            agent.receive('entry-1', inner_pb2.EntryMessage(call=call))

        for number in range(61):
            offer(f'routine-{number}', 1)
            offer(f'routine-{number}', 1)
        await calls_support.run_pending()
        assert len(executor.started) == 8
        load = agent.measure_load()
        assert (load.running, load.queued) == (8, 52)
        # The repeat of the refused call must not run after its refusal.
        assert [end.code for end in ends] == [
            errors.OVERLOADED.number,
            errors.CANCELLED.number,
        ]
        offer('urgent', 9)
        assert len(ends) == 3 and not ends[2].ran
        executor.gate.set()
        assert await agent.drain(clock() + 5_000)
        assert executor.started[8] == 'urgent'
        assert len(executor.started) == 60
        assert 'routine-60' not in executor.started
        offer('late', 9)
        assert ends[-1].code == errors.LEAVING.number

    calls_support.run(check)
