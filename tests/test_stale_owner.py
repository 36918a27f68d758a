"""What an owner answers that has been replaced without noticing it."""

import asyncio
from collections import abc
import contextlib
from typing import Final

import pytest

from borageshelf import clock
from borageshelf.entry.workflows import runtime
from borageshelf.workflows import effects
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import policy
from borageshelf.workflows import records
from standins import memory_store
from tests import test_agent_sessions as sessions
from tests import test_election_cut_entry as cut_entries
from tests import workflow_support as support

ID: Final = '0123456789abcdef'
TIMEOUT_MS: Final = 700
REQUESTS: Final = (
    messages.CancelRequest(1, ID),
    messages.FindRequest(1, ID),
)


@contextlib.asynccontextmanager
async def run_owner(
    store: cut_entries.CutStore, epoch: int
) -> abc.AsyncIterator[runtime.OwnerRuntime]:
    """Run an owner that replaces the one of the epoch before."""
    lease = await store.grant_lease(60_000)
    head = await store.get(records.HEAD_KEY)
    owner_entry = await store.get(records.OWNER_KEY)
    writer = journal.Journal(
        store,
        records.OwnerRecord(epoch, f'entry-{epoch}', 'boot', '127.0.0.1:1'),
        head.revision if head else 0,
        lambda error: None,
    )
    assert await writer.acquire(
        owner_entry.revision if owner_entry else 0, lease.lease_id
    )
    owner = runtime.OwnerRuntime(
        store,
        writer,
        lease.lease_id,
        policy.OwnerPolicy(5_000, 60_000),
        sessions.make_event_log(),
        lambda: (),
        clock.read_elapsed_ms(),
    )
    await owner.load()
    task = asyncio.ensure_future(owner.run())
    try:
        yield owner
    finally:
        owner.stop()
        await task


async def ask(
    owner: runtime.OwnerRuntime, request: messages.Request
) -> effects.Outcome:
    """Return the outcome that an owner answers."""
    answer = await owner.answer(request, clock.read_elapsed_ms() + TIMEOUT_MS)
    return answer.outcome


@pytest.mark.parametrize('is_cut', [True, False])
@pytest.mark.parametrize('request_', REQUESTS)
def test_replaced_owner_does_not_deny_a_workflow_of_its_successor(
    request_: messages.Request, is_cut: bool
) -> None:
    """Guards against a cancel that is acknowledged and forgotten (UNASKED)."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        former_store = cut_entries.CutStore(store)
        async with run_owner(former_store, 1) as former:
            former_store.is_cut = is_cut
            async with run_owner(cut_entries.CutStore(store), 2) as successor:
                submission = messages.SubmitRequest(
                    1, support.make_workflow(workflow_id=ID), support.QUEUE
                )
                accepted = await ask(successor, submission)
                assert accepted is effects.Outcome.ACCEPTED
                outcome = await ask(former, request_)
                assert outcome is effects.Outcome.UNKNOWN

    asyncio.run(check())


@pytest.mark.parametrize('request_', REQUESTS)
def test_owner_tells_at_once_that_a_workflow_is_absent(
    request_: messages.Request,
) -> None:
    """Guards against a check of the ownership that callers would notice."""

    async def check() -> None:
        store = cut_entries.CutStore(memory_store.MemoryStore())
        async with run_owner(store, 1) as owner:
            begun_at_ms = clock.read_elapsed_ms()
            outcomes = await asyncio.gather(
                *(ask(owner, request_) for _ in range(20))
            )
            assert set(outcomes) == {effects.Outcome.ABSENT}
            took_ms = clock.read_elapsed_ms() - begun_at_ms
            assert took_ms < runtime.CONFIRMATION_INTERVAL_MS / 2

    asyncio.run(check())
