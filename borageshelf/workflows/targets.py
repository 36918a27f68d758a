"""The owner's view of targets: capacity, runs and agent sessions."""

from collections import abc
import dataclasses
from typing import Final

import xxhash

from borageshelf.decisions import filler_effects
from borageshelf.decisions import target_health
from borageshelf.decisions import workflow_placement
from borageshelf.model import resources
from borageshelf.model import workflows
from borageshelf.workflows import end_proofs
from borageshelf.workflows import jobs
from borageshelf.workflows import silence

# Session number of a target that no agent is attached to.
UNATTACHED: Final = 0


@dataclasses.dataclass(frozen=True)
class UnprovedRun:
    """A run that the next incarnation of its executor may have.

    :param ordered_by_ms: elapsed time by which its last start was sent
    :param expiry_ms: elapsed time at which the run does not exist any more,
        wherever its start has arrived
    """

    ordered_by_ms: int
    expiry_ms: int


class Target:
    """One target; implements ``workflow_placement.Target``.

    :ivar session: number of the agent's session; ``UNATTACHED`` for none
    :ivar is_ready: whether the session has delivered a snapshot of the runs
    :ivar is_evacuated: whether its data centre is evacuated
    :ivar cold_deadline_ms: elapsed time until which the executor is slow
    :ivar is_cold: whether placement counts it as slow
    :ivar lost_deadlines: when all granted runs have certainly ended, unless
        the agent reports again
    :ivar missed_readings: number of the last readings of the list of VMs that
        did not show its executor as up
    :ivar is_listed_up: what the list last said of a silent target; None if it
        was not read
    :ivar suspicions: incarnations of its executor that may have gone
    :ivar announced_at_ms: elapsed time at which the owner learned of the
        announced incarnation
    :ivar has_given_up_runs: whether runs were given up since the last snapshot
        because their grant had ended
    :ivar sent_spec_ids: ids of the workflows whose specification has been
        sent in this session
    :ivar baseline_latency_shares: estimated latency of each serving image
        without fillers, as a share of its latency target
    :ivar placement_latency_shares: the baselines that placement uses, which
        follow the estimated ones in steps
    :ivar rejected_millicores: smallest filler of each image that would raise
        a latency above its target, as known from earlier predictions
    :ivar short_millicores: declared processors of the tasks that are neither
        lasting nor fillers
    :ivar filler_sizes_millicores: declared processors of the fillers by image
    :ivar unexpected_runs: task names and attempts of runs that the owner does
        not expect; nothing is placed beside them, because their sizes may be
        unknown
    :ivar unproved_runs: runs whose executor has gone while an order for them
        was on its way
    :ivar announced_incarnation: incarnation of the executor that the agent
        knew at the begin of the session
    :ivar former_executor_id: executor that the former owner knew
    :ivar gone_incarnation: the last one that was reported as gone
    :ivar progress_reported_at_ms: elapsed time of the last report of progress
    :ivar contact_at_ms: elapsed time of the last report in which the session
        told the ends of all runs until then
    :ivar in_touch_at_ms: elapsed time at which the agent last requested a
        grant or began a session
    :ivar health: failures of the executor's incarnation
    :ivar stability: crashes of the executor by itself
    :ivar refusal_deadline_ms: elapsed time until which nothing is placed here
        after a refused start
    :ivar isolated_run: last started run of a suspected task; beside it only
        other suspects of its workflow are placed
    :ivar isolation_deadline_ms: elapsed time at which the isolation ends if
        such a run still exists
    :ivar hold_deadline_ms: elapsed time until which nothing but a suspected
        task is placed here
    :ivar spontaneous_crashes: crashes of the executor that no task is likely
        to have caused
    """

    def __init__(
        self,
        target_id: str,
        lost_deadlines: silence.Deadlines,
        in_touch_at_ms: int = 0,
    ) -> None:
        self.target_id = target_id
        self.service = ''
        self.data_centre = ''
        self.rack = ''
        self.labels: tuple[str, ...] = ()
        self.capacity = resources.NOTHING
        self.reserved = resources.NOTHING
        self.busy_millicores = 0
        self.filler_millicores = 0
        self.filler_used_millicores = 0
        self.short_millicores = 0
        self.serving_images: dict[str, int] = {}
        self.session = UNATTACHED
        self.is_ready = False
        self.is_draining = False
        self.is_evacuated = False
        self.cold_deadline_ms = 0
        self.is_cold = False
        self.leaves_deadline_ms = 0
        self.incarnation = ''
        self.announced_incarnation = ''
        self.former_executor_id = ''
        self.gone_incarnation = ''
        self.lost_deadlines = lost_deadlines
        self.missed_readings = 0
        self.is_listed_up: bool | None = None
        self.suspicions: dict[str, end_proofs.Suspicion] = {}
        self.announced_at_ms = 0
        self.has_given_up_runs = False
        self.runs: dict[tuple[str, int], jobs.Run] = {}
        self.unexpected_runs: set[tuple[str, int]] = set()
        self.unproved_runs: dict[tuple[str, int], UnprovedRun] = {}
        self.health = target_health.Health()
        self.stability = target_health.Health()
        self.sent_spec_ids: set[str] = set()
        self._uncommitted_ends: set[int] = set()
        self._highest_end_number = 0
        self.baseline_latency_shares: dict[str, float] = {}
        self.placement_latency_shares: dict[str, float] = {}
        self.rejected_millicores: dict[str, int] = {}
        self.filler_sizes_millicores: dict[str, int] = {}
        self.refusal_deadline_ms = 0
        self.progress_reported_at_ms = 0
        self.contact_at_ms = 0
        self.in_touch_at_ms = in_touch_at_ms
        self.isolated_run: jobs.Run | None = None
        self.isolation_deadline_ms = 0
        self.hold_deadline_ms = 0
        self.spontaneous_crashes = 0.0

    def is_healthy(self, now_ms: int) -> bool:
        """Tell whether the target counts towards the fleet's capacity."""
        return (
            self.is_ready
            and not self.is_draining
            and not self.is_evacuated
            and not self.health.is_suspect(now_ms)
            and not self.stability.is_suspect(now_ms)
        )

    def can_accept_runs(self, now_ms: int) -> bool:
        """Tell whether new runs may be placed here now."""
        return self.can_accept_suspect(now_ms) and not self.is_held(now_ms)

    def is_held(self, now_ms: int) -> bool:
        """Tell whether the target is kept free for a suspected task."""
        return now_ms < self.hold_deadline_ms

    def is_kept_free(self, now_ms: int) -> bool:
        """Tell whether the target is held or isolated for a suspect."""
        return self.isolated_run is not None or self.is_held(now_ms)

    def can_accept_suspect(self, now_ms: int) -> bool:
        """Tell whether a suspected task may be placed here now."""
        return self.isolated_run is None and self.can_accept_sibling_suspect(
            now_ms
        )

    def is_withheld(self, now_ms: int) -> bool:
        """Tell whether only a guess of ours keeps new runs away.

        Each run on an executor that crashes again and again brings its task
        closer to being given up, so those are left out.
        """
        return (
            self.is_ready
            and not self.is_draining
            and not self.is_evacuated
            and not self.stability.is_suspect(now_ms)
            and not self.unexpected_runs
            and now_ms >= self.refusal_deadline_ms
            and not self.can_accept_runs(now_ms)
        )

    def can_accept_sibling_suspect(self, now_ms: int) -> bool:
        """Tell whether a suspect may join those of its workflow here."""
        return (
            self.is_healthy(now_ms)
            and not self.unexpected_runs
            and now_ms >= self.refusal_deadline_ms
        )

    def find_retry_deadline_ms(self, now_ms: int) -> int:
        """Return when the passing of time allows new runs; 0 if never."""
        deadline_ms = max(
            self.refusal_deadline_ms,
            self.health.suspect_deadline_ms,
            self.stability.suspect_deadline_ms,
            self.hold_deadline_ms,
        )
        return deadline_ms if deadline_ms > now_ms else 0

    def find_lost_deadline_ms(self, run: jobs.Run) -> int:
        """Return when a granted run has ended, unless its VM is up."""
        if run.task.group.step.is_lasting:
            return self.lost_deadlines.lasting_ms
        return self.lost_deadlines.other_ms

    def find_earliest_end_ms(self, run: jobs.Run) -> int:
        """Return the time since which a run that has ended may not run."""
        return max(self.contact_at_ms, run.started_at_ms)

    def refresh_placement_latencies(self) -> None:
        """Let placement use the latest estimates of the baselines."""
        self.placement_latency_shares = dict(self.baseline_latency_shares)
        self.rejected_millicores.clear()

    def add_uncommitted_end(self, number: int) -> None:
        """Add a run's end, which stays unacknowledged until its commit."""
        self._uncommitted_ends.add(number)
        self._highest_end_number = max(self._highest_end_number, number)

    def mark_end_committed(self, number: int) -> int:
        """Record that the state changes caused by an end are committed.

        :return: the highest number that may be acknowledged; an
            acknowledgement also covers all ends with lower numbers
        """
        self._uncommitted_ends.discard(number)
        if self._uncommitted_ends:
            return min(self._uncommitted_ends) - 1
        return self._highest_end_number

    def clear_uncommitted_ends(self) -> None:
        """Drop all ends; a new session reports unacknowledged ones again."""
        self._uncommitted_ends.clear()
        self._highest_end_number = 0

    def add_run(self, run: jobs.Run) -> None:
        """Add a run and its resources to the totals."""
        self.runs[(run.task.name, run.attempt)] = run
        self._adjust_totals(run, 1)

    def remove_run(self, run: jobs.Run) -> None:
        """Remove a run and its resources from the totals."""
        key = (run.task.name, run.attempt)
        self.unproved_runs.pop(key, None)
        if self.runs.pop(key, None) is not None:
            self._adjust_totals(run, -1)
        if self.isolated_run is run:
            self.isolated_run = next(self.list_isolated_runs(), None)

    def keep_room(self, step: workflows.Step) -> None:
        """Keep room free for a task that is on its way here."""
        self._adjust_room(step, 1)

    def release_room(self, step: workflows.Step) -> None:
        """Undo ``keep_room``."""
        self._adjust_room(step, -1)

    def list_isolated_runs(self) -> abc.Iterator[jobs.Run]:
        """Yield the runs of suspected tasks of the workflow in isolation."""
        return (run for run in self.runs.values() if run.is_isolated)

    @property
    def executor_id(self) -> str:
        """Id of the executor that the agent knew last; '' if not known."""
        announced_id = end_proofs.find_executor_id(self.announced_incarnation)
        return announced_id or self.former_executor_id

    def compute_executor_hash(self) -> int:
        """Return a short identity of the executor's incarnation."""
        return hash_incarnation(self.incarnation)

    def _adjust_totals(self, run: jobs.Run, sign: int) -> None:
        step = run.task.group.step
        self.rejected_millicores.clear()
        self._adjust_room(step, sign)
        if step.is_filler:
            sizes = self.filler_sizes_millicores
            sizes[step.image] = (
                sizes.get(step.image, 0)
                + sign * step.demand.processor_millicores
            )
            if not sizes[step.image]:
                del sizes[step.image]
        elif not step.is_lasting:
            self.short_millicores += sign * step.demand.processor_millicores
        if step.latency_target_ms:
            self._adjust_serving_images(step.image, sign)

    def _adjust_room(self, step: workflows.Step, sign: int) -> None:
        """Add a task to the totals that decide where there is room."""
        if sign > 0:
            self.reserved = self.reserved.plus(step.reserved)
        else:
            self.reserved = self.reserved.minus(step.reserved)
        if step.is_filler:
            self.filler_millicores += sign * step.demand.processor_millicores
        else:
            expected_millicores = workflow_placement.estimate_use_millicores(
                step
            )
            self.busy_millicores += sign * expected_millicores

    def _adjust_serving_images(self, image: str, sign: int) -> None:
        images = self.serving_images
        images[image] = images.get(image, 0) + sign
        if images[image]:
            # An image that is new here has reported no latency yet, so a
            # default is assumed.
            self.baseline_latency_shares.setdefault(
                image, filler_effects.DEFAULT_LATENCY_SHARE
            )
            self.placement_latency_shares.setdefault(
                image, filler_effects.DEFAULT_LATENCY_SHARE
            )
        else:
            del images[image]
            self.baseline_latency_shares.pop(image, None)
            self.placement_latency_shares.pop(image, None)


def hash_incarnation(incarnation: str) -> int:
    """Return a short identity of an executor's incarnation."""
    return int(xxhash.xxh32_intdigest(incarnation.encode()))
