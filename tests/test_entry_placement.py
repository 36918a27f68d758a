"""Learned statistics, target views and placement in an entry."""

import random

import pytest

from borageshelf.agent import reservations
from borageshelf.entry import learning as learning_module
from borageshelf.entry import placer
from borageshelf.entry import sessions
from borageshelf.entry import targets
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
    """The placement components of an entry, with attached targets."""

    def __init__(self, target_ids: list[str]) -> None:
        self.registry = sessions.SessionRegistry()
        self.learning = learning_module.Learning()
        configuration = objects.Configuration()
        self.target_views = targets.TargetViews(
            self.registry, self.learning, lambda: configuration
        )
        self.placer = placer.Placer(
            self.registry,
            self.target_views,
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
        session = sessions.AgentSession(hello, lambda: NOW_MS)
        self.registry.add(session)
        self.target_views.record_report(session, hello.report, NOW_MS)


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
    """Guards against a task that fits but never gets a decision.

    Tasks that fit nowhere use up the decisions of a tick, and the task stands
    behind them.
    """
    parts = EntryParts(['vm-1'])
    oversized_count = placer.MAX_DECISIONS_PER_TICK + 5
    tasks = [make_task(number, 5_000) for number in range(oversized_count)]
    owner = make_owner([*tasks, make_task(oversized_count, 100)])
    parts.placer.place(owner)
    parts.placer.place(owner)
    placed = owner.find_job(f'job{oversized_count}')[0]
    assert placed.phase is records.TaskPhase.ASSIGNED


def test_pending_starts_count_before_the_next_report() -> None:
    """Guards against starts that are sent to a VM that is already full.

    The last report of the VM does not include the starts sent since.
    """
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
    usage = parts.target_views.compute_team_usage()['team']
    assert usage.processor_millicores == 1200


def test_views_stay_correct_when_a_target_is_removed() -> None:
    """Guards against an update of another target's view.

    Removing a target moves the last view to the freed index.
    """
    parts = EntryParts(['vm-1', 'vm-2', 'vm-3'])
    parts.target_views.remove('vm-1')
    parts.target_views.add_pending_start(
        'vm-3', 'job/0', 'team', resources.Resources(100, 100)
    )
    found = {
        view.target_id: view.free.processor_millicores
        for view in parts.target_views.list_views(NOW_MS)
    }
    assert found == {'vm-2': 1000, 'vm-3': 900}


def test_reports_leave_time_to_renew_at_the_planned_size() -> None:
    """Guards against grants that expire between two reports.

    The planned size is 460 workers in two regions. After a third of its
    length, the renewal of a grant is requested with the next report.
    """
    parts = EntryParts([f'vm-{number}' for number in range(230)])
    interval_ms = parts.registry.compute_report_interval_ms()
    latest_renewal_ms = grants.GRANT_LENGTH_MS // 3 + interval_ms
    assert (
        latest_renewal_ms + grants.CLOCK_SKEW_BOUND_MS < grants.GRANT_LENGTH_MS
    )


def test_unchanged_report_is_a_heartbeat() -> None:
    """Guards against a live agent that counts as silent, and lost changes.

    An agent whose state does not change sends the same report again; a report
    that differs, or that arrives while a start is pending, must be handled.
    """
    parts = EntryParts(['vm-1'])
    session = parts.registry.find('vm-1')
    assert session is not None
    session.reported_at_ms = 0
    assert session.accept_unchanged_report(inner_pb2.Report(free=CAPACITY))
    assert session.reported_at_ms == NOW_MS
    assert not session.accept_unchanged_report(
        inner_pb2.Report(free=CAPACITY, leaving=True)
    )
    session.add_pending_start('job/0', resources.Resources(100, 100))
    assert not session.accept_unchanged_report(inner_pb2.Report(free=CAPACITY))


def test_broken_target_is_blamed_and_quarantined() -> None:
    """Guards against jobs that fail because of a broken worker.

    The worker fails each task of a family that succeeds on other workers.
    """
    learning = learning_module.Learning()
    for number in range(20):
        learning.record_end(
            f'good-{number % 4}',
            make_status(inner_pb2.ATTEMPT_SUCCEEDED),
            5,
            NOW_MS,
        )
    failed = make_status(inner_pb2.ATTEMPT_FAILED)
    quarantined = [
        learning.record_end('bad', failed, 5, NOW_MS) for _ in range(8)
    ]
    assert quarantined.count(True) == 1
    assert learning.is_target_at_fault('bad', 'family', NOW_MS)
    assert learning.find_quarantine_deadline_ms('bad') > NOW_MS


def test_leaving_target_gets_no_task() -> None:
    """Guards against starts that are sent to a leaving target."""
    parts = EntryParts(['vm-1'])
    session = parts.registry.find('vm-1')
    assert session is not None
    report = inner_pb2.Report(free=CAPACITY, leaving=True)
    session.apply_report(report)
    parts.target_views.record_report(session, report, NOW_MS)
    owner = make_owner([make_task(1, 100)])
    parts.placer.place(owner)
    assert owner.find_job('job1')[0].phase is records.TaskPhase.QUEUED


def test_leaving_agent_refuses_starts_at_once() -> None:
    """Guards against a start accepted after the planned stop has begun.

    The start was sent before its sender knew of the planned stop.
    """
    size = resources.Resources(1000, 1000)
    agent_reservations = reservations.Reservations(size)
    agent_reservations.begin_drain()
    key = reservations.AttemptKey('job/0', 1)
    spec = reservations.AttemptSpec(key, 0, 1, 'f', size, NOW_MS + 1)
    with pytest.raises(errors.BorageshelfError) as refusal:
        agent_reservations.reserve(spec, NOW_MS)
    assert refusal.value.code is errors.LEAVING
