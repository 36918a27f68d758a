"""The log lines on workflows that have nothing at work."""

import pytest

from borageshelf.decisions import crash_blame
from borageshelf.decisions import target_health
from borageshelf.ports import task_executor
from borageshelf.workflows import idle
from tests import workflow_support as support

ID = '0123456789abcdef'
TASK = f'{ID}.0.0.0'


def describe(cluster: support.Cluster) -> list[str]:
    """Return the causes in the lines, after a while."""
    cluster.now_ms += idle.IDLE_LIMIT_MS
    lines = cluster.core.describe_idle_workflows(cluster.moment)
    return [line['cause'] for line in lines]


@pytest.mark.parametrize(
    ('millicores', 'cause'),
    [(None, 'no usable target: {}'), (500, 'no room'), (8_000, 'not placed')],
)
def test_workflow_that_waits_is_explained(
    millicores: int | None, cause: str
) -> None:
    """Guards against accepted work of which the log does not tell anything.

    The owner does not schedule here, so that work stays unplaced.
    """
    cluster = support.Cluster()
    if millicores is not None:
        cluster.add_target('vm-0', millicores=millicores)
    cluster.submit(support.make_workflow())
    # What a scheduling pass would do first.
    cluster.core.scheduler._fleet.refresh(cluster.now_ms)
    assert describe(cluster) == [cause]


def test_suspect_that_waits_is_explained() -> None:
    cluster = support.Cluster()
    cluster.submit(support.make_workflow())
    task = cluster.core.jobs[ID].find_task(TASK)
    assert task is not None
    task.set_crash_history(crash_blame.History(3, is_suspect=True))
    task.isolation_wait_deadline_ms = cluster.now_ms + 10_000
    assert describe(cluster) == ['suspected of crashes, waits for isolation']


def test_run_on_a_target_that_went_silent_is_explained() -> None:
    """Guards against counting a run that no target lists as work."""
    cluster = support.Cluster()
    cluster.add_target('vm-0')
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    assert describe(cluster) == ['no target lists its runs']
    cluster.core.targets['vm-0'].runs[TASK, 1].is_confirmed = True
    assert describe(cluster) == []


def submit_lasting(cluster: support.Cluster, count: int = 1) -> None:
    """Submit a workflow of lasting tasks."""
    cluster.submit(
        support.make_workflow(support.make_step(count, is_lasting=True))
    )


def test_lasting_run_on_a_ready_target_counts_as_work() -> None:
    """Guards against lines that call monitors at work idle."""
    cluster = support.Cluster()
    cluster.add_target('vm-0')
    submit_lasting(cluster)
    cluster.run_until_idle()
    assert describe(cluster) == []


def test_lasting_task_without_a_run_is_explained_beside_others() -> None:
    """Guards against a lost lasting task of which the log does not tell."""
    cluster = support.Cluster()
    cluster.add_target('vm-0', millicores=2_000)
    submit_lasting(cluster, count=3)
    cluster.run_until_idle()
    assert len(cluster.list_running()) == 2
    assert describe(cluster) == []
    lines = cluster.core.describe_waiting_tasks(cluster.moment)
    assert [(line['task'], line['cause']) for line in lines] == [
        (f'{ID}.0.0.2', 'no room')
    ]
    assert lines[0]['waits_ms'] == idle.IDLE_LIMIT_MS


def test_pause_of_a_target_is_logged_once_with_its_length() -> None:
    """Guards against one line for each failure while a pause runs on."""
    cluster = support.Cluster()
    cluster.add_target('vm-0')
    for number in range(4):
        cluster.submit(support.make_workflow(workflow_id=f'{number:016x}'))
    cluster.run_until_idle()
    for task in cluster.list_running():
        cluster.end_run(task, task_executor.EndKind.FAILED)
    pauses = [
        fields['pause_ms']
        for event, fields in cluster.log_lines
        if event == 'target suspect'
    ]
    assert pauses == [target_health.BASE_PAUSE_MS]
