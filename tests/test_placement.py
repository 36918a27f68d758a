"""Placement against its rules and against the naive placement."""

import dataclasses
import math
import random
import typing

import hypothesis
from hypothesis import strategies as st
import pytest

from borageshelf.decisions import naive_placement
from borageshelf.decisions import placement
from borageshelf.decisions import views
from borageshelf import errors
from borageshelf.model import resources

NOW_MS = 1_000_000
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200
)

SIZES = st.builds(
    resources.Resources,
    processor_millicores=st.integers(0, 60_000),
    memory_mb=st.integers(0, 250_000),
    accelerators=st.integers(0, 4),
)
SMALL_SIZES = st.builds(
    resources.Resources,
    processor_millicores=st.integers(100, 20_000),
    memory_mb=st.integers(100, 80_000),
    accelerators=st.integers(0, 1),
)
FAMILIES = st.sampled_from(['ledger', 'assay', 'kiln'])
CENTRES = st.sampled_from(['tajo-norte', 'tajo-sur', 'molino-alto'])
RUNNING = st.builds(
    views.RunningView,
    task_id=st.uuids().map(str),
    family=FAMILIES,
    team=st.just('ledgers'),
    urgency=st.integers(0, 9),
    reserved=SMALL_SIZES,
    used=SMALL_SIZES,
    is_movable=st.booleans(),
)


@st.composite
def make_target(draw: st.DrawFn) -> views.TargetView:
    """Draw a target whose free resources agree with its running attempts."""
    capacity = resources.Resources(60_000, 250_000, draw(st.integers(0, 4)))
    running: list[views.RunningView] = []
    free = capacity
    for attempt in draw(st.lists(RUNNING, max_size=4)):
        if attempt.held.fits_in(free):
            running.append(attempt)
            free = free.minus(attempt.held)
    centre = draw(CENTRES)
    return views.TargetView(
        target_id=str(draw(st.uuids())),
        data_centre=centre,
        rack=centre + draw(st.sampled_from(['-1', '-2'])),
        vm_boot_id='vm',
        agent_boot_id='agent',
        capacity=capacity,
        free=free,
        leaving=draw(st.booleans()) and draw(st.booleans()),
        quarantined_until_deadline_ms=draw(
            st.sampled_from([0, 0, NOW_MS, NOW_MS + 1])
        ),
        service=draw(st.sampled_from(['', 'pigment'])),
        running=tuple(running),
        service_p99_ratio=draw(st.floats(0, 5)),
    )


TARGETS = st.lists(make_target(), max_size=8)
TASKS = st.builds(
    views.TaskView,
    task_id=st.just('job/0'),
    family=FAMILIES,
    team=st.just('ledgers'),
    declared=SMALL_SIZES,
    urgency=st.integers(0, 9),
    data_centres=st.lists(CENTRES, max_size=2).map(tuple),
    spread=st.sampled_from(['none', 'rack', 'data_centre']),
    sibling_data_centres=st.lists(CENTRES, max_size=1).map(tuple),
    sibling_racks=st.lists(CENTRES.map('{}-1'.format), max_size=1).map(tuple),
    waiting_since_ms=st.integers(0, NOW_MS),
)
POLICIES = st.builds(
    views.Policy,
    quotas=st.dictionaries(st.just('ledgers'), SIZES, max_size=1),
    team_usage=st.dictionaries(st.just('ledgers'), SMALL_SIZES, max_size=1),
    covers_fleet=st.booleans(),
)


def get_target(
    targets: list[views.TargetView], target_id: str
) -> views.TargetView:
    """Return the target with an id."""
    return next(t for t in targets if t.target_id == target_id)


@SETTINGS
@hypothesis.given(TASKS, TARGETS, POLICIES, st.integers(0, 99))
def test_placements_are_feasible(
    task: views.TaskView,
    targets: list[views.TargetView],
    policy: views.Policy,
    seed: int,
) -> None:
    """Guards against a placement that exceeds the free resources of a VM.

    The rules are those of ``naive_placement.find_violated_rule``.
    """
    decision = placement.choose_target(
        task, targets, policy, NOW_MS, random.Random(seed)
    )
    if isinstance(decision, views.Refused):
        return
    target = get_target(targets, decision.target_id)
    if decision.preempts:
        # The agent may preempt every movable and less urgent attempt.
        for running in target.running:
            if running.is_movable and running.urgency < task.urgency:
                free = target.free.plus(running.held)
                target = dataclasses.replace(target, free=free)
    assert not naive_placement.find_violated_rule(
        task, target, decision.reservation, policy, NOW_MS
    )


@SETTINGS
@hypothesis.given(TASKS, TARGETS, POLICIES, st.integers(0, 99))
def test_refused_tasks_have_no_harmless_place(
    task: views.TaskView,
    targets: list[views.TargetView],
    policy: views.Policy,
    seed: int,
) -> None:
    """Guards against the refusal of a task that has a harmless place.

    A task must not be refused while an allowed target without a service has
    room for its declared size, nor be refused for good while a VM is large
    enough for it.
    """
    decision = placement.choose_target(
        task, targets, policy, NOW_MS, random.Random(seed)
    )
    if isinstance(decision, views.Placed):
        return
    naive = naive_placement.choose_dedicated_first_fit(
        task, targets, policy, NOW_MS, random.Random(seed)
    )
    assert isinstance(naive, views.Refused), decision
    if decision.code is errors.JOB_NEVER_FITS:
        assert policy.covers_fleet
        assert not any(task.declared.fits_in(t.capacity) for t in targets)


@SETTINGS
@hypothesis.given(TASKS, TARGETS, st.integers(0, 99))
def test_wait_for_less_harmful_target_ends(
    task: views.TaskView, targets: list[views.TargetView], seed: int
) -> None:
    """Guards against a task that waits forever for a less harmful target.

    A task that fits an empty allowed target must be placed once it has waited
    long enough, whichever service runs there.
    """
    empty = [
        dataclasses.replace(t, free=t.capacity, running=()) for t in targets
    ]
    task = dataclasses.replace(
        task,
        waiting_since_ms=NOW_MS - placement.MAX_HARM_WAIT_MS,
    )
    policy = views.Policy()
    naive = naive_placement.choose_first_fit(
        task, empty, policy, NOW_MS, random.Random(seed)
    )
    decision = placement.choose_target(
        task, empty, policy, NOW_MS, random.Random(seed)
    )
    assert isinstance(decision, views.Placed) == isinstance(
        naive, views.Placed
    )


def test_only_target_with_room_in_large_fleet_is_found() -> None:
    """Guards against samples that never contain the only target with room."""
    full = views.TargetView(
        target_id='',
        data_centre='tajo-norte',
        rack='r1',
        vm_boot_id='vm',
        agent_boot_id='agent',
        capacity=resources.Resources(60_000, 250_000),
        free=resources.NOTHING,
    )
    targets = [
        dataclasses.replace(full, target_id=f't{i}') for i in range(4600)
    ]
    targets[1234] = dataclasses.replace(targets[1234], free=full.capacity)
    task = views.TaskView(
        'job/0', 'ledger', 'ledgers', resources.Resources(1000, 1000)
    )
    rng = random.Random(7)
    decisions = [
        placement.choose_target(task, targets, views.Policy(), NOW_MS, rng)
        for _ in range(100)
    ]
    placed = [a for a in decisions if isinstance(a, views.Placed)]
    assert placed
    assert {decision.target_id for decision in placed} == {'t1234'}


class CountingList(list[views.TargetView]):
    """A list that counts how many of its items are read."""

    reads = 0

    def __getitem__(self, index: typing.Any) -> typing.Any:
        """Return an item and count it."""
        self.reads += 1
        return super().__getitem__(index)


@pytest.mark.parametrize('count', [46, 460, 4600])
def test_targets_examined_grow_slower_than_the_fleet(count: int) -> None:
    """Guards against a decision that examines the whole fleet.

    The reads of the list of targets are counted, for a fleet without room and
    for an empty one.
    """
    reads = []
    for free in (resources.NOTHING, resources.Resources(60_000, 250_000)):
        target = views.TargetView(
            target_id='t',
            data_centre='tajo-norte',
            rack='r1',
            vm_boot_id='vm',
            agent_boot_id='agent',
            capacity=resources.Resources(60_000, 250_000),
            free=free,
        )
        targets = CountingList([target] * count)
        task = views.TaskView(
            'job/0', 'ledger', 'ledgers', resources.Resources(1000, 1000)
        )
        placement.choose_target(
            task, targets, views.Policy(), NOW_MS, random.Random(1)
        )
        reads.append(targets.reads)
    reads_without_room, reads_of_empty_fleet = reads
    assert reads_of_empty_fleet == 16
    assert reads_without_room <= 16 + max(64, 8 * math.isqrt(count))
