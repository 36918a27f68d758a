"""What an owner tells the next one about silent targets.

The histories are played as in ``test_lasting_tasks``; vm-0 is cut off, lost or
suspended beside changes of the owner.
"""

import asyncio

import pytest

from borageshelf import clock
from borageshelf.entry.workflows import runtime
from borageshelf.model import workflows
from borageshelf.workflows import hand_over
from borageshelf.workflows import messages
from borageshelf.workflows import owner
from borageshelf.workflows import policy
from borageshelf.workflows import records
from borageshelf.workflows import silence
from tests.lasting import disruptions
from tests.lasting import histories
from tests.lasting import planner
from tests.lasting import plans
from tests import test_agent_sessions as sessions
from tests import test_lasting_tasks as lasting
from tests import workflow_support as support

IDS = ('vm-0',)
CUT_MS = 3_000
LIMITS = policy.OwnerPolicy(
    policy.GRANT_LIMIT_MS, support.RETENTION_MS
).silence_limits


def make_plan(
    submission: plans.Submission, *planned: disruptions.Disruption
) -> plans.Plan:
    """Return a plan with four targets and a calm time at its end."""
    last_ms = max(disruption.end_ms for disruption in planned)
    return plans.Plan(
        0,
        lasting.make_targets(4),
        (submission,),
        planned,
        last_ms + planner.CALM_MS,
    )


def submit_long(at_ms: int) -> plans.Submission:
    """Return the submission of tasks that end after a minute."""
    step = support.make_step(8, estimate_ms=60_000, spread_limit=4)
    workflow = workflows.Workflow(f'{1:016x}', 'spec', (step,))
    return plans.Submission(at_ms, workflow)


@pytest.mark.parametrize('delay_ms', range(0, 5_500, 500))
def test_task_of_a_vm_suspended_in_a_cut_runs_once_beside_a_planned_stop(
    delay_ms: int,
) -> None:
    """Guards against a second run after a resignation (lasting 2000028)."""
    suspended_ms = CUT_MS + delay_ms
    plan = make_plan(
        lasting.submit_lasting(8, at_ms=1_500, spread_limit=4),
        lasting.begin_at(lasting.RESIGNED, CUT_MS),
        disruptions.CutOff(CUT_MS, CUT_MS + planner.SITE_CUT_MS, IDS),
        disruptions.Suspended(
            suspended_ms, suspended_ms + planner.SITE_SUSPENSION_MS, IDS
        ),
    )
    lasting.expect_no_finding(plan)


@pytest.mark.parametrize('delay_ms', range(1_000, 5_000, 500))
@pytest.mark.parametrize('silent_ms', [2_000, 4_000])
@pytest.mark.parametrize(
    'change', [lasting.KILLED, lasting.CUT_OFF], ids=['killed', 'cut-off']
)
def test_task_of_a_vm_named_as_silent_runs_once_behind_a_change_of_owner(
    change: disruptions.OwnerChanged, silent_ms: int, delay_ms: int
) -> None:
    """Guards against a handed-over deadline that ends before the lease."""
    suspended_ms = CUT_MS + delay_ms
    resumed_ms = suspended_ms + planner.SITE_SUSPENSION_MS
    plan = make_plan(
        lasting.submit_lasting(8, at_ms=1_500, spread_limit=4),
        lasting.begin_at(change, CUT_MS + silent_ms),
        disruptions.CutOff(CUT_MS, CUT_MS + planner.SITE_CUT_MS, IDS),
        disruptions.Suspended(suspended_ms, resumed_ms, IDS),
        disruptions.AgentRestarted(resumed_ms, resumed_ms + 4_000, IDS),
    )
    lasting.expect_no_finding(plan)


@pytest.mark.parametrize('silent_ms', [2_000, 4_000, 7_000])
@pytest.mark.parametrize('change_count', [1, 3])
@pytest.mark.parametrize(
    'change',
    [lasting.RESIGNED, lasting.KILLED, lasting.CUT_OFF],
    ids=['resigned', 'killed', 'cut-off'],
)
def test_waits_for_a_lost_vm_do_not_add_up_behind_a_change_of_owner(
    change: disruptions.OwnerChanged, change_count: int, silent_ms: int
) -> None:
    """Guards against work that waits again for a VM that was silent before.

    Its tasks that end waited for up to 9.4 + 12.3 s.
    """
    first_ms = CUT_MS + silent_ms
    changes = [
        lasting.begin_at(change, first_ms + number * 2_500)
        for number in range(change_count)
    ]
    plan = make_plan(
        submit_long(1_500),
        disruptions.Lost(CUT_MS, CUT_MS, IDS),
        *changes,
    )
    history = histories.History(plan)
    history.play()
    lost_at_ms = [
        fields['elapsed_ms'] - history.world.clock_begin_ms
        for event, fields in history.world.cluster.log_lines
        if event == 'run lost' and fields['target'] == 'vm-0'
    ]
    assert lost_at_ms
    # A head is up to 0.8 s old as it is first seen, each time.
    seen_ms = sum(each.head_seen_ms for each in changes)
    slack_ms = change_count * runtime.CONFIRMATION_INTERVAL_MS + seen_ms
    latest_ms = CUT_MS + LIMITS.other_ms + slack_ms
    assert max(lost_at_ms) <= max(latest_ms, changes[-1].end_ms + 500)


# The target is back while the store is down, so that the next owner reads of
# its first silence only.
BACK_WITHOUT_COMMIT = make_plan(
    lasting.submit_lasting(8, at_ms=1_500, spread_limit=4),
    disruptions.CutOff(4_000, 6_000, IDS),
    disruptions.StoreDown(5_900, 8_000, ()),
    disruptions.OwnerChanged(8_000, 9_600, (), head_seen_ms=100),
    disruptions.CutOff(8_000, 20_000, IDS),
    disruptions.Suspended(11_500, 15_500, IDS),
)


def test_named_target_that_is_back_gets_no_grant_before_a_commit() -> None:
    assert not [
        finding
        for finding in histories.play(BACK_WITHOUT_COMMIT)
        if finding.violation.is_twice
    ]


def test_history_shows_that_a_named_target_must_get_no_grant(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        hand_over.HandOver, 'is_named', lambda self, target_id: False
    )
    assert any(
        finding.violation.is_twice
        for finding in histories.play(BACK_WITHOUT_COMMIT)
    )


def make_owner(
    now_ms: int, handed_over: hand_over.HandOver
) -> tuple[owner.Owner, clock.Moment]:
    """Return an owner of a workflow with a run on vm-0, not attached yet."""
    core = owner.Owner(
        1,
        LIMITS,
        support.RETENTION_MS,
        now_ms,
        LIMITS.count_from(now_ms),
        lambda record: b'',
        lambda event, **fields: None,
        handed_over,
    )
    moment = clock.Moment(now_ms, support.WALL_MS)
    workflow = support.make_workflow()
    terms = records.Terms('short', 'pigment', 0, 3, 2.0, 1_000, 1)
    run = records.RunRecord(1, 'vm-0')
    state = records.StateRecord(
        tasks=(records.TaskRecord(0, attempts=1, runs=(run,)),)
    )
    core.restore(records.SpecRecord(workflow, terms), state, moment)
    return core, moment


def make_head(
    lasting_left_ms: int, other_left_ms: int, target_id: str = 'vm-0'
) -> records.HeadRecord:
    """Return a head that names a target."""
    silent = records.SilentTarget(target_id, lasting_left_ms, other_left_ms)
    return records.HeadRecord(silent_targets=(silent,))


def test_deadline_of_a_named_target_is_handed_on_by_each_owner() -> None:
    """Guards against waits that begin anew with each change of the owner."""
    handed_over = hand_over.HandOver(make_head(3_000, 4_000), 100_000)
    # The acquisition names it again, before the runs are known.
    (named,) = handed_over.name_silent_targets(100_500, False)
    assert named == records.SilentTarget('vm-0', 2_500, 3_500)
    handed_over.note_stored((named,))
    core, _ = make_owner(100_600, handed_over)
    assert core.targets['vm-0'].lost_deadlines == silence.Deadlines(
        103_000, 104_000
    )
    (named,) = handed_over.name_silent_targets(103_400, False)
    assert named == records.SilentTarget('vm-0', 0, 600)


def test_target_that_is_not_named_has_the_deadlines_of_all_others() -> None:
    handed_over = hand_over.HandOver(make_head(1, 1, 'vm-9'), 100_000)
    core, _ = make_owner(100_000, handed_over)
    target = core.targets['vm-0']
    assert target.lost_deadlines == LIMITS.count_from(100_000)
    early_ms = 100_000 + hand_over.SILENCE_LIMIT_MS - 1
    assert not handed_over.name_silent_targets(early_ms, False)
    assert handed_over.name_silent_targets(early_ms + 1, False)


def test_resigning_owner_names_targets_that_are_in_touch() -> None:
    handed_over = hand_over.HandOver()
    core, moment = make_owner(100_000, handed_over)
    assert core.extend_grant(core.targets['vm-0'], moment)
    assert not handed_over.name_silent_targets(100_000, False)
    (named,) = handed_over.name_silent_targets(100_000, True)
    assert named.other_left_ms == LIMITS.other_ms


def test_grant_waits_while_a_head_that_names_the_target_may_be_stored() -> (
    None
):
    handed_over = hand_over.HandOver()
    core, moment = make_owner(100_000, handed_over)
    target = core.targets['vm-0']
    deadlines = target.lost_deadlines
    assert handed_over.name_silent_targets(102_000, False)
    # The commit had no answer, so this one may have to follow it.
    assert not core.extend_grant(target, clock.Moment(102_000, 0))
    assert target.lost_deadlines == deadlines
    assert not handed_over.name_silent_targets(102_100, False)
    assert not core.extend_grant(target, clock.Moment(102_100, 0))
    handed_over.note_stored(())
    assert core.extend_grant(target, clock.Moment(102_200, 0))


def test_target_with_an_open_order_is_not_named() -> None:
    """Guards against the end of a run whose start is still on its way."""
    handed_over = hand_over.HandOver()
    core, moment = make_owner(100_000, handed_over)
    gone = messages.ExecutorGone(0, 'vm-0/1', messages.GoneCause.LEASE_ENDED)
    core.handle_executor_gone(core.targets['vm-0'], gone, moment)
    assert core.targets['vm-0'].unproved_runs
    assert not handed_over.name_silent_targets(102_000, True)


def test_head_names_a_limited_number_of_targets() -> None:
    count = hand_over.NAMED_TARGETS_LIMIT + 1
    head = records.HeadRecord(
        silent_targets=tuple(
            records.SilentTarget(f'vm-{number}', number, number)
            for number in range(count)
        )
    )
    handed_over = hand_over.HandOver(head, 100_000)
    named = handed_over.name_silent_targets(100_000, False)
    assert len(named) == count - 1
    assert named[0].target_id == 'vm-0'


def test_report_of_a_named_target_is_granted_after_the_next_commit() -> None:
    """Guards against runs that end because their agent has to ask again."""

    async def check() -> None:
        head = make_head(4_000, 5_000, sessions.HELLO.target_id)
        handed_over = hand_over.HandOver(head, clock.read_elapsed_ms())
        owner_runtime = await sessions.make_runtime(handed_over)
        stream = sessions.Stream()
        serving = asyncio.ensure_future(
            owner_runtime.serve_agent(
                sessions.HELLO, stream.receive(), stream.outbox
            )
        )
        await sessions.let_tasks_run()
        (welcome,) = stream.list_received(messages.Welcome)
        stream.send(messages.Report(welcome.token, 7))
        await sessions.let_tasks_run()
        (refused,) = stream.list_received(messages.Answer)
        assert not refused.is_granted
        running = asyncio.ensure_future(owner_runtime.run())
        async with asyncio.timeout(10):
            while len(stream.list_received(messages.Answer)) < 2:
                await asyncio.sleep(0.01)
        assert stream.list_received(messages.Answer)[1] == messages.Answer(
            7, True
        )
        owner_runtime.stop()
        serving.cancel()
        await asyncio.gather(running, serving, return_exceptions=True)

    asyncio.run(check())
