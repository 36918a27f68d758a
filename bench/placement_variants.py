"""Variants of the placement bench.

The real decisions, naive baselines, other objective weights and ablations.
"""

from collections.abc import Callable
import dataclasses
import random
from typing import Final, TypeAlias

from bench import placement_trace
from borageshelf.decisions import control
from borageshelf.decisions import control_state
from borageshelf.decisions import interference
from borageshelf.decisions import naive_placement
from borageshelf.decisions import placement
from borageshelf.decisions import views
from borageshelf.model import objects

Chooser: TypeAlias = Callable[
    [
        views.TaskView,
        list[views.TargetView],
        views.Policy,
        int,
        random.Random,
    ],
    views.Placed | views.Refused,
]
Controller: TypeAlias = Callable[
    [
        control_state.State,
        control.VmView,
        interference.Table,
        objects.Objective,
        objects.Limits,
        int,
    ],
    tuple[control_state.State, tuple[control.Action, ...]],
]


@dataclasses.dataclass(frozen=True)
class Variant:
    """One way to place and control tasks.

    :param choose: decides the placement of a task
    :param decide: decides on throttling and eviction; None for no control
    :param is_mixed: whether services and batch tasks share VMs
    :param is_naive: whether measured usage and failures are ignored
    :param without: name of the mechanism that is disabled, or ''
    """

    name: str
    objective: objects.Objective
    choose: Chooser = placement.choose_target
    decide: Controller | None = control.decide_actions
    is_mixed: bool = True
    is_naive: bool = False
    without: str = ''


PRESETS: Final = {
    'ocre': placement_trace.OBJECTIVES['ocre'],
    'colombo': placement_trace.OBJECTIVES['colombo'],
    'equal': objects.Objective(1.0, 1.0, 1.0),
    'latency only': objects.Objective(1.0, 0.0, 0.0),
    'throughput only': objects.Objective(0.0, 1.0, 0.0),
}
ABLATED_MECHANISMS: Final = (
    'learned sizes',
    'interference in placement',
    'interference in control',
    'effects shared with agents',
    'throttling',
    'moving',
    'exploration at half speed',
    'wave recognition',
    'quarantine',
    'failed targets avoided',
    'preemption',
)


def choose_target_without_service(
    task: views.TaskView,
    targets: list[views.TargetView],
    policy: views.Policy,
    now_ms: int,
    rng: random.Random,
) -> views.Placed | views.Refused:
    """Place as the real decision does, but on targets without a service."""
    separate = [target for target in targets if not target.service]
    return placement.choose_target(task, separate, policy, now_ms, rng)


def make_comparison(deployment: str) -> list[Variant]:
    """Return the real variant and the baselines."""
    objective = PRESETS[deployment]
    return [
        Variant(
            'never mixed',
            objective,
            naive_placement.choose_dedicated_first_fit,
            None,
            is_mixed=False,
            is_naive=True,
        ),
        Variant(
            'first fit, no control',
            objective,
            naive_placement.choose_first_fit,
            None,
            is_naive=True,
        ),
        Variant(
            'first fit, evicting control',
            objective,
            naive_placement.choose_first_fit,
            naive_placement.evict_when_slow,
            is_naive=True,
        ),
        Variant(
            'first fit, measured sizes, evicting control',
            objective,
            naive_placement.choose_first_fit,
            naive_placement.evict_when_slow,
        ),
        Variant(
            'never mixed, learned sizes',
            objective,
            choose_target_without_service,
            None,
            is_mixed=False,
        ),
        Variant('real', objective),
    ]


def make_presets(deployment: str) -> list[Variant]:
    """Return the real variant with each of the other presets."""
    return [
        Variant(f'preset {name}', objective)
        for name, objective in PRESETS.items()
        if name != deployment
    ]


def make_ablations(deployment: str) -> list[Variant]:
    """Return the real variant without each mechanism in turn."""
    return [
        Variant(f'without {name}', PRESETS[deployment], without=name)
        for name in ABLATED_MECHANISMS
    ]
