"""Compares what callers and executors saw with the promises.

Everything here is pure: records in, violations out. Times are milliseconds
of the steady clock.
"""

import collections
from collections import abc
import dataclasses
from typing import Any, Final

from standins import platform_executor
from tests.soak import plans

ATTEMPTS_LIMIT: Final = 3
# Bounds of the platform's rules.
CANCEL_MS: Final = 3_000
VISIBLE_MS: Final = 3_000
DRAIN_MS: Final = 2_000
ROLLBACK_MS: Final = 250
HEARTBEAT_MS: Final = 400
# After a fault the rules with a time bound hold again this much later.
CONTACT_MS: Final = 3_000
REFUSALS: Final = (400, 404, 413, 429, 503)


@dataclasses.dataclass(frozen=True)
class Call:
    """One request of a caller.

    :param status: 0 for no answer
    :param life: number of the entry's process
    :param state: what a GET showed
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
    """A request for a route that a version of the configuration added."""

    sent_ms: int
    answered_ms: int
    entry: int
    life: int
    version: int
    is_found: bool


@dataclasses.dataclass
class History:
    """Everything that was seen in a run.

    :ivar drains: instance id and time of each announced end
    """

    begun_ms: int = 0
    ended_ms: int = 0
    calls: list[Call] = dataclasses.field(default_factory=list)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    events: list[platform_executor.Event] = dataclasses.field(
        default_factory=list
    )
    acknowledged: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    drains: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    problems: list[str] = dataclasses.field(default_factory=list)


def find_violations(plan: plans.Plan, history: History) -> abc.Iterator[str]:
    """Yield each broken promise as a line."""
    yield from history.problems
    submissions = {item.workflow_id: item for item in plan.submissions}
    calls: dict[str, list[Call]] = collections.defaultdict(list)
    for call in history.calls:
        calls[call.workflow_id].append(call)
    events = sorted(history.events, key=lambda event: event.at_ms)
    yield from _check_runs(submissions, events, history.acknowledged)
    yield from _check_capacity(submissions, events)
    for workflow_id, submission in submissions.items():
        own = [event for event in events if event.task[:16] == workflow_id]
        yield from _check_callers(
            plan, submission, calls[workflow_id], own, history.begun_ms
        )
    yield from _check_drains(plan, history, events)
    yield from _check_versions(history.probes)


def is_calm(
    plan: plans.Plan, at_ms: int, since_ms: int, begun_ms: int
) -> bool:
    """Tell whether no fault was active from ``since_ms`` to ``at_ms``."""
    return all(
        begun_ms + fault.end_ms + CONTACT_MS < since_ms
        or begun_ms + fault.at_ms > at_ms
        for fault in plan.faults
    )


def _check_runs(
    submissions: abc.Mapping[str, plans.Submission],
    events: abc.Sequence[platform_executor.Event],
    acknowledged: abc.Set[tuple[str, int]],
) -> abc.Iterator[str]:
    """Check one run at a time, order, attempts and contents of starts."""
    live: dict[str, platform_executor.Event] = {}
    done: set[str] = set()
    ever_done: set[str] = set()
    failures: collections.Counter[str] = collections.Counter()
    for event in events:
        task = event.task
        workflow_id, _, step, _ = task.split('.')
        submission = submissions.get(workflow_id)
        if submission is None:
            yield f'unasked: {task} was never submitted'
            continue
        if event.what != 'start':
            if live.get(task) is not None:
                if live[task].attempt == event.attempt:
                    del live[task]
            key = (task, event.attempt)
            if event.what == 'done':
                ever_done.add(task)
                if key in acknowledged:
                    done.add(task)
            elif event.what == 'failed' and key in acknowledged:
                failures[task] += 1
            continue
        if task in live:
            yield f'twice: {task} runs as {event.attempt} and {live[task]}'
        if task in done:
            yield f'twice: {task} starts as {event.attempt} after it was done'
        if failures[task] >= ATTEMPTS_LIMIT and not submission.lasts:
            yield f'budget: {task} starts after {failures[task]} failures'
        if event.spec != submission.document['Spec']:
            yield f'unasked: {task} with the specification {event.spec}'
        if event.checkpoint and not event.checkpoint.startswith(f'{task}:'):
            yield f'unasked: {task} with the checkpoint {event.checkpoint}'
        phases = submission.document['Phases']
        for before in phases[int(step)].get('After', ()):
            for index in range(phases[before]['Count']):
                name = f'{workflow_id}.0.{before}.{index}'
                if name not in ever_done:
                    yield f'order: {task} starts before {name} is done'
        live[task] = event


def _check_capacity(
    submissions: abc.Mapping[str, plans.Submission],
    events: abc.Sequence[platform_executor.Event],
) -> abc.Iterator[str]:
    used: collections.Counter[tuple[str, int]] = collections.Counter()
    for event in events:
        workflow_id, _, step, _ = event.task.split('.')
        submission = submissions.get(workflow_id)
        if submission is None:
            continue
        place = (event.instance_id, event.life)
        size = submission.document['Phases'][int(step)]['Cpu']
        used[place] += size if event.what == 'start' else -size
        if used[place] > plans.CAPACITY_MILLICORES:
            yield f'limit: {used[place]} millicores on {place}'


def _check_callers(
    plan: plans.Plan,
    submission: plans.Submission,
    calls: abc.Sequence[Call],
    events: abc.Sequence[platform_executor.Event],
    begun_ms: int,
) -> abc.Iterator[str]:
    """Check what the callers of one workflow were told."""
    workflow_id = submission.workflow_id
    posts = [call for call in calls if call.method == 'POST']
    accepted_ms = min(
        (call.answered_ms for call in posts if call.status == 200),
        default=None,
    )
    is_refused = bool(posts) and all(call.status in REFUSALS for call in posts)
    if is_refused and events:
        yield f'refused: {workflow_id} has run although it was refused'
    cancelled_ms = min(
        (
            call.answered_ms
            for call in calls
            if call.method == 'DELETE' and call.status == 200
        ),
        default=None,
    )
    has_cancel = any(call.method == 'DELETE' for call in calls)
    for call in calls:
        if call.method != 'GET':
            continue
        if call.state == 'completed':
            yield from _check_completed(submission, call, events)
        is_lost = call.status == 410 and accepted_ms is not None
        if is_lost and call.sent_ms > (accepted_ms or 0) + VISIBLE_MS:
            if is_calm(plan, call.sent_ms, call.sent_ms, begun_ms):
                yield f'lost: {workflow_id} is not known: {call}'
        if call.state == 'cancelled' and not has_cancel:
            yield f'lost: {workflow_id} is cancelled, nobody asked for it'
        if call.state == 'failed':
            counts = collections.Counter(
                event.task
                for event in events
                if event.what == 'failed' and event.at_ms <= call.answered_ms
            )
            if max(counts.values(), default=0) < ATTEMPTS_LIMIT:
                yield f'lost: {workflow_id} is failed without a cause'
    if cancelled_ms is not None:
        for event in events:
            late_ms = event.at_ms - cancelled_ms
            if event.what != 'start' or event.is_late or late_ms < CANCEL_MS:
                continue
            if is_calm(plan, event.at_ms, event.at_ms, begun_ms):
                yield f'unasked: {event.task} starts after its cancel'


def _check_completed(
    submission: plans.Submission,
    call: Call,
    events: abc.Sequence[platform_executor.Event],
) -> abc.Iterator[str]:
    done = {
        event.task
        for event in events
        if event.what == 'done' and event.at_ms <= call.answered_ms
    }
    total = sum(step['Count'] for step in submission.document['Phases'])
    if len(done) < total:
        yield (
            f'mixed: {submission.workflow_id} is completed with '
            f'{len(done)} of {total} tasks done'
        )


def _check_drains(
    plan: plans.Plan,
    history: History,
    events: abc.Sequence[platform_executor.Event],
) -> abc.Iterator[str]:
    for instance_id, drained_ms in history.drains:
        limit_ms = drained_ms + DRAIN_MS + HEARTBEAT_MS
        for event in events:
            if event.instance_id != instance_id or event.what != 'start':
                continue
            if event.is_late or event.at_ms < limit_ms:
                continue
            others = dataclasses.replace(
                plan,
                faults=tuple(
                    fault
                    for fault in plan.faults
                    if fault.subject != 'executor'
                ),
            )
            if is_calm(others, event.at_ms, drained_ms, history.begun_ms):
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
        is_later = probe.sent_ms > seen_ms + ROLLBACK_MS
        if probe.version <= version and is_later:
            yield f'configuration: {process} forgot version {probe.version}'


def describe(history: History) -> dict[str, Any]:
    """Return a history as a document, for people and tools."""
    return {
        'begun_ms': history.begun_ms,
        'calls': [dataclasses.asdict(call) for call in history.calls],
        'events': [dataclasses.asdict(event) for event in history.events],
        'acknowledged': sorted(history.acknowledged),
        'drains': history.drains,
        'problems': history.problems,
    }
