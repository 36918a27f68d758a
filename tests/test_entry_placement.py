"""Learning, views of targets and placement in the entry."""

import random

import pytest

from borageshelf.agent import reservations
from borageshelf.entry import learning as learning_module
from borageshelf.entry import placer as placer_module
from borageshelf.entry import sessions as sessions_module
from borageshelf.entry import targets as targets_module
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.model import resources
from borageshelf.protocol import inner_pb2
from borageshelf.shards import grants
from borageshelf.shards import records
from borageshelf.shards import shard_log
from borageshelf.shards import shard_owner

NOW_MS = 1_000_000
CAPACITY = inner_pb2.Resources(processor_millicores=1000, memory_mb=1000)


class EntryParts:
    """The placement parts of an entry with some attached targets."""

    def __init__(self, target_ids: list[str]) -> None:
        self.registry = sessions_module.SessionRegistry()
        self.learning = learning_module.Learning()
        configuration = objects.Configuration()
        self.board = targets_module.TargetBoard(
            self.registry, self.learning, lambda: configuration
        )
        self.placer = placer_module.Placer(
            self.registry,
            self.board,
            self.learning,
            lambda: configuration,
            random.Random(1),
        )
        for target_id in target_ids:
            self.attach(target_id)

    def attach(self, target_id: str) -> None:
        """Attach a target with all of its capacity free."""
        hello = inner_pb2.Hello(
            target_id=target_id,
            vm_boot_id='boot',
            agent_boot_id='agent',
            capacity=CAPACITY,
            report=inner_pb2.Report(free=CAPACITY),
        )
        session = sessions_module.AgentSession(hello, lambda: NOW_MS)
        self.registry.add(session)
        self.board.note_report(session, hello.report, NOW_MS)


def make_owner(tasks: list[records.TaskRecord]) -> shard_owner.ShardOwner:
    """Return the owner of a shard with committed tasks."""
    horizons = records.Horizons(NOW_MS * 2, NOW_MS * 2)
    state = shard_log.ShardState(
        1, horizons, {task.task_id: task for task in tasks}, {}
    )
    return shard_owner.ShardOwner(0, state, horizons, grants.GrantPolicy())


def make_task(number: int, millicores: int) -> records.TaskRecord:
    """Return a queued task."""
    return records.TaskRecord(
        task_id=f'job{number}/0',
        job_id=f'job{number}',
        family='family',
        team='team',
        declared=resources.Resources(millicores, 10),
        submitted_at_ms=number,
    )


def make_status(state: 'inner_pb2.AttemptState') -> inner_pb2.AttemptStatus:
    """Return the end of an attempt."""
    return inner_pb2.AttemptStatus(state=state, family='family')


def test_tasks_that_fit_nowhere_do_not_starve_others() -> None:
    """Guards against a feasible task that is never looked at."""
    parts = EntryParts(['vm-1'])
    crowd = placer_module.DECISIONS_PER_TICK + 5
    tasks = [make_task(number, 5_000) for number in range(crowd)]
    owner = make_owner([*tasks, make_task(crowd, 100)])
    parts.placer.place(owner)
    parts.placer.place(owner)
    placed = owner.find_job(f'job{crowd}')[0]
    assert placed.phase is records.TaskPhase.ASSIGNED


def test_promises_are_counted_before_the_next_report() -> None:
    """Guards against starts that are sent to a VM that is full already."""
    parts = EntryParts(['vm-1', 'vm-2'])
    owner = make_owner([make_task(number, 600) for number in range(3)])
    parts.placer.place(owner)
    assigned = [
        task.assignment.target_id
        for number in range(3)
        for task in owner.find_job(f'job{number}')
        if task.assignment is not None
    ]
    assert sorted(assigned) == ['vm-1', 'vm-2']
    usage = parts.board.find_team_usage()['team']
    assert usage.processor_millicores == 1200


def test_views_stay_right_when_a_target_is_removed() -> None:
    """Guards against the view of another target in the freed place."""
    parts = EntryParts(['vm-1', 'vm-2', 'vm-3'])
    parts.board.remove('vm-1')
    parts.board.note_promise(
        'vm-3', 'job/0', 'team', resources.Resources(100, 100)
    )
    found = {
        view.target_id: view.free.processor_millicores
        for view in parts.board.list_views(NOW_MS)
    }
    assert found == {'vm-2': 1000, 'vm-3': 900}


def test_reports_leave_time_to_renew_at_the_planned_size() -> None:
    """Guards against grants that run out between two reports.

    The planned size is 460 workers in two regions. A grant is asked for from
    a third of its length on, with the next report.
    """
    parts = EntryParts([f'vm-{number}' for number in range(230)])
    interval_ms = parts.registry.find_report_interval_ms()
    latest_ms = grants.GRANT_LENGTH_MS // 3 + interval_ms
    assert latest_ms + grants.CLOCK_SKEW_BOUND_MS < grants.GRANT_LENGTH_MS


def test_report_without_news_is_a_heartbeat() -> None:
    """Guards against an agent that is taken for silent, or news ignored."""
    parts = EntryParts(['vm-1'])
    session = parts.registry.find('vm-1')
    assert session is not None
    session.reported_at_ms = 0
    assert session.note_unchanged(inner_pb2.Report(free=CAPACITY))
    assert session.reported_at_ms == NOW_MS
    assert not session.note_unchanged(
        inner_pb2.Report(free=CAPACITY, leaving=True)
    )
    session.promise('job/0', resources.Resources(100, 100))
    assert not session.note_unchanged(inner_pb2.Report(free=CAPACITY))


def test_broken_target_is_blamed_and_quarantined() -> None:
    """Guards against jobs that pay for a worker that fails everything."""
    learning = learning_module.Learning()
    for number in range(20):
        learning.note_end(
            f'good-{number % 4}',
            make_status(inner_pb2.ATTEMPT_SUCCEEDED),
            5,
            NOW_MS,
        )
    failed = make_status(inner_pb2.ATTEMPT_FAILED)
    quarantined = [
        learning.note_end('bad', failed, 5, NOW_MS) for _ in range(8)
    ]
    assert quarantined.count(True) == 1
    assert learning.is_target_to_blame('bad', 'family', NOW_MS)
    assert learning.find_quarantine('bad') > NOW_MS


def test_leaving_target_gets_no_task() -> None:
    """Guards against starts that are sent to a target on its way out."""
    parts = EntryParts(['vm-1'])
    session = parts.registry.find('vm-1')
    assert session is not None
    report = inner_pb2.Report(free=CAPACITY, leaving=True)
    session.apply_report(report)
    parts.board.note_report(session, report, NOW_MS)
    owner = make_owner([make_task(1, 100)])
    parts.placer.place(owner)
    assert owner.find_job('job1')[0].phase is records.TaskPhase.QUEUED


def test_leaving_agent_refuses_starts_at_once() -> None:
    """Guards against a start that crosses the news of the planned stop."""
    size = resources.Resources(1000, 1000)
    ledger = reservations.Reservations(size)
    ledger.begin_drain()
    key = reservations.AttemptKey('job/0', 1)
    spec = reservations.AttemptSpec(key, 0, 1, 'f', size, NOW_MS + 1)
    with pytest.raises(errors.BorageshelfError) as refusal:
        ledger.reserve(spec, NOW_MS)
    assert refusal.value.code is errors.LEAVING
