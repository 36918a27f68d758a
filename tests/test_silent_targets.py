"""A target that was only silent for a while keeps its running work."""

import pytest

from borageshelf.decisions import stalls
from borageshelf.workflows import messages
from tests import workflow_support as support

ID = '0123456789abcdef'
TASK = f'{ID}.0.0.0'
REPORT_INTERVAL_MS = 400


def make_running_cluster() -> support.Cluster:
    """Return a cluster with a run whose target has reported progress."""
    cluster = support.Cluster()
    for number in range(2):
        cluster.add_target(f'vm-{number}')
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    report(cluster, 10)
    return cluster


def report(cluster: support.Cluster, percent: int | None) -> None:
    """Report the progress of the run, or nothing about it."""
    target_id = cluster.find_target_id(TASK)
    assert target_id is not None
    rows = () if percent is None else (messages.Row(TASK, 1, '', percent),)
    target = cluster.core.targets[target_id]
    cluster.core.update_progress(target, rows, cluster.moment)
    cluster.apply_effects(cluster.core.take_immediate_effects())


def list_stopped(cluster: support.Cluster) -> set[str]:
    """Return the names of the tasks that were ordered to stop."""
    return set().union(
        *(fake.stop_orders for fake in cluster.targets.values())
    )


@pytest.mark.parametrize('silence_ms', [2_500, 4_000, 20_000])
def test_silence_is_no_stall(silence_ms: int) -> None:
    """Guards against work that is stopped after a pause of its agent.

    The first report after the pause repeats what the agent knew before. The
    owner took the time between two reports for time without progress.
    """
    cluster = make_running_cluster()
    cluster.now_ms += silence_ms
    report(cluster, 10)
    for _ in range(3):
        cluster.now_ms += REPORT_INTERVAL_MS
        report(cluster, 10)
    assert list_stopped(cluster) == set()
    assert cluster.core.targets['vm-0'].health.suspect_deadline_ms == 0


def test_reports_without_rows_are_no_stall() -> None:
    """Guards against work that is stopped while its executor is slow.

    An agent that can't inspect its executor knows nothing about progress.
    """
    cluster = make_running_cluster()
    for _ in range(10):
        cluster.now_ms += REPORT_INTERVAL_MS
        report(cluster, None)
    report(cluster, 10)
    cluster.now_ms += REPORT_INTERVAL_MS
    report(cluster, 10)
    assert list_stopped(cluster) == set()


def test_stalled_run_is_still_stopped() -> None:
    """Guards against a stall that is never noticed."""
    cluster = make_running_cluster()
    for _ in range(stalls.BASE_LIMIT_MS // REPORT_INTERVAL_MS + 1):
        cluster.now_ms += REPORT_INTERVAL_MS
        report(cluster, 10)
    assert list_stopped(cluster) == {TASK}
