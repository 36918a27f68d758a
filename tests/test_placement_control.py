"""Control on one VM and the choice of victims."""

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
    """Guards against a quotient of weights that is infinite.

    Found by the property test below, once in many runs.
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
    """Guards against victims that are urgent, immovable or needless."""
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
    """A VM with one noisy and one harmless attempt.

    The service's p99 follows the speeds after three seconds.
    """

    objective: objects.Objective = BALANCED
    quiet_ms: float = 25.0
    state: control_state.State = control_state.State()
    noisy_millicores: int = 15_000
    floor_rise: float = 0.0
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(2)
    )
    actions: list[tuple[int, control.Action]] = dataclasses.field(
        default_factory=list
    )
    p99_ms: list[float] = dataclasses.field(default_factory=list)

    def run(self, from_s: int, to_s: int, effect: float) -> None:
        """Run the control loop once a second."""
        for now_s in range(from_s, to_s):
            speed = self.state.speeds.get('noisy', 1.0)
            share = self.noisy_millicores * speed / 60_000
            rise = effect * share + self.floor_rise
            noise = self.rng.lognormvariate(0, 0.05)
            self.p99_ms.append(self.quiet_ms * math.exp(rise) * noise)
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

    def list_moves(self) -> list[int]:
        """Return the seconds of the moves."""
        return [
            second
            for second, action in self.actions
            if isinstance(action, control.Evict)
        ]


def test_noisy_attempt_is_throttled_and_restored() -> None:
    """Guards against throttled bystanders and speed that never returns."""
    vm = Vm()
    vm.run(1_000, 1_060, effect=4.0)
    assert vm.state.speeds.get('noisy', 1.0) < 0.7
    assert 'calm' not in vm.state.speeds
    assert sum(vm.p99_ms[-20:]) / 20 < 40.0
    vm.run(1_060, 1_200, effect=0.2)
    assert not vm.state.speeds
    assert not vm.list_moves()


def test_constant_disturbance_does_not_oscillate() -> None:
    """Guards against speeds that go up and down without a cause."""
    vm = Vm()
    vm.run(1_000, 1_600, effect=4.0)
    late = [second for second, _ in vm.actions if second >= 1_100]
    # One change in 20 seconds allows for the noise of the measurements.
    assert len(late) <= 25


def test_no_step_on_a_measurement_from_before_the_last_one() -> None:
    """Guards against several steps for one late measurement."""
    vm = Vm()
    vm.run(1_000, 1_100, effect=6.0)
    seconds = sorted({second for second, _ in vm.actions})
    settle_s = control.THROTTLE_DELAY_MS // 1000
    for before, after in zip(seconds, seconds[1:], strict=False):
        assert after - before >= settle_s + 3


def test_work_that_still_harms_is_moved_within_the_budget() -> None:
    """Guards against a slow VM without relief and against many evictions."""
    vm = Vm(quiet_ms=60.0, noisy_millicores=50_000)
    vm.run(1_000, 1_600, effect=2.0)
    moves = vm.list_moves()
    assert moves
    assert moves[0] - 1_000 >= control.EVICT_AFTER_SLOW_MS * 0.5 / 1000
    # The attempt stays in this test, so only the budget bounds the moves.
    assert len(moves) <= 2 + 600 // 60


def test_known_wave_is_waited_out() -> None:
    """Guards against evictions in waves that end by themselves."""
    once = Vm(quiet_ms=60.0, noisy_millicores=50_000)
    often = Vm(quiet_ms=25.0, noisy_millicores=50_000)
    for wave in range(3):
        often.quiet_ms = 60.0
        often.run(1_000 + 200 * wave, 1_044 + 200 * wave, effect=2.0)
        often.quiet_ms = 20.0
        often.run(1_044 + 200 * wave, 1_200 + 200 * wave, effect=0.0)
    assert often.state.transient_phases >= control_state.MIN_TRANSIENT_PHASES
    earlier = len(often.list_moves())
    once.run(1_600, 1_680, effect=2.0)
    often.quiet_ms = 60.0
    often.run(1_600, 1_680, effect=2.0)
    assert once.list_moves()
    assert len(often.list_moves()) == earlier


def test_full_memory_moves_the_least_urgent_work() -> None:
    """Guards against a VM that holds more memory than it has."""
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
    """Guards against a flood of calls that stops all batch work."""
    attempts = [make_attempt(f't{i}', 'scan', 10_000) for i in range(5)]
    limits = objects.Limits(batch_minimum_share=0.2)
    state = control_state.State()
    for now_s in range(1_000, 1_100):
        seen = [
            dataclasses.replace(
                attempt,
                used=resources.Resources(
                    round(10_000 * state.speeds.get(attempt.task_id, 1.0))
                ),
            )
            for attempt in attempts
        ]
        view = control.VmView(
            CAPACITY, seen, 'pigment', 40.0, 400.0, now_s * 1000
        )
        state, _ = control.decide_actions(
            state, view, TABLE, BALANCED, limits, now_s * 1000
        )
    used = sum(10_000 * state.speeds.get(a.task_id, 1.0) for a in attempts)
    # Attempts are slowed one by one, so the last one may end below the share
    # by the part of it that one step takes away.
    assert used >= 0.2 * 60_000 - 10_000


def test_weights_change_the_decision() -> None:
    """Guards against an objective that has no effect on control."""
    latency = Vm(objective=objects.Objective(9.0, 0.1, 0.0), quiet_ms=34.0)
    throughput = Vm(objective=objects.Objective(0.1, 9.0, 0.0), quiet_ms=34.0)
    latency.run(1_000, 1_100, effect=1.5)
    throughput.run(1_000, 1_100, effect=1.5)
    assert latency.state.speeds
    assert not throughput.state.speeds
