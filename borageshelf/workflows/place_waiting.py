"""Lets tasks wait for room on the rack of their data or of their group.

``decisions.place_waiting`` decides; this module gathers its inputs from the
targets of the rack, and keeps the waits with their deadlines. They are soft
state: a new owner begins its own. Part of the owner's core; does no I/O.
"""

from collections import abc
import dataclasses
import enum
from typing import Final

from borageshelf.decisions import place_waiting
from borageshelf.decisions import workflow_placement
from borageshelf import measurements
from borageshelf.model import resources
from borageshelf.model import workflows
from borageshelf.workflows import fleet
from borageshelf.workflows import jobs
from borageshelf.workflows import targets

# The rules allow a workflow 1 s without any run because of a wait. The next
# pass may be 200 ms late, and its commit takes up to 100 ms.
NO_RUN_LIMIT_MS: Final = 700
# Reports change a forecast every 400 ms.
FORECAST_INTERVAL_MS: Final = 200
# Limits the time of a pass; a forecast looks at all runs of a rack.
FORECASTS_LIMIT: Final = 20


class Held(enum.Enum):
    """Stands in place of a target: the task waits for a place."""

    HELD = 'held'


class EndCause(enum.Enum):
    """Why a wait has ended."""

    PLACED = 'placed'
    DEADLINE = 'deadline'
    PLACE_LOST = 'place lost'
    NOT_EXPECTED = 'not expected in time'
    NO_RUN = 'no run'
    OVERDUE = 'overdue'
    WORKFLOW_ENDED = 'workflow ended'


@dataclasses.dataclass(frozen=True)
class Wait:
    """The wait of some tasks of a group.

    :param count: how many of its waiting tasks wait, at most
    :param places_count: number of usable targets of the rack at its begin
    """

    group: jobs.Group
    rack: str
    count: int
    begun_at_ms: int
    expected_at_ms: int
    deadline_ms: int
    places_count: int

    @property
    def claimed_millicores(self) -> int:
        """Processors that its tasks are due to use."""
        size_millicores = self.group.step.demand.processor_millicores
        return size_millicores * min(self.count, self.group.waiting_count)


class PlaceWaits:
    """Decides which tasks wait for a place, and remembers until when.

    :param remote_factor: how many times as long a task takes elsewhere; 1 if
        nothing is to wait
    :param record: writes the log line of a decision
    """

    def __init__(
        self,
        known_fleet: fleet.Fleet,
        remote_factor: float,
        record: abc.Callable[..., None],
    ) -> None:
        self._fleet = known_fleet
        self._remote_factor = remote_factor
        self._record = record
        self._waits: dict[jobs.Group, Wait] = {}
        # Groups that do not wait again.
        self._ended: set[jobs.Group] = set()
        # When a forecast for a group may differ from its last one.
        self._next_forecast_ms: dict[jobs.Group, int] = {}
        self._logged_causes: dict[jobs.Group, set[place_waiting.Cause]] = {}
        # Changes of the rack that a group has looked at.
        self._seen_changes: dict[jobs.Group, int] = {}
        # Expected ends of the runs on a target as they count for fillers, or
        # for other tasks; kept during a pass.
        self._ends: dict[
            tuple[str, bool], tuple[place_waiting.ExpectedEnd, ...]
        ] = {}
        self._forecasts_left = 0
        self._next_cleanup_ms = 0

    def begin_pass(
        self, active_jobs: abc.Mapping[str, jobs.Job], now_ms: int
    ) -> None:
        """Begin a scheduling pass; forget the groups that need no run."""
        self._forecasts_left = FORECASTS_LIMIT
        self._ends.clear()
        if now_ms < self._next_cleanup_ms:
            return
        self._next_cleanup_ms = now_ms + FORECAST_INTERVAL_MS
        for group in list(self._next_forecast_ms):
            is_over = (
                group.job.workflow_id not in active_jobs or group.is_complete
            )
            if group in self._waits and (is_over or not group.waiting_count):
                # Its last task may have started as an overdue or suspected
                # one.
                cause = EndCause.WORKFLOW_ENDED if is_over else EndCause.PLACED
                self._end(self._waits[group], cause, now_ms)
            if not is_over:
                continue
            self._ended.discard(group)
            del self._next_forecast_ms[group]
            self._logged_causes.pop(group, None)
            self._seen_changes.pop(group, None)

    def choose(
        self,
        task: jobs.Task,
        request: workflow_placement.PlacementRequest,
        predict: workflow_placement.LatencyPredictor,
        choose_anywhere: abc.Callable[[], workflow_placement.Target | None],
        now_ms: int,
    ) -> workflow_placement.Target | Held | None:
        """Return a target for a task, or that it waits for a place.

        :param choose_anywhere: returns the best target, which is on another
            rack only if no target of the wanted one has room
        """
        group = task.group
        wait = self._waits.get(group)
        # The other tasks of a group may have ended on its rack meanwhile.
        rack = wait.rack if wait is not None else _find_wanted_rack(request)
        if self._remote_factor <= 1 or not rack or not _may_wait(task):
            return choose_anywhere()
        if wait is not None and group.waiting_count <= wait.count:
            service = group.job.terms.service
            changes = self._fleet.count_rack_changes(service, rack)
            if (
                changes == self._seen_changes.get(group)
                and now_ms < self._next_forecast_ms[group]
                and self._find_due_cause(wait, request, now_ms) is None
            ):
                return Held.HELD
            self._seen_changes[group] = changes
            places = self._list_places(service, rack, request)
            found = workflow_placement.choose_target(request, places, predict)
            if found is not None:
                if group.waiting_count == 1:
                    self._end(wait, EndCause.PLACED, now_ms)
                return found
            cause = self._find_end_cause(wait, request, places, now_ms)
            if cause is None:
                return Held.HELD
            self._end(wait, cause, now_ms)
        target = choose_anywhere()
        if target is None or target.rack == rack or request.is_overdue:
            return target
        if self._begin(group, request, rack, now_ms):
            return Held.HELD
        return target

    def _begin(
        self,
        group: jobs.Group,
        request: workflow_placement.PlacementRequest,
        rack: str,
        now_ms: int,
    ) -> bool:
        """Begin a wait of a group if it is worthwhile; tell whether it is."""
        if (
            group in self._ended
            or group in self._waits
            or self._forecasts_left <= 0
            or now_ms < self._next_forecast_ms.get(group, 0)
        ):
            return False
        self._forecasts_left -= 1
        self._next_forecast_ms[group] = now_ms + FORECAST_INTERVAL_MS
        service = group.job.terms.service
        places = self._list_places(service, rack, request)
        question = self._make_request(group, rack, now_ms)
        racks = {self._fleet.targets[i].rack for i in request.sibling_counts}
        decision: place_waiting.Wait | place_waiting.NoWait
        if question.is_undivided and len(racks) > 1:
            decision = place_waiting.NoWait(place_waiting.Cause.SEVERAL_RACKS)
        else:
            decision = place_waiting.decide(
                question,
                [self._make_place(place, request, now_ms) for place in places],
                now_ms,
            )
        inputs = {
            'workflow': group.job.workflow_id,
            'occurrence': group.occurrence,
            'step': group.step_number,
            'rack': rack,
            'places': len(places),
            'waiting_tasks': question.waiting_count,
            'claimed_tasks': question.claimed_count,
            'duration_ms': question.duration_ms,
            'objective_left_ms': question.objective_deadline_ms - now_ms,
            'following_ms': question.following_ms,
            'report_age_ms': max(
                (now_ms - place.contact_at_ms for place in places), default=0
            ),
        }
        if isinstance(decision, place_waiting.NoWait):
            measurements.PLACE_WAITS_REFUSED.labels(decision.cause.value).inc()
            logged = self._logged_causes.setdefault(group, set())
            if decision.cause not in logged:
                logged.add(decision.cause)
                self._record(
                    'no wait for a place', cause=decision.cause.value, **inputs
                )
            return False
        self._waits[group] = Wait(
            group,
            rack,
            decision.count,
            now_ms,
            decision.expected_at_ms,
            decision.deadline_ms,
            len(places),
        )
        measurements.PLACE_WAITS_BEGUN.inc()
        self._record(
            'wait for a place begun',
            tasks=decision.count,
            expected_ms=decision.expected_at_ms - now_ms,
            limit_ms=decision.deadline_ms - now_ms,
            **inputs,
        )
        return group.waiting_count <= decision.count

    def _find_end_cause(
        self,
        wait: Wait,
        request: workflow_placement.PlacementRequest,
        places: abc.Sequence[targets.Target],
        now_ms: int,
    ) -> EndCause | None:
        """Return why a wait ends now, or None."""
        group = wait.group
        cause = self._find_due_cause(wait, request, now_ms)
        if cause is not None:
            return cause
        if not places:
            return EndCause.PLACE_LOST
        is_due = now_ms >= self._next_forecast_ms[group]
        if not is_due and len(places) >= wait.places_count:
            return None
        if self._forecasts_left <= 0:
            return None
        self._forecasts_left -= 1
        self._next_forecast_ms[group] = now_ms + FORECAST_INTERVAL_MS
        is_expected = place_waiting.is_still_expected(
            place_waiting.Wait(
                wait.count, wait.expected_at_ms, wait.deadline_ms
            ),
            self._make_request(group, wait.rack, now_ms),
            [self._make_place(place, request, now_ms) for place in places],
        )
        return None if is_expected else EndCause.NOT_EXPECTED

    def _find_due_cause(
        self,
        wait: Wait,
        request: workflow_placement.PlacementRequest,
        now_ms: int,
    ) -> EndCause | None:
        """Return why a wait ends now whatever its places do, or None."""
        if request.is_overdue:
            return EndCause.OVERDUE
        if now_ms >= wait.deadline_ms:
            return EndCause.DEADLINE
        if now_ms >= _find_no_run_deadline_ms(wait.group.job, now_ms):
            return EndCause.NO_RUN
        return None

    def _end(self, wait: Wait, cause: EndCause, now_ms: int) -> None:
        group = wait.group
        del self._waits[group]
        self._ended.add(group)
        measurements.PLACE_WAITS_ENDED.labels(cause.value).inc()
        self._record(
            'wait for a place ended',
            workflow=group.job.workflow_id,
            occurrence=group.occurrence,
            step=group.step_number,
            rack=wait.rack,
            cause=cause.value,
            waited_ms=now_ms - wait.begun_at_ms,
            expected_ms=wait.expected_at_ms - wait.begun_at_ms,
            waiting_tasks=group.waiting_count,
        )

    def _list_places(
        self,
        service: str,
        rack: str,
        request: workflow_placement.PlacementRequest,
    ) -> list[targets.Target]:
        """Return the usable targets of a rack that could take the task."""
        step = request.step
        return [
            target
            for target in self._fleet.list_rack(service, rack)
            if target.target_id not in request.avoided
            and (not step.label or step.label in target.labels)
            and step.demand.fits_in(target.capacity)
        ]

    def _make_request(
        self, group: jobs.Group, rack: str, now_ms: int
    ) -> place_waiting.Request:
        """Return the inputs of the decision that concern the step."""
        job, step = group.job, group.step
        siblings = [
            (
                _make_run_state(run),
                self._fleet.targets[run.target_id].rack != rack,
            )
            for task in group.tasks
            for run in task.runs.values()
        ]
        claimed_millicores = sum(
            other.claimed_millicores
            for other in self._waits.values()
            if other.rack == rack
            and other.group is not group
            and other.group.job.terms.service == job.terms.service
        )
        size_millicores = max(step.demand.processor_millicores, 1)
        estimate_ms = group.get_estimate_ms()
        return place_waiting.Request(
            step.demand,
            group.waiting_count,
            -(-claimed_millicores // size_millicores),
            place_waiting.predict_duration_ms(
                estimate_ms, siblings, self._remote_factor
            ),
            self._remote_factor,
            max(job.estimate_remaining_ms() - estimate_ms, 0),
            job.objective_deadline_ms,
            _find_no_run_deadline_ms(job, now_ms),
            step.needs_one_rack,
        )

    def _make_place(
        self,
        target: targets.Target,
        request: workflow_placement.PlacementRequest,
        now_ms: int,
    ) -> place_waiting.Place:
        """Return a target as the decision sees it.

        A filler needs unused processors, and a little less than its size; the
        others need processors that are not reserved.
        """
        step = request.step
        free = target.capacity.minus(target.reserved)
        if step.is_filler:
            unneeded_millicores = (
                step.demand.processor_millicores
                - workflow_placement.compute_min_unused_millicores(step)
            )
            free = dataclasses.replace(
                free,
                processor_millicores=int(
                    workflow_placement.compute_unused_millicores(target)
                    + unneeded_millicores
                ),
            )
        key = (target.target_id, step.is_filler)
        if key not in self._ends:
            self._ends[key] = tuple(
                place_waiting.ExpectedEnd(
                    place_waiting.predict_end_ms(_make_run_state(run), now_ms),
                    _find_freed(run.task.group.step, step.is_filler),
                )
                for run in target.runs.values()
                if run.is_stopping or not run.task.group.step.is_lasting
            )
        ends = self._ends[key]
        if not step.spread_limit:
            return place_waiting.Place(free, ends)
        sibling_count = request.sibling_counts.get(target.target_id, 0)
        return place_waiting.Place(
            free, ends, step.spread_limit - sibling_count
        )


def _may_wait(task: jobs.Task) -> bool:
    """Tell whether a task may wait at all; the other parts come first."""
    step = task.group.step
    return not (
        step.is_gang or step.is_lasting or task.crash_history.is_suspect
    )


def _find_wanted_rack(request: workflow_placement.PlacementRequest) -> str:
    """Return the only rack on which a task is not slow; '' if none."""
    racks = {request.step.rack, request.sibling_rack} - {''}
    return racks.pop() if len(racks) == 1 else ''


def _find_no_run_deadline_ms(job: jobs.Job, now_ms: int) -> int:
    """Return until when a workflow may go on without any run."""
    if job.live_runs:
        return now_ms + place_waiting.WAIT_LIMIT_MS
    return job.idle_since_ms + NO_RUN_LIMIT_MS


def _find_freed(
    ended: workflows.Step, is_for_filler: bool
) -> resources.Resources:
    """Return what the end of a run makes free for a kind of task."""
    if not is_for_filler:
        return ended.reserved
    return dataclasses.replace(
        ended.demand,
        processor_millicores=(
            ended.demand.processor_millicores
            if ended.is_filler
            else workflow_placement.estimate_use_millicores(ended)
        ),
    )


def _make_run_state(run: jobs.Run) -> place_waiting.RunState:
    """Return a run as the decision sees it."""
    step = run.task.group.step
    # A run from a checkpoint does not begin at 0%, so the first percents that
    # it reports tell nothing about its pace.
    is_resumed = step.is_checkpointing and run.attempt > 1
    return place_waiting.RunState(
        run.started_at_ms,
        run.task.group.get_estimate_ms(),
        run.progress_percent,
        run.progress_at_ms,
        run.watched_since_ms,
        None if is_resumed else run.watched_from_percent,
        run.is_stopping,
    )
