"""Checks the history of a run against the guarantees of the scheduler.

The functions are pure: they take what callers and executors saw and return
the violations. Times are milliseconds of the monotonic clock.
"""

import collections
from collections import abc
import dataclasses
from typing import Any, Final

from standins import gangs
from standins import platform_executor
from tests.soak import evacuations
from tests.soak import plans

ATTEMPTS_LIMIT: Final = 3
# Starts of a task after this many executors have crashed under it, and how
# many of them the platform's rules forbid.
CRASHES_LIMIT: Final = 3
FORBIDDEN_STARTS: Final = 3
# A task under which so many executors have crashed may be given up.
GIVE_UP_CRASHES: Final = 2
# A capacity that has shrunk counts from this time on, and one heartbeat later.
CAPACITY_GRACE_MS: Final = 3_000
# Time limits of the platform's rules.
CANCEL_LIMIT_MS: Final = 3_000
VISIBILITY_LIMIT_MS: Final = 3_000
DRAIN_LIMIT_MS: Final = 2_000
ROLLBACK_LIMIT_MS: Final = 250
HEARTBEAT_DELAY_MS: Final = 400
# The rules with a time limit hold again this long after a fault has ended.
RECOVERY_MS: Final = 3_000
REFUSAL_STATUSES: Final = (400, 404, 413, 429, 503)


@dataclasses.dataclass(frozen=True)
class Call:
    """One request of a caller and its answer.

    :param entry: number of the entry that was asked
    :param life: how often that entry had been started
    :param status: HTTP status, 0 for no answer
    :param state: state of the workflow in the answer, if it had one
    """

    sent_ms: int
    answered_ms: int
    method: str
    entry: int
    life: int
    workflow_id: str
    status: int
    state: str = ''


@dataclasses.dataclass(frozen=True)
class Probe:
    """A request for a route that a version of the configuration added.

    :param life: how often the entry had been started
    :param is_found: whether the entry knew the route
    """

    sent_ms: int
    answered_ms: int
    entry: int
    life: int
    version: int
    is_found: bool


@dataclasses.dataclass
class History:
    """Everything that was observed in a run.

    :ivar acknowledged: task and attempt of the ends that the agents
        acknowledged to the executors
    :ivar drains: instance id and time of each announced drain
    :ivar capacities: capacities that each executor has announced
    :ivar instances: instance ids of each of these executors
    :ivar problems: violations that were found while the run went on
    """

    started_ms: int = 0
    ended_ms: int = 0
    calls: list[Call] = dataclasses.field(default_factory=list)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    events: list[platform_executor.Event] = dataclasses.field(
        default_factory=list
    )
    acknowledged: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    drains: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    capacities: list[tuple[platform_executor.CapacityChange, ...]] = (
        dataclasses.field(default_factory=list)
    )
    instances: list[frozenset[str]] = dataclasses.field(default_factory=list)
    problems: list[str] = dataclasses.field(default_factory=list)
    evacuated: evacuations.Evacuations = dataclasses.field(
        default_factory=evacuations.Evacuations
    )


def find_violations(plan: plans.Plan, history: History) -> abc.Iterator[str]:
    """Yield a line for each violated guarantee; it begins with its kind."""
    yield from history.problems
    submissions = {item.workflow_id: item for item in plan.submissions}
    calls: dict[str, list[Call]] = collections.defaultdict(list)
    for call in history.calls:
        calls[call.workflow_id].append(call)
    events = sorted(history.events, key=lambda event: event.at_ms)
    yield from _check_runs(submissions, events, history.acknowledged)
    yield from _check_capacity(submissions, events, history)
    yield from _check_crash_budget(events)
    for workflow_id, submission in submissions.items():
        workflow_events = [
            event for event in events if event.task[:16] == workflow_id
        ]
        yield from _check_answers(
            plan,
            submission,
            calls[workflow_id],
            workflow_events,
            history.started_ms,
        )
    yield from _check_drains(plan, history, events)
    yield from _check_versions(history.probes)
    yield from evacuations.check_starts(
        plan,
        history.evacuated,
        history.instances,
        events,
        history.started_ms,
    )


def is_fault_free(
    plan: plans.Plan, at_ms: int, since_ms: int, started_ms: int
) -> bool:
    """Tell whether no fault had an effect from ``since_ms`` to ``at_ms``."""
    return all(
        started_ms + fault.end_ms + RECOVERY_MS < since_ms
        or started_ms + fault.at_ms > at_ms
        for fault in plan.faults
    )


def _check_runs(
    submissions: abc.Mapping[str, plans.Submission],
    events: abc.Sequence[platform_executor.Event],
    acknowledged: abc.Set[tuple[str, int]],
) -> abc.Iterator[str]:
    """Check the runs of each task.

    A task runs at most once at a time, not again after an acknowledged
    success, within its limit of attempts, after the phases before it, and
    with the submitted specification and its own checkpoint.
    """
    running: dict[str, platform_executor.Event] = {}
    acknowledged_done: set[str] = set()
    done: set[str] = set()
    failed: dict[str, list[tuple[str, int]]] = collections.defaultdict(list)
    for event in events:
        task = event.task
        workflow_id, _, phase, _ = task.split('.')
        submission = submissions.get(workflow_id)
        if submission is None:
            yield f'unasked: {task} was never submitted'
            continue
        fate = _find_fate(submission, task)
        if event.what != 'start':
            if running.get(task) is not None:
                if running[task].attempt == event.attempt:
                    del running[task]
            key = (task, event.attempt)
            if event.what == 'done':
                done.add(fate)
                if key in acknowledged:
                    acknowledged_done.add(fate)
            elif event.what == 'failed' and key in acknowledged:
                failed[fate].append(key)
            continue
        if task in running:
            yield f'twice: {task} runs as {event.attempt} and {running[task]}'
        if fate in acknowledged_done:
            yield f'twice: {task} starts as {event.attempt} after success'
        # Other members may have failed in an attempt as this one starts in it.
        failures = gangs.count_failed_attempts(
            (key for key in failed[fate] if key[1] != event.attempt),
            submission.has_gangs,
        )
        if failures >= ATTEMPTS_LIMIT and not submission.is_long_running:
            yield f'budget: {task} starts after {failures} failures'
        if event.spec != submission.document['Spec']:
            yield f'unasked: {task} with the specification {event.spec}'
        if event.checkpoint and not event.checkpoint.startswith(f'{fate}:'):
            yield f'unasked: {task} with the checkpoint {event.checkpoint}'
        phases = submission.document['Phases']
        occurrence = task.split('.')[1]
        for previous_phase in phases[int(phase)].get('After', ()):
            for index in range(phases[previous_phase]['Count']):
                name = f'{workflow_id}.{occurrence}.{previous_phase}.{index}'
                if _find_fate(submission, name) not in done:
                    yield f'order: {task} starts before {name} is done'
        running[task] = event


def _find_fate(submission: plans.Submission, task: str) -> str:
    """Return the name of a task, or of its gang, which ends as one."""
    return gangs.find_gang(task) if submission.has_gangs else task


def _check_capacity(
    submissions: abc.Mapping[str, plans.Submission],
    events: abc.Sequence[platform_executor.Event],
    history: History,
) -> abc.Iterator[str]:
    """Check that no start brings an executor over its capacity."""
    used_millicores: collections.Counter[tuple[str, int]] = (
        collections.Counter()
    )
    for event in events:
        workflow_id, _, phase, _ = event.task.split('.')
        submission = submissions.get(workflow_id)
        if submission is None:
            continue
        instance = (event.instance_id, event.life)
        size_millicores = submission.document['Phases'][int(phase)]['Cpu']
        used_millicores[instance] += (
            size_millicores if event.what == 'start' else -size_millicores
        )
        if event.what != 'start':
            continue
        capacity_millicores = _find_capacity(history, event)
        if used_millicores[instance] > capacity_millicores:
            yield (
                f'limit: {used_millicores[instance]} of '
                f'{capacity_millicores} millicores on {instance}'
            )


def _find_capacity(history: History, event: platform_executor.Event) -> int:
    """Return the largest capacity that may still count at a start."""
    since_ms = event.at_ms - CAPACITY_GRACE_MS - HEARTBEAT_DELAY_MS
    if event.is_late:
        # The order left before the executor delayed it.
        since_ms -= round(platform_executor.LATE_DELAY_RANGE_S[1] * 1_000)
    for changes, instances in zip(
        history.capacities, history.instances, strict=True
    ):
        if event.instance_id not in instances:
            continue
        before = [change for change in changes if change.at_ms <= since_ms]
        recent = [
            change
            for change in changes
            if since_ms < change.at_ms <= event.at_ms
        ]
        return max(change.millicores for change in (*before[-1:], *recent))
    return plans.CAPACITY_MILLICORES


def _check_crash_budget(
    events: abc.Sequence[platform_executor.Event],
) -> abc.Iterator[str]:
    """Check that tasks which crash executors are not started on and on."""
    crashes: collections.Counter[str] = collections.Counter()
    late_starts: collections.Counter[str] = collections.Counter()
    for event in events:
        if event.what == 'crashed':
            crashes[event.task] += 1
        elif event.what == 'start' and crashes[event.task] >= CRASHES_LIMIT:
            late_starts[event.task] += 1
            if late_starts[event.task] >= FORBIDDEN_STARTS:
                yield (
                    f'budget: {event.task} starts after '
                    f'{crashes[event.task]} crashes'
                )


def has_room(
    submission: plans.Submission,
    submissions: abc.Iterable[plans.Submission],
    running: abc.Iterable[abc.Iterable[str]],
    done: abc.Container[str],
) -> bool:
    """Tell whether a task of a workflow whose turn has come fits somewhere.

    Lasting tasks that nobody cancels may leave no room for the others: seed
    3009 asks for 17,700 millicores of them on executors with 16,000.

    :param running: names of the running tasks of each executor
    :param done: names of the tasks that are done
    """
    phases = {
        (item.workflow_id, number): phase
        for item in submissions
        for number, phase in enumerate(item.document['Phases'])
    }
    free = []
    for names in running:
        keys = [
            (workflow_id, int(number))
            for workflow_id, _, number, _ in (
                name.split('.') for name in names
            )
        ]
        free.append(
            (
                plans.CAPACITY_MILLICORES
                - sum(phases[key]['Cpu'] for key in keys),
                plans.CAPACITY_MEMORY_MB
                - sum(phases[key]['MemMb'] for key in keys),
            )
        )
    return any(
        _has_room_for_occurrence(submission, occurrence, free, done)
        for occurrence in range(submission.repeats)
    )


def _has_room_for_occurrence(
    submission: plans.Submission,
    occurrence: int,
    free: abc.Sequence[tuple[int, int]],
    done: abc.Container[str],
) -> bool:
    """Tell whether a task of one occurrence whose turn has come fits.

    :param free: free millicores and memory of each executor
    """
    own_phases = submission.document['Phases']
    # One end stands for all members of a gang.
    combine = any if submission.has_gangs else all
    is_complete = [
        combine(
            f'{submission.workflow_id}.{occurrence}.{number}.{index}' in done
            for index in range(phase['Count'])
        )
        for number, phase in enumerate(own_phases)
    ]
    return any(
        sum(
            max(
                min(millicores // phase['Cpu'], memory_mb // phase['MemMb']), 0
            )
            for millicores, memory_mb in free
        )
        >= (phase['Count'] if submission.has_gangs else 1)
        for number, phase in enumerate(own_phases)
        if not is_complete[number]
        and all(is_complete[other] for other in phase.get('After', ()))
    )


def _check_answers(
    plan: plans.Plan,
    submission: plans.Submission,
    calls: abc.Sequence[Call],
    events: abc.Sequence[platform_executor.Event],
    started_ms: int,
) -> abc.Iterator[str]:
    """Check the answers to the callers of one workflow."""
    workflow_id = submission.workflow_id
    posts = [call for call in calls if call.method == 'POST']
    accepted_ms = min(
        (call.answered_ms for call in posts if call.status == 200),
        default=None,
    )
    is_refused = bool(posts) and all(
        call.status in REFUSAL_STATUSES for call in posts
    )
    if is_refused and events:
        yield f'refused: {workflow_id} has run although it was refused'
    cancelled_ms = min(
        (
            call.answered_ms
            for call in calls
            if call.method == 'DELETE' and call.status in (200, 410)
        ),
        default=None,
    )
    has_cancel = any(call.method == 'DELETE' for call in calls)
    for call in calls:
        if call.method != 'GET':
            continue
        if call.state == 'completed':
            yield from _check_completion(submission, call, events)
        is_unknown = call.status == 410 and accepted_ms is not None
        if (
            is_unknown
            and call.sent_ms > (accepted_ms or 0) + VISIBILITY_LIMIT_MS
        ):
            if is_fault_free(plan, call.sent_ms, call.sent_ms, started_ms):
                yield f'lost: {workflow_id} is unknown: {call}'
        if call.state == 'cancelled' and not has_cancel:
            yield f'lost: {workflow_id} is cancelled without a request'
        if call.state == 'failed':
            ended = [
                event for event in events if event.at_ms <= call.answered_ms
            ]
            failures = gangs.count_failed_attempts(
                (
                    (event.task, event.attempt)
                    for event in ended
                    if event.what == 'failed'
                ),
                submission.has_gangs,
            )
            crashes = _count_ends(ended, 'crashed')
            if failures < ATTEMPTS_LIMIT and crashes < GIVE_UP_CRASHES:
                yield f'lost: {workflow_id} has failed without cause'
    if cancelled_ms is not None:
        for event in events:
            since_cancel_ms = event.at_ms - cancelled_ms
            if (
                event.what != 'start'
                or event.is_late
                or since_cancel_ms < CANCEL_LIMIT_MS
            ):
                continue
            if is_fault_free(plan, event.at_ms, event.at_ms, started_ms):
                yield f'unasked: {event.task} starts after the cancellation'


def _count_ends(
    events: abc.Iterable[platform_executor.Event], what: str
) -> int:
    """Return the highest number of such ends of any one task."""
    counts = collections.Counter(
        event.task for event in events if event.what == what
    )
    return max(counts.values(), default=0)


def _check_completion(
    submission: plans.Submission,
    call: Call,
    events: abc.Sequence[platform_executor.Event],
) -> abc.Iterator[str]:
    done = {
        event.task
        for event in events
        if event.what == 'done' and event.at_ms <= call.answered_ms
    }
    if submission.has_gangs:
        # One end stands for all members.
        phases = submission.document['Phases']
        done = {
            f'{gang}.{index}'
            for gang in map(gangs.find_gang, done)
            for index in range(phases[int(gang.rpartition('.')[2])]['Count'])
        }
    task_count = submission.repeats * sum(
        phase['Count'] for phase in submission.document['Phases']
    )
    if len(done) < task_count:
        yield (
            f'mixed: {submission.workflow_id} is completed with '
            f'{len(done)} of {task_count} tasks done'
        )


def _check_drains(
    plan: plans.Plan,
    history: History,
    events: abc.Sequence[platform_executor.Event],
) -> abc.Iterator[str]:
    for instance_id, drained_ms in history.drains:
        limit_ms = drained_ms + DRAIN_LIMIT_MS + HEARTBEAT_DELAY_MS
        for event in events:
            if event.instance_id != instance_id or event.what != 'start':
                continue
            if event.is_late or event.at_ms < limit_ms:
                continue
            other_faults = dataclasses.replace(
                plan,
                faults=tuple(
                    fault
                    for fault in plan.faults
                    if fault.subject != 'executor'
                ),
            )
            if is_fault_free(
                other_faults, event.at_ms, drained_ms, history.started_ms
            ):
                yield f'drain: {event.task} starts on {instance_id}'


def _check_versions(probes: abc.Iterable[Probe]) -> abc.Iterator[str]:
    seen: dict[tuple[int, int], tuple[int, int]] = {}
    for probe in sorted(probes, key=lambda item: item.sent_ms):
        process = (probe.entry, probe.life)
        version, seen_ms = seen.get(process, (0, 0))
        if probe.is_found:
            if probe.version >= version:
                if probe.version > version:
                    seen[process] = (probe.version, probe.answered_ms)
            continue
        is_later = probe.sent_ms > seen_ms + ROLLBACK_LIMIT_MS
        if probe.version <= version and is_later:
            yield f'configuration: {process} lost version {probe.version}'


def describe(history: History) -> dict[str, Any]:
    """Return a history as a JSON document."""
    return {
        'begun_ms': history.started_ms,
        'calls': [dataclasses.asdict(call) for call in history.calls],
        'events': [dataclasses.asdict(event) for event in history.events],
        'acknowledged': sorted(history.acknowledged),
        'drains': history.drains,
        'evacuations': [
            dataclasses.asdict(item) for item in history.evacuated.finished
        ],
        'problems': history.problems,
    }
