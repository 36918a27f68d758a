"""Waits of the owner and the agents that keep work without a run."""

import dataclasses
from typing import Any, Final

import pytest

from borageshelf.decisions import target_health
from borageshelf.model import resources
from borageshelf.workflows import messages
from tests import test_workflow_driver as driver_tests
from tests import workflow_support as support

TICK_MS: Final = 100
LAST_RUN_LIMIT_MS: Final = 9_000
CALM_LIMIT_MS: Final = 7_000
LASTING_ID: Final = '1' * 16
OTHER_ID: Final = '2' * 16


def make_cluster(target_count: int, **fields: Any) -> support.Cluster:
    """Return a cluster with targets."""
    cluster = support.Cluster()
    for number in range(target_count):
        cluster.add_target(f'vm-{number:02}', **fields)
    return cluster


def submit(cluster: support.Cluster, workflow_id: str, **fields: Any) -> None:
    """Submit a workflow of one step."""
    cluster.submit(
        support.make_workflow(
            support.make_step(**fields), workflow_id=workflow_id
        ),
        token=len(cluster.replies) + 1,
    )
    cluster.run_until_idle()


def report_gone(
    cluster: support.Cluster,
    fake: support.FakeTarget,
    cause: messages.GoneCause,
    is_orderly: bool = False,
) -> None:
    """Report the present incarnation of an executor as gone."""
    target = cluster.core.targets[fake.target_id]
    gone = messages.ExecutorGone(
        0,
        fake.make_state().incarnation,
        cause,
        reached=(),
        is_orderly=is_orderly,
    )
    cluster.core.handle_executor_gone(target, gone, cluster.moment)
    cluster.list_vms_without(fake)
    cluster.run_until_idle()


def is_withheld(cluster: support.Cluster, target_id: str) -> bool:
    """Tell whether a target is withheld because of crashes."""
    target = cluster.core.targets[target_id]
    return target.stability.is_suspect(cluster.now_ms)


def test_single_crash_that_is_reported_twice_withholds_no_target() -> None:
    """Guards against counting the reports of a crash instead of crashes."""
    cluster = make_cluster(8)
    fake = cluster.targets['vm-00']
    cluster.crash(fake)
    cluster.now_ms += 1_000
    # The agent reports it again when the next incarnation announces itself.
    report_gone(cluster, fake, messages.GoneCause.RESTARTED)
    cluster.restart(fake)
    assert not is_withheld(cluster, 'vm-00')


def test_departure_and_its_replacement_are_no_crashes() -> None:
    """Guards against withholding targets for planned restarts."""
    cluster = make_cluster(8)
    fake = cluster.targets['vm-00']
    for _ in range(2):
        for cause in (
            messages.GoneCause.LEFT,
            messages.GoneCause.REPLACED,
        ):
            report_gone(cluster, fake, cause, is_orderly=True)
        cluster.restart(fake)
        cluster.now_ms += 3_000
    assert not is_withheld(cluster, 'vm-00')


def test_agent_reports_a_crash_and_its_replacement() -> None:
    """Shows the messages of one crash, as the real agent sends them."""

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.is_down = True
        await harness.wait_for(messages.ExecutorGone)
        harness.driver.handle_announcement(
            dataclasses.replace(driver_tests.ANNOUNCEMENT, born_at_ms=2)
        )
        cluster = make_cluster(8)
        fake = cluster.targets['vm-00']
        target = cluster.core.targets['vm-00']
        for gone in harness.list_sent(messages.ExecutorGone):
            cluster.core.handle_executor_gone(target, gone, cluster.moment)
        cluster.restart(fake)
        assert not is_withheld(cluster, 'vm-00')

    driver_tests.run_scenario(scenario)


@pytest.mark.parametrize('refusing_count', [1, 2, 3])
@pytest.mark.parametrize('answer_ms', [300, 500, 1_000])
def test_targets_that_refuse_slowly_keep_no_task_from_a_sound_one(
    answer_ms: int, refusing_count: int
) -> None:
    """Guards against a task that goes round among refusing targets (LOST)."""
    cluster = make_cluster(refusing_count)
    # The sound target is the last choice of the placement.
    cluster.add_target('vm-99', millicores=32_000)
    submit(cluster, LASTING_ID, is_lasting=True)
    due: dict[tuple[str, str, int], int] = {}
    checked = 0
    waited_ms = 0
    while waited_ms < LAST_RUN_LIMIT_MS:
        for start in cluster.sent_starts[checked:]:
            target_id, task, _ = start
            if target_id == 'vm-99':
                return
            del cluster.targets[target_id].running[task]
            due[start] = cluster.now_ms + answer_ms
        checked = len(cluster.sent_starts)
        for start, due_ms in list(due.items()):
            if cluster.now_ms >= due_ms:
                del due[start]
                target = cluster.core.targets[start[0]]
                refused = messages.StartRefused(
                    0, start[1], start[2], 'no grant'
                )
                cluster.core.handle_start_refusal(
                    target, refused, cluster.moment
                )
        cluster.run_until_idle()
        cluster.now_ms += TICK_MS
        waited_ms += TICK_MS
    pytest.fail(f'no run after {len(cluster.sent_starts)} refusals')


def pause_all(cluster: support.Cluster, pause_ms: int) -> None:
    """Withhold all targets as after failures of several workflows."""
    for target in cluster.core.targets.values():
        target.health = target_health.Health(
            frozenset(('a', 'b')),
            cluster.now_ms + pause_ms,
            pause_ms,
            cluster.now_ms + pause_ms + 10_000,
        )
        cluster.core._fleet.touch(target)


def wait_for_run(cluster: support.Cluster, workflow_id: str) -> int:
    """Return the time until a workflow has a run; limited to 15 s."""
    waited_ms = 0
    job = cluster.core.jobs[workflow_id]
    while not job.live_runs and waited_ms < 15_000:
        cluster.now_ms += TICK_MS
        waited_ms += TICK_MS
        for fake in cluster.targets.values():
            if cluster.now_ms % 400 == 0:
                cluster.core.extend_grant(
                    cluster.core.targets[fake.target_id], cluster.moment
                )
        cluster.run_until_idle()
    return waited_ms


@pytest.mark.parametrize('is_gang', [False, True])
def test_workflow_without_any_run_is_started_on_paused_targets(
    is_gang: bool,
) -> None:
    """Guards against a workflow without any run, with room (LOST)."""
    cluster = make_cluster(4)
    pause_all(cluster, 10_000)
    submit(cluster, OTHER_ID, count=3, is_gang=is_gang)
    assert wait_for_run(cluster, OTHER_ID) <= 4_000


def test_isolation_of_a_long_task_keeps_no_other_workflow_idle() -> None:
    """Guards against a workflow without any run beside a suspect (LOST)."""
    cluster = make_cluster(1)
    fake = cluster.targets['vm-00']
    submit(cluster, LASTING_ID, count=1, estimate_ms=20_000)
    for _ in range(3):
        cluster.now_ms += 1_000
        reached = tuple(fake.running.items())
        cluster.crash(fake, reached=reached)
        cluster.now_ms += 1_000
        cluster.restart(fake)
        for _ in range(60):
            cluster.now_ms += TICK_MS
            cluster.run_until_idle()
            if fake.running:
                break
    task = cluster.core.jobs[LASTING_ID].tasks[0]
    assert task.runs
    submit(cluster, OTHER_ID)
    assert wait_for_run(cluster, OTHER_ID) <= 4_000, task.crash_history


def test_lasting_filler_runs_though_its_siblings_do() -> None:
    """Guards against a lasting filler that waits for its workflow (LOST)."""
    cluster = make_cluster(2)
    submit(
        cluster,
        LASTING_ID,
        count=2,
        is_lasting=True,
        latency_target_ms=50,
        image='serving',
        spread_limit=1,
    )
    for _ in range(60):
        for target in cluster.core.targets.values():
            target.baseline_latency_shares['serving'] = 0.99
    cluster.now_ms += 1_000
    submit(
        cluster,
        OTHER_ID,
        count=2,
        is_lasting=True,
        is_filler=True,
        image='filler',
        demand=resources.Resources(8_000, 1_000),
    )
    for _ in range(120):
        cluster.now_ms += TICK_MS
        for target in cluster.core.targets.values():
            target.baseline_latency_shares['serving'] = 0.99
        cluster.run_until_idle()
    tasks = cluster.core.jobs[OTHER_ID].tasks
    assert [bool(task.runs) for task in tasks] == [True, True]


def test_takeover_does_not_make_a_slow_run_look_stalled() -> None:
    """Guards against stops that lose the work of before a takeover."""
    cluster = make_cluster(1)
    # One percent takes 3 s; the estimate is far too low.
    submit(cluster, OTHER_ID, count=1, estimate_ms=1_000)
    fake = cluster.targets['vm-00']
    begun_at_ms = cluster.now_ms - 150_000

    def play(duration_ms: int) -> None:
        for _ in range(duration_ms // 400):
            cluster.now_ms += 400
            percent = (cluster.now_ms - begun_at_ms) // 3_000
            rows = [
                messages.Row(task, attempt, '', percent)
                for task, attempt in fake.running.items()
            ]
            target = cluster.core.targets['vm-00']
            cluster.core.update_progress(target, rows, cluster.moment)
            cluster.run_until_idle()

    # The former owner knows that the run works slowly.
    job = cluster.core.jobs[OTHER_ID]
    job.tasks[0].runs[1].watched_since_ms = begun_at_ms
    job.tasks[0].runs[1].progress_at_ms = cluster.now_ms
    play(20_000)
    assert not fake.stop_orders
    cluster.take_over()
    cluster.attach(fake)
    play(20_000)
    assert not fake.stop_orders


def test_odd_heartbeat_stops_no_later_ones() -> None:
    """Guards against a target that starts nothing for minutes (LOST)."""
    real = driver_tests.ANNOUNCEMENT
    odd = dataclasses.replace(real, sequence=real.sequence + 900)
    later = [
        dataclasses.replace(real, sequence=real.sequence + number)
        for number in range(1, 6)
    ]
    assert any(each.is_newer_than(odd) for each in later)
