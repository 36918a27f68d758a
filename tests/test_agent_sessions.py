"""Sessions of agents at the owner, over streams that overlap."""

import asyncio
from collections import abc
import os
from typing import Any

import pytest

from borageshelf import clock
from borageshelf.entry.workflows import election
from borageshelf.entry.workflows import evacuations
from borageshelf.entry.workflows import runtime
from borageshelf import events
from borageshelf.model import resources
from borageshelf.ports import inventory
from borageshelf.ports import store as store_interface
from borageshelf.ports import task_executor
from borageshelf.workflows import channel
from borageshelf.workflows import hand_over
from borageshelf.workflows import journal
from borageshelf.workflows import messages
from borageshelf.workflows import policy
from borageshelf.workflows import records
from standins import memory_store

GRANT_MS = 5_000
HELLO = messages.AgentHello('vm-1', 'boot', 'tajo-norte', 'i-1/1')
STATE = messages.TargetState(
    'i-1/1',
    'pigment',
    resources.Resources(4_000, 8_000),
    ('a', 'r1'),
    False,
    0,
)


class Stream:
    """The owner's side of a stream from an agent."""

    def __init__(self) -> None:
        self.outbox = channel.Outbox()
        self._incoming: asyncio.Queue[messages.AnyMessage] = asyncio.Queue()

    def send(self, message: messages.AnyMessage) -> None:
        """Send a message to the owner."""
        self._incoming.put_nowait(message)

    def list_received(self, kind: type[Any]) -> list[Any]:
        """Return the messages of a kind that the owner has sent."""
        return [item for item in self.outbox._queued if isinstance(item, kind)]

    async def receive(self) -> abc.AsyncIterator[messages.AnyMessage]:
        """Yield the messages that reach the owner after the hello."""
        while True:
            yield await self._incoming.get()


def make_event_log() -> events.EventLog:
    """Return a log whose lines are discarded."""
    return events.EventLog('entry', 'test', os.open(os.devnull, os.O_WRONLY))


async def make_runtime(
    handed_over: hand_over.HandOver | None = None,
    listing: inventory.Inventory | None = None,
    evacuated: evacuations.Evacuations | None = None,
    owner_policy: policy.OwnerPolicy | None = None,
) -> runtime.OwnerRuntime:
    """Return the runtime of a new owner over an empty store."""
    store = memory_store.MemoryStore()
    lease = await store.grant_lease(60_000)
    writer = journal.Journal(
        store,
        records.OwnerRecord(1, 'entry-1', 'boot', '127.0.0.1:1'),
        store_interface.MUST_NOT_EXIST,
        lambda error: None,
        handed_over,
    )
    confirmed_at_ms = clock.read_elapsed_ms()
    assert await writer.acquire(store_interface.MUST_NOT_EXIST, lease.lease_id)
    return runtime.OwnerRuntime(
        store,
        writer,
        lease.lease_id,
        owner_policy or policy.OwnerPolicy(GRANT_MS, 60_000),
        make_event_log(),
        lambda: (),
        confirmed_at_ms,
        handed_over=handed_over,
        listing=listing,
        evacuated=evacuated,
    )


async def let_tasks_run() -> None:
    """Let all tasks run that can go on."""
    for _ in range(20):
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    'make_message',
    [
        lambda token: messages.Snapshot(token, STATE, (), ()),
        lambda token: messages.Report(token, 1, (), STATE),
        lambda token: messages.Ends(
            token,
            (
                messages.Ended(
                    40,
                    '0123456789abcdef.0.0.0',
                    1,
                    task_executor.EndKind.DONE,
                    '',
                ),
            ),
        ),
    ],
    ids=['snapshot', 'report', 'ends'],
)
def test_message_of_a_replaced_session_changes_nothing(
    make_message: abc.Callable[[int], messages.AnyMessage],
) -> None:
    async def check() -> None:
        owner_runtime = await make_runtime()
        former, current = Stream(), Stream()
        tasks = [
            asyncio.ensure_future(
                owner_runtime.serve_agent(
                    HELLO, stream.receive(), stream.outbox
                )
            )
            for stream in (former, current)
        ]
        await let_tasks_run()
        (welcome,) = former.list_received(messages.Welcome)
        former.send(make_message(welcome.token))
        await let_tasks_run()
        target = owner_runtime._core.targets['vm-1']
        assert not target.is_ready
        assert former.list_received(messages.Answer) == []
        assert current.list_received(messages.Acknowledged) == []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(check())


class SlowStore(memory_store.MemoryStore):
    """A store whose commits are answered three seconds late."""

    def __init__(self, delay: abc.Callable[[int], None]) -> None:
        super().__init__()
        self._delay = delay

    async def commit(self, transaction: store_interface.Transaction) -> int:
        revision = await super().commit(transaction)
        self._delay(3_000)
        return revision


def test_late_answer_to_a_takeover_does_not_prolong_grants(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed_ms = 0
    read_elapsed_ms = clock.read_elapsed_ms

    def delay(duration_ms: int) -> None:
        nonlocal delayed_ms
        delayed_ms += duration_ms

    monkeypatch.setattr(
        clock, 'read_elapsed_ms', lambda: read_elapsed_ms() + delayed_ms
    )

    async def check() -> None:
        candidate = election.Election(
            election.Identity('entry-1', 'boot', '127.0.0.1:1'),
            SlowStore(delay),
            policy.OwnerPolicy(GRANT_MS, 60_000),
            make_event_log(),
            lambda: (0, b''),
            lambda document: None,
        )
        owner_runtime = await candidate._acquire_ownership(0)
        assert owner_runtime is not None
        stream = Stream()
        serving = asyncio.ensure_future(
            owner_runtime.serve_agent(HELLO, stream.receive(), stream.outbox)
        )
        await let_tasks_run()
        (welcome,) = stream.list_received(messages.Welcome)
        stream.send(messages.Report(welcome.token, 1))
        await let_tasks_run()
        (answer,) = stream.list_received(messages.Answer)
        assert not answer.is_granted
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    asyncio.run(check())


def test_report_that_requests_no_grant_does_not_prolong_the_wait() -> None:
    """Guards against a wait for leases that nobody has extended (LOST)."""

    async def check() -> None:
        owner_runtime = await make_runtime()
        stream = Stream()
        serving = asyncio.ensure_future(
            owner_runtime.serve_agent(HELLO, stream.receive(), stream.outbox)
        )
        await let_tasks_run()
        (welcome,) = stream.list_received(messages.Welcome)
        (target,) = owner_runtime._core.targets.values()
        deadlines = target.lost_deadlines
        stream.send(messages.Report(welcome.token, 1, requests_grant=False))
        await let_tasks_run()
        (answer,) = stream.list_received(messages.Answer)
        assert not answer.is_granted
        assert target.lost_deadlines == deadlines
        assert target.contact_at_ms > 0
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    asyncio.run(check())
