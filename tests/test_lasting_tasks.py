"""Lasting tasks that have no run, though executors would take them.

Rule LOST of the users' platform; ``tests.lasting.monitor`` states it.
"""

from borageshelf.model import resources
from borageshelf.model import workflows
import pytest

from tests.lasting import disruptions
from tests.lasting import histories
from tests import workflow_support as support

LABELS = ('a', 'r1')
SHORT_RUN_MS = 800


def make_targets(count: int) -> tuple[histories.Target, ...]:
    """Return some executors of eight processors."""
    return tuple(
        histories.Target(f'vm-{number}', 8_000, LABELS)
        for number in range(count)
    )


def list_ids(count: int) -> tuple[str, ...]:
    """Return the ids of these targets."""
    return tuple(target.target_id for target in make_targets(count))


def submit_lasting(
    count: int = 1, at_ms: int = 0, number: int = 1, spread_limit: int = 0
) -> histories.Submission:
    """Return the submission of lasting tasks."""
    step = support.make_step(count, is_lasting=True, spread_limit=spread_limit)
    workflow = workflows.Workflow(f'{number:016x}', 'spec', (step,))
    return histories.Submission(at_ms, workflow)


def submit_short(
    end_ms: int, interval_ms: int = 500
) -> tuple[histories.Submission, ...]:
    """Return submissions of short tasks, one after the other."""
    step = support.make_step(
        demand=resources.Resources(500, 500), estimate_ms=SHORT_RUN_MS
    )
    return tuple(
        histories.Submission(
            at_ms,
            workflows.Workflow(f'{0x1000 + at_ms:016x}', 'spec', (step,)),
        )
        for at_ms in range(0, end_ms, interval_ms)
    )


def check(
    targets: tuple[histories.Target, ...],
    submissions: tuple[histories.Submission, ...],
    *found: disruptions.Disruption,
) -> None:
    """Play a history and a calm time after it, and expect no violation."""
    last_ms = max(disruption.end_ms for disruption in found)
    plan = histories.Plan(
        0, targets, submissions, found, last_ms + histories.CALM_MS
    )
    expect_no_finding(plan)


def expect_no_finding(plan: histories.Plan) -> None:
    """Play a plan and fail with the first violation."""
    findings = histories.play(plan, is_first_enough=True)
    assert not findings, '\n'.join(findings[0].describe(plan))


@pytest.mark.parametrize('seed', range(1, 61))
def test_lasting_tasks_run_in_random_histories(seed: int) -> None:
    expect_no_finding(histories.make_plan(seed))


def test_targets_that_failed_all_work_are_used_once_they_are_sound() -> None:
    check(
        make_targets(3),
        (submit_lasting(), *submit_short(40_000)),
        disruptions.Failing(3_000, 23_000, list_ids(3)),
    )


def test_targets_that_refused_all_starts_are_used_once_they_are_sound() -> (
    None
):
    check(
        make_targets(3),
        (submit_lasting(), submit_lasting(at_ms=5_000, number=2)),
        disruptions.Refusing(3_000, 23_000, list_ids(3)),
    )


@pytest.mark.parametrize('knowledge', list(disruptions.Knowledge))
def test_task_is_not_given_up_for_executors_that_crash_by_themselves(
    knowledge: disruptions.Knowledge,
) -> None:
    check(
        make_targets(3),
        (submit_lasting(at_ms=2_000),),
        *(
            disruptions.Crashed(at_ms, at_ms + 600, list_ids(3), knowledge)
            for at_ms in range(3_000, 9_000, 1_300)
        ),
    )


@pytest.mark.parametrize('gap_ms', [100, 2_500])
def test_run_of_a_vm_that_was_lost_before_changes_of_owner_is_replaced(
    gap_ms: int,
) -> None:
    check(
        make_targets(4),
        (submit_lasting(8, spread_limit=2),),
        disruptions.Lost(3_000, 3_000, ('vm-0',)),
        *(
            disruptions.OwnerChanged(at_ms, at_ms + gap_ms, ())
            for at_ms in (3_000, 7_000, 11_000)
        ),
    )


@pytest.mark.parametrize('age_ms', range(0, 1_200, 200))
def test_young_run_of_a_vm_that_came_back_and_was_lost_is_replaced(
    age_ms: int,
) -> None:
    at_ms = 3_000 + age_ms
    check(
        make_targets(3),
        (submit_lasting(6, at_ms=3_000, spread_limit=2),),
        disruptions.Crashed(at_ms, at_ms + 1_000, ('vm-0',)),
        disruptions.Crashed(at_ms + 2_000, at_ms + 2_500, ('vm-0',)),
        disruptions.Lost(at_ms + 3_200, at_ms + 3_200, ('vm-0',)),
    )
