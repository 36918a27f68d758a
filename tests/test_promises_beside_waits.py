"""Promises beside LOST that waits and their ends must not break."""

import time

import pytest

from borageshelf.decisions import target_health
from borageshelf.model import resources
from borageshelf.model import workflows
from borageshelf.workflows import messages
from tests import test_deadly_tasks as deadly
from tests import test_waits_of_work as waits
from tests import workflow_support as support


def test_pause_for_failures_after_one_for_stalls_ends_with_a_sound_run() -> (
    None
):
    """Guards against a pause that keeps the cause of an earlier one."""
    health = target_health.record_stall(target_health.Health(), 0)
    for workflow_id in ('a', 'b', 'c'):
        health = target_health.record_failure(health, workflow_id, 5_000)
    assert health.is_suspect(5_000)
    assert not target_health.record_lasting_run(health).is_suspect(5_000)


def test_late_start_on_the_next_incarnation_is_not_doubled() -> None:
    """Guards against two runs after a cut that follows a crash (TWICE)."""
    cluster = waits.make_cluster(2)
    waits.submit(cluster, waits.OTHER_ID)
    ((target_id, task, _),) = cluster.sent_starts
    fake = cluster.targets[target_id]
    target = cluster.core.targets[target_id]
    cluster.now_ms += 200
    cluster.core.extend_grant(target, cluster.moment)
    gone = messages.ExecutorGone(
        0,
        fake.make_state().incarnation,
        messages.GoneCause.NOTHING_LISTENS,
        reached=((task, 1),),
        unproved=((task, 1),),
        order_age_ms=200,
    )
    fake.running.clear()
    cluster.core.handle_executor_gone(target, gone, cluster.moment)
    cluster.list_vms_without(fake)
    reported_at_ms = cluster.now_ms
    # The machine is cut off; the executor is back there, and the start, which
    # is on its way, arrives 3 s later and gets a whole lease.
    cluster.core.detach(target_id, fake.session)
    lease_end_ms = reported_at_ms + 3_000 + 4_800
    while cluster.now_ms < lease_end_ms:
        cluster.now_ms += 100
        cluster.run_until_idle()
        assert len(cluster.sent_starts) == 1, cluster.now_ms - reported_at_ms


@pytest.mark.parametrize('target_count', [1, 2, 3])
@pytest.mark.parametrize('crash_age_ms', [0, 300, 1_500])
@pytest.mark.parametrize('deadly_count', [1, 3])
def test_lasting_work_beside_deadly_tasks_is_not_given_up(
    deadly_count: int, crash_age_ms: int, target_count: int
) -> None:
    """Guards against blame of overdue tasks beside suspects (LOST)."""
    deadly_ids = {f'{0xDEAD + n:016x}' for n in range(deadly_count)}
    day = deadly.CrashDay(
        target_count,
        lambda task: task.split('.')[0] in deadly_ids,
        crash_age_ms,
    )
    day.restart_ms = 1_000
    lasting = [f'{number:016x}' for number in range(1, 4)]
    for each in lasting:
        day.submit(each, support.make_step(2, is_lasting=True))
    day.play(2_000)
    for each in deadly_ids:
        day.submit(each, support.make_step(2))
    day.play(90_000)
    core = day.cluster.core
    assert {core.find_state(each) for each in lasting} == {'running'}
    assert max(day.starts[t] for t in day.culprits) <= deadly.STARTS_LIMIT


def time_passes(
    cluster: support.Cluster, passes: int, step_ms: int
) -> list[float]:
    """Return the durations of scheduling passes in milliseconds."""
    durations = []
    for _ in range(passes):
        cluster.now_ms += step_ms
        begun = time.perf_counter()
        cluster.core.advance(cluster.moment)
        cluster.core.schedule(cluster.moment)
        durations.append((time.perf_counter() - begun) * 1000)
        cluster.core.take_immediate_effects()
    return durations


def test_late_start_on_the_next_incarnation_waits_for_a_silent_agent() -> None:
    """Guards against two runs at a cut that the owner has not seen (TWICE)."""
    cluster = waits.make_cluster(2)
    waits.submit(cluster, waits.OTHER_ID)
    ((target_id, task, _),) = cluster.sent_starts
    fake = cluster.targets[target_id]
    target = cluster.core.targets[target_id]
    cluster.now_ms += 200
    cluster.core.extend_grant(target, cluster.moment)
    ordered_at_ms = cluster.now_ms - 200
    gone = messages.ExecutorGone(
        0,
        fake.make_state().incarnation,
        messages.GoneCause.NOTHING_LISTENS,
        reached=((task, 1),),
        unproved=((task, 1),),
        order_age_ms=200,
    )
    fake.running.clear()
    cluster.core.handle_executor_gone(target, gone, cluster.moment)
    cluster.list_vms_without(fake)
    # The last report comes 3,400 ms after the order; then the machine is cut
    # off. The owner takes its session for alive until 1,700 ms later.
    while cluster.now_ms < ordered_at_ms + 5_000:
        cluster.now_ms += 100
        if cluster.now_ms <= ordered_at_ms + 3_400:
            cluster.core.extend_grant(target, cluster.moment)
        cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1, target.contact_at_ms - ordered_at_ms


def test_due_occurrence_does_not_begin_as_an_overdue_one() -> None:
    """Guards against attempts on failing targets without any wait (BUDGET)."""
    cluster = waits.make_cluster(2)
    cluster.submit(
        workflows.Workflow(
            waits.OTHER_ID,
            'spec',
            (support.make_step(),),
            first_start_ms=support.WALL_MS + cluster.now_ms + 5_000,
            occurrences=1,
        )
    )
    cluster.run_until_idle()
    cluster.now_ms += 4_000
    waits.pause_all(cluster, 10_000)
    cluster.run_until_idle()
    cluster.now_ms += 1_300
    cluster.run_until_idle()
    assert not cluster.sent_starts


def test_pass_over_overdue_tasks_does_not_stop_the_owner() -> None:
    """Guards against an owner that answers nobody for seconds.

    Agents leave an owner that is silent for 1.5 s, and its lease ends after
    2 s.
    """
    cluster = waits.make_cluster(460)
    waits.pause_all(cluster, 10_000)
    demand = resources.Resources(200, 1_000)
    cluster.submit(
        support.make_workflow(
            support.make_step(1_600, is_lasting=True, demand=demand)
        )
    )
    assert max(time_passes(cluster, 120, 50)) < 1_500
