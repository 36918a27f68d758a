"""Compares what callers saw with what the stand-ins really ran."""

import collections
import dataclasses
from typing import Any, Final

import msgspec

from bench import demo_load
from bench import demo_plans
from bench import local_fleet
from standins import audits

COLUMNS: Final = (
    ('p50 ms', 'p50_ms'),
    ('p99 ms', 'p99_ms'),
    ('batch tasks/s', 'tasks_per_s'),
    ('evictions', 'evictions'),
    ('calls kept %', 'calls_kept_percent'),
    ('batch kept %', 'batch_kept_percent'),
    ('calls answered', 'calls_answered'),
    ('calls refused', 'calls_refused'),
    ('calls unknown', 'calls_unknown'),
    ('jobs submitted', 'jobs_submitted'),
    ('jobs finished', 'jobs_finished'),
    ('jobs refused', 'jobs_refused'),
    ('jobs unknown', 'jobs_unknown'),
    ('jobs run twice', 'jobs_run_twice'),
    ('store calls/s', 'store_calls_per_s'),
)


@dataclasses.dataclass(frozen=True)
class Summary:
    """One row of the table; ``broken`` lists broken promises.

    :param calls_kept_percent: calls in the surge of batch jobs that were
        answered within the goal of the service
    :param batch_kept_percent: tasks that finished in the surge of calls,
        against the same time before it
    """

    name: str
    p50_ms: float
    p99_ms: float
    tasks_per_s: float
    evictions: int
    calls_kept_percent: float
    batch_kept_percent: float
    calls_answered: int
    calls_refused: int
    calls_unknown: int
    jobs_submitted: int
    jobs_finished: int
    jobs_refused: int
    jobs_unknown: int
    jobs_run_twice: int
    store_calls_per_s: float
    broken: tuple[str, ...]


async def summarise(
    fleet: local_fleet.Fleet,
    load: demo_load.Load,
    deployment: demo_plans.Deployment,
    store_before: dict[str, Any],
    store_after: dict[str, Any],
    elapsed_s: float,
) -> Summary:
    """Read the audits of all stand-ins and check the promises."""
    intervals = await _read_intervals(fleet)
    executions = await _count_executions(fleet)
    accepted = [job for job in load.jobs if not job.is_refused]
    codes = collections.Counter(job.answer['code_name'] for job in accepted)
    latencies = sorted(
        call.latency_ms
        for call in load.calls
        if call.work == 'done' and not _is_in_surge(load, call, 'calls')
    )
    works = collections.Counter(call.work for call in load.calls)
    broken = [
        *_check_calls(load, executions),
        *_check_jobs(accepted, intervals),
        *_check_capacity(fleet, intervals),
    ]
    store_calls = sum(store_after['calls'].values())
    store_calls -= sum(store_before['calls'].values())
    return Summary(
        name=fleet.plan.name,
        p50_ms=_find_quantile(latencies, 0.5),
        p99_ms=_find_quantile(latencies, 0.99),
        tasks_per_s=codes['OK'] / elapsed_s,
        evictions=sum(
            task['evictions']
            for job in accepted
            for task in job.answer['tasks']
        ),
        calls_kept_percent=_find_calls_kept(load, deployment.goal_ms),
        batch_kept_percent=_find_batch_kept(load, intervals),
        calls_answered=works['done'],
        calls_refused=works['not run'],
        calls_unknown=works['unknown'] + works['failed'],
        jobs_submitted=len(load.jobs),
        jobs_finished=codes['OK'],
        jobs_refused=len(load.jobs) - len(accepted),
        jobs_unknown=codes['OUTCOME_UNKNOWN'],
        jobs_run_twice=len(audits.find_repeated_completions(intervals)),
        store_calls_per_s=store_calls / elapsed_s,
        broken=tuple(f'{fleet.plan.name}: {text}' for text in broken),
    )


def format_table(summaries: list[Summary]) -> str:
    """Return the table with one line for each measure."""
    names = [item.name for item in summaries]
    lines = [f'{"":16}' + ''.join(f'{name:>12}' for name in names)]
    for title, field in COLUMNS:
        cells = []
        for item in summaries:
            value = getattr(item, field)
            is_whole = isinstance(value, int)
            cells.append(f'{value:>12}' if is_whole else f'{value:>12.1f}')
        lines.append(f'{title:16}' + ''.join(cells))
    return '\n'.join(lines)


async def _read_intervals(
    fleet: local_fleet.Fleet,
) -> list[audits.Interval]:
    intervals: list[audits.Interval] = []
    for vm in fleet.vms.values():
        if vm.worker_url:
            _, audit = await fleet.request(
                'GET', f'{vm.worker_url}/control/audit'
            )
            intervals += msgspec.convert(
                audit['intervals'], list[audits.Interval]
            )
    return intervals


async def _count_executions(
    fleet: local_fleet.Fleet,
) -> collections.Counter[str]:
    """Count executions by the call id that the caller knows."""
    counts: collections.Counter[str] = collections.Counter()
    for vm in fleet.vms.values():
        if vm.executor_url:
            _, audit = await fleet.request(
                'GET', f'{vm.executor_url}/control/audit'
            )
            for execution in audit['executions']:
                counts[execution['call_id'].split('/')[0]] += 1
    return counts


def _is_in_surge(
    load: demo_load.Load, call: demo_load.CallRecord, kind: str
) -> bool:
    return any(
        surge.kind == kind and surge.covers(call.started_at_ms)
        for surge in load.surges
    )


def _find_calls_kept(load: demo_load.Load, goal_ms: int) -> float:
    calls = [call for call in load.calls if _is_in_surge(load, call, 'batch')]
    kept = [
        call
        for call in calls
        if call.work == 'done' and call.latency_ms <= goal_ms
    ]
    return 100 * len(kept) / max(len(calls), 1)


def _find_batch_kept(
    load: demo_load.Load, intervals: list[audits.Interval]
) -> float:
    ends_ms = [
        item.end_ms for item in intervals if item.ended_as == 'succeeded'
    ]
    for surge in load.surges:
        if surge.kind == 'calls':
            length_ms = surge.end_ms - surge.start_ms
            during = sum(surge.covers(end_ms) for end_ms in ends_ms)
            before = sum(
                surge.covers(end_ms + length_ms) for end_ms in ends_ms
            )
            return 100 * during / max(before, 1)
    return 0.0


def _check_calls(
    load: demo_load.Load, executions: collections.Counter[str]
) -> list[str]:
    broken = []
    for call in load.calls:
        runs = executions[call.call_id] if call.call_id else 0
        if not call.is_own_answer:
            broken.append(f'wrong or partial answer: {call}')
        if call.work == 'not run' and runs:
            broken.append(f'reported as not run, ran {runs} times: {call}')
        if not call.idempotent and runs > 1:
            broken.append(f'non-idempotent call ran {runs} times: {call}')
        if call.work == 'done' and not runs:
            broken.append(f'answered without an execution: {call}')
    return broken


def _check_jobs(
    accepted: list[demo_load.JobRecord], intervals: list[audits.Interval]
) -> list[str]:
    broken = [
        f'task ran in two places: {first} {second}'
        for first, second in audits.find_overlaps(intervals)
    ]
    broken += [
        f'task finished twice: {task_id}'
        for task_id in audits.find_repeated_completions(intervals)
    ]
    ended_well = {
        item.task_id for item in intervals if item.ended_as == 'succeeded'
    }
    for job in accepted:
        code = job.answer['code_name']
        if code not in ('OK', 'OUTCOME_UNKNOWN'):
            broken.append(f'job ended as {code}: {job}')
        for task in job.answer['tasks']:
            if code == 'OK' and task['task_id'] not in ended_well:
                broken.append(f'finished without a run: {task}')
    return broken


def _check_capacity(
    fleet: local_fleet.Fleet, intervals: list[audits.Interval]
) -> list[str]:
    broken = []
    for vm in fleet.vms.values():
        peak = audits.find_peak(intervals, vm.plan.name)
        if (
            peak.processor_millicores > vm.plan.millicores
            or peak.memory_mb > vm.plan.memory_mb
        ):
            broken.append(f'{vm.plan.name} was overfilled: {peak}')
    return broken


def _find_quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]
