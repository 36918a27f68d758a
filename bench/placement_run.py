"""One run of a variant over a trace in simulated time."""

import dataclasses
import random
from typing import Final

from bench import placement_fleet
from bench import placement_trace
from bench import placement_variants
from borageshelf.decisions import control
from borageshelf.decisions import control_state
from borageshelf.decisions import estimates
from borageshelf.decisions import interference
from borageshelf.decisions import preemption
from borageshelf.decisions import quarantine
from borageshelf.decisions import views
from borageshelf.model import objects
from borageshelf.model import resources

SERVICE_NAME: Final = 'service'
LIMITS: Final = objects.Limits()
ATTEMPT_LIMIT: Final = 5
WINDOW_S: Final = 240


@dataclasses.dataclass
class Figures:
    """Counters and series of a run.

    :param urgent_waits_s: time in the queue of tasks with urgency 5 or higher
    :param used_millicores: millicores used by batch tasks in each second
    :param late_shares: share of calls over the target p99 in each second
    """

    finished: int = 0
    work_millicore_s: float = 0.0
    moves: int = 0
    preempted: int = 0
    killed: int = 0
    lost: int = 0
    failed_attempts: int = 0
    p99_ms: float = 0.0
    urgent_waits_s: list[int] = dataclasses.field(default_factory=list)
    used_millicores: list[float] = dataclasses.field(default_factory=list)
    late_shares: list[float] = dataclasses.field(default_factory=list)


class Run:
    """State of one run; ``execute`` runs it and returns its figures."""

    def __init__(
        self,
        variant: placement_variants.Variant,
        trace: placement_trace.Trace,
        seed: int,
    ) -> None:
        self.variant = variant
        self.trace = trace
        self.rng = random.Random(seed)
        self.size_rng = random.Random(seed + 1)
        self.fleet = placement_fleet.make_fleet(variant.is_mixed)
        self.queue: list[placement_fleet.Task] = []
        self.evicted: list[placement_fleet.Task] = []
        self.figures = Figures()
        self.size_estimates = estimates.Book()
        self.shared_interference = interference.Table()
        self.failure_table = quarantine.FailureTable()
        self.run_ms: dict[str, int] = {}
        self.control_states = {
            vm.name: control_state.State() for vm in self.fleet
        }
        self.vm_interference = {
            vm.name: interference.Table() for vm in self.fleet
        }

    def execute(self) -> Figures:
        """Run the whole trace."""
        arrivals: dict[int, list[str]] = {}
        for second, family in self.trace.job_arrivals:
            arrivals.setdefault(second, []).append(family)
        count = 0
        for now_s in range(placement_trace.TRACE_LENGTH_S):
            for family in arrivals.get(now_s, []):
                count += 1
                self.queue.append(
                    placement_fleet.make_task(
                        count,
                        self.trace.families[family],
                        now_s,
                        self.size_rng,
                    )
                )
            self._cancel_tasks(now_s)
            self._place_tasks(now_s)
            for vm in self.fleet:
                self._advance(vm, now_s)
            self.figures.used_millicores.append(
                sum(
                    task.used_millicores
                    for vm in self.fleet
                    for task in vm.tasks
                )
            )
            self.figures.late_shares.append(
                placement_fleet.compute_late_share(self.fleet)
            )
        self.figures.p99_ms = placement_fleet.compute_fleet_p99_ms(self.fleet)
        return self.figures

    def _cancel_tasks(self, now_s: int) -> None:
        for phase in self.trace.find_phases('cancel', now_s):
            # The task id is the seed, so that every variant loses the same
            # tasks.
            def is_kept(
                task: placement_fleet.Task, share: float = phase.value
            ) -> bool:
                return random.Random(task.task_id).random() >= share

            self.queue = [task for task in self.queue if is_kept(task)]
            for vm in self.fleet:
                vm.tasks = [task for task in vm.tasks if is_kept(task)]

    def _place_tasks(self, now_s: int) -> None:
        self.queue.sort(key=lambda t: (-t.family.urgency, t.arrived_s))
        targets = {
            vm.name: self._make_target_view(vm, now_s) for vm in self.fleet
        }
        policy = self._make_policy()
        refused: set[str] = set()
        waiting: list[placement_fleet.Task] = []
        for task in self.queue:
            name = task.family.name
            # A refused family would be refused again in this second. A task
            # with failed targets was perhaps refused because of them, so it
            # is tried on its own.
            if task.retry_s > now_s or (
                name in refused and not task.failed_targets
            ):
                waiting.append(task)
                continue
            answer = self.variant.choose(
                self._make_task_view(task),
                list(targets.values()),
                policy,
                now_s * 1000,
                self.rng,
            )
            if isinstance(answer, views.Refused) or (
                answer.preempts and self.variant.without == 'preemption'
            ):
                refused.add(name)
                waiting.append(task)
                continue
            vm = next(v for v in self.fleet if v.name == answer.target_id)
            self._start(vm, task, answer, now_s)
            targets[vm.name] = self._make_target_view(vm, now_s)
        self.queue = waiting + self.evicted
        self.evicted = []

    def _start(
        self,
        vm: placement_fleet.Vm,
        task: placement_fleet.Task,
        placed: views.Placed,
        now_s: int,
    ) -> None:
        if placed.preempts:
            self._preempt(vm, task, placed.reservation, now_s)
        task.reserved = placed.reservation
        task.started_s = now_s
        task.used_millicores = 0.0
        task.speed = placed.start_speed
        if self.variant.without == 'exploration at half speed':
            task.speed = 1.0
        self.control_states[vm.name] = control_state.add_start_speed(
            self.control_states[vm.name], task.task_id, task.speed
        )
        if task.first_start_s < 0:
            task.first_start_s = now_s
            if task.family.urgency >= 5:
                self.figures.urgent_waits_s.append(now_s - task.arrived_s)
        vm.tasks.append(task)

    def _preempt(
        self,
        vm: placement_fleet.Vm,
        task: placement_fleet.Task,
        need: resources.Resources,
        now_s: int,
    ) -> None:
        victims = preemption.choose_victims(
            need,
            self._find_free(vm, now_s),
            task.family.urgency,
            [self._make_candidate(t, now_s) for t in vm.tasks],
            self.variant.objective,
        )
        chosen = {victim.task_id for victim in victims or ()}
        for victim in [t for t in vm.tasks if t.task_id in chosen]:
            self._evict(vm, victim, now_s)
            self.figures.preempted += 1

    def _make_candidate(
        self, task: placement_fleet.Task, now_s: int
    ) -> preemption.Candidate:
        return preemption.Candidate(
            task.task_id,
            task.family.urgency,
            task.reserved.maximum(task.report_usage(now_s)),
            True,
            (now_s - task.started_s) * 1000,
            self.run_ms.get(task.family.name, 0),
            task.evictions,
        )

    def _evict(
        self, vm: placement_fleet.Vm, task: placement_fleet.Task, now_s: int
    ) -> None:
        """Checkpoint, stop and requeue a task, which keeps its progress."""
        vm.tasks.remove(task)
        task.evictions += 1
        task.retry_s = now_s + placement_fleet.RESTART_DELAY_S
        task.attempt += 1
        self.evicted.append(task)

    def _advance(self, vm: placement_fleet.Vm, now_s: int) -> None:
        if any(p.name == vm.name for p in self._find_failure_phases(now_s)):
            for task in list(vm.tasks):
                if task.started_s >= now_s - 1:
                    self._fail_attempt(vm, task, now_s)
        finished = placement_fleet.advance_one_second(
            vm, self.trace, now_s, self.rng
        )
        for task in finished:
            self._finish(vm, task, now_s)
        for task in placement_fleet.choose_out_of_memory_victims(vm):
            self._kill(vm, task, now_s)
        if vm.executors:
            self._apply_control(vm, now_s)

    def _find_failure_phases(self, now_s: int) -> list[placement_trace.Phase]:
        return self.trace.find_phases('fail', now_s)

    def _fail_attempt(
        self, vm: placement_fleet.Vm, task: placement_fleet.Task, now_s: int
    ) -> None:
        vm.tasks.remove(task)
        self.figures.failed_attempts += 1
        task.failed_targets = (*task.failed_targets, vm.name)
        self._record_outcome(vm, task, False, now_s)
        if (
            not task.family.is_idempotent
            or len(task.failed_targets) >= ATTEMPT_LIMIT
        ):
            self.figures.lost += 1
            return
        task.retry_s = now_s + 1
        task.attempt += 1
        self.evicted.append(task)

    def _record_outcome(
        self,
        vm: placement_fleet.Vm,
        task: placement_fleet.Task,
        succeeded: bool,
        now_s: int,
    ) -> None:
        self.failure_table = quarantine.record_outcome(
            self.failure_table,
            quarantine.AttemptOutcome(
                vm.name, task.family.name, succeeded, now_s * 1000
            ),
            len(self.fleet),
        )

    def _finish(
        self, vm: placement_fleet.Vm, task: placement_fleet.Task, now_s: int
    ) -> None:
        vm.tasks.remove(task)
        self.figures.finished += 1
        self.figures.work_millicore_s += task.work_millicore_s
        self._record_outcome(vm, task, True, now_s)
        peak = dataclasses.replace(task.actual, accelerators=0)
        self.size_estimates = estimates.observe_finished(
            self.size_estimates,
            task.family.name,
            peak,
            (now_s - task.started_s) * 1000,
        )
        self.run_ms[task.family.name] = estimates.predict_run_times_ms(
            self.size_estimates, task.family.name
        )[0]

    def _kill(
        self, vm: placement_fleet.Vm, task: placement_fleet.Task, now_s: int
    ) -> None:
        """Evict a task that ran out of memory; its progress is lost."""
        self._evict(vm, task, now_s)
        self.figures.killed += 1
        task.completed_millicore_s = 0.0
        if not task.family.is_idempotent:
            self.evicted.remove(task)
            self.figures.lost += 1

    def _apply_control(self, vm: placement_fleet.Vm, now_s: int) -> None:
        p99, load, age_s = placement_fleet.measure_p99(vm, self.rng)
        at_ms = (now_s - age_s) * 1000
        if p99 <= 0 or self.variant.decide is None:
            return
        observation = interference.Observation(
            SERVICE_NAME,
            p99,
            load,
            interference.find_mix(vm.mixes, at_ms),
            at_ms,
        )
        self.shared_interference = interference.observe(
            self.shared_interference, observation
        )
        interference_table = self.shared_interference
        without = self.variant.without
        if without == 'effects shared with agents':
            interference_table = interference.observe(
                self.vm_interference[vm.name], observation
            )
            self.vm_interference[vm.name] = interference_table
        if without == 'interference in control':
            interference_table = interference.Table()
        state = self.control_states[vm.name]
        if without == 'wave recognition':
            state = dataclasses.replace(state, transient_phases=0)
        view = control.VmView(
            vm.capacity,
            [self._make_attempt_view(task, now_s) for task in vm.tasks],
            SERVICE_NAME,
            placement_fleet.TARGET_P99_MS,
            p99,
            at_ms,
        )
        state, actions = self.variant.decide(
            state,
            view,
            interference_table,
            self.variant.objective,
            LIMITS,
            now_s * 1000,
        )
        self.control_states[vm.name] = state
        tasks = {task.task_id: task for task in vm.tasks}
        for action in actions:
            if isinstance(action, control.Evict):
                if without != 'moving':
                    self._evict(vm, tasks[action.task_id], now_s)
                    self.figures.moves += 1
            elif without != 'throttling':
                tasks[action.task_id].speed = action.fraction

    def _make_attempt_view(
        self, task: placement_fleet.Task, now_s: int
    ) -> control.AttemptView:
        candidate = self._make_candidate(task, now_s)
        return control.AttemptView(
            task.task_id,
            task.attempt,
            task.family.name,
            task.family.urgency,
            task.reserved,
            task.report_usage(now_s),
            True,
            candidate.run_ms,
            candidate.expected_run_ms,
            task.evictions,
        )

    def _find_free(
        self, vm: placement_fleet.Vm, now_s: int
    ) -> resources.Resources:
        free = vm.capacity
        for task in vm.tasks:
            reserved = task.reserved
            if not self.variant.is_naive:
                reserved = reserved.maximum(task.report_usage(now_s))
            free = free.minus(reserved)
        return free

    def _make_target_view(
        self, vm: placement_fleet.Vm, now_s: int
    ) -> views.TargetView:
        state = quarantine.find_state(self.failure_table, vm.name)
        uses_failures = not (
            self.variant.is_naive or self.variant.without == 'quarantine'
        )
        p99 = vm.p99_history_ms[-1 - placement_fleet.LATENCY_LAG_S :]
        return views.TargetView(
            vm.name,
            'centre',
            'rack',
            'vm',
            'agent',
            vm.capacity,
            self._find_free(vm, now_s),
            service=SERVICE_NAME if vm.executors else '',
            running=tuple(self._make_running_view(t, now_s) for t in vm.tasks),
            service_p99_ratio=p99[0] / placement_fleet.TARGET_P99_MS
            if p99
            else 0.0,
            quarantined_until_deadline_ms=state.quarantined_until_deadline_ms
            if uses_failures
            else 0,
            failure_share=quarantine.compute_failure_share(
                self.failure_table, vm.name, now_s * 1000
            )
            if uses_failures
            else 0.0,
            on_probation=uses_failures and state.on_probation,
        )

    def _make_running_view(
        self, task: placement_fleet.Task, now_s: int
    ) -> views.RunningView:
        return views.RunningView(
            task.task_id,
            task.family.name,
            'team',
            task.family.urgency,
            task.reserved,
            task.report_usage(now_s),
        )

    def _make_task_view(self, task: placement_fleet.Task) -> views.TaskView:
        avoids_failed_targets = (
            self.variant.without != 'failed targets avoided'
        )
        return views.TaskView(
            task.task_id,
            task.family.name,
            'team',
            task.family.declared,
            task.family.urgency,
            failed_targets=task.failed_targets
            if avoids_failed_targets
            else (),
            waiting_since_ms=task.arrived_s * 1000,
        )

    def _make_policy(self) -> views.Policy:
        without = self.variant.without
        return views.Policy(
            objective=self.variant.objective,
            limits=LIMITS,
            size_estimates=estimates.Book()
            if without == 'learned sizes'
            else self.size_estimates,
            interference_table=interference.Table()
            if without == 'interference in placement'
            else self.shared_interference,
        )
