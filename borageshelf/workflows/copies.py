"""Starts speculative copies of slow runs, and learns from their ends.

Part of the owner's core; does no I/O. ``decisions.copies`` decides. All state
here is soft: a copy is an ordinary run in the record of its workflow, and a
new owner learns the rest again.
"""

import collections
from collections import abc
import dataclasses
from typing import Any, Final

from borageshelf import clock
from borageshelf.decisions import copies
from borageshelf.decisions import workflow_placement
from borageshelf import measurements
from borageshelf.model import workflows
from borageshelf.ports import task_executor
from borageshelf.workflows import effects
from borageshelf.workflows import estimates
from borageshelf.workflows import fleet
from borageshelf.workflows import jobs
from borageshelf.workflows import overdue
from borageshelf.workflows import run_progress
from borageshelf.workflows import targets

# Reports come every 400 ms and tell nothing new in between.
PASS_INTERVAL_MS: Final = 400
# The state of a target changes within about this time.
PEER_AGE_LIMIT_MS: Final = 30_000
PEERS_LIMIT: Final = 8
# Durations that are kept of one step.
DURATIONS_LIMIT: Final = 64
# Tries to find a target that is not known to be slow.
TARGET_TRIES: Final = 3
# Kinds of waiting steps for which room is looked for.
WAITING_KINDS_LIMIT: Final = 20


@dataclasses.dataclass(frozen=True)
class StartedCopy:
    """A copy that this owner has started.

    :param run_end_ms: elapsed time at which the original was expected to end
    :param duration_ms: expected duration of the copy if it wins
    """

    original: jobs.Run
    evidence: copies.Evidence
    run_end_ms: int
    duration_ms: int


_Records = dict[copies.Evidence, copies.Record]


class Copier:
    """Finds stragglers, starts their copies and learns from the ends.

    :param record: writes the log line of a decision
    """

    def __init__(
        self,
        known_fleet: fleet.Fleet,
        placer: overdue.Placer,
        record: abc.Callable[..., None],
    ) -> None:
        self._fleet = known_fleet
        self._placer = placer
        self._record = record
        self._next_pass_ms = 0
        self._records: dict[str, _Records] = {}
        self._durations: dict[
            jobs.Group, collections.deque[tuple[str, int]]
        ] = {}
        self._ended_peers: dict[
            str, collections.deque[tuple[int, copies.Peer]]
        ] = {}
        # Of runs at work, as the present pass has found them.
        self._expected: dict[jobs.Group, list[tuple[str, float]]] = {}
        self._started: dict[jobs.Run, StartedCopy] = {}
        self._copies_made: dict[jobs.Task, int] = {}
        # Runs whose refusal is logged, and those counted in a record.
        self._declined: set[jobs.Run] = set()
        self._counted: set[jobs.Run] = set()

    # Ends of runs.

    def note_end(
        self, run: jobs.Run, kind: task_executor.EndKind, now_ms: int
    ) -> None:
        """Learn from the end of a run, which is still a run of its task."""
        task = run.task
        if kind is not task_executor.EndKind.DONE:
            return
        self._learn_duration(run, now_ms)
        if task.is_done or len(task.runs) < 2 or task.group.step.is_gang:
            return
        copy = max(task.runs.values(), key=lambda other: other.attempt)
        is_won = copy is run
        started = self._started.pop(copy, None)
        if started is None and copy.is_stopping and not is_won:
            # It was given up, and its end is logged.
            return
        saved_ms = 0
        if started is not None:
            self._note_outcome(copy, started, is_won)
            if is_won:
                saved_ms = max(started.run_end_ms - now_ms, 0)
        if is_won:
            measurements.COPIES_WON.inc()
        self._record_end(copy, run.attempt, 'a run is done', saved_ms)

    def _note_outcome(
        self, copy: jobs.Run, started: StartedCopy, is_won: bool
    ) -> None:
        records = self._get_records(copy.task)
        records[started.evidence] = copies.note_outcome(
            records[started.evidence], is_won=is_won
        )

    def _record_end(
        self, copy: jobs.Run, counted_attempt: int, cause: str, saved_ms: int
    ) -> None:
        self._record(
            'copy ended',
            workflow=copy.task.group.job.workflow_id,
            task=copy.task.name,
            attempt=copy.attempt,
            target=copy.target_id,
            cause=cause,
            counted_attempt=counted_attempt,
            is_won=counted_attempt == copy.attempt,
            saved_ms=saved_ms,
        )

    def _learn_duration(self, run: jobs.Run, now_ms: int) -> None:
        """Note how long a successful run took beside its siblings."""
        group = run.task.group
        if run.is_restored or not run.is_sent or not _is_short(group.step):
            return
        duration_ms = now_ms - run.started_at_ms
        peer = _make_peer(
            duration_ms, self._list_siblings_ms(group, run.target_id), group
        )
        ended = self._ended_peers.setdefault(
            run.target_id, collections.deque(maxlen=PEERS_LIMIT)
        )
        ended.append((now_ms, peer))
        durations = self._durations.setdefault(
            group, collections.deque(maxlen=DURATIONS_LIMIT)
        )
        durations.append((run.target_id, duration_ms))

    # Copies.

    def start_copies(
        self, active_jobs: abc.Mapping[str, jobs.Job], moment: clock.Moment
    ) -> list[jobs.Job]:
        """Start copies of stragglers that are worth their processors.

        The starts are added to the effects of the workflows.

        :return: the workflows that have changed
        """
        now_ms = moment.elapsed_ms
        if now_ms < self._next_pass_ms:
            return []
        self._next_pass_ms = now_ms + PASS_INTERVAL_MS
        self._forget()
        changed: list[jobs.Job] = []
        try:
            self._stop_failed_copies(now_ms, changed)
            self._copy_stragglers(active_jobs, moment, changed)
        except Exception as error:
            # An error that ended the ownership would meet the next owner.
            self._record('copies not decided', detail=repr(error))
        return changed

    def _copy_stragglers(
        self,
        active_jobs: abc.Mapping[str, jobs.Job],
        moment: clock.Moment,
        changed: list[jobs.Job],
    ) -> None:
        now_ms = moment.elapsed_ms
        runs: dict[str, jobs.Run] = {}
        assessments = []
        for job in active_jobs.values():
            if job.workflow.has_due_times or not any(
                step.is_speculative for step in job.workflow.steps
            ):
                continue
            for run in _list_single_runs(job):
                assessment = self._assess(run, now_ms)
                if assessment is not None:
                    runs[assessment.candidate.name] = run
                    assessments.append(assessment)
        if not assessments:
            return
        load = self._measure_load(active_jobs, moment)
        chosen = copies.choose_copies(assessments, load)
        for assessment in assessments:
            run = runs[assessment.candidate.name]
            if assessment not in chosen:
                self._note_declined(run, assessment, load)
        for assessment in chosen:
            run = runs[assessment.candidate.name]
            if self._start(run, assessment, now_ms):
                changed.append(run.task.group.job)

    def _stop_failed_copies(
        self, now_ms: int, changed: list[jobs.Job]
    ) -> None:
        """Stop copies that take about as long as their originals."""
        for copy, started in list(self._started.items()):
            copy_pace = run_progress.find_pace(copy, now_ms)
            original_pace = run_progress.find_pace(started.original, now_ms)
            if (
                copy_pace is None
                or original_pace is None
                or copy.is_stopping
                or started.original.is_stopping
                or not copies.has_failed(
                    copy_pace, original_pace, started.duration_ms
                )
            ):
                continue
            del self._started[copy]
            self._note_outcome(copy, started, is_won=False)
            self._record_end(copy, 0, 'it does not help', 0)
            job = copy.task.group.job
            copy.is_stopping = True
            job.effects.append(
                effects.SendStop(copy.target_id, copy.task.name, copy.attempt)
            )
            changed.append(job)

    def _assess(self, run: jobs.Run, now_ms: int) -> copies.Assessment | None:
        """Assess a run; None unless it is slow and a copy is allowed."""
        task = run.task
        group = task.group
        target = self._fleet.targets.get(run.target_id)
        if target is None or not target.is_ready or run.is_stopping:
            return None
        if now_ms - run.started_at_ms <= copies.REPORT_LAG_MS:
            # Most runs end before, and a pass looks at hundreds.
            return None
        pace = run_progress.find_pace(run, now_ms)
        if pace is None:
            return None
        siblings_ms = self._list_siblings_ms(group, run.target_id, now_ms)
        if not copies.may_be_straggler(pace, siblings_ms):
            return None
        assessment = copies.assess(
            copies.Candidate(
                task.name,
                _make_task_state(task, self._copies_made.get(task, 0)),
                group.step.demand.processor_millicores,
                pace,
                now_ms - target.progress_reported_at_ms,
                group.get_estimate_ms(),
                siblings_ms,
                self._list_peers(target, run, now_ms),
                group.job.objective_deadline_ms - now_ms,
                group.job.objective_ms,
                _estimate_later_ms(group),
            ),
            self._get_records(task),
        )
        if assessment.verdict in (
            copies.Verdict.FORBIDDEN,
            copies.Verdict.NOT_SLOW,
            copies.Verdict.IN_TIME,
        ):
            return None
        return assessment

    def _start(
        self, run: jobs.Run, assessment: copies.Assessment, now_ms: int
    ) -> bool:
        """Start a copy of a run on another target, if one is suitable."""
        task = run.task
        records = self._get_records(task)
        evidence = assessment.evidence
        is_probe = assessment.verdict is copies.Verdict.PROBE
        former = records[evidence]
        if is_probe and former.declined < copies.PROBE_INTERVAL:
            return False
        target = self._choose_target(run, now_ms)
        if target is None:
            self._record_declined(run, assessment, 'no suitable target')
            return False
        if is_probe:
            records[evidence] = copies.note_probe(former)
        copy = self._placer.add_run(task, target, now_ms)
        self._placer.order_start(copy)
        self._copies_made[task] = self._copies_made.get(task, 0) + 1
        self._started[copy] = StartedCopy(
            run,
            evidence,
            now_ms + assessment.run_left_ms,
            assessment.copy_left_ms,
        )
        measurements.COPIES_STARTED.inc()
        self._record(
            'copy started',
            **_describe(run, assessment),
            attempt=copy.attempt,
            target=target.target_id,
            original_attempt=run.attempt,
            original_target=run.target_id,
        )
        return True

    def _choose_target(
        self, run: jobs.Run, now_ms: int
    ) -> targets.Target | None:
        """Return a target with room that is not known to be as bad."""
        task = run.task
        step = task.group.step
        original = self._fleet.targets[run.target_id]
        slow_ids: list[str] = []
        self._fleet.refresh(now_ms)
        index = self._fleet.get_index(task.group.job.terms.service)
        for _ in range(TARGET_TRIES):
            request = workflow_placement.PlacementRequest(
                step,
                task.group.count_runs_by_target(),
                (*task.avoided, *slow_ids),
                original.rack if step.needs_one_rack else '',
                excluded_target_id=run.target_id,
            )
            target = index.choose(
                request, workflow_placement.predict_no_effect
            )
            if not isinstance(target, targets.Target):
                return None
            if target.target_id in request.avoided:
                return None
            if target.rack != original.rack and (
                step.needs_one_rack or original.rack == step.rack
            ):
                # The copy would take longer than its siblings.
                return None
            peers = self._list_peers(target, None, now_ms)
            if copies.weigh_peers(peers) is not copies.Evidence.SLOW_TARGET:
                return target
            slow_ids.append(target.target_id)
        return None

    # Inputs of the decision.

    def _get_records(self, task: jobs.Task) -> _Records:
        queue = task.group.job.terms.queue
        return self._records.setdefault(queue, dict(copies.PRIORS))

    def _list_siblings_ms(
        self,
        group: jobs.Group,
        excluded_target_id: str,
        now_ms: int | None = None,
    ) -> tuple[float, ...]:
        """Return durations of a step's runs on other targets.

        :param now_ms: elapsed time; None to leave out runs at work, which
            stand in for too few ends
        """
        durations_ms = [
            float(duration_ms)
            for target_id, duration_ms in self._durations.get(group, ())
            if target_id != excluded_target_id
        ]
        if now_ms is None or len(durations_ms) >= copies.MIN_SIBLINGS:
            return tuple(durations_ms)
        if group not in self._expected:
            self._expected[group] = _list_expected_ms(group, now_ms)
        durations_ms += [
            expected_ms
            for target_id, expected_ms in self._expected[group]
            if target_id != excluded_target_id
        ]
        return tuple(durations_ms)

    def _list_peers(
        self, target: targets.Target, run: jobs.Run | None, now_ms: int
    ) -> tuple[copies.Peer, ...]:
        """Return how other short runs on a target do, or did recently."""
        peers = [
            peer
            for ended_at_ms, peer in self._ended_peers.get(
                target.target_id, ()
            )
            if now_ms - ended_at_ms <= PEER_AGE_LIMIT_MS
        ]
        for other in target.runs.values():
            group = other.task.group
            if other is run or not _is_short(group.step):
                continue
            pace = run_progress.find_pace(other, now_ms)
            if pace is None or pace.observed_ms <= copies.REPORT_LAG_MS:
                continue
            expected_ms = copies.estimate_duration_ms(pace)
            if expected_ms is not None:
                siblings_ms = self._list_siblings_ms(
                    group, target.target_id, now_ms
                )
                peers.append(_make_peer(expected_ms, siblings_ms, group))
        return tuple(peers)

    def _measure_load(
        self, active_jobs: abc.Mapping[str, jobs.Job], moment: clock.Moment
    ) -> copies.Load:
        copied: dict[jobs.Task, None] = {}
        short_millicores = 0
        for target in self._fleet.targets.values():
            short_millicores += target.short_millicores
            for run in target.runs.values():
                step = run.task.group.step
                if step.is_speculative and not step.is_gang:
                    copied[run.task] = None
        copy_millicores = sum(
            max(len(task.runs) - (not task.is_done), 0)
            * task.group.step.demand.processor_millicores
            for task in copied
        )
        return copies.Load(
            short_millicores - copy_millicores,
            copy_millicores,
            self._has_waiting_tasks(active_jobs, moment),
        )

    def _has_waiting_tasks(
        self, active_jobs: abc.Mapping[str, jobs.Job], moment: clock.Moment
    ) -> bool:
        """Tell whether tasks wait because no target has room for them.

        Others wait for something that a copy does not take away, as a filler
        that would disturb serving tasks wherever it fits.
        """
        waiting: dict[tuple[Any, ...], tuple[workflows.Step, str]] = {}
        for job in active_jobs.values():
            for group in job.list_waiting_groups(moment.wall_ms):
                step = group.step
                if step.is_gang:
                    # Its members need room together.
                    return True
                service = job.terms.service
                kind = (service, step.demand, step.is_filler, step.label)
                waiting.setdefault(kind, (step, service))
                if len(waiting) > WAITING_KINDS_LIMIT:
                    return True
        return not all(
            any(
                _fits(step, target)
                for target in self._fleet.get_index(service).list_targets()
            )
            for step, service in waiting.values()
        )

    # Declined copies, and state that nothing needs any more.

    def _note_declined(
        self, run: jobs.Run, assessment: copies.Assessment, load: copies.Load
    ) -> None:
        verdict = assessment.verdict
        cause = verdict.value
        if verdict.allows_copy:
            cause = (
                'tasks wait for capacity'
                if load.has_waiting
                else 'copies use their share'
            )
        if verdict is copies.Verdict.RECORD and run not in self._counted:
            self._counted.add(run)
            records = self._get_records(run.task)
            evidence = assessment.evidence
            records[evidence] = copies.note_declined(records[evidence])
        self._record_declined(run, assessment, cause)

    def _record_declined(
        self, run: jobs.Run, assessment: copies.Assessment, cause: str
    ) -> None:
        """Log the first cause for which a run gets no copy."""
        if run not in self._declined:
            self._declined.add(run)
            self._record(
                'copy declined',
                **_describe(run, assessment),
                attempt=run.attempt,
                target=run.target_id,
                cause=cause,
            )

    def _forget(self) -> None:
        """Forget ended runs and steps, and copies that are alone now."""
        self._expected.clear()
        for copy, started in list(self._started.items()):
            if not (_exists(copy) and _exists(started.original)):
                del self._started[copy]
                if not copy.task.is_done:
                    self._record_end(copy, 0, 'one run has gone', 0)
        self._declined = set(filter(_exists, self._declined))
        self._counted = set(filter(_exists, self._counted))
        for group in list(self._durations):
            if group.is_complete or not group.job.is_active:
                del self._durations[group]
        for task in list(self._copies_made):
            if task.is_done or not task.group.job.is_active:
                del self._copies_made[task]


def _list_expected_ms(
    group: jobs.Group, now_ms: int
) -> list[tuple[str, float]]:
    """Return the targets and expected durations of a step's runs at work."""
    expected = []
    for task in group.tasks:
        for run in task.runs.values():
            pace = run_progress.find_pace(run, now_ms)
            if pace is not None:
                expected_ms = copies.estimate_duration_ms(pace)
                if expected_ms is not None:
                    expected.append((run.target_id, expected_ms))
    return expected


def _exists(run: jobs.Run) -> bool:
    return run.attempt in run.task.runs


def _is_short(step: workflows.Step) -> bool:
    return not (step.is_lasting or step.is_filler)


def _list_single_runs(job: jobs.Job) -> abc.Iterator[jobs.Run]:
    """Yield the runs of a workflow that may get a copy."""
    for group in job.groups:
        if not group.step.is_speculative or group.is_complete:
            continue
        for task in group.tasks:
            if len(task.runs) == 1 and not task.is_done:
                yield from task.runs.values()


def _make_task_state(task: jobs.Task, copies_made: int) -> copies.TaskState:
    step = task.group.step
    return copies.TaskState(
        step.is_speculative,
        step.is_gang,
        step.is_lasting,
        step.is_filler,
        task.crash_history.is_suspect,
        task.failures,
        task.group.job.terms.attempts_limit,
        len(task.runs),
        copies_made,
    )


def _make_peer(
    duration_ms: float, siblings_ms: abc.Sequence[float], group: jobs.Group
) -> copies.Peer:
    if len(siblings_ms) >= copies.MIN_SIBLINGS:
        middle_ms = sorted(siblings_ms)[len(siblings_ms) // 2]
        return copies.Peer(duration_ms / max(middle_ms, 1), False)
    return copies.Peer(duration_ms / max(group.get_estimate_ms(), 1), True)


def _estimate_later_ms(group: jobs.Group) -> int:
    """Return the estimated run time of the steps that wait for a step."""
    steps = group.job.workflow.steps
    later = {group.step_number}
    for number, step in enumerate(steps):
        if not later.isdisjoint(step.after):
            later.add(number)
    later.discard(group.step_number)
    others = set(range(len(steps))) - later
    return estimates.compute_path_ms(steps, others)


def _fits(step: workflows.Step, target: workflow_placement.Target) -> bool:
    if step.label and step.label not in target.labels:
        return False
    if step.is_filler and (
        workflow_placement.compute_unused_millicores(target)
        < workflow_placement.compute_min_unused_millicores(step)
    ):
        return False
    return workflow_placement.has_room(step, target)


def _describe(run: jobs.Run, assessment: copies.Assessment) -> dict[str, Any]:
    """Return the inputs of a decision for its log line."""
    candidate = assessment.candidate
    return {
        'workflow': run.task.group.job.workflow_id,
        'task': run.task.name,
        'progress_percent': run.progress_percent,
        'report_age_ms': candidate.report_age_ms,
        'observed_ms': candidate.pace.observed_ms,
        'siblings': len(candidate.siblings_ms),
        'peers': len(candidate.peers),
        'evidence': assessment.evidence.value,
        'verdict': assessment.verdict.value,
        'run_left_ms': assessment.run_left_ms,
        'copy_left_ms': assessment.copy_left_ms,
        'saved_ms': assessment.saved_ms,
        'probability': assessment.probability,
        'gain_ratio': assessment.gain_ratio,
    }
