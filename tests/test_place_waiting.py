"""Waits of tasks for room on the rack of their data or of their group.

Loads are played on the owner's core, with and without waits, and what callers
get is compared. Cases of the decision are in ``test-data/place-waiting.test``.
"""

import asyncio
import dataclasses
from typing import Any, Final
from unittest import mock

import pytest

from borageshelf.decisions import place_waiting as decision
from borageshelf.decisions import workflow_placement
from borageshelf.model import resources
from borageshelf.model import workflows
from borageshelf import node_settings
from borageshelf.ports import task_executor
from borageshelf.workflows import messages
from borageshelf.workflows import place_waiting
from borageshelf.workflows import policy
from tests import test_agent_sessions
from tests import text_cases
from tests import workflow_support as support

FACTOR: Final = 3.0
QUEUE: Final = dataclasses.replace(support.QUEUE, latency_target_ms=250)
STEP_MS: Final = 50
CASES = text_cases.read_cases('place-waiting.test')
BEGUN: Final = 'wait for a place begun'
ENDED: Final = 'wait for a place ended'


def decide(text: str) -> str:
    """Return the decision on a case as text."""
    needed = resources.Resources(1_000, 1_000)
    lines: dict[str, list[int]] = {'claimed': [0]}
    places = []
    for line in text.splitlines():
        kind, *words = line.split()
        numbers = [int(word) for word in words if word.isdigit()]
        lines[kind] = numbers
        if kind == 'place':
            free = needed if 'now' in words else resources.NOTHING
            ends = [decision.ExpectedEnd(at, needed) for at in numbers]
            places.append(decision.Place(free, tuple(ends)))
    count, duration_ms, factor = lines['step']
    (claimed,) = lines['claimed']
    objective_ms, following_ms, latest_ms = lines['limits']
    times_ms = (following_ms, objective_ms, latest_ms)
    amounts = (count, claimed, duration_ms, factor, *times_ms)
    request = decision.Request(needed, *amounts, 'undivided' in text)
    found = decision.decide(request, places, 0)
    if isinstance(found, decision.NoWait):
        return found.cause.value
    return f'{found.count} until {found.deadline_ms}'


@pytest.mark.parametrize('case', CASES, ids=text_cases.name_case)
def test_case(case: text_cases.Case) -> None:
    assert decide(case.inputs['']) == case.expected


def test_late_run_is_expected_to_be_as_late_again() -> None:
    """Guards against waits for a run that stands still."""
    run = decision.RunState(0, 1_000, 50, 500, 0, 0)
    assert decision.predict_end_ms(run, 600) == 1_000
    assert decision.predict_end_ms(run, 1_400) == 1_800


class Load:
    """Plays workflows on a cluster in virtual time.

    Rack ``r1`` has two targets with room for four small tasks each; ``r2`` has
    one that is empty.

    :ivar took_ms: time from submission to end of each workflow that has ended
    """

    def __init__(self, remote_factor: float = FACTOR) -> None:
        self.cluster = support.Cluster(remote_factor=remote_factor)
        self.took_ms: dict[str, int] = {}
        # A new owner does not know when a run has started.
        self._started_ms: dict[tuple[str, int], int] = {}
        self._numbers = iter(range(1, 1_000))
        for target_id in ('near-0', 'near-1'):
            self.cluster.add_target(target_id, 4_000, 64_000)
        self.cluster.add_target('far', labels=('a', 'r2'))

    def submit(self, *steps: workflows.Step) -> str:
        """Submit a workflow and return its id."""
        workflow_id = f'{next(self._numbers):016x}'
        workflow = support.make_workflow(*steps, workflow_id=workflow_id)
        self.cluster.submit(workflow, QUEUE)
        return workflow_id

    def fill(self, duration_ms: int, **fields: Any) -> None:
        """Fill rack ``r1`` with tasks that may run only there."""
        for _ in range(8):
            self.submit(
                support.make_step(
                    estimate_ms=duration_ms, label='r1', **fields
                )
            )
            self.play(STEP_MS)

    def drain(self, target_id: str, is_draining: bool = True) -> None:
        """Let a target drain, or return from it."""
        fake = self.cluster.targets[target_id]
        fake.is_draining = is_draining
        self.cluster.attach(fake)

    def play(self, duration_ms: int) -> None:
        """Play some time."""
        for _ in range(duration_ms // STEP_MS):
            self.cluster.now_ms += STEP_MS
            self._report()
            self.cluster.run_until_idle()

    def _report(self) -> None:
        """Report the progress of all runs, and end those that are done."""
        cluster = self.cluster
        for fake in cluster.targets.values():
            target = cluster.core.targets[fake.target_id]
            rows = []
            for name, attempt in list(fake.running.items()):
                run = target.runs[name, attempt]
                step = run.task.group.step
                is_remote = bool(step.rack) and step.rack != target.rack
                total_ms = step.estimate_ms * (FACTOR if is_remote else 1)
                started_ms = self._started_ms.setdefault(
                    (name, attempt), run.started_at_ms
                )
                ran_ms = cluster.now_ms - started_ms
                if step.is_lasting or ran_ms < total_ms:
                    percent = int(100 * ran_ms / total_ms)
                    rows.append(messages.Row(name, attempt, '', percent))
                    continue
                cluster.end_run(name)
                job = run.task.group.job
                if not job.is_active:
                    took_ms = cluster.now_ms - job.accepted_at_ms
                    self.took_ms[job.workflow_id] = took_ms
            cluster.core.update_progress(target, rows, cluster.moment)

    def list_lines(self, event: str) -> list[dict[str, Any]]:
        """Return the fields of the log lines of an event."""
        lines = self.cluster.log_lines
        return [fields for name, fields in lines if name == event]

    def list_causes(self) -> list[str]:
        """Return why waits have ended."""
        return [fields['cause'] for fields in self.list_lines(ENDED)]


def make_near_step(count: int = 1, **fields: Any) -> workflows.Step:
    """Return a step that wants rack ``r1``."""
    return support.make_step(count, rack='r1', **fields)


def make_full_load() -> Load:
    """Return a load in which no target has room for a task."""
    load = Load()
    load.fill(1_000)
    load.drain('far')
    return load


def play_load(fill_ms: int, remote_factor: float, **fields: Any) -> Load:
    """Play workflows that want a rack which is full of tasks of a length."""
    load = Load(remote_factor)
    load.fill(fill_ms, **fields)
    for _ in range(12):
        load.submit(make_near_step(2, **fields))
        load.play(300)
    load.play(8_000)
    return load


@pytest.mark.parametrize('is_filler', [False, True])
def test_waits_pay_where_short_tasks_fill_the_rack(is_filler: bool) -> None:
    """Guards against tasks that start elsewhere just before room is free."""
    load = play_load(1_000, FACTOR, is_filler=is_filler)
    plain = play_load(1_000, 1.0, is_filler=is_filler)
    assert load.took_ms.keys() == plain.took_ms.keys()
    assert set(load.list_causes()) == {'placed'}
    assert plain.list_lines(BEGUN) == []
    # The objective of 2,250 ms is met only with waits.
    assert max(load.took_ms.values()) <= 2_250 < max(plain.took_ms.values())
    assert sum(load.took_ms.values()) < sum(plain.took_ms.values())


def test_nothing_waits_where_long_tasks_fill_the_rack() -> None:
    """Guards against waits that can't pay and only delay callers."""
    load = play_load(20_000, FACTOR)
    plain = play_load(20_000, 1.0)
    assert load.list_lines(BEGUN) == []
    assert load.took_ms == plain.took_ms
    assert load.cluster.sent_starts == plain.cluster.sent_starts


def test_group_waits_for_its_rack_together() -> None:
    """Guards against one task elsewhere that slows all tasks of a step."""
    load = make_full_load()
    load.cluster.add_target('small', 2_000, 64_000, ('a', 'r3'))
    load.submit(support.make_step(3, needs_one_rack=True))
    load.play(100)
    assert len(load.cluster.targets['small'].running) == 2
    load.play(3_000)
    assert load.list_causes() == ['placed']
    assert {start[0] for start in load.cluster.sent_starts[8:]} == {'small'}


@pytest.fixture
def waiting() -> Load:
    """Return a load in which a workflow with a run waits for rack ``r1``."""
    load = Load()
    load.fill(1_000)
    load.play(350)
    load.submit(support.make_step(estimate_ms=9_000), make_near_step(2))
    load.cluster.run_until_idle()
    assert len(load.list_lines(BEGUN)) == 1
    return load


def assert_waits_end(load: Load, cause: str) -> None:
    """Check that the wait has ended and that its tasks run elsewhere."""
    load.cluster.run_until_idle()
    assert load.list_causes() == [cause]
    running = load.cluster.targets['far'].running
    assert sum('.1.' in name for name in running) == 2


@pytest.mark.parametrize('is_draining', [False, True])
def test_wait_ends_when_the_place_is_lost(
    waiting: Load, is_draining: bool
) -> None:
    """Guards against tasks that wait for targets that fail or drain."""
    for target_id in ('near-0', 'near-1'):
        if is_draining:
            waiting.drain(target_id)
        else:
            waiting.cluster.crash(waiting.cluster.targets[target_id])
    assert_waits_end(waiting, 'place lost')


def test_wait_ends_with_its_deadline(waiting: Load) -> None:
    """Guards against a wait that goes on, or begins again, after it failed."""
    (begun,) = waiting.list_lines(BEGUN)
    deadline_ms = waiting.cluster.now_ms + begun['limit_ms']
    waits = waiting.cluster.core.scheduler._place_waits
    waits._next_forecast_ms = dict.fromkeys(waits._next_forecast_ms, 10**9)
    waiting.cluster.now_ms = deadline_ms - 1
    waiting.cluster.run_until_idle()
    assert waiting.list_causes() == []
    waiting.cluster.now_ms = deadline_ms
    assert_waits_end(waiting, 'deadline')
    waits._next_forecast_ms.clear()
    name = next(n for n in waiting.cluster.list_running() if '.1.' in n)
    waiting.cluster.end_run(name, task_executor.EndKind.STOPPED)
    waiting.cluster.run_until_idle()
    assert len(waiting.list_lines(BEGUN)) == 1


def test_wait_ends_when_room_is_not_expected_any_more(waiting: Load) -> None:
    """Guards against a wait for the deadline although the runs stand still."""
    (begun,) = waiting.list_lines(BEGUN)
    for _ in range(begun['limit_ms'] // STEP_MS - 1):
        waiting.cluster.now_ms += STEP_MS
        waiting.cluster.run_until_idle()
    assert_waits_end(waiting, 'not expected in time')


def test_next_owner_begins_its_own_wait(waiting: Load) -> None:
    """Guards against work that is lost or waits too long behind a takeover."""
    waiting.cluster.take_over()
    for fake in waiting.cluster.targets.values():
        waiting.cluster.attach(fake)
    waiting.cluster.run_until_idle()
    assert len(waiting.list_lines(BEGUN)) == 2
    waiting.play(3_000)
    assert waiting.list_causes()[-1] == 'placed'


def test_cancelled_workflow_ends_its_wait(waiting: Load) -> None:
    """Guards against waits that take up memory and claim room for ever."""
    (begun,) = waiting.list_lines(BEGUN)
    waiting.cluster.cancel(begun['workflow'])
    waiting.play(400)
    assert waiting.list_causes() == ['workflow ended']
    assert not waiting.cluster.core.scheduler._place_waits._waits


def test_workflow_without_any_run_gets_one_within_a_second() -> None:
    """Guards against a wait that keeps a workflow from running at all.

    The runs on the rack stand still just before their end.
    """
    load = Load()
    load.fill(1_000)
    load.play(400)
    begun_ms = load.cluster.now_ms
    job = load.cluster.core.jobs[
        load.submit(make_near_step(estimate_ms=9_000))
    ]
    load.cluster.run_until_idle()
    assert len(load.list_lines(BEGUN)) == 1
    while not job.live_runs:
        load.cluster.now_ms += STEP_MS
        load.cluster.run_until_idle()
    took_ms = load.cluster.now_ms - begun_ms
    assert 0 < took_ms <= place_waiting.NO_RUN_LIMIT_MS
    assert load.list_causes() == ['deadline']


def test_overdue_workflow_does_not_wait() -> None:
    """Guards against a wait that is added to an earlier one for room."""
    load = make_full_load()
    load.submit(make_near_step(estimate_ms=9_000))
    load.cluster.run_until_idle()
    load.cluster.now_ms += 1_250
    load.drain('far', False)
    load.cluster.run_until_idle()
    assert load.list_lines(BEGUN) == []
    assert len(load.cluster.targets['far'].running) == 1


def test_slots_of_earlier_waits_are_claimed(waiting: Load) -> None:
    """Guards against many tasks that wait for the same room."""
    waiting.submit(make_near_step(3))
    waiting.cluster.run_until_idle()
    assert waiting.list_lines(BEGUN)[-1]['claimed_tasks'] == 2


def test_step_that_fitted_nowhere_is_tried_when_its_wait_ends() -> None:
    """Guards against a misfit that hides the end of a wait."""
    load = make_full_load()
    group = load.cluster.core.jobs[load.submit(make_near_step())].groups[0]
    load.cluster.run_until_idle()
    assert group.misfit is not None
    load.drain('far', False)
    load.cluster.run_until_idle()
    (begun,) = load.list_lines(BEGUN)
    load.cluster.now_ms += begun['limit_ms']
    load.cluster.run_until_idle()
    assert len(load.cluster.targets['far'].running) == 1


def test_setting_reaches_the_owner() -> None:
    """Guards against a setting without effect."""
    settings = node_settings.NodeSettings(
        'entry-1', 'a', '10.0.0.1', '10.0.0.2:80', remote_factor=2.0
    )
    making = test_agent_sessions.make_runtime(
        owner_policy=policy.make_policy(settings)
    )
    waits = asyncio.run(making)._core.scheduler._place_waits
    assert waits._remote_factor == 2.0


def test_waiting_step_looks_at_its_rack_only(
    waiting: Load, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against passes whose cost grows with the size of the fleet."""
    for number in range(40):
        waiting.cluster.add_target(f'other-{number}', labels=('a', 'r3'))
    waiting.cluster.run_until_idle()
    spy = mock.Mock(wraps=workflow_placement.has_room)
    monkeypatch.setattr(workflow_placement, 'has_room', spy)
    waiting.cluster.run_until_idle()
    assert not spy.called
    for target in waiting.cluster.core.targets.values():
        waiting.cluster.core.scheduler._fleet.touch(target)
    waiting.cluster.run_until_idle()
    looked_at = {call.args[1].target_id for call in spy.call_args_list}
    assert looked_at == {'near-0', 'near-1'}
