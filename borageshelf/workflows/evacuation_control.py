"""Applies the evacuated data centres to the owner's targets.

Lasting tasks would never leave by themselves, so they are moved: a run is
stopped once room is kept for its task on another target.

Part of the owner's core; does no I/O.
"""

from collections import abc
import dataclasses
from typing import Final

from borageshelf import clock
from borageshelf.decisions import evacuation
from borageshelf.decisions import workflow_placement
from borageshelf.model import data_centres
from borageshelf.workflows import fleet
from borageshelf.workflows import jobs
from borageshelf.workflows import targets


# Passes of the placement are more frequent, and a look for room that is not
# there costs as much as one of the placement for each lasting step.
MOVE_INTERVAL_MS: Final = 200


@dataclasses.dataclass(frozen=True)
class KeptRoom:
    """Room for a task whose run is being stopped."""

    run: jobs.Run
    target: targets.Target

    @property
    def is_needed(self) -> bool:
        """Whether the run still has to end."""
        return self.run.attempt in self.run.task.runs


class EvacuationControl:
    """Knows which targets may get starts.

    :param predict_latency_share: used for fillers only
    :param record: writes the log line of a decision
    :param discovery_deadline_ms: elapsed time by which agents have found this
        owner
    """

    def __init__(
        self,
        known_fleet: fleet.Fleet,
        predict_latency_share: workflow_placement.LatencyPredictor,
        record: abc.Callable[..., None],
        discovery_deadline_ms: int,
    ) -> None:
        self._fleet = known_fleet
        self._predict_latency_share = predict_latency_share
        self._record = record
        self._discovery_deadline_ms = discovery_deadline_ms
        self._known = evacuation.NOT_FOLLOWED
        self._could_place = True
        # Those of targets, also of silent ones, and of settings.
        self._known_names: set[str] = set()
        self._reported_names: set[str] = set()
        self._kept_rooms: list[KeptRoom] = []
        self._next_moves_ms = 0

    def apply(
        self, known: evacuation.EvacuatedSet, moment: clock.Moment
    ) -> list[targets.Target]:
        """Apply a reading of the set.

        :return: the targets whose state has changed
        """
        changed_names = known.data_centres ^ self._known.data_centres
        self._known = known
        self._report_unknown_names(moment.elapsed_ms)
        if not changed_names:
            return []
        changed = [
            target
            for target in self._fleet.targets.values()
            if target.data_centre in changed_names
        ]
        for target in changed:
            self.note_target(target)
        return changed

    def add_known_name(self, name: str) -> None:
        """Note a data centre that the settings name."""
        self._known_names.add(name)

    def note_target(self, target: targets.Target) -> None:
        """Apply the set to a target whose data centre may be new."""
        self._known_names.add(target.data_centre)
        target.is_evacuated = target.data_centre in self._known.data_centres
        self._fleet.touch(target)

    def judge(
        self, target: targets.Target, now_ms: int
    ) -> data_centres.ServiceState:
        """Return what the owner may state about a target's data centre."""
        return evacuation.judge(self._known, target.data_centre, now_ms)

    def bars_start(self, target: targets.Target, now_ms: int) -> bool:
        """Tell whether a placed start must not be sent to a target now."""
        return not evacuation.allows_starts(self.judge(target, now_ms))

    def may_place(self, now_ms: int) -> bool:
        """Tell whether the set is recent enough to place anything.

        A change of the answer is logged.
        """
        may_place = evacuation.is_recent(self._known, now_ms)
        if may_place != self._could_place:
            self._could_place = may_place
            read_at_ms = self._known.read_at_ms
            self._record(
                'placement resumed' if may_place else 'placement paused',
                cause='age of the reading of the evacuations',
                age_ms=None if read_at_ms is None else now_ms - read_at_ms,
            )
        return may_place

    # Lasting tasks.

    def release_room(self) -> None:
        """Give the room of tasks whose runs have ended to the placement.

        Lasting tasks are the first ones that it places.
        """
        for kept in self._kept_rooms:
            if not kept.is_needed:
                kept.target.release_room(kept.run.task.group.step)
                self._fleet.touch(kept.target)
        self._kept_rooms = [
            kept for kept in self._kept_rooms if kept.is_needed
        ]

    def choose_moves(self, now_ms: int) -> list[jobs.Run]:
        """Return the lasting runs to stop now; room for their tasks is kept.

        Gangs are left where they are.
        """
        if not self._known.data_centres or now_ms < self._next_moves_ms:
            return []
        self._next_moves_ms = now_ms + MOVE_INTERVAL_MS
        self._fleet.refresh(now_ms)
        groups = {
            id(run.task.group): run.task.group
            for target in self._fleet.targets.values()
            if target.is_evacuated
            for run in target.runs.values()
            if self._is_movable(run)
        }
        return [
            run
            for group in groups.values()
            for run in self._move_group(group, now_ms)
        ]

    def _is_movable(self, run: jobs.Run) -> bool:
        target = self._fleet.targets[run.target_id]
        group = run.task.group
        return (
            target.is_evacuated
            and target.is_ready
            and run.is_sent
            and not run.is_stopping
            and group.step.is_lasting
            and not group.step.is_gang
            and group.job.is_active
        )

    def _is_at_work(self, run: jobs.Run) -> bool:
        return (
            run.progress_percent >= evacuation.AT_WORK_PERCENT
            and not run.is_stopping
            and self._fleet.targets[run.target_id].is_ready
        )

    def _move_group(self, group: jobs.Group, now_ms: int) -> list[jobs.Run]:
        """Keep room for the tasks of a step that may be moved now."""
        runs = {
            task.name: tuple(task.runs.values())
            for task in group.tasks
            if not task.is_done
        }
        tasks = [
            evacuation.LastingTask(
                name,
                any(map(self._is_at_work, task_runs)),
                any(map(self._is_movable, task_runs)),
            )
            for name, task_runs in runs.items()
        ]
        moved = []
        for name in evacuation.choose_moves(tasks, group.step.absent_limit):
            run = next(filter(self._is_movable, runs[name]))
            if not self._keep_room(run, now_ms):
                # Tasks of a step have the same size.
                break
            moved.append(run)
            self._record(
                'lasting run moved',
                workflow=group.job.workflow_id,
                task=name,
                attempt=run.attempt,
                target=run.target_id,
                kept_target=self._kept_rooms[-1].target.target_id,
                cause='evacuation',
                absent=sum(not task.is_at_work for task in tasks),
                absent_limit=group.step.absent_limit,
            )
        return moved

    def _keep_room(self, run: jobs.Run, now_ms: int) -> bool:
        """Keep room for a task elsewhere; tell whether there is any."""
        task = run.task
        group = task.group
        counts = group.count_runs_by_target()
        for kept in self._kept_rooms:
            if kept.run.task.group is group:
                target_id = kept.target.target_id
                counts[target_id] = counts.get(target_id, 0) + 1
        chosen = self._fleet.get_index(group.job.terms.service).choose(
            workflow_placement.PlacementRequest(
                group.step, counts, task.avoided
            ),
            self._predict_latency_share,
        )
        if chosen is None:
            return False
        target = self._fleet.targets[chosen.target_id]
        target.keep_room(group.step)
        self._fleet.reindex(target, now_ms)
        self._kept_rooms.append(KeptRoom(run, target))
        return True

    def _report_unknown_names(self, now_ms: int) -> None:
        """Log once each evacuated data centre that nothing is in."""
        unreported = self._known.data_centres - self._reported_names
        if not unreported or now_ms < self._discovery_deadline_ms:
            return
        self._reported_names |= unreported
        for name in sorted(unreported - self._known_names):
            self._record(
                'evacuation of an unknown data centre', data_centre=name
            )
