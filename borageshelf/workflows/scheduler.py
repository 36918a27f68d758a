"""Places the waiting tasks of all workflows; part of the owner's core.

Does no I/O. The owner marks the workflows whose tasks were placed as changed,
and the starts are sent after the commit.
"""

from collections import abc
import functools
import math
from typing import Any, Final

from borageshelf import clock
from borageshelf.decisions import crash_blame
from borageshelf.decisions import filler_effects
from borageshelf.decisions import workflow_order
from borageshelf.decisions import workflow_placement
from borageshelf.model import workflows
from borageshelf.workflows import crashes
from borageshelf.workflows import effects
from borageshelf.workflows import fleet
from borageshelf.workflows import jobs
from borageshelf.workflows import memory_budget
from borageshelf.workflows import messages
from borageshelf.workflows import overdue
from borageshelf.workflows import place_waiting
from borageshelf.workflows import targets

# The rules of the users' platform require a workflow to run within 3 s if
# there is room. One without a run for this long is placed even where it
# disturbs serving tasks.
IDLE_WORKFLOW_LIMIT_MS: Final = 1_200
# Decay of the baseline latency per report. The load of a serving task swings
# within ten seconds, so its last peak still counts when the next one is due.
BASELINE_DECAY_RATIO: Final = 0.985
# Agents report latencies every 400 ms.
LATENCY_REFRESH_MS: Final = 200


class Scheduler:
    """Chooses targets for waiting tasks and learns what fillers do.

    :param set_aside: called with the id of a workflow that can't be scheduled
        because of an unexpected error, and the error
    :param place_waits: lets tasks wait for room on the rack that they want
    """

    def __init__(
        self,
        known_fleet: fleet.Fleet,
        crash_tracker: crashes.CrashTracker,
        set_aside: abc.Callable[[str, str], None],
        place_waits: place_waiting.PlaceWaits,
    ) -> None:
        self._fleet = known_fleet
        self._crash_tracker = crash_tracker
        self._set_aside = set_aside
        self._place_waits = place_waits
        self._overdue_placer = overdue.OverduePlacer(known_fleet, self)
        self.filler_effects = filler_effects.FillerEffects()
        # Effects and latencies that placement uses until the next refresh.
        self._placement_effects = filler_effects.FillerEffects()
        self._latency_version = 0
        self._next_latency_refresh_ms = 0

    def observe_latencies(
        self,
        target: targets.Target,
        report: messages.Report,
        moment: clock.Moment,
    ) -> None:
        """Learn how fillers affect the serving tasks of a target."""
        target.filler_used_millicores = round(
            sum(report.filler_shares.values())
            * target.capacity.processor_millicores
        )
        baseline_shares: dict[str, float] = {}
        for sample in report.samples:
            if sample.latency_share <= 0:
                # Agents of earlier versions report tasks without a latency.
                continue
            image = sample.serving_image
            baseline_share = filler_effects.compute_baseline_share(
                sample.latency_share,
                {
                    filler: self.filler_effects.get_effect(image, filler)
                    for filler in report.filler_shares
                },
                report.filler_shares,
            )
            baseline_shares[image] = max(
                baseline_share, baseline_shares.get(image, 0.0)
            )
            self.filler_effects.observe(
                filler_effects.Sample(
                    sample.serving_image,
                    sample.latency_share,
                    report.filler_shares,
                    sample.workflow_id,
                    target.target_id,
                    moment.elapsed_ms,
                )
            )
        for image, baseline_share in baseline_shares.items():
            # Latency follows the fillers with a delay, so just after a filler
            # has slowed down, its effect seems to be caused by the load.
            previous_share = target.baseline_latency_shares.get(
                image, baseline_share
            )
            target.baseline_latency_shares[image] = min(
                max(baseline_share, previous_share * BASELINE_DECAY_RATIO),
                self.filler_effects.compute_baseline_limit(image),
            )

    def place_waiting_tasks(
        self, active_jobs: abc.Mapping[str, jobs.Job], moment: clock.Moment
    ) -> list[jobs.Job]:
        """Place waiting tasks on targets that have room.

        The starts are added to the effects of the workflows.

        :return: the workflows that have changed
        """
        now_ms = moment.elapsed_ms
        self._refresh_latencies(now_ms)
        self._fleet.refresh(now_ms)
        waiting = []
        open_count = sum(job.open_task_count for job in active_jobs.values())
        for job in active_jobs.values():
            open_count += job.open_due_occurrences(
                moment.wall_ms, memory_budget.find_waiting_limit(open_count)
            )
            groups = job.list_waiting_groups(moment.wall_ms)
            if job.working_runs or not groups:
                job.idle_since_ms = now_ms
            for group in groups:
                group.note_ready(now_ms)
            if groups:
                rank = workflow_order.compute_rank(
                    _make_candidate(job), now_ms
                )
                waiting.append((rank, job, groups))
        waiting.sort(key=lambda item: item[0])
        changed = self._place_suspects(
            [group for _, _, groups in waiting for group in groups], now_ms
        )
        self._overdue_placer.begin_pass(now_ms)
        self._place_waits.begin_pass(active_jobs, now_ms)
        for _, job, groups in waiting:
            try:
                for group in groups:
                    if self._place_group(group, moment):
                        changed[job.workflow_id] = job
                    if self._overdue_placer.place_group(group, now_ms):
                        changed[job.workflow_id] = job
            except Exception as error:
                # An error that ended the ownership would meet the next owner.
                self._set_aside(job.workflow_id, repr(error))
        return list(changed.values())

    def find_better_target(
        self, run: jobs.Run, target: targets.Target, now_ms: int
    ) -> workflow_placement.Target | None:
        """Return the target to which a throttled run should move, or None."""
        group = run.task.group
        request = workflow_placement.PlacementRequest(
            group.step,
            group.count_runs_by_target(),
            run.task.avoided,
            excluded_target_id=target.target_id,
        )
        self._fleet.refresh(now_ms)
        return self._fleet.get_index(target.service).choose(
            request, self._predict_harmless_latency_share
        )

    def _refresh_latencies(self, now_ms: int) -> None:
        """Let placement use the latest latencies, unless it did recently.

        Each report changes a latency a little. In between, the choices that
        found no target are not tried again because of latencies.
        """
        if now_ms < self._next_latency_refresh_ms:
            return
        self._next_latency_refresh_ms = now_ms + LATENCY_REFRESH_MS
        self._latency_version += 1
        self._placement_effects = self.filler_effects.copy()
        self._fleet.refresh_latencies()

    def _place_suspects(
        self, groups: abc.Iterable[jobs.Group], now_ms: int
    ) -> dict[str, jobs.Job]:
        """Place suspected tasks in isolation, the strongest suspects first.

        :return: the workflows that have changed
        """
        changed: dict[str, jobs.Job] = {}
        suspected = sorted(
            (group for group in groups if group.suspects),
            key=lambda group: (
                -max(task.crash_history.crashes for task in group.suspects)
            ),
        )
        for group in suspected:
            try:
                if self._place_suspect(group, now_ms):
                    changed[group.job.workflow_id] = group.job
            except Exception as error:
                # An error that ended the ownership would meet the next owner.
                self._set_aside(group.job.workflow_id, repr(error))
        return changed

    def _place_suspect(self, group: jobs.Group, now_ms: int) -> bool:
        """Place a suspected task in isolation; tell whether one was placed.

        Only one target is in isolation for a workflow at a time, because a
        task that is at fault ends the workflow.
        """
        waiting = [
            task
            for task in group.suspects
            if task.is_waiting and task.awaits_isolation(now_ms)
        ]
        if not waiting:
            return False
        task = max(waiting, key=lambda task: task.crash_history.crashes)
        target = self._choose_for_isolation(task, now_ms)
        if target is None:
            return False
        run = self.add_run(task, target, now_ms)
        self.order_start(run)
        self._crash_tracker.isolate(target, run, now_ms)
        self._fleet.reindex(target, now_ms)
        return True

    def _choose_for_isolation(
        self, task: jobs.Task, now_ms: int
    ) -> targets.Target | None:
        """Return the target where a crash of the executor does least harm.

        Targets where another task has just started, or that crash under
        various tasks, come last, as the crash would prove little there. A
        strong suspect does not start there at all: the target is held until
        those tasks have lasted.
        """
        is_strict = task.crash_history.is_strong_suspect
        service = task.group.job.terms.service
        isolated = [
            run for run in task.group.job.list_runs() if run.is_isolated
        ]
        if isolated:
            return self._choose_beside_siblings(task, isolated, now_ms)
        can_isolate = self._crash_tracker.can_isolate(service, now_ms)
        candidates = []
        if can_isolate:
            candidates += self._fleet.get_index(service).list_targets()
        if is_strict:
            candidates += self._crash_tracker.list_held_targets(
                service, now_ms
            )
        ranked = self._rank_for_isolation(task, candidates, now_ms)
        if not ranked:
            return None
        (is_doubtful, *_), target = min(ranked, key=lambda item: item[0])
        if not (is_strict and is_doubtful):
            return target
        if can_isolate and not target.is_held(now_ms):
            self._crash_tracker.hold(target, now_ms)
            self._fleet.reindex(target, now_ms)
        return None

    def _choose_beside_siblings(
        self, task: jobs.Task, isolated: list[jobs.Run], now_ms: int
    ) -> targets.Target | None:
        """Return the target of the workflow's isolated suspects if it fits.

        A crash there leaves no doubt about the workflow, and suspects that
        start together prove sound sooner than one after the other.
        """
        target = self._fleet.targets[isolated[-1].target_id]
        if not target.can_accept_sibling_suspect(now_ms):
            return None
        if not self._rank_for_isolation(task, [target], now_ms):
            return None
        return target

    def _rank_for_isolation(
        self,
        task: jobs.Task,
        candidates: abc.Iterable[workflow_placement.Target],
        now_ms: int,
    ) -> list[tuple[tuple[Any, ...], targets.Target]]:
        """Return the candidates that have room, with their ranks."""
        group = task.group
        sibling_counts = group.count_runs_by_target()
        request = workflow_placement.PlacementRequest(
            group.step,
            sibling_counts,
            task.avoided,
            self._get_sibling_rack(group, sibling_counts),
        )
        young_limit_ms = (
            crash_blame.COUNTED_AGE_MS
            if task.crash_history.is_strong_suspect
            else crashes.YOUNG_RUN_MS
        )
        ranked = []
        for candidate in candidates:
            score = workflow_placement.compute_score(
                request, candidate, self._predict_harmless_latency_share
            )
            target = self._fleet.targets[candidate.target_id]
            if score is not None:
                rank = (
                    any(
                        crashes.is_young(run, now_ms, young_limit_ms)
                        for run in target.runs.values()
                    ),
                    round(target.spontaneous_crashes),
                    len(target.runs),
                    score,
                )
                ranked.append((rank, target))
        return ranked

    # Interface ``overdue.Placer``.

    def add_run(
        self, task: jobs.Task, target: targets.Target, now_ms: int
    ) -> jobs.Run:
        """Add the next attempt of a task to a target."""
        run = task.group.job.add_run(task, target.target_id, now_ms)
        run.executor_hash = target.compute_executor_hash()
        target.add_run(run)
        if task.group.step.is_lasting:
            self._crash_tracker.watch_lasting_run(run)
        self._fleet.reindex(target, now_ms)
        return run

    def withdraw_run(
        self, run: jobs.Run, target: targets.Target, now_ms: int
    ) -> None:
        """Undo ``add_run``."""
        target.remove_run(run)
        self._fleet.reindex(target, now_ms)
        run.task.group.job.withdraw_run(run)

    def order_start(self, run: jobs.Run) -> None:
        """Order the start of an added run after the next commit."""
        run.task.group.job.effects.append(
            effects.SendStart(run.target_id, run.task.name, run.attempt)
        )

    def predict_latency_share(
        self, step: workflows.Step, target: workflow_placement.Target
    ) -> float:
        """Predict the highest latency on a target with one more filler."""
        return self._predict_latency_share(step, target)

    def _place_group(self, group: jobs.Group, moment: clock.Moment) -> bool:
        """Place the waiting tasks of a group; tell whether any was placed."""
        job = group.job
        now_ms = moment.elapsed_ms
        index = self._fleet.get_index(job.terms.service)
        # A single run is enough for the workflow to make progress.
        is_overdue = (
            not job.working_runs
            and now_ms - job.idle_since_ms > IDLE_WORKFLOW_LIMIT_MS
        )
        # The rules ask for a run of each lasting task.
        is_lasting_overdue = (
            group.step.is_filler
            and group.step.is_lasting
            and any(overdue.is_overdue(task, now_ms) for task in group.tasks)
        )
        is_overdue = is_overdue or is_lasting_overdue
        misfit = group.misfit
        if misfit is not None and not self._is_valid(
            misfit, group, is_overdue
        ):
            misfit = None
        if misfit is not None and misfit.change_number == index.change_number:
            return False
        sibling_counts = group.count_runs_by_target()
        waiting = [
            task
            for task in group.tasks
            if task.is_waiting and not task.awaits_isolation(now_ms)
        ]
        if group.step.is_gang and len(waiting) < group.step.count:
            return False
        placed: list[tuple[jobs.Run, targets.Target]] = []
        for task in waiting:
            request = workflow_placement.PlacementRequest(
                group.step,
                sibling_counts,
                task.avoided,
                self._get_sibling_rack(group, sibling_counts),
                is_lasting_overdue or (is_overdue and not job.working_runs),
            )
            predict = (
                self._predict_latency_share
                if request.is_overdue
                else self._predict_harmless_latency_share
            )
            choose = functools.partial(index.choose, request, predict)
            if misfit is not None:
                choose = functools.partial(
                    index.choose_changed_since,
                    request,
                    predict,
                    misfit.change_number,
                )
            target = self._place_waits.choose(
                task, request, predict, choose, now_ms
            )
            if target is place_waiting.Held.HELD:
                # No misfit: another rack has room. Suspects don't wait.
                if group.suspects:
                    continue
                break
            if not isinstance(target, targets.Target):
                # Tasks of a step have the same size, so no other one fits.
                group.misfit = jobs.Misfit(
                    index.change_number,
                    self._latency_version,
                    request.is_overdue,
                )
                break
            run = self.add_run(task, target, now_ms)
            sibling_counts[target.target_id] = (
                sibling_counts.get(target.target_id, 0) + 1
            )
            placed.append((run, target))
        if group.step.is_gang and len(placed) < group.step.count:
            for run, target in placed:
                self.withdraw_run(run, target, now_ms)
            return False
        for run, _ in placed:
            self.order_start(run)
        return bool(placed)

    def _is_valid(
        self, misfit: jobs.Misfit, group: jobs.Group, is_overdue: bool
    ) -> bool:
        """Tell whether only targets that have changed since may have room."""
        if not group.step.is_filler:
            return True
        return (
            misfit.latency_version == self._latency_version
            and misfit.is_overdue == is_overdue
        )

    def _predict_harmless_latency_share(
        self, step: workflows.Step, target: workflow_placement.Target
    ) -> float:
        """Predict the highest latency on a target with one more filler.

        :return: any value above the limit if the filler would do harm
        """
        known_target = self._fleet.targets[target.target_id]
        size_millicores = step.demand.processor_millicores
        rejected_millicores = known_target.rejected_millicores
        is_rejected = size_millicores >= rejected_millicores.get(
            step.image, size_millicores + 1
        )
        if is_rejected:
            # A smaller filler of the image was predicted to do harm.
            return math.inf
        latency_share = self._predict_latency_share(step, target)
        if latency_share > filler_effects.MAX_LATENCY_SHARE:
            rejected_millicores[step.image] = size_millicores
        return latency_share

    def _predict_latency_share(
        self, step: workflows.Step, target: workflow_placement.Target
    ) -> float:
        """Predict the highest latency on a target with one more filler."""
        known_target = self._fleet.targets[target.target_id]
        if not known_target.placement_latency_shares:
            return 0.0
        size_millicores = step.demand.processor_millicores
        capacity_millicores = max(target.capacity.processor_millicores, 1)
        sizes = dict(known_target.filler_sizes_millicores)
        sizes[step.image] = sizes.get(step.image, 0) + size_millicores
        return self._placement_effects.predict_latency_share(
            known_target.placement_latency_shares,
            {
                image: size / capacity_millicores
                for image, size in sizes.items()
            },
        )

    def _get_sibling_rack(
        self, group: jobs.Group, sibling_counts: abc.Mapping[str, int]
    ) -> str:
        if not group.step.needs_one_rack or not sibling_counts:
            return ''
        return self._fleet.targets[next(iter(sibling_counts))].rack


def _make_candidate(job: jobs.Job) -> workflow_order.Candidate:
    return workflow_order.Candidate(
        job.terms.priority,
        job.terms.is_prompt,
        any(step.is_lasting for step in job.workflow.steps),
        job.accepted_at_ms,
        job.objective_ms,
        job.estimate_remaining_ms(),
    )
