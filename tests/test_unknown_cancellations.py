"""Cancellations of workflows whose submissions are still on their way."""

import asyncio
import contextlib
from typing import Any

import pytest

from borageshelf import clock
from borageshelf.entry.workflows import request_service
from borageshelf.workflows import cancellations
from borageshelf.workflows import effects
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import records
from standins import memory_store
from tests import election_support
from tests import test_election_cut_entry as cut_entries
from tests import test_stale_owner as stale_owners
from tests import workflow_support as support

ID = '0123456789abcdef'
TIMEOUT_MS = 3_000
# The submission has left the follower by then.
LEAVES_S = 0.2


async def end_cut(owner: election_support.Entry) -> None:
    """Deliver what the follower has sent."""
    owner.proxy.release()


async def resign(owner: election_support.Entry) -> None:
    """Hand over to the follower, as at SIGTERM."""
    await owner.election.resign()
    owner.proxy.release()


async def end(owner: election_support.Entry) -> None:
    """End without a handover, as at SIGKILL."""
    await owner.stop()
    await owner.proxy.stop()


@pytest.mark.parametrize('event', [end_cut, resign, end])
def test_submission_that_arrives_after_its_cancellation_is_not_accepted(
    event: Any,
) -> None:
    """Guards against a cancelled workflow that runs (UNASKED).

    A cut holds the submission back on its way to the owner, which does not
    know what is cancelled; its successor does not know the cancellation.
    """

    async def check() -> None:
        async with contextlib.AsyncExitStack() as stack:
            owner, follower = await election_support.start_pair(stack, (1, 1))
            service, other = (
                request_service.RequestService(
                    entry.election, memory_store.MemoryStore()
                )
                for entry in (owner, follower)
            )
            owner.proxy.hold()
            submission = asyncio.ensure_future(
                other.submit(
                    support.make_workflow(workflow_id=ID),
                    support.QUEUE,
                    clock.read_elapsed_ms() + TIMEOUT_MS,
                )
            )
            await asyncio.sleep(LEAVES_S)
            deadline_ms = clock.read_elapsed_ms() + TIMEOUT_MS
            cancelled = await service.cancel(ID, deadline_ms)
            assert cancelled.outcome is effects.Outcome.ABSENT
            await event(owner)
            answer = await submission
            assert answer.outcome is not effects.Outcome.ACCEPTED
            for entry in (owner, follower):
                if entry.election.local_owner is not None:
                    assert not entry.election.local_owner._core.jobs

    asyncio.run(check())


def test_cancellation_is_acknowledged_once_it_is_stored() -> None:
    """Guards against an acknowledged cancellation that an owner forgets."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        cut_store = cut_entries.CutStore(store)
        cancel = messages.CancelRequest(1, ID)
        submission = messages.SubmitRequest(
            1, support.make_workflow(workflow_id=ID), support.QUEUE
        )
        async with stale_owners.run_owner(cut_store, 1) as owner:
            cut_store.is_cut = True
            outcome = await stale_owners.ask(owner, cancel)
            assert outcome is effects.Outcome.UNKNOWN
            cut_store.is_cut = False
            outcome = await stale_owners.ask(owner, cancel)
            assert outcome is effects.Outcome.ABSENT
        for epoch in (2, 3):
            async with stale_owners.run_owner(
                cut_entries.CutStore(store), epoch
            ) as successor:
                outcome = await stale_owners.ask(successor, submission)
                assert outcome is effects.Outcome.REFUSED

    asyncio.run(check())


def test_cancelled_id_is_refused_until_its_deadline() -> None:
    """Guards against an id that can never be used again."""
    cluster = support.Cluster()
    cluster.cancel(ID, 1)
    cluster.run_until_idle()
    cluster.submit(support.make_workflow(workflow_id=ID), token=2)
    assert cluster.replies[2].outcome is effects.Outcome.REFUSED
    retry_after_ms = cluster.replies[2].retry_after_s * 1_000
    assert retry_after_ms == cancellations.LIFETIME_MS
    cluster.now_ms += retry_after_ms
    cluster.take_over()
    cluster.submit(support.make_workflow(workflow_id=ID), token=3)
    cluster.run_until_idle()
    assert cluster.replies[3].outcome is effects.Outcome.ACCEPTED
    assert not any(
        key.startswith(records.CANCELLATIONS_PREFIX) for key in cluster.stored
    )


@pytest.mark.parametrize('seconds_apart', [0, 1])
def test_flood_of_cancellations_is_bounded(seconds_apart: int) -> None:
    """Guards against memory and commits that grow with unknown ids."""
    cluster = support.Cluster()
    count = cancellations.ROWS_LIMIT + 500
    largest_bytes = 0
    for number in range(count):
        cluster.cancel(f'{number:016x}', number)
        is_round = number % cancellations.UNSTORED_ROWS_LIMIT == 0
        if seconds_apart and is_round or number == count - 1:
            batch = cluster.core.take_batch()
            size_bytes = sum(len(value) for _, value in batch.writes)
            largest_bytes = max(largest_bytes, size_bytes)
            cluster.commit(batch)
    kept = sum(
        reply.outcome is effects.Outcome.ABSENT
        for reply in cluster.replies.values()
    )
    expected = cancellations.UNSTORED_ROWS_LIMIT
    if seconds_apart:
        expected = cancellations.ROWS_LIMIT
    assert kept == expected
    assert largest_bytes < 10_000
    refused = [
        reply
        for reply in cluster.replies.values()
        if reply.outcome is effects.Outcome.REFUSED
    ]
    assert {reply.retry_after_s for reply in refused} == {1}


@pytest.mark.parametrize('value', [b'x', journal.encode([[['a' * 100, 1]]])])
def test_page_of_another_writer_is_ignored(value: bytes) -> None:
    """Guards against a foreign record that keeps an entry from taking over."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        await store.put(records.CANCELLATIONS_PREFIX + 'x', value, 0)
        async with stale_owners.run_owner(
            cut_entries.CutStore(store), 1
        ) as owner:
            outcome = await stale_owners.ask(
                owner, messages.CancelRequest(1, ID)
            )
            assert outcome is effects.Outcome.ABSENT

    asyncio.run(check())
