"""How long the runs of a silent VM are kept, by the platform's list of VMs."""

import asyncio
from collections import abc
from typing import Final

import pytest

from borageshelf import clock
from borageshelf.platform import inventory as platform_inventory
from borageshelf.ports import inventory
from borageshelf.workflows import end_proofs
from borageshelf.workflows import hand_over
from borageshelf.workflows import records
from standins import platform_executor
from standins import platform_machines
from tests import loopback
from tests import test_agent_sessions as session_tests
from tests import workflow_support as support

TICK_MS: Final = 100
LISTING_MS: Final = 500
LIMIT_MS: Final = support.GRANT_MS + end_proofs.LISTED_EXTENSION_MS
OTHER_ID: Final = 'other'
TERMS: Final = records.Terms('short', 'pigment', 0, 3, 2.0, 1_000, 1)


def list_as_up(silent_ms: int) -> frozenset[str]:
    """List the executor that was there."""
    return frozenset({'vm-0', OTHER_ID})


def list_as_replaced(silent_ms: int) -> frozenset[str]:
    """List another executor only."""
    return frozenset({OTHER_ID})


def list_until_lost(silent_ms: int) -> frozenset[str]:
    """List the executor until its VM loses power."""
    return list_as_up(0) if silent_ms < 6_500 else list_as_replaced(0)


def list_but_miss_once(silent_ms: int) -> frozenset[str]:
    """List the executor in all readings but one."""
    return list_as_up(0) if silent_ms != 6_500 else list_as_replaced(0)


class SlowListing:
    """A list that always shows the executor as up."""

    async def list_up_executors(self) -> inventory.UpExecutors:
        """Answer just in time."""
        await asyncio.sleep(0.7)
        return inventory.UpExecutors(frozenset({'i-0'}))


class FailingListing:
    """A list that can't be read."""

    async def list_up_executors(self) -> inventory.UpExecutors:
        """Fail."""
        raise inventory.InventoryUnavailable('down')


def find_second_start_ms(
    list_executors: abc.Callable[[int], frozenset[str]] | None,
    has_new_owner: bool = False,
    is_lasting: bool = False,
) -> int:
    """Return how long after the last report a silent task starts again."""
    cluster = support.Cluster()
    if list_executors is not None:
        cluster.core.await_listings()
    cluster.add_target('vm-0')
    cluster.submit(
        support.make_workflow(support.make_step(1, is_lasting=is_lasting))
    )
    cluster.run_until_idle()
    silent = cluster.core.targets['vm-0']
    cluster.core.extend_grant(silent, cluster.moment)
    began_ms = cluster.now_ms
    if has_new_owner:
        cluster.take_over()
        if list_executors is not None:
            cluster.core.await_listings()
    else:
        cluster.core.detach('vm-0', silent.session)
    cluster.add_target(OTHER_ID)
    while len(cluster.sent_starts) == 1:
        cluster.now_ms += TICK_MS
        silent_ms = cluster.now_ms - began_ms
        is_due = not silent_ms % LISTING_MS
        if list_executors and is_due and _needs_listing(cluster):
            reading = end_proofs.Reading(
                list_executors(silent_ms), cluster.now_ms
            )
            cluster.core.apply_listing(reading, cluster.moment)
        cluster.run_until_idle()
        assert silent_ms < 2 * LIMIT_MS
    return silent_ms


def _needs_listing(cluster: support.Cluster) -> bool:
    return cluster.core.needs_listing(cluster.moment)


@pytest.mark.parametrize(
    ('has_new_owner', 'is_lasting'),
    [(False, False), (False, True), (True, False)],
)
def test_task_on_a_vm_that_is_up_is_not_started_beside_a_second_suspension(
    has_new_owner: bool, is_lasting: bool
) -> None:
    """Guards against two runs once suspensions add up in one silence."""
    started_ms = find_second_start_ms(list_as_up, has_new_owner, is_lasting)
    assert started_ms == LIMIT_MS


def test_lasting_task_does_not_wait_for_the_vm_of_another_one() -> None:
    """Guards against LOST on a lost VM that the new owner has never seen."""
    started_ms = find_second_start_ms(list_as_up, True, True)
    assert started_ms == support.GRANT_MS


@pytest.mark.parametrize('has_new_owner', [False, True])
@pytest.mark.parametrize('list_executors', [None, list_as_replaced])
def test_list_of_vms_prolongs_no_wait_for_a_lost_vm(
    list_executors: abc.Callable[[int], frozenset[str]] | None,
    has_new_owner: bool,
) -> None:
    """Guards against a lasting task that waits for a VM that is gone."""
    started_ms = find_second_start_ms(list_executors, has_new_owner)
    assert started_ms == support.GRANT_MS


def test_vm_that_is_lost_later_is_waited_for_until_the_list_shows_it() -> None:
    """Guards against a wait that goes on once the VM is known to be lost."""
    lost_at_ms = 6_500
    assert support.GRANT_MS < lost_at_ms < LIMIT_MS
    started_ms = find_second_start_ms(list_until_lost)
    assert (
        started_ms
        <= lost_at_ms + end_proofs.MISSED_READINGS_LIMIT * LISTING_MS
    )


def test_vm_that_one_reading_misses_is_waited_for() -> None:
    """Guards against pages of the list that change while they are read."""
    started_ms = find_second_start_ms(list_but_miss_once)
    assert started_ms == LIMIT_MS


@pytest.mark.parametrize('is_lasting', [False, True])
@pytest.mark.parametrize('left_ms', [0, 400])
@pytest.mark.parametrize('listing', [SlowListing(), FailingListing()])
def test_new_owner_reads_the_list_before_it_gives_a_silent_vm_up(
    listing: inventory.Inventory, left_ms: int, is_lasting: bool
) -> None:
    """Guards against two runs behind a change of owner beside a silence."""

    async def check() -> None:
        silent = records.SilentTarget('vm-0', left_ms, left_ms, 'i-0')
        head = records.HeadRecord(silent_targets=(silent,))
        owner_runtime = await session_tests.make_runtime(
            hand_over.HandOver(head, clock.read_elapsed_ms()), listing
        )
        core = owner_runtime._core
        step = support.make_step(1, is_lasting=is_lasting)
        runs = (records.RunRecord(1, 'vm-0'),)
        core.restore(
            records.SpecRecord(support.make_workflow(step), TERMS),
            records.StateRecord(
                tasks=(records.TaskRecord(0, attempts=1, runs=runs),)
            ),
            clock.read_moment(),
        )
        running = asyncio.ensure_future(owner_runtime.run())
        await asyncio.sleep(left_ms / 1000 + 2.5)
        is_kept = bool(core.targets['vm-0'].runs)
        assert is_kept == isinstance(listing, SlowListing)
        owner_runtime.stop()
        await running

    asyncio.run(check())


def make_executors() -> list[platform_executor.PlatformExecutor]:
    """Return executors of which the second one is down."""
    executors = [
        platform_executor.PlatformExecutor(f'i-{number}', 'any', 'http://none')
        for number in range(5)
    ]
    executors[1].crash()
    return executors


def test_list_of_vms_is_read_to_its_last_page() -> None:
    """Guards against a VM on a later page that counts as lost."""

    async def check() -> None:
        machines = platform_machines.PlatformMachines(make_executors(), 2)
        async with loopback.serve(machines.make_site()) as url:
            adapter = platform_inventory.PlatformInventory(
                url.removeprefix('http://')
            )
            assert await adapter.list_up_executors() == inventory.UpExecutors(
                frozenset({'i-0', 'i-2', 'i-3', 'i-4'}), is_one_page=False
            )
            machines.is_refusing = True
            with pytest.raises(inventory.InventoryUnavailable):
                await adapter.list_up_executors()

    loopback.run(check())
