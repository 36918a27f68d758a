"""The log lines on workflows that have nothing at work."""

import pytest

from borageshelf.decisions import crash_blame
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
