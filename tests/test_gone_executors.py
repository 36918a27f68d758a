"""A report that an executor has gone ends the runs of that one only."""

import asyncio
import dataclasses
from typing import Any

import pytest

from borageshelf import clock
from borageshelf.ports import task_executor
from borageshelf.workflows import end_proofs
from borageshelf.workflows import messages
from tests import test_proofs_of_ends as proofs
from tests import test_workflow_driver as driver_tests
from tests import workflow_support as support

KEY = (proofs.TASK, 1)


def count_crashes(cluster: support.Cluster) -> int:
    """Return how many crashes count against the task."""
    job = cluster.core.jobs['0123456789abcdef']
    return job.tasks[0].crash_history.crashes


def test_repeated_report_of_a_crash_counts_it_once() -> None:
    cluster, fake = proofs.make_unproved_cluster()
    crashes = count_crashes(cluster)
    proofs.send_gone(cluster, fake, reached=(KEY,), unproved=(KEY,))
    assert count_crashes(cluster) == crashes


def test_next_owner_does_not_count_a_crash_again() -> None:
    cluster, fake = proofs.make_unproved_cluster()
    crashes = count_crashes(cluster)
    fake.running.clear()
    cluster.take_over()
    cluster.restart(fake)
    cluster.run_until_idle()
    assert count_crashes(cluster) == crashes


@pytest.mark.parametrize('is_back', [True, False])
def test_lease_of_an_executor_that_is_listed_tells_of_a_crash_if_it_is_back(
    is_back: bool,
) -> None:
    """Guards against a deadly task whose crash counts as a lost connection.

    The list names no incarnations, so it also shows the next one as up.
    """
    cluster = support.Cluster()
    fake = cluster.add_target('vm-0')
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    (run,) = cluster.core.jobs['0123456789abcdef'].list_runs()
    former = fake.make_state().incarnation
    target = cluster.core.targets[fake.target_id]
    for cause in (
        messages.GoneCause.OTHER_ANNOUNCED,
        messages.GoneCause.LEASE_ENDED,
    ):
        gone = messages.ExecutorGone(0, former, cause, reached=(KEY,))
        cluster.core.handle_executor_gone(target, gone, cluster.moment)
        if is_back and fake.start_count == 1:
            fake.start_count += 1
            hello = messages.AgentHello(
                fake.target_id,
                'boot',
                'tajo-norte',
                fake.make_state().incarnation,
            )
            target = cluster.core.attach(hello, 99, cluster.moment)
        cluster.now_ms += 1_000
        cluster.core.apply_listing(
            end_proofs.Reading(frozenset(['vm-0']), cluster.now_ms),
            cluster.moment,
        )
    assert run.task.crash_history.crashes == is_back


def test_report_about_an_older_incarnation_drops_no_run_of_a_newer_one() -> (
    None
):
    cluster = support.Cluster()
    for number in range(2):
        cluster.add_target(f'vm-{number}')
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    (start,) = cluster.sent_starts
    fake = cluster.targets[start[0]]
    # Its agent starts again and adopts the run.
    cluster.attach(fake)
    target = cluster.core.targets[fake.target_id]
    # The next process of the agent meets a delayed heartbeat first.
    gone = messages.ExecutorGone(
        0, f'{fake.target_id}/0', messages.GoneCause.REPLACED, None
    )
    cluster.core.handle_executor_gone(target, gone, cluster.moment)
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1


@pytest.mark.parametrize(
    ('incarnation', 'cause', 'is_started_again'),
    [
        (1, messages.GoneCause.RESTARTED, False),
        (2, messages.GoneCause.NOTHING_LISTENS, True),
    ],
    ids=['placed there', 'sent there'],
)
def test_run_belongs_to_the_incarnation_to_which_its_start_was_sent(
    incarnation: int, cause: messages.GoneCause, is_started_again: bool
) -> None:
    """Guards against a run that counts as one of its target's former life.

    The executor restarts while the commit of the run is under way.
    """
    cluster = support.Cluster()
    fakes = [cluster.add_target(f'vm-{number}') for number in range(2)]
    cluster.submit(support.make_workflow())
    cluster.core.schedule(cluster.moment)
    batch = cluster.core.take_batch()
    for fake in fakes:
        cluster.restart(fake)
    cluster.commit(batch)
    ((target_id, _, _),) = cluster.sent_starts
    target = cluster.core.targets[target_id]
    cluster.core.update_progress(
        target, [messages.Row(proofs.TASK, 1, '', 1)], cluster.moment
    )
    gone = messages.ExecutorGone(
        0,
        f'{target_id}/{incarnation}',
        cause,
        reached=None if incarnation == 1 else (KEY,),
    )
    cluster.core.handle_executor_gone(target, gone, cluster.moment)
    cluster.list_vms_without(cluster.targets[target_id])
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1 + is_started_again


def test_order_does_not_expire_while_its_executor_is_back() -> None:
    cluster, fake = proofs.make_unproved_cluster()
    fake.start_count += 1
    hello = messages.AgentHello(
        fake.target_id, 'boot', 'tajo-norte', fake.make_state().incarnation
    )
    # The late order has reached the next incarnation, which answers late.
    target = cluster.core.attach(hello, 99, cluster.moment)
    cluster.now_ms += 3_000
    cluster.core.extend_grant(target, cluster.moment)
    cluster.now_ms += 3_000
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1


def test_owner_counts_a_crash_once_whose_executor_is_then_replaced() -> None:
    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await harness.begin_session()
        harness.start()
        await harness.wait_until(lambda: len(harness.executor.starts) == 1)
        harness.executor.is_down = True
        await harness.wait_for(messages.ExecutorGone)
        harness.driver.handle_announcement(
            dataclasses.replace(
                driver_tests.ANNOUNCEMENT, instance_id='i-2', born_at_ms=2
            )
        )
        cluster = support.Cluster()
        fake = cluster.add_target('vm-0')
        cluster.submit(support.make_workflow())
        cluster.run_until_idle()
        for gone in harness.list_sent(messages.ExecutorGone):
            assert gone.incarnation == driver_tests.ANNOUNCEMENT.incarnation
            proofs.send_gone(
                cluster, fake, reached=gone.reached, unproved=gone.unproved
            )
        assert count_crashes(cluster) == 1

    driver_tests.run_scenario(scenario)


def test_new_agent_with_an_outdated_announcement_ends_no_newer_run() -> None:
    async def scenario(harness: driver_tests.DriverHarness) -> None:
        harness.driver.handle_announcement(driver_tests.ANNOUNCEMENT)
        # The executor has restarted since that announcement was sent.
        harness.executor.born_at_ms = 2
        harness.executor.running[KEY] = 0
        harness.driver.begin_session(
            messages.Welcome(1, driver_tests.TOKEN, 5_000, ())
        )
        gone = await harness.wait_for(messages.ExecutorGone)
        cluster = support.Cluster()
        for number in range(2):
            cluster.add_target(f'vm-{number}')
        cluster.submit(support.make_workflow())
        cluster.run_until_idle()
        ((target_id, _, _),) = cluster.sent_starts
        cluster.attach(cluster.targets[target_id])
        cluster.core.handle_executor_gone(
            cluster.core.targets[target_id], gone, cluster.moment
        )
        cluster.run_until_idle()
        assert len(cluster.sent_starts) == 1

    driver_tests.run_scenario(scenario)


def test_restarted_executor_forgets_no_end_before_its_restart_is_known() -> (
    None
):
    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await harness.begin_session()
        executor = harness.executor
        executor.end(driver_tests.TASK, 1, task_executor.EndKind.DONE)
        await harness.wait_for(messages.Ends)
        harness.driver.acknowledge_ends(
            messages.Acknowledged(driver_tests.TOKEN, 1)
        )
        await harness.wait_until(lambda: executor.acknowledged == 1)
        # It restarts under its id, and a late start ends there at once.
        executor.lost_inspections = 2
        executor.born_at_ms = 2
        executor.acknowledged = 0
        executor.ended.clear()
        executor.end(driver_tests.TASK, 2, task_executor.EndKind.DONE)
        await harness.wait_for(messages.ExecutorGone)
        assert executor.acknowledged == 0

    driver_tests.run_scenario(scenario)


def test_late_inspection_forgets_no_end_of_the_next_incarnation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a task that is started after an end that nobody saw.

    An executor may restart under its id, so that any inspection without an
    answer may be carried out by the next incarnation.
    """
    numbers: list[int] = []

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        inspect = harness.executor.inspect

        async def note_and_inspect(*arguments: Any) -> Any:
            numbers.append(arguments[2])
            return await inspect(*arguments)

        monkeypatch.setattr(harness.executor, 'inspect', note_and_inspect)
        await harness.begin_session()
        harness.executor.end(driver_tests.TASK, 1, task_executor.EndKind.DONE)
        await harness.wait_for(messages.Ends)
        harness.driver.acknowledge_ends(
            messages.Acknowledged(driver_tests.TOKEN, 1)
        )
        await harness.wait_until(lambda: harness.executor.acknowledged == 1)
        count = len(numbers)
        await harness.wait_until(lambda: len(numbers) >= count + 3)
        assert numbers[-1] == 0

    driver_tests.run_scenario(scenario)


def test_answered_start_needs_no_inspection_if_nothing_listens_later() -> None:
    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await harness.begin_session()
        executor = harness.executor
        executor.inspection_s = 0.2
        await asyncio.sleep(0.02)
        executor.lost_inspections = 1
        harness.start()
        await harness.wait_until(lambda: executor.lost_inspections == 0)
        executor.is_down = True
        gone = await harness.wait_for(messages.ExecutorGone)
        assert gone.cause is messages.GoneCause.NOTHING_LISTENS
        assert gone.reached == (KEY,)
        assert gone.unproved == ()

    driver_tests.run_scenario(scenario)


def test_start_answered_during_a_refused_inspection_is_unproved() -> None:
    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await harness.begin_session()
        executor = harness.executor
        executor.inspection_s = 0.2
        await asyncio.sleep(0.02)
        # The answer may come from the next incarnation.
        executor.restart()
        harness.start()
        await harness.wait_until(lambda: len(executor.starts) == 1)
        executor.is_down = True
        gone = await harness.wait_for(messages.ExecutorGone)
        assert gone.cause is messages.GoneCause.NOTHING_LISTENS
        assert gone.unproved == (KEY,)

    driver_tests.run_scenario(scenario)


class RefusingExecutor(driver_tests.FakeExecutor):
    """An executor that refuses each inspection."""

    async def inspect(
        self, *arguments: Any, **fields: Any
    ) -> task_executor.Inspection:
        """Refuse."""
        raise task_executor.OrderRefused(task_executor.StartOutcome.UNHEALTHY)


def test_runs_end_with_the_lease_though_inspections_are_refused() -> None:
    async def scenario(harness: driver_tests.DriverHarness) -> None:
        harness.driver._executor = RefusingExecutor()
        harness.driver.handle_announcement(driver_tests.ANNOUNCEMENT)
        harness.driver.begin_session(
            messages.Welcome(1, driver_tests.TOKEN, 5_000, ())
        )
        gone = await harness.wait_for(messages.ExecutorGone)
        assert gone.cause is messages.GoneCause.LEASE_ENDED

    driver_tests.run_scenario(scenario)


def test_refused_inspections_that_extend_no_lease_keep_no_run() -> None:
    async def scenario(harness: driver_tests.DriverHarness) -> None:
        harness.driver.handle_announcement(driver_tests.ANNOUNCEMENT)
        harness.driver.begin_session(
            messages.Welcome(1, driver_tests.TOKEN, 1_500, ())
        )
        await harness.wait_for(messages.Snapshot)
        harness.extend_grant()
        harness.start()
        await harness.wait_until(lambda: len(harness.executor.starts) == 1)
        harness.driver._executor = RefusingExecutor()

        async def extend_grants() -> None:
            while True:
                await asyncio.sleep(0.1)
                harness.extend_grant()

        extending = asyncio.create_task(extend_grants())
        gone = await harness.wait_for(messages.ExecutorGone)
        extending.cancel()
        assert gone.cause is messages.GoneCause.LEASE_ENDED
        assert gone.reached == (KEY,)
        assert gone.is_orderly

    driver_tests.run_scenario(scenario)


def test_executor_that_refuses_its_inspections_has_not_crashed() -> None:
    cluster = support.Cluster()
    for number in range(2):
        cluster.add_target(f'vm-{number}')
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    (start,) = cluster.sent_starts
    proofs.send_gone(
        cluster,
        cluster.targets[start[0]],
        messages.GoneCause.LEASE_ENDED,
        reached=(KEY,),
        is_orderly=True,
    )
    assert count_crashes(cluster) == 0
    assert [start[2] for start in cluster.sent_starts] == [1, 2]


class ReplacedExecutor(driver_tests.FakeExecutor):
    """An executor at whose address another id answers."""

    async def inspect(
        self, *arguments: Any, **fields: Any
    ) -> task_executor.Inspection:
        """Refuse."""
        raise task_executor.OrderRefused(
            task_executor.StartOutcome.OTHER_INSTANCE
        )


async def crash_with_an_open_order(
    harness: driver_tests.DriverHarness,
) -> None:
    """Crash an executor while the answer to a start is missing."""
    await harness.begin_session()
    harness.executor.lost_starts = 100
    harness.start()
    await harness.wait_until(lambda: len(harness.executor.starts) == 1)
    harness.executor.is_down = True
    gone = await harness.wait_for(messages.ExecutorGone)
    assert gone.unproved == (KEY,)


def test_report_says_how_old_the_open_orders_are() -> None:
    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await crash_with_an_open_order(harness)
        await asyncio.sleep(0.3)
        harness.driver.begin_session(
            messages.Welcome(2, driver_tests.TOKEN + 1, 5_000, ())
        )
        second = await harness.wait_for(messages.ExecutorGone, 2)
        first = harness.list_sent(messages.ExecutorGone)[0]
        assert first.order_age_ms < 300 <= second.order_age_ms

    driver_tests.run_scenario(scenario)


def test_new_agent_knows_that_earlier_orders_are_older_than_itself() -> None:
    async def scenario(harness: driver_tests.DriverHarness) -> None:
        begun_at_ms = clock.read_running_ms()
        await asyncio.sleep(0.2)
        harness.executor.is_down = True
        harness.driver.handle_announcement(driver_tests.ANNOUNCEMENT)
        harness.driver.begin_session(
            messages.Welcome(1, driver_tests.TOKEN, 5_000, ())
        )
        gone = await harness.wait_for(messages.ExecutorGone)
        age_ms = clock.read_running_ms() - begun_at_ms
        assert gone.reached is None
        assert 200 <= gone.order_age_ms <= age_ms + 100

    driver_tests.run_scenario(scenario)


def test_open_order_is_void_once_another_executor_id_answers() -> None:
    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await crash_with_an_open_order(harness)
        executor = harness.executor
        # It restarts under its id first and is not inspected.
        for instance_id, born_at_ms in (('i-1', 2), ('i-2', 3)):
            harness.driver.handle_announcement(
                dataclasses.replace(
                    driver_tests.ANNOUNCEMENT,
                    instance_id=instance_id,
                    born_at_ms=born_at_ms,
                )
            )
            harness.driver.begin_session(
                messages.Welcome(1, driver_tests.TOKEN, 5_000, ())
            )
        assert all(
            gone.unproved in ((KEY,), ())
            and not end_proofs.is_proof(gone.cause)
            for gone in harness.list_sent(messages.ExecutorGone)
        )
        executor.born_at_ms = 3
        executor.is_down = False
        await harness.wait_for(messages.Snapshot, 2)
        (proof,) = (
            gone
            for gone in harness.list_sent(messages.ExecutorGone)
            if end_proofs.is_proof(gone.cause)
        )
        assert proof.incarnation == 'i-1/1'
        assert proof.cause is messages.GoneCause.REPLACED
        assert (proof.reached, proof.unproved) == ((KEY,), ())

    driver_tests.run_scenario(scenario)


def test_answer_of_another_executor_alone_is_no_proof() -> None:
    """Guards against a path that leads to another executor for a while."""

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await harness.begin_session()
        harness.start()
        await harness.wait_until(lambda: len(harness.executor.starts) == 1)
        harness.driver._executor = ReplacedExecutor()
        gone = await harness.wait_for(messages.ExecutorGone)
        assert gone.cause is messages.GoneCause.OTHER_ANSWERS
        assert gone.reached == (KEY,)
        harness.driver._executor = harness.executor
        await harness.wait_until(lambda: harness.requested_sessions > 1)
        assert len(harness.list_sent(messages.ExecutorGone)) == 1

    driver_tests.run_scenario(scenario)


def test_kept_run_is_started_again_once_another_executor_id_answers() -> None:
    cluster, fake = proofs.make_unproved_cluster(
        messages.GoneCause.NOTHING_LISTENS
    )
    fake.running.clear()
    proofs.send_gone(
        cluster, fake, messages.GoneCause.REPLACED, reached=(KEY,)
    )
    assert [start[2] for start in cluster.sent_starts] == [1, 2]
    assert count_crashes(cluster) == 1


def test_new_agent_proves_the_end_of_an_order_to_a_replaced_executor() -> None:
    cluster = support.Cluster()
    for number in range(2):
        cluster.add_target(f'vm-{number}')
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    (start,) = cluster.sent_starts
    proofs.send_gone(
        cluster,
        cluster.targets[start[0]],
        messages.GoneCause.REPLACED,
        reached=None,
    )
    assert [start[2] for start in cluster.sent_starts] == [1, 2]


def test_later_report_of_another_incarnation_keeps_a_newer_run() -> None:
    cluster = support.Cluster()
    for number in range(2):
        cluster.add_target(f'vm-{number}')
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    (start,) = cluster.sent_starts
    fake = cluster.targets[start[0]]
    cluster.attach(fake)
    gone = messages.ExecutorGone(
        0, f'{fake.target_id}/0', messages.GoneCause.REPLACED, None
    )
    target = cluster.core.targets[fake.target_id]
    cluster.core.handle_executor_gone(target, gone, cluster.moment)
    # Its agent reports on and gets grants, but has no snapshot yet.
    cluster.now_ms += 3_000
    cluster.core.extend_grant(target, cluster.moment)
    cluster.now_ms += 3_000
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1


def test_kept_run_does_not_expire_before_the_grant_of_its_agent() -> None:
    cluster = support.Cluster()
    for number in range(2):
        cluster.add_target(f'vm-{number}')
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    (start,) = cluster.sent_starts
    fake = cluster.targets[start[0]]
    cluster.attach(fake)
    gone = messages.ExecutorGone(
        0, f'{fake.target_id}/0', messages.GoneCause.REPLACED, None
    )
    target = cluster.core.targets[fake.target_id]
    cluster.core.handle_executor_gone(target, gone, cluster.moment)
    cluster.now_ms += 3_000
    cluster.core.extend_grant(target, cluster.moment)
    # The stream breaks, and its snapshot is lost.
    cluster.core.detach(fake.target_id, fake.session)
    cluster.now_ms += 3_000
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1
