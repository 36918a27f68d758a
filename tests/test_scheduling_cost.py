"""A scheduling pass looks only at what has changed, at any fleet size."""

from typing import Any

import pytest

from borageshelf.decisions import workflow_placement
from borageshelf.model import resources
from tests import workflow_support as support

TARGET_COUNT = 160
WAITING_COUNT = 40
WHOLE_TARGET = resources.Resources(64_000, 100_000)


@pytest.fixture
def looked_at(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Return the list of the targets that placement looks at."""
    ids: list[str] = []
    has_room = workflow_placement.has_room

    def record(step: Any, target: workflow_placement.Target) -> bool:
        ids.append(target.target_id)
        return has_room(step, target)

    monkeypatch.setattr(workflow_placement, 'has_room', record)
    return ids


def make_full_cluster() -> support.Cluster:
    """Return a full cluster with waiting workflows of several tasks."""
    cluster = support.Cluster()
    for number in range(TARGET_COUNT):
        cluster.add_target(f'vm-{number}')
    for number in range(TARGET_COUNT + WAITING_COUNT):
        count = 1 if number < TARGET_COUNT else 10
        step = support.make_step(count, demand=WHOLE_TARGET)
        workflow = support.make_workflow(step, workflow_id=f'{number:016x}')
        cluster.submit(workflow, token=number)
        cluster.run_until_idle()
    assert len(cluster.list_running()) == TARGET_COUNT
    return cluster


def test_waiting_steps_are_tried_on_changed_targets_only(
    looked_at: list[str],
) -> None:
    """Guards against passes whose cost grows with fleet and backlog.

    At 160 targets each pass tried every waiting step on every target, so an
    owner with a backlog spent its time on steps that could not fit.
    """
    cluster = make_full_cluster()
    looked_at.clear()
    cluster.run_until_idle()
    assert looked_at == []
    task = cluster.list_running()[7]
    freed = cluster.find_target_id(task)
    cluster.end_run(task)
    cluster.run_until_idle()
    assert set(looked_at) == {freed}
    assert len(looked_at) <= 3 * WAITING_COUNT
    assert len(cluster.list_running()) == TARGET_COUNT


def test_freed_target_goes_to_the_first_waiting_step() -> None:
    """Guards against a step that is forgotten after it did not fit."""
    cluster = make_full_cluster()
    for _ in range(20):
        cluster.end_run(cluster.list_running()[0])
        cluster.run_until_idle()
        assert len(cluster.list_running()) == TARGET_COUNT


def test_recovered_target_gets_the_waiting_step() -> None:
    """Guards against a step that waits although a pause has ended."""
    cluster = support.Cluster()
    cluster.add_target('vm-0')
    target = cluster.core.targets['vm-0']
    target.refusal_deadline_ms = cluster.now_ms + 400
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    assert cluster.list_running() == []
    cluster.now_ms += 401
    cluster.run_until_idle()
    assert len(cluster.list_running()) == 1
