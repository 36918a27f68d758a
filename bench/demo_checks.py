"""Checks what callers were told against the audits of the stand-ins."""

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
    """The results of one deployment, a column of the table.

    :param calls_kept_percent: percentage of the calls sent during the surge
        of batch jobs that were answered within the service's target p99
    :param batch_kept_percent: tasks that finished during the surge of calls,
        as a percentage of those in a period of equal length before it
    :param violations: one text for each violated guarantee
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
    violations: tuple[str, ...]


async def summarise(
    fleet: local_fleet.Fleet,
    load: demo_load.LoadGenerator,
    deployment: demo_plans.Deployment,
    store_before: dict[str, Any],
    store_after: dict[str, Any],
    elapsed_s: float,
) -> Summary:
    """Read the audits of all stand-ins and check the guarantees."""
    intervals = await _read_intervals(fleet)
    executions = await _count_executions(fleet)
    accepted = [job for job in load.jobs if not job.is_refused]
    code_counts = collections.Counter(
        job.answer['code_name'] for job in accepted
    )
    latencies = sorted(
        call.latency_ms
        for call in load.calls
        if call.work == 'done' and not _is_in_surge(load, call, 'calls')
    )
    work_counts = collections.Counter(call.work for call in load.calls)
    violations = [
        *_check_calls(load, executions),
        *_check_jobs(accepted, intervals),
        *_check_capacity(fleet, intervals),
    ]
    store_calls = sum(store_after['calls'].values())
    store_calls -= sum(store_before['calls'].values())
    return Summary(
        name=fleet.plan.name,
        p50_ms=_select_quantile(latencies, 0.5),
        p99_ms=_select_quantile(latencies, 0.99),
        tasks_per_s=code_counts['OK'] / elapsed_s,
        evictions=sum(
            task['evictions']
            for job in accepted
            for task in job.answer['tasks']
        ),
        calls_kept_percent=_compute_calls_kept_percent(
            load, deployment.target_p99_ms
        ),
        batch_kept_percent=_compute_batch_kept_percent(load, intervals),
        calls_answered=work_counts['done'],
        calls_refused=work_counts['not run'],
        calls_unknown=work_counts['unknown'] + work_counts['failed'],
        jobs_submitted=len(load.jobs),
        jobs_finished=code_counts['OK'],
        jobs_refused=len(load.jobs) - len(accepted),
        jobs_unknown=code_counts['OUTCOME_UNKNOWN'],
        jobs_run_twice=len(audits.find_repeated_completions(intervals)),
        store_calls_per_s=store_calls / elapsed_s,
        violations=tuple(f'{fleet.plan.name}: {text}' for text in violations),
    )


def format_table(summaries: list[Summary]) -> str:
    """Return a table with a line for each measure."""
    names = [summary.name for summary in summaries]
    lines = [f'{"":16}' + ''.join(f'{name:>12}' for name in names)]
    for title, field in COLUMNS:
        cells = []
        for summary in summaries:
            value = getattr(summary, field)
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
    """Count executions by the call id that was returned to the caller.

    Executors get that id with a suffix after a slash.
    """
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
    load: demo_load.LoadGenerator, call: demo_load.CallRecord, kind: str
) -> bool:
    return any(
        surge.kind == kind and surge.contains(call.started_at_ms)
        for surge in load.surges
    )


def _compute_calls_kept_percent(
    load: demo_load.LoadGenerator, target_p99_ms: int
) -> float:
    calls = [call for call in load.calls if _is_in_surge(load, call, 'batch')]
    kept = [
        call
        for call in calls
        if call.work == 'done' and call.latency_ms <= target_p99_ms
    ]
    return 100 * len(kept) / max(len(calls), 1)


def _compute_batch_kept_percent(
    load: demo_load.LoadGenerator, intervals: list[audits.Interval]
) -> float:
    ends_ms = [
        interval.end_ms
        for interval in intervals
        if interval.ended_as == 'succeeded'
    ]
    for surge in load.surges:
        if surge.kind == 'calls':
            length_ms = surge.end_ms - surge.start_ms
            during_count = sum(surge.contains(end_ms) for end_ms in ends_ms)
            before_count = sum(
                surge.contains(end_ms + length_ms) for end_ms in ends_ms
            )
            return 100 * during_count / max(before_count, 1)
    return 0.0


def _check_calls(
    load: demo_load.LoadGenerator, executions: collections.Counter[str]
) -> list[str]:
    violations = []
    for call in load.calls:
        runs = executions[call.call_id] if call.call_id else 0
        if not call.is_expected_answer:
            violations.append(f'answer is wrong or incomplete: {call}')
        if call.work == 'not run' and runs:
            violations.append(
                f'call reported as not run was run {runs} times: {call}'
            )
        if not call.idempotent and runs > 1:
            violations.append(f'non-idempotent call ran {runs} times: {call}')
        if call.work == 'done' and not runs:
            violations.append(
                f'call was answered without an execution: {call}'
            )
    return violations


def _check_jobs(
    accepted: list[demo_load.JobRecord], intervals: list[audits.Interval]
) -> list[str]:
    violations = [
        f'task ran twice at the same time: {first} {second}'
        for first, second in audits.find_overlaps(intervals)
    ]
    violations += [
        f'task finished more than once: {task_id}'
        for task_id in audits.find_repeated_completions(intervals)
    ]
    succeeded_task_ids = {
        interval.task_id
        for interval in intervals
        if interval.ended_as == 'succeeded'
    }
    for job in accepted:
        code = job.answer['code_name']
        if code not in ('OK', 'OUTCOME_UNKNOWN'):
            violations.append(f'job ended as {code}: {job}')
        for task in job.answer['tasks']:
            if code == 'OK' and task['task_id'] not in succeeded_task_ids:
                violations.append(
                    f'task of a finished job has no successful run: {task}'
                )
    return violations


def _check_capacity(
    fleet: local_fleet.Fleet, intervals: list[audits.Interval]
) -> list[str]:
    violations = []
    for vm in fleet.vms.values():
        peak = audits.find_peak_declared(intervals, vm.plan.name)
        if (
            peak.processor_millicores > vm.plan.millicores
            or peak.memory_mb > vm.plan.memory_mb
        ):
            violations.append(
                f'tasks exceeded the capacity of {vm.plan.name}: {peak}'
            )
    return violations


def _select_quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]
