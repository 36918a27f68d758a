"""Plays the plans of histories and explains their violations."""

from collections import abc
import dataclasses

from tests.lasting import disruptions
from tests.lasting import explain
from tests.lasting import monitor as lasting_monitor
from tests.lasting import plans
from tests.lasting import world as lasting_world


@dataclasses.dataclass(frozen=True)
class Finding:
    """A violation, with what the owner's books say to it.

    :param at_ms: time from the begin of the history
    """

    seed: int
    at_ms: int
    violation: lasting_monitor.Violation
    task_reason: str
    target_reasons: tuple[tuple[str, str], ...]

    @property
    def kind(self) -> str:
        """Short name of the reason, to count findings by."""
        if self.violation.is_twice:
            return 'runs twice'
        if self.task_reason != 'waits':
            words = self.task_reason.split('(')[0].split()
            return ' '.join(w for w in words if not any(map(str.isdigit, w)))
        reasons = {
            reason.split(' (')[0].split(':')[0]
            for _, reason in self.target_reasons
        }
        return 'targets: ' + ', '.join(sorted(reasons))

    def describe(self, plan: plans.Plan) -> list[str]:
        """Return lines for people."""
        if self.violation.is_twice:
            return [
                f'seed {self.seed}, {self.at_ms} ms: {self.violation.task}'
                f' runs on {self.violation.target_ids}: {self.task_reason}',
                *(f'  {each}' for each in plan.disruptions),
            ]
        lines = [
            f'seed {self.seed}, {self.at_ms} ms: {self.violation.task} has'
            f' had no run for {self.violation.absent_ms} ms, calm for'
            f' {self.violation.calm_ms} ms: {self.task_reason}'
        ]
        lines += [
            f'  {target_id} would take it: {reason}'
            for target_id, reason in self.target_reasons
        ]
        lines += [f'  {each}' for each in plan.disruptions]
        return lines


class History:
    """Plays a plan."""

    def __init__(self, plan: plans.Plan) -> None:
        self.plan = plan
        self.world = lasting_world.World(plan.seed)
        self.findings: list[Finding] = []
        for target in plan.targets:
            self.world.add_executor(
                target.target_id, target.millicores, target.labels
            )
        self._due: list[tuple[int, int, abc.Callable[[], None]]] = []
        for submission in plan.submissions:
            self._add_submission(submission)
        for disruption in plan.disruptions:
            self._add_disruption(disruption)
        self._due.sort(key=lambda item: item[:2])

    def play(self, is_first_enough: bool = False) -> list[Finding]:
        """Play the plan, until a violation if that is enough."""
        world = self.world
        while self._elapsed_ms < self.plan.end_ms:
            while self._due and self._due[0][0] <= self._elapsed_ms:
                self._due.pop(0)[2]()
            for violation in world.tick():
                self._add_finding(violation)
            if self.findings and is_first_enough:
                break
        return self.findings

    @property
    def _elapsed_ms(self) -> int:
        return self.world.now_ms - self.world.clock_begin_ms

    def _add(self, at_ms: int, action: abc.Callable[[], None]) -> None:
        self._due.append((at_ms, len(self._due), action))

    def _add_submission(self, submission: plans.Submission) -> None:
        workflow = submission.workflow
        self._add(submission.at_ms, lambda: self.world.submit(workflow))
        if submission.cancel_ms is not None:
            workflow_id = workflow.workflow_id
            self._add(
                submission.cancel_ms, lambda: self.world.cancel(workflow_id)
            )

    def _add_disruption(self, disruption: disruptions.Disruption) -> None:
        world = self.world

        def begin() -> None:
            world.monitor.begin_disruption()
            disruptions.begin(disruption, world)

        def end() -> None:
            disruptions.end(disruption, world)
            world.monitor.end_disruption(world.now_ms)

        self._add(disruption.begin_ms, begin)
        self._add(disruption.end_ms, end)

    def _add_finding(self, violation: lasting_monitor.Violation) -> None:
        core, moment = self.world.cluster.core, self.world.cluster.moment
        task = violation.task
        self.findings.append(
            Finding(
                self.plan.seed,
                self._elapsed_ms,
                violation,
                explain.explain_task(core, task, moment),
                tuple(
                    (
                        target_id,
                        explain.explain_target(core, task, target_id, moment),
                    )
                    for target_id in violation.target_ids
                ),
            )
        )


def play(plan: plans.Plan, is_first_enough: bool = False) -> list[Finding]:
    """Play a plan and return its violations."""
    return History(plan).play(is_first_enough)
