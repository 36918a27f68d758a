"""Control of the attempts on one VM and the choice of victims."""

import dataclasses
import math
import random

import hypothesis
from hypothesis import strategies as st

from borageshelf.decisions import control
from borageshelf.decisions import control_state
from borageshelf.decisions import interference
from borageshelf.decisions import preemption
from borageshelf.model import objects
from borageshelf.model import resources

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200
)
CAPACITY = resources.Resources(60_000, 250_000, 4)
LIMITS = objects.Limits()
BALANCED = objects.Objective()
TABLE = interference.Table(
    pairs={
        ('pigment', 'ledger'): interference.Estimate(0.0, 0.01, 10**9),
        ('pigment', 'scan'): interference.Estimate(2.0, 0.01, 10**9),
    }
)
SIZES = st.builds(
    resources.Resources,
    processor_millicores=st.integers(0, 20_000),
    memory_mb=st.integers(0, 60_000),
    accelerators=st.integers(0, 2),
)
CANDIDATES = st.lists(
    st.builds(
        preemption.Candidate,
        task_id=st.uuids().map(str),
        urgency=st.integers(0, 9),
        held=SIZES,
        is_movable=st.booleans(),
        run_ms=st.integers(0, 10**6),
        expected_run_ms=st.integers(0, 10**6),
        evictions=st.integers(0, 3),
    ),
    max_size=8,
)
OBJECTIVES = st.builds(
    objects.Objective,
    tail_latency=st.floats(0, 10),
    batch_throughput=st.floats(0, 10),
    evictions=st.floats(0, 10),
)


def test_tiny_weights_give_the_largest_gap() -> None:
    """Guards against an infinite quotient of weights.

    A tiny weight of batch throughput as the divisor caused it; the property
    test below rarely draws such a weight.
    """
    tiny = objects.Objective(0.0, 2.225073858507e-311, 1.0)
    assert preemption.compute_min_urgency_gap(tiny) == 9
    gaps = [
        preemption.compute_min_urgency_gap(objects.Objective(1.0, 0.0, weight))
        for weight in (0.0, 0.4, 0.5, 1.0, 7.4, 7.5, 8.0, 10.0)
    ]
    assert gaps == [1, 1, 2, 2, 8, 9, 9, 9]


@SETTINGS
@hypothesis.given(SIZES, SIZES, st.integers(0, 9), CANDIDATES, OBJECTIVES)
def test_victims_are_allowed_and_needed(
    need: resources.Resources,
    free: resources.Resources,
    urgency: int,
    candidates: list[preemption.Candidate],
    objective: objects.Objective,
) -> None:
    """Guards against victims that are too urgent, immovable or unnecessary."""
    victims = preemption.choose_victims(
        need, free, urgency, candidates, objective
    )
    if victims is None:
        gap = preemption.compute_min_urgency_gap(objective)
        for candidate in candidates:
            if candidate.is_movable and candidate.urgency <= urgency - gap:
                free = free.plus(candidate.held)
        assert not need.fits_in(free)
        return
    assert all(victim.is_movable for victim in victims)
    assert all(victim.urgency < urgency for victim in victims)
    for victim in victims:
        free = free.plus(victim.held)
    assert need.fits_in(free)
    for victim in victims:
        assert not need.fits_in(free.minus(victim.held))


def make_attempt(
    task_id: str, family: str, millicores: int, memory_mb: int = 1_000
) -> control.AttemptView:
    """Return an attempt that uses what it reserved."""
    size = resources.Resources(millicores, memory_mb)
    return control.AttemptView(task_id, 1, family, 0, size, size)


@dataclasses.dataclass
class Vm:
    """A simulated VM with a service, a noisy and a harmless attempt.

    The measured p99 of the service is three seconds old.
    """

    objective: objects.Objective = BALANCED
    baseline_p99_ms: float = 25.0
    state: control_state.State = control_state.State()
    noisy_millicores: int = 15_000
    constant_log_rise: float = 0.0
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(2)
    )
    actions: list[tuple[int, control.Action]] = dataclasses.field(
        default_factory=list
    )
    p99_ms: list[float] = dataclasses.field(default_factory=list)

    def run(self, from_s: int, to_s: int, effect: float) -> None:
        """Run the control loop once a second.

        :param effect: rise of log p99 if the noisy family used the whole VM
        """
        for now_s in range(from_s, to_s):
            speed = self.state.speeds.get('noisy', 1.0)
            share = self.noisy_millicores * speed / 60_000
            rise = effect * share + self.constant_log_rise
            noise = self.rng.lognormvariate(0, 0.05)
            self.p99_ms.append(self.baseline_p99_ms * math.exp(rise) * noise)
            view = control.VmView(
                CAPACITY,
                [
                    make_attempt('calm', 'ledger', 15_000),
                    make_attempt(
                        'noisy', 'scan', round(self.noisy_millicores * speed)
                    ),
                ],
                'pigment',
                40.0,
                self.p99_ms[max(-4, -len(self.p99_ms))],
                (now_s - 3) * 1000,
            )
            self.state, actions = control.decide_actions(
                self.state, view, TABLE, self.objective, LIMITS, now_s * 1000
            )
            self.actions += [(now_s, action) for action in actions]

    def list_eviction_seconds(self) -> list[int]:
        """Return the seconds of the evictions."""
        return [
            second
            for second, action in self.actions
            if isinstance(action, control.Evict)
        ]


def test_noisy_attempt_is_throttled_and_restored() -> None:
    """Guards against throttled harmless attempts and lasting throttles."""
    vm = Vm()
    vm.run(1_000, 1_060, effect=4.0)
    assert vm.state.speeds.get('noisy', 1.0) < 0.7
    assert 'calm' not in vm.state.speeds
    assert sum(vm.p99_ms[-20:]) / 20 < 40.0
    vm.run(1_060, 1_200, effect=0.2)
    assert not vm.state.speeds
    assert not vm.list_eviction_seconds()


def test_constant_disturbance_does_not_oscillate() -> None:
    """Guards against speeds that oscillate under a constant disturbance."""
    vm = Vm()
    vm.run(1_000, 1_600, effect=4.0)
    late_action_seconds = [
        second for second, _ in vm.actions if second >= 1_100
    ]
    # One change in 20 seconds is allowed for the noise of the measurements.
    assert len(late_action_seconds) <= 25


def test_no_action_on_a_measurement_from_before_the_last_one() -> None:
    """Guards against several actions on one delayed measurement."""
    vm = Vm()
    vm.run(1_000, 1_100, effect=6.0)
    seconds = sorted({second for second, _ in vm.actions})
    delay_s = control.THROTTLE_DELAY_MS // 1000
    for before, after in zip(seconds, seconds[1:], strict=False):
        assert after - before >= delay_s + 3


def test_harmful_work_is_evicted_within_the_budget() -> None:
    """Guards against a VM that stays slow and against too many evictions.

    The service is slow even with the noisy attempt at the lowest speed.
    """
    vm = Vm(baseline_p99_ms=60.0, noisy_millicores=50_000)
    vm.run(1_000, 1_600, effect=2.0)
    eviction_seconds = vm.list_eviction_seconds()
    assert eviction_seconds
    assert (
        eviction_seconds[0] - 1_000 >= control.EVICT_AFTER_SLOW_MS * 0.5 / 1000
    )
    # The simulated VM keeps the evicted attempt, so only the budget bounds the
    # evictions.
    assert len(eviction_seconds) <= 2 + 600 // 60


def test_usual_slow_phase_is_waited_out() -> None:
    """Guards against evictions in slow phases that end without them.

    A VM that has seen such phases waits longer than one in its first phase.
    """
    first_phase_vm = Vm(baseline_p99_ms=60.0, noisy_millicores=50_000)
    usual_phase_vm = Vm(baseline_p99_ms=25.0, noisy_millicores=50_000)
    for phase in range(3):
        usual_phase_vm.baseline_p99_ms = 60.0
        usual_phase_vm.run(
            1_000 + 200 * phase, 1_044 + 200 * phase, effect=2.0
        )
        usual_phase_vm.baseline_p99_ms = 20.0
        usual_phase_vm.run(
            1_044 + 200 * phase, 1_200 + 200 * phase, effect=0.0
        )
    assert (
        usual_phase_vm.state.transient_phases
        >= control_state.MIN_TRANSIENT_PHASES
    )
    earlier_evictions = len(usual_phase_vm.list_eviction_seconds())
    first_phase_vm.run(1_600, 1_680, effect=2.0)
    usual_phase_vm.baseline_p99_ms = 60.0
    usual_phase_vm.run(1_600, 1_680, effect=2.0)
    assert first_phase_vm.list_eviction_seconds()
    assert len(usual_phase_vm.list_eviction_seconds()) == earlier_evictions


def test_full_memory_evicts_the_least_urgent_work() -> None:
    """Guards against attempts that use more memory than the VM has."""
    urgent = dataclasses.replace(
        make_attempt('urgent', 'assay', 1_000, 150_000), urgency=6
    )
    pinned = dataclasses.replace(
        make_attempt('pinned', 'blend', 1_000, 40_000), is_movable=False
    )
    plain = make_attempt('plain', 'ledger', 1_000, 90_000)
    view = control.VmView(CAPACITY, [urgent, pinned, plain])
    _, actions = control.decide_actions(
        control_state.State(), view, TABLE, BALANCED, LIMITS, 1_000
    )
    assert [action.task_id for action in actions] == ['plain']


def test_batch_work_keeps_its_share() -> None:
    """Guards against a surge of calls that stops all batch work."""
    attempts = [make_attempt(f't{i}', 'scan', 10_000) for i in range(5)]
    limits = objects.Limits(batch_minimum_share=0.2)
    state = control_state.State()
    for now_s in range(1_000, 1_100):
        measured = [
            dataclasses.replace(
                attempt,
                used=resources.Resources(
                    round(10_000 * state.speeds.get(attempt.task_id, 1.0))
                ),
            )
            for attempt in attempts
        ]
        view = control.VmView(
            CAPACITY, measured, 'pigment', 40.0, 400.0, now_s * 1000
        )
        state, _ = control.decide_actions(
            state, view, TABLE, BALANCED, limits, now_s * 1000
        )
    used = sum(10_000 * state.speeds.get(a.task_id, 1.0) for a in attempts)
    # Attempts are throttled one by one, and throttling the last one may go
    # below the share by the size of that attempt.
    assert used >= 0.2 * 60_000 - 10_000


def test_weights_change_the_decision() -> None:
    """Guards against weights of the objective that control ignores."""
    latency = Vm(
        objective=objects.Objective(9.0, 0.1, 0.0), baseline_p99_ms=34.0
    )
    throughput = Vm(
        objective=objects.Objective(0.1, 9.0, 0.0), baseline_p99_ms=34.0
    )
    latency.run(1_000, 1_100, effect=1.5)
    throughput.run(1_000, 1_100, effect=1.5)
    assert latency.state.speeds
    assert not throughput.state.speeds
